package committer_test

import (
	"flag"
	"testing"
)

// TestMain fixes the seed of the property test unless the command line names one, so that CI gives
// the same verdict every time.
func TestMain(m *testing.M) {
	flag.Parse()
	seeded := false
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	if !seeded {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	m.Run()
}

package committer_test

import (
	"flag"
	"testing"
)

// TestMain fixes the seed of the property test, unless the command line sets one, so that CI runs
// are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	seedGiven := false
	flag.Visit(func(f *flag.Flag) { seedGiven = seedGiven || f.Name == "rapid.seed" })
	if !seedGiven {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	m.Run()
}

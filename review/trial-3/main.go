// Command trial-3 runs the scripts of the third review: the project's processes against small stand-ins of the
// platform's store, of executors and of clients that follow PROTOCOL. It exits with 1 if a rule was broken, 0 if
// all held and 2 if the trial couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// cases are the cases by name.
var cases = make(map[string]func(t *trial, trouble bool) error)

func main() {
	program := flag.String("program", "target/dotterelpost", "the project's program")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	name := flag.String("case", "", "the case to run")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	flag.Parse()
	run, known := cases[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		os.Exit(2)
	}
	t, err := newTrial(*program, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	err = run(t, *trouble)
	t.mu.Lock()
	broken := t.broken
	t.mu.Unlock()
	t.note("%d breaks", len(broken))
	t.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "not run:", err)
		os.Exit(2)
	case len(broken) > 0:
		for _, line := range broken[:min(len(broken), 5)] {
			fmt.Println(line)
		}
		fmt.Println(len(broken), "breaks")
		os.Exit(1)
	}
	fmt.Println("no rule was broken")
}

// Command rig2 plays one case of the second review: it starts instances of the scheduler as processes, and in its own
// process stand-ins for the platform's store, the executors and the clients, all on loopback.
//
// # Usage
//
//	TROUBLE=1 target/review-2/rig2 CASE FOLDER
//
// It writes record.txt into the folder and exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// errNotRun is the error of a case that could not run.
var errNotRun = errors.New("the case could not run")

// playTimeout ends a case that hangs.
const playTimeout = 115 * time.Second

// cases are the cases by name. Each returns what breaks the rule, empty if it held.
var cases = map[string]func(*world, bool) (string, error){
	"removed-route":   playRemovedRoute,
	"restarted-other": playRestartedOther,
	"dark-executor":   playDarkExecutor,
	"lost-with-owner": playLostWithOwner,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		return 2
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	w, err := newWorld(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		broken string
		err    error
	}
	played := make(chan result, 1)
	trouble := os.Getenv("TROUBLE") != "0"
	w.record("case %s, trouble %t", os.Args[1], trouble)
	go func() {
		broken, err := cases[os.Args[1]](w, trouble)
		played <- result{broken, err}
	}()
	select {
	case r := <-played:
		switch {
		case r.err != nil:
			w.decide("NOT RUN: %v", r.err)
			return 2
		case r.broken != "":
			w.decide("BROKEN: %s", r.broken)
			return 1
		}
		w.decide("HELD")
		return 0
	case <-interrupted:
		w.decide("NOT RUN: interrupted")
		return 2
	case <-time.After(playTimeout):
		w.decide("NOT RUN: took too long")
		return 2
	}
}

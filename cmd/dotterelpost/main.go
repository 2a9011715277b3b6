// Command dotterelpost is the cluster scheduler: one program for entry instances, operators and
// callers. Run it with --help for its commands.
package main

import (
	"os"

	"dotterelpost.example/dotterelpost/internal/commander"
)

func main() {
	os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr))
}

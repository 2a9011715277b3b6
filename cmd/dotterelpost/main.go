// Command dotterelpost is the cluster scheduler. It contains the server and the commands for operators
// and callers; run it with --help to list them.
package main

import (
	"os"

	"dotterelpost.example/dotterelpost/internal/commander"
)

func main() {
	os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr))
}

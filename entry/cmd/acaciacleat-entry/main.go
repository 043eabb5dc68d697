// Command acaciacleat-entry serves the requests of callers and operators, and provides the
// commands to operate and test the system.
package main

import (
	"os"

	"acaciacleat.example/entry/command"
)

func main() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) }

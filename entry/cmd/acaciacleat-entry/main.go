// Command acaciacleat-entry takes callers' and operators' requests, and holds the
// commands with which people work the system.
package main

import (
	"os"

	"acaciacleat.example/entry/command"
)

func main() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) }

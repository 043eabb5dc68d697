// Command acaciacleat-agent runs the agent of one upstream.
package main

import (
	"os"

	"acaciacleat.example/agent/command"
)

func main() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) }

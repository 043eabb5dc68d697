// Package command is the command line of acaciacleat-entry.
package command

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Main runs the command that args name and returns the process's exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	parser := flags.NewNamedParser("acaciacleat-entry", flags.HelpFlag|flags.PassDoubleDash)
	env := &environment{stdout: stdout, stderr: stderr}
	mustAdd(parser, "dev", "Run everything in one process", "Runs stand-ins, agents and an entry in one process.", &devCommand{environment: env})
	mustAdd(parser, "load", "Send load to entries and report by prompt length", "Sends requests at times fixed beforehand and reports how they were answered.", &loadCommand{environment: env})
	_, err := parser.ParseArgs(args)
	return exitCode(err, stdout, stderr)
}

// environment is where a command writes.
type environment struct {
	stdout io.Writer
	stderr io.Writer
}

func mustAdd(parser *flags.Parser, name, short, long string, data any) {
	if _, err := parser.AddCommand(name, short, long, data); err != nil {
		panic(err)
	}
}

func exitCode(err error, stdout, stderr io.Writer) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, usage.Message)
		return exitOK
	case errors.As(err, &usage):
		fmt.Fprintln(stderr, usage.Message)
		return exitUsage
	default:
		fmt.Fprintln(stderr, "acaciacleat-entry:", err)
		return exitFailed
	}
}

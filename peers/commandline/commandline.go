// Package commandline holds the parts that the command lines of both programs share: exit
// codes, the check command, and the graceful stop on signals.
package commandline

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Program is one program's command line.
type Program struct {
	name   string
	parser *flags.Parser
	stdout io.Writer
	stderr io.Writer
}

// New returns a program without commands.
func New(name string, stdout, stderr io.Writer) *Program {
	return &Program{
		name:   name,
		parser: flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash),
		stdout: stdout,
		stderr: stderr,
	}
}

// Group accepts commands. It is a program or a command with subcommands.
type Group interface {
	AddCommand(command, short, long string, data any) (*flags.Command, error)
}

// Root returns the group of the program's top-level commands.
func (p *Program) Root() Group { return p.parser }

// MustAdd adds a command to a group and panics on failure. Names and data are fixed in the
// program, so a failure is a programming error.
func MustAdd(group Group, name, short, long string, data any) *flags.Command {
	command, err := group.AddCommand(name, short, long, data)
	if err != nil {
		panic(err)
	}
	return command
}

// NewUsageError returns the error of a command that was called with wrong arguments.
func NewUsageError(message string) error {
	return &flags.Error{Type: flags.ErrRequired, Message: message}
}

// Run runs the command named by args and returns the exit code of the process.
func (p *Program) Run(args []string) int {
	_, err := p.parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(p.stdout, usage.Message)
		return ExitOK
	case errors.As(err, &usage):
		fmt.Fprintln(p.stderr, usage.Message)
		return ExitUsage
	default:
		fmt.Fprintf(p.stderr, "%s: %v\n", p.name, err)
		return ExitFailed
	}
}

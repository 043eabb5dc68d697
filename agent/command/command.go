// Package command is the command line of acaciacleat-agent.
package command

import (
	"io"

	"acaciacleat.example/agent/serve"
	"acaciacleat.example/agent/settings"
	"acaciacleat.example/peers/commandline"
	shared "acaciacleat.example/peers/settings"
)

// Main runs the command that args name and returns the process's exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	program := commandline.New("acaciacleat-agent", stdout, stderr)
	commandline.MustAdd(program.Root(), "serve", "Run an agent",
		"Runs the agent beside one upstream until SIGTERM or SIGINT, which stops it gracefully; a second one ends it at once.",
		&serveCommand{stderr: stderr})
	commandline.MustAdd(program.Root(), "check", "Check settings and documents",
		"Checks agents' settings and service documents offline and prints all faults. Keys and certificates are not read.",
		&commandline.Check{Settings: faults, Out: stdout})
	return program.Run(args)
}

func faults(data []byte) []shared.Fault {
	_, faults := settings.Parse(data)
	return faults
}

// serveCommand runs an agent.
type serveCommand struct {
	stderr   io.Writer
	Settings string `long:"settings" value-name:"FILE" required:"yes" description:"the agent's settings"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	s, err := shared.ReadFile(c.Settings, settings.Parse)
	if err != nil {
		return err
	}
	signals, release := commandline.Signals()
	defer release()
	return serve.Run(s, serve.Environment{Log: c.stderr, Signals: signals})
}

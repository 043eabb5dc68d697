// Package command implements the command line of acaciacleat-entry.
package command

import (
	"io"

	"acaciacleat.example/entry/settings"
	"acaciacleat.example/peers/commandline"
	shared "acaciacleat.example/peers/settings"
)

// Main runs the command in args and returns the exit code of the process.
func Main(args []string, stdout, stderr io.Writer) int {
	program := commandline.New("acaciacleat-entry", stdout, stderr)
	root := program.Root()
	env := &environment{stdout: stdout, stderr: stderr}
	commandline.MustAdd(root, "serve", "Run an entry",
		"Runs an entry until SIGTERM or SIGINT, which stops it gracefully; a second one ends it at once.",
		&serveCommand{environment: env})
	commandline.MustAdd(root, "gateway", "Run an entry without agents",
		"Runs an entry that calls upstreams itself and follows routes and upstreams in a platform's store. SIGTERM and SIGINT stop it gracefully, SIGHUP has it read its settings again.",
		&gatewayCommand{environment: env})
	commandline.MustAdd(root, "dev", "Run everything in one process",
		"Runs stand-ins, agents and an entry in one process, or with --only-standins the stand-ins alone.",
		&devCommand{environment: env})
	commandline.MustAdd(root, "load", "Send load to entries and report by prompt length",
		"Sends requests at times fixed beforehand and reports how they were answered.",
		&loadCommand{environment: env})
	commandline.MustAdd(root, "check", "Check settings and documents",
		"Checks entries' settings and service documents offline and prints all faults. Keys and certificates are not read.",
		&commandline.Check{Settings: faults, Out: stdout})
	addDocument(root, env)
	addSoak(root, env)
	addAccount(root, env)
	addQuarantine(root, env)
	commandline.MustAdd(root, "explain", "Explain a request or a placement",
		"Prints what was decided about a request and why: ask the entry that served it. With --service, where the service's models run and why.",
		&explainCommand{operatorOptions: operatorOptions{environment: env}})
	return program.Run(args)
}

// environment holds the outputs of a command.
type environment struct {
	stdout io.Writer
	stderr io.Writer
}

// faults returns the faults of an entry's settings.
func faults(data []byte) []shared.Fault {
	_, faults := settings.Parse(data)
	return faults
}

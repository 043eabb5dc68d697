package command

import (
	"acaciacleat.example/entry/serve"
	"acaciacleat.example/entry/settings"
	"acaciacleat.example/peers/commandline"
	shared "acaciacleat.example/peers/settings"
)

// serveCommand runs an entry.
type serveCommand struct {
	*environment `no-flag:"true"`
	Settings     string `long:"settings" value-name:"FILE" required:"yes" description:"the entry's settings"`
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

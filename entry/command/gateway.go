package command

import (
	"os"
	"os/signal"
	"syscall"

	"acaciacleat.example/entry/gateway/node"
	"acaciacleat.example/entry/settings"
	"acaciacleat.example/peers/commandline"
	shared "acaciacleat.example/peers/settings"
	"acaciacleat.example/platform"
)

// gatewayCommand runs an entry on the users' platform.
type gatewayCommand struct {
	*environment `no-flag:"true"`
	Settings     string `long:"settings" value-name:"FILE" required:"yes" description:"the gateway's settings"`
}

// Execute implements flags.Commander.
func (c *gatewayCommand) Execute([]string) error {
	signals, release := commandline.Signals()
	defer release()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	return node.Run(c.Settings, openPlatform, node.Surroundings{Log: c.stdout, Signals: signals, Reload: reload})
}

func openPlatform(store settings.Store) node.Peer {
	client := platform.NewStore(store.Address, shared.Milliseconds(store.TimeoutMs))
	return node.Peer{
		Source:  platform.NewSource(client),
		Dialect: platform.Headers{},
		Store:   client,
		Tables:  platform.Tables,
	}
}

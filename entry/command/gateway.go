package command

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"acaciacleat.example/entry/gateway/node"
	"acaciacleat.example/entry/settings"
	"acaciacleat.example/peers/commandline"
	shared "acaciacleat.example/peers/settings"
	"acaciacleat.example/platform"
	"acaciacleat.example/platform/standin"
)

// gatewayCommand runs an entry that calls upstreams directly.
type gatewayCommand struct {
	*environment `no-flag:"true"`
	Settings     string `long:"settings" value-name:"FILE" required:"yes" description:"the gateway's settings"`
	StandIns     bool   `long:"with-standins" description:"also run stand-ins of the platform's store and of upstreams, for trying it on one machine"`
}

// The number of stand-ins of each service.
const (
	standInEngines = 4
	standInPlains  = 3
)

// Execute implements flags.Commander.
func (c *gatewayCommand) Execute([]string) error {
	signals, release := commandline.Signals()
	defer release()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	env := node.Environment{Log: c.stdout, Signals: signals, Reload: reload}
	if c.StandIns {
		standins, err := c.startStandIns()
		if err != nil {
			return err
		}
		defer standins.Stop()
		env.Started = c.printUsage
	}
	return node.Run(c.Settings, openPlatform, env)
}

func (c *gatewayCommand) startStandIns() (*standin.Deployment, error) {
	s, err := shared.ReadFile(c.Settings, settings.ParseGateway)
	if err != nil {
		return nil, err
	}
	return standin.Start(s.Store.Address, standInEngines, standInPlains)
}

// printUsage prints how to call the gateway.
func (c *gatewayCommand) printUsage(n *node.Node) {
	fmt.Fprint(c.stderr, standin.UsageText(n.CallersAddr(), n.MetricsAddr()))
}

func openPlatform(store settings.Store) node.Backend {
	client := platform.NewStore(store.Address, shared.Milliseconds(store.TimeoutMs))
	return node.Backend{
		Source:     platform.NewSource(client),
		Dialect:    platform.Headers{},
		Reserver:   platform.Orders{},
		Store:      client,
		Relays:     platform.TableRelays,
		Quarantine: platform.TableQuarantine,
	}
}

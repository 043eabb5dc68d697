package command

import (
	"fmt"
	"os"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/entry/dev"
	"acaciacleat.example/peers/commandline"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// devCommand runs everything in one process.
type devCommand struct {
	*environment   `no-flag:"true"`
	Listen         string `long:"listen" default:"127.0.0.1:8080" description:"address for callers"`
	OperatorListen string `long:"operator-listen" default:"127.0.0.1:8081" description:"address for operators"`
	Engines        int    `long:"engines" default:"4" description:"number of stand-in engines"`
	Plains         int    `long:"plains" default:"3" description:"number of stand-in plain services"`
	Entries        int    `long:"entries" default:"1" description:"number of entries; the first has the addresses given"`
	Policy         string `long:"policy" default:"combined" description:"routing and scheduling policy" choice:"naive" choice:"least-loaded" choice:"power-of-two" choice:"prefix-only" choice:"combined"`
	Objective      string `long:"objective" default:"time-to-first-token" description:"objective of the model service" choice:"time-to-first-token" choice:"short-slowdown"`
	OnlyStandIns   bool   `long:"only-standins" description:"run the stand-ins alone, to be used by processes that serve"`
	ListenPlatform string `long:"listen-platform" default:"127.0.0.1:9000" description:"with --only-standins, address of the platform; engines and plain services have the ports after it"`
	LogLevel       string `long:"log-level" default:"info" description:"least level that is logged" choice:"debug" choice:"info" choice:"warn" choice:"error"`
}

var _ flags.Commander = (*devCommand)(nil)

// Execute implements flags.Commander.
func (c *devCommand) Execute([]string) error {
	signals, release := commandline.Signals()
	defer release()
	if c.OnlyStandIns {
		return c.runStandIns(signals)
	}
	level, err := zerolog.ParseLevel(c.LogLevel)
	if err != nil {
		return errors.Wrap(err, "--log-level")
	}
	config := dev.DefaultConfig()
	config.Listen = c.Listen
	config.OperatorListen = c.OperatorListen
	config.Engines = c.Engines
	config.Plains = c.Plains
	config.Entries = c.Entries
	config.Policy = c.Policy
	config.Objective = document.Objective(c.Objective)
	config.Log = zerolog.New(c.stderr).Level(level).With().Timestamp().Logger()
	deployment, err := dev.Start(config)
	if err != nil {
		return err
	}
	fmt.Fprint(c.stdout, deployment.UsageText())
	commandline.DrainOnSignal(signals, deployment, devDrainLimit, config.Log)
	return nil
}

// devDrainLimit bounds a graceful shutdown. The stand-in engines answer all but the longest prompts
// in this time; a second signal ends the wait.
const devDrainLimit = 30 * time.Second

func (c *devCommand) runStandIns(signals <-chan os.Signal) error {
	standIns, err := dev.StartStandIns(dev.StandInsConfig{
		Listen:  c.ListenPlatform,
		Engines: c.Engines,
		Plains:  c.Plains,
	})
	if err != nil {
		return err
	}
	defer standIns.Stop()
	fmt.Fprint(c.stdout, standIns.UsageText())
	<-signals
	return nil
}

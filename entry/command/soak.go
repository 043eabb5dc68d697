package command

import (
	"context"
	"os"
	"time"

	"acaciacleat.example/peers/commandline"
	"acaciacleat.example/soak"
	"github.com/pkg/errors"
)

func addSoak(root commandline.Group, env *environment) {
	group := commandline.MustAdd(root, "soak", "Disrupt gateways on one machine and check what must hold",
		"Runs gateways as processes of their own before stand-ins of the platform, disrupts them and checks their promises.",
		&struct{}{})
	commandline.MustAdd(group, "run", "Run a plan drawn from a seed",
		"Draws disruptions from a seed and plays them. The same seed gives the same plan; which process gets its turn when is the machine's affair.",
		&soakRunCommand{soakCommand: soakCommand{environment: env}})
	commandline.MustAdd(group, "replay", "Run a plan that was kept",
		"Plays the plan.json of an earlier run, as it is or edited.",
		&soakReplayCommand{soakCommand: soakCommand{environment: env}})
}

// soakCommand holds the flag that both commands share.
type soakCommand struct {
	*environment `no-flag:"true"`
	Program      string `long:"program" value-name:"FILE" description:"the gateway program, such as that of another version; without it, this one"`
	Out          string `long:"out" value-name:"FOLDER" description:"where plan, logs and report are kept; without it, those of a run without violations are removed"`
}

// soakRunCommand runs plans generated from seeds.
type soakRunCommand struct {
	soakCommand
	Seed    uint64        `long:"seed" value-name:"N" default:"1" description:"what the plan is drawn from"`
	Runs    int           `long:"runs" value-name:"N" default:"1" description:"number of runs, each with the seed after the last one's"`
	For     time.Duration `long:"for" value-name:"D" default:"30s" description:"how long a run's traffic lasts; its last 8 s are without disruptions"`
	Entries int           `long:"entries" value-name:"N" default:"3" description:"number of gateway processes"`
	Feeds   bool          `long:"feeds" description:"change the configuration and the registry all the time, and disrupt only the paths to the store, one after the other"`
	CPU     int           `long:"cpu" value-name:"PERCENT" description:"with --feeds, the share of the time in which each gateway may run"`
}

// Execute implements flags.Commander.
func (c *soakRunCommand) Execute([]string) error {
	switch {
	case c.Entries < 1 || c.Runs < 1:
		return errors.New("--entries and --runs must be 1 or more")
	case c.CPU < 0 || c.CPU > 100:
		return errors.New("--cpu must be from 0 to 100 percent")
	}
	violations := 0
	for i := range c.Runs {
		plan, err := c.newPlan(c.Seed + uint64(i))
		if err != nil {
			return errors.Wrap(err, "--for")
		}
		n, err := c.runPlan(plan)
		if err != nil {
			return err
		}
		violations += n
	}
	return violationsError(violations)
}

func (c *soakRunCommand) newPlan(seed uint64) (*soak.Plan, error) {
	if c.Feeds {
		return soak.NewFeedPlan(seed, c.For, c.Entries, c.CPU)
	}
	return soak.NewPlan(seed, c.For, c.Entries)
}

// soakReplayCommand runs a saved plan.
type soakReplayCommand struct {
	soakCommand
	Args struct {
		Plan string `positional-arg-name:"PLAN" description:"a plan.json"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *soakReplayCommand) Execute([]string) error {
	plan, err := soak.ReadPlan(c.Args.Plan)
	if err != nil {
		return err
	}
	violations, err := c.runPlan(plan)
	if err != nil {
		return err
	}
	return violationsError(violations)
}

func violationsError(violations int) error {
	if violations > 0 {
		return errors.Errorf("%d promises broken", violations)
	}
	return nil
}

// runPlan runs one plan and returns the number of violations.
func (c *soakCommand) runPlan(plan *soak.Plan) (int, error) {
	signals, release := commandline.Signals()
	defer release()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	program, err := c.program()
	if err != nil {
		return 0, err
	}
	dir, err := os.MkdirTemp(c.Out, "soak-")
	if err != nil {
		return 0, errors.Wrap(err, "make the run's folder")
	}
	report, err := soak.Run(ctx, plan, program, dir)
	if err != nil {
		return 0, errors.Wrapf(err, "the run in %s", dir)
	}
	if ctx.Err() != nil {
		return 0, errors.New("the run was cut short by a signal")
	}
	report.Write(c.stdout)
	if len(report.Violations) > 0 {
		return len(report.Violations), c.reportKeptFolder(dir)
	}
	if c.Out == "" {
		return 0, errors.Wrap(os.RemoveAll(dir), "remove the run's folder")
	}
	return 0, nil
}

// program returns the path of the gateway program.
func (c *soakCommand) program() (string, error) {
	if c.Program != "" {
		return c.Program, nil
	}
	program, err := os.Executable()
	return program, errors.Wrap(err, "locate the executable")
}

// reportKeptFolder prints the folder with the plan, logs and report of a run.
func (c *soakCommand) reportKeptFolder(dir string) error {
	_, err := c.stdout.Write([]byte("kept in " + dir + "\n"))
	return errors.Wrap(err, "write the report")
}

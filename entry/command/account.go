package command

import (
	"os"

	"acaciacleat.example/entry/account"
	"acaciacleat.example/peers/commandline"
	"github.com/pkg/errors"
)

func addAccount(root commandline.Group, env *environment) {
	commandline.MustAdd(root, "account", "Tell from gateways' logs where requests were lost",
		"Counts the lines of requests in logs of gateways by kind and reason: late by a pause, by another upstream's failure, foreseen or not; refused and failed by result. Reads the files named, or standard input.",
		&accountCommand{environment: env})
}

// accountCommand counts the requests in gateways' logs.
type accountCommand struct {
	*environment `no-flag:"true"`
}

// Execute implements flags.Commander.
func (c *accountCommand) Execute(files []string) error {
	a := account.New()
	if len(files) == 0 {
		files = []string{os.Stdin.Name()}
	}
	for _, name := range files {
		if err := readLog(a, name); err != nil {
			return err
		}
	}
	return a.Write(c.stdout)
}

func readLog(a *account.Account, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open a log; name files that exist, or none for standard input")
	}
	defer file.Close()
	return errors.WithMessage(a.Read(file), name)
}

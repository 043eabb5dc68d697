package command

import (
	"context"
	"fmt"
	"net/netip"
	"text/tabwriter"
	"time"

	"acaciacleat.example/core/fingerprint"
	"acaciacleat.example/entry/quarantine"
	"acaciacleat.example/entry/settings"
	"acaciacleat.example/peers/commandline"
	"acaciacleat.example/peers/table"
	"acaciacleat.example/platform"
	"github.com/pkg/errors"
)

func addQuarantine(root commandline.Group, env *environment) {
	group := commandline.MustAdd(root, "quarantine", "Work with requests that are held back",
		"Shows and releases the requests, and the segments of prompts, that gateways hold back because upstreams crash under them.", &struct{}{})
	options := storeOptions{environment: env}
	commandline.MustAdd(group, "list", "List the requests", "Lists the requests that upstreams have crashed under, and which are held back. A row with a segment holds back all prompts that have it.",
		&quarantineListCommand{storeOptions: options})
	commandline.MustAdd(group, "release", "Release a request or a segment",
		"Ends what is held against a request or a segment. Gateways take it up within 30 s; crashes after that count anew.",
		&quarantineReleaseCommand{storeOptions: options})
}

// storeTimeout is the timeout of a command's call of the store.
const storeTimeout = 5 * time.Second

// storeOptions holds the flags of commands that use the platform's store.
type storeOptions struct {
	*environment `no-flag:"true"`
	Store        string `long:"store" value-name:"IP:PORT" required:"yes" description:"the platform's store"`
}

func (o *storeOptions) open() (table.Feed, error) {
	if addr, err := netip.ParseAddrPort(o.Store); err != nil || addr.Port() == 0 {
		return nil, errors.Errorf("--store: %q is not an IP address and a port, such as 10.200.1.7:8223", o.Store)
	}
	return openPlatform(settings.Store{Address: o.Store, TimeoutMs: int(storeTimeout.Milliseconds())}).Store, nil
}

// quarantineListCommand prints the rows of the quarantine.
type quarantineListCommand struct{ storeOptions }

// Execute implements flags.Commander.
func (c *quarantineListCommand) Execute([]string) error {
	store, err := c.open()
	if err != nil {
		return err
	}
	rows, faults, err := quarantine.List(context.Background(), store, platform.TableQuarantine)
	if err != nil {
		return errors.WithMessage(err, "read the quarantine")
	}
	w := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "FINGERPRINT\tWRITER\tCRASHES\tHELD UNTIL\tTIMES\tROUTE\tORGANISATION\tREQUEST\tSEGMENT")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d\t%s\t%s\t%s\t%s\n", r.Print, r.Writer, len(r.Crashes), heldUntil(&r), r.Times,
			orNone(r.Route), orNone(r.Organisation), orNone(r.Request), orNone(r.Segment))
	}
	for _, fault := range faults {
		fmt.Fprintln(c.stderr, fault)
	}
	return errors.Wrap(w.Flush(), "write the list")
}

func heldUntil(r *quarantine.Row) string {
	switch {
	case r.ReleasedMs > 0:
		return "released " + time.UnixMilli(r.ReleasedMs).UTC().Format(time.RFC3339)
	case r.HeldUntilMs > 0:
		return time.UnixMilli(r.HeldUntilMs).UTC().Format(time.RFC3339)
	default:
		return "suspected"
	}
}

// quarantineReleaseCommand releases a request.
type quarantineReleaseCommand struct {
	storeOptions
	Args struct {
		Fingerprint string `positional-arg-name:"FINGERPRINT" required:"yes" description:"as the list and the logs show it"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *quarantineReleaseCommand) Execute([]string) error {
	print, err := fingerprint.Parse(c.Args.Fingerprint)
	if err != nil {
		return errors.WithMessage(err, "FINGERPRINT")
	}
	store, err := c.open()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := quarantine.Release(ctx, store, platform.TableQuarantine, print); err != nil {
		return err
	}
	fmt.Fprintf(c.stdout, "%s is released; gateways take it up within 30 s\n", print)
	return nil
}

package commandline

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"acaciacleat.example/core/document"
	"acaciacleat.example/peers/settings"
	"github.com/pkg/errors"
)

// ErrFaults means that a checked file has faults, which have been printed.
var ErrFaults = errors.New("faults found")

// Check is the command that checks settings and service documents offline.
type Check struct {
	// Settings returns the faults of the program's own settings.
	Settings func([]byte) []settings.Fault `no-flag:"true"`
	// Out takes one line for each fault and for each file without any.
	Out  io.Writer `no-flag:"true"`
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`

	documents []*document.Service
	// together counts the faults between the documents checked so far.
	together int
}

// Execute implements flags.Commander. Documents of one call are also checked against
// each other.
func (c *Check) Execute([]string) error {
	broken := 0
	for _, file := range c.Args.Files {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		what, faults := c.check(data)
		for _, fault := range faults {
			fmt.Fprintf(c.Out, "%s: %s\n", file, fault)
		}
		if len(faults) > 0 {
			broken++
			continue
		}
		fmt.Fprintf(c.Out, "%s: %s without faults\n", file, what)
	}
	if broken > 0 {
		return errors.Wrapf(ErrFaults, "%d of %d files", broken, len(c.Args.Files))
	}
	return nil
}

func (c *Check) check(data []byte) (what string, faults []settings.Fault) {
	if !isDocument(data) {
		return "settings", c.Settings(data)
	}
	service, faults := document.Parse(data)
	if service == nil {
		return "document", faults
	}
	c.documents = append(c.documents, service)
	all := document.CheckConflicts(c.documents)
	faults = all[c.together:]
	c.together = len(all)
	return "document", faults
}

// isDocument tells a document from settings by the fields that only documents have.
func isDocument(data []byte) bool {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return false
	}
	return fields["organisations"] != nil || fields["kind"] != nil
}

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

// ErrFaults means that a checked file has faults, which Check has printed.
var ErrFaults = errors.New("faults found")

// Check is the command that validates settings and service documents offline.
type Check struct {
	// Settings returns the faults of a settings file of the program.
	Settings func([]byte) []settings.Fault `no-flag:"true"`
	// Out receives one line for each fault and for each valid file.
	Out  io.Writer `no-flag:"true"`
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`

	documents []*document.Service
	// crossFaults is the number of conflicts among the documents checked so far.
	crossFaults int
}

// Execute implements flags.Commander. It also checks the documents of one call against
// each other.
func (c *Check) Execute([]string) error {
	invalid := 0
	for _, file := range c.Args.Files {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		kind, faults := c.check(data)
		for _, fault := range faults {
			fmt.Fprintf(c.Out, "%s: %s\n", file, fault)
		}
		if len(faults) > 0 {
			invalid++
			continue
		}
		fmt.Fprintf(c.Out, "%s: %s without faults\n", file, kind)
	}
	if invalid > 0 {
		return errors.Wrapf(ErrFaults, "%d of %d files", invalid, len(c.Args.Files))
	}
	return nil
}

func (c *Check) check(data []byte) (kind string, faults []settings.Fault) {
	if !isDocument(data) {
		return "settings", c.Settings(data)
	}
	service, faults := document.Parse(data)
	if service == nil {
		return "document", faults
	}
	c.documents = append(c.documents, service)
	all := document.CheckConflicts(c.documents)
	faults = all[c.crossFaults:]
	c.crossFaults = len(all)
	return "document", faults
}

// isDocument distinguishes a document from settings by the fields that only documents have.
func isDocument(data []byte) bool {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return false
	}
	return fields["organisations"] != nil || fields["kind"] != nil
}

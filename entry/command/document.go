package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/peers/commandline"
	"acaciacleat.example/peers/operator"
	"acaciacleat.example/peers/settings"
	"github.com/pkg/errors"
)

// operatorOptions holds the flags of commands that call an entry's address for operators.
type operatorOptions struct {
	*environment `no-flag:"true"`
	Operator     string `long:"operator" value-name:"URL" env:"ACACIACLEAT_OPERATOR" default:"http://127.0.0.1:8081" description:"an entry's address for operators"`
	CAFile       string `long:"ca-file" value-name:"FILE" description:"certificates to trust in addition to the system's, in PEM"`
}

func (o *operatorOptions) client() (*operator.Client, error) {
	return operator.NewClient(o.Operator, o.CAFile)
}

func (o *operatorOptions) printJSON(value any) error {
	encoder := json.NewEncoder(o.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func addDocument(root commandline.Group, env *environment) {
	group := commandline.MustAdd(root, "document", "Work with service documents",
		"Reads and changes the documents of services at an entry's address for operators.", &struct{}{})
	options := operatorOptions{environment: env}
	commandline.MustAdd(group, "list", "List the documents", "Lists the documents of all services.", &listCommand{operatorOptions: options})
	commandline.MustAdd(group, "get", "Print a document", "Prints the document of a service.", &getCommand{operatorOptions: options})
	commandline.MustAdd(group, "put", "Store a document",
		"Shows the differences from the stored document and stores the new one, unless another operator changed it meanwhile.",
		&putCommand{operatorOptions: options})
	commandline.MustAdd(group, "diff", "Compare a document", "Shows what put would change.", &diffCommand{operatorOptions: options})
	commandline.MustAdd(group, "status", "Show the rollout of a document", "Shows the revision that the entry applies and which live entries have not applied it yet.",
		&statusCommand{operatorOptions: options})
	commandline.MustAdd(group, "history", "Show a document's changes", "Shows the last changes of a document, newest first.",
		&historyCommand{operatorOptions: options})
}

// serviceArg is the argument of commands about a service.
type serviceArg struct {
	Service string `positional-arg-name:"SERVICE" required:"yes"`
}

// fileArg is the argument of commands that read a document from a file.
type fileArg struct {
	File string `positional-arg-name:"FILE" required:"yes"`
}

// listCommand lists all documents.
type listCommand struct{ operatorOptions }

// Execute implements flags.Commander.
func (c *listCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	list, err := client.List(context.Background())
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tKIND\tETAG\tORGANISATIONS\tMODELS")
	for _, s := range list {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\n", s.Service, s.Kind, s.ETag, s.Organisations, strings.Join(s.Models, ", "))
	}
	return table.Flush()
}

// getCommand prints one document.
type getCommand struct {
	operatorOptions
	Args serviceArg `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	service, tag, err := client.Get(context.Background(), c.Args.Service)
	if err != nil {
		return err
	}
	if service == nil {
		return errors.Errorf("service %q has no document", c.Args.Service)
	}
	fmt.Fprintf(c.stderr, "ETag: %s\n", tag)
	return c.printJSON(service)
}

// statusCommand prints the revision that the entry applies and which live entries have not applied it.
type statusCommand struct {
	operatorOptions
	Args serviceArg `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	status, err := client.Status(context.Background(), c.Args.Service)
	if err != nil {
		return err
	}
	return c.printJSON(status)
}

// historyCommand prints the last changes of a document.
type historyCommand struct {
	operatorOptions
	Limit int        `long:"limit" default:"20" description:"number of changes"`
	Args  serviceArg `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	changes, err := client.History(context.Background(), c.Args.Service, c.Limit)
	if err != nil {
		return err
	}
	for _, change := range changes {
		fmt.Fprintf(c.stdout, "revision %d, %s\n", change.Revision, change.At.UTC().Format(time.RFC3339))
		printDiff(c.stdout, change.Diff)
	}
	return nil
}

// explainCommand prints the decisions about a request, or about the placement of a service's
// models.
type explainCommand struct {
	operatorOptions
	Service string `long:"service" description:"explain the placement of a service's models instead of a request"`
	Args    struct {
		RequestID string `positional-arg-name:"REQUEST-ID"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if (c.Service == "") == (c.Args.RequestID == "") {
		return commandline.NewUsageError("explain takes either REQUEST-ID or --service NAME")
	}
	explain := client.Explain
	name := c.Args.RequestID
	if c.Service != "" {
		explain, name = client.ExplainService, c.Service
	}
	explanation, err := explain(context.Background(), name)
	if err != nil {
		return err
	}
	return c.printJSON(explanation)
}

// readDocument reads a document from a file and parses it strictly; the error lists all faults.
func readDocument(file string) (*document.Service, error) {
	return settings.ReadFile(file, document.Parse)
}

func printDiff(out io.Writer, diff []document.Change) {
	for _, change := range diff {
		fmt.Fprintf(out, "  %s\n", change)
	}
}

package command

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"acaciacleat.example/core/document"
	"acaciacleat.example/peers/operator"
	"github.com/pkg/errors"
)

// comparison is a document in a file beside the one that stands.
type comparison struct {
	client *operator.Client
	wanted *document.Service
	// tag is the ETag of the document that stands; empty when there is none.
	tag  string
	diff []document.Change
}

// compare reads a file and the document that stands, and prints the differences.
func (r *remote) compare(file string) (*comparison, error) {
	wanted, err := readDocument(file)
	if err != nil {
		return nil, err
	}
	client, err := r.client()
	if err != nil {
		return nil, err
	}
	stands, tag, err := client.Get(context.Background(), wanted.Name)
	if err != nil {
		return nil, err
	}
	c := &comparison{client: client, wanted: wanted, tag: tag, diff: document.Diff(stands, wanted)}
	if len(c.diff) == 0 {
		fmt.Fprintf(r.stdout, "%s: no differences\n", wanted.Name)
		return c, nil
	}
	fmt.Fprintf(r.stdout, "%s: changes to the document that stands, ETag %s\n", wanted.Name, orNone(tag))
	printDiff(r.stdout, c.diff)
	return c, nil
}

func orNone(tag string) string {
	if tag == "" {
		return "none"
	}
	return tag
}

// diffCommand shows what put would change.
type diffCommand struct {
	remote
	Args fileArg `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	_, err := c.compare(c.Args.File)
	return err
}

// putCommand stores a document.
type putCommand struct {
	remote
	IfMatch string  `long:"if-match" value-name:"ETAG" description:"ETag of the document that the file is based on; default: of the one that stands now"`
	Args    fileArg `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *putCommand) Execute([]string) error {
	compared, err := c.compare(c.Args.File)
	if err != nil {
		return err
	}
	base := compared.tag
	if c.IfMatch != "" {
		base = quoted(c.IfMatch)
	}
	answer, err := compared.client.Put(context.Background(), compared.wanted, base)
	if err != nil {
		return c.explainFailure(err)
	}
	fmt.Fprintf(c.stdout, "%s: %s, revision %d, ETag %s\n", compared.wanted.Name, answer.Outcome, answer.Revision, answer.ETag)
	for _, missing := range answer.Missing {
		fmt.Fprintf(c.stdout, "  %s\n", missing)
	}
	return nil
}

// quoted returns an ETag with its quotes, which the shell or the flags' parser may have
// taken away.
func quoted(tag string) string {
	if tag == operator.AnyTag || strings.HasPrefix(tag, `"`) {
		return tag
	}
	return strconv.Quote(tag)
}

// explainFailure prints the faults or the differences that a refusal carries.
func (c *putCommand) explainFailure(err error) error {
	var problem *operator.Problem
	if !errors.As(err, &problem) {
		return err
	}
	for _, fault := range problem.Faults {
		fmt.Fprintln(c.stderr, fault)
	}
	if problem.Conflict != nil {
		fmt.Fprintf(c.stderr, "changed meanwhile; from the document that stands now, ETag %s, to yours:\n", orNone(problem.Conflict.Current))
		printDiff(c.stderr, problem.Conflict.Diff)
	}
	return err
}

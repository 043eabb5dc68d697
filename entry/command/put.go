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

// comparison compares a document in a file with the stored one.
type comparison struct {
	client  *operator.Client
	desired *document.Service
	// tag is the ETag of the stored document; empty if there is none.
	tag  string
	diff []document.Change
}

// compare reads a document from a file and the stored one, and prints the differences.
func (o *operatorOptions) compare(file string) (*comparison, error) {
	desired, err := readDocument(file)
	if err != nil {
		return nil, err
	}
	client, err := o.client()
	if err != nil {
		return nil, err
	}
	stored, tag, err := client.Get(context.Background(), desired.Name)
	if err != nil {
		return nil, err
	}
	c := &comparison{client: client, desired: desired, tag: tag, diff: document.Diff(stored, desired)}
	if len(c.diff) == 0 {
		fmt.Fprintf(o.stdout, "%s: no differences\n", desired.Name)
		return c, nil
	}
	fmt.Fprintf(o.stdout, "%s: changes to the stored document, ETag %s\n", desired.Name, orNone(tag))
	printDiff(o.stdout, c.diff)
	return c, nil
}

func orNone(tag string) string {
	if tag == "" {
		return "none"
	}
	return tag
}

// diffCommand prints the changes that put would make.
type diffCommand struct {
	operatorOptions
	Args fileArg `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	_, err := c.compare(c.Args.File)
	return err
}

// putCommand stores a document.
type putCommand struct {
	operatorOptions
	IfMatch string  `long:"if-match" value-name:"ETAG" description:"ETag of the document that the file is based on; default: of the stored document"`
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
	answer, err := compared.client.Put(context.Background(), compared.desired, base)
	if err != nil {
		return c.explainFailure(err)
	}
	fmt.Fprintf(c.stdout, "%s: %s, revision %d, ETag %s\n", compared.desired.Name, answer.Outcome, answer.Revision, answer.ETag)
	for _, missing := range answer.Missing {
		fmt.Fprintf(c.stdout, "  %s\n", missing)
	}
	return nil
}

// quoted returns an ETag with its quotes, which the shell or the flag parser may have removed.
func quoted(tag string) string {
	if tag == operator.AnyTag || strings.HasPrefix(tag, `"`) {
		return tag
	}
	return strconv.Quote(tag)
}

// explainFailure prints the faults or the differences in a refusal. It returns err.
func (c *putCommand) explainFailure(err error) error {
	var problem *operator.Problem
	if !errors.As(err, &problem) {
		return err
	}
	for _, fault := range problem.Faults {
		fmt.Fprintln(c.stderr, fault)
	}
	if problem.Conflict != nil {
		fmt.Fprintf(c.stderr, "changed meanwhile; from the stored document, ETag %s, to yours:\n", orNone(problem.Conflict.Current))
		printDiff(c.stderr, problem.Conflict.Diff)
	}
	return err
}

// Package account counts the requests in gateways' logs by kind and by the reason why they were
// served late, refused or failed.
package account

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Reason is how a request ended. Refusals and failures that have no constant here are named after
// their execution and result.
type Reason string

// The reasons of requests that were served or whose caller left.
const (
	InTime Reason = "good"
	// LatePause is a stream that began in time and then paused for too long.
	LatePause Reason = "late: pause"
	// LateAfterRetry is a late request that was tried at another upstream before.
	LateAfterRetry Reason = "late: after another upstream"
	// LatePredicted is a late request that was predicted to be late when it was placed;
	// LateUnpredicted is one that was predicted to be in time.
	LatePredicted   Reason = "late: foreseen"
	LateUnpredicted Reason = "late: not foreseen"
	// CallerLeft is a request whose caller disconnected before the end.
	CallerLeft Reason = "caller left"
)

// line holds the fields that are read from a request's log line.
type line struct {
	Message       string
	Result        string
	Execution     string
	TookMs        int64 `json:"took_ms"`
	TargetMs      int64 `json:"aim_ms"`
	PromptTokens  int64 `json:"prompt_tokens"`
	PauseMs       int64 `json:"pause_ms"`
	TargetPauseMs int64 `json:"good_pause_ms"`
	Tries         []struct {
		ExpectedMs int64 `json:"expected_ms"`
		FirstMs    int64 `json:"first_ms"`
		HeldMs     int64 `json:"held_ms"`
	}
	Lines int64
}

// requestEndedMessage is the message of a request's log line, linesOmittedMessage that of a line
// with the number of omitted ones.
const (
	requestEndedMessage = "request ended"
	linesOmittedMessage = "lines of requests that were served were left out"
)

// kind groups requests to engines or plain services that have the same target latency.
type kind struct {
	targetMs int64
	engine   bool
}

func (k kind) String() string {
	if k.engine {
		return fmt.Sprintf("prompts, aim %d ms", k.targetMs)
	}
	return fmt.Sprintf("plain, aim %d ms", k.targetMs)
}

// total holds the totals of the requests of one kind and reason.
type total struct {
	count  int
	tokens int64
	heldMs int64
}

// Account counts requests by kind and reason.
type Account struct {
	totals map[kind]map[Reason]*total
	// omitted is the number of lines of served requests that the logs omit.
	omitted int64
}

// New returns an empty Account.
func New() *Account { return &Account{totals: make(map[kind]map[Reason]*total)} }

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Read counts the requests in a log. It ignores text before a line's JSON object, so that a log may
// combine those of several processes, with a time and a name before each line.
func (a *Account) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		begin := bytes.IndexByte(text, '{')
		var l line
		if begin < 0 || json.Unmarshal(text[begin:], &l) != nil {
			continue
		}
		switch l.Message {
		case requestEndedMessage:
			a.add(&l)
		case linesOmittedMessage:
			a.omitted += l.Lines
		}
	}
	return errors.Wrap(scanner.Err(), "read the log")
}

func (a *Account) add(l *line) {
	k := kind{targetMs: l.TargetMs, engine: l.PromptTokens > 0}
	if a.totals[k] == nil {
		a.totals[k] = make(map[Reason]*total)
	}
	reason := l.reason()
	s := a.totals[k][reason]
	if s == nil {
		s = &total{}
		a.totals[k][reason] = s
	}
	s.count++
	s.tokens += l.PromptTokens
	for _, t := range l.Tries {
		s.heldMs += t.HeldMs
	}
}

func (l *line) reason() Reason {
	switch {
	case l.Result == "caller_gone":
		return CallerLeft
	case l.Result != "":
		return Reason(l.Execution + ": " + l.Result)
	case len(l.Tries) == 0:
		return InTime
	}
	last := l.Tries[len(l.Tries)-1]
	took := l.TookMs
	if l.PromptTokens > 0 {
		took = last.FirstMs
	}
	switch {
	case l.TargetMs > 0 && took > l.TargetMs && len(l.Tries) > 1:
		return LateAfterRetry
	case l.TargetMs > 0 && took > l.TargetMs && last.ExpectedMs > l.TargetMs:
		return LatePredicted
	case l.TargetMs > 0 && took > l.TargetMs:
		return LateUnpredicted
	case l.TargetPauseMs > 0 && l.PauseMs > l.TargetPauseMs:
		return LatePause
	default:
		return InTime
	}
}

// Write writes a table with the reasons of each kind, the most frequent first.
func (a *Account) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "kind\treason\trequests\tshare\tprompt tokens\theld ms, mean")
	kinds := slices.SortedFunc(maps.Keys(a.totals), func(x, y kind) int {
		return cmp.Or(cmp.Compare(x.targetMs, y.targetMs), cmp.Compare(x.String(), y.String()))
	})
	for _, k := range kinds {
		all := 0
		for _, s := range a.totals[k] {
			all += s.count
		}
		reasons := slices.SortedFunc(maps.Keys(a.totals[k]), func(x, y Reason) int {
			return cmp.Or(cmp.Compare(a.totals[k][y].count, a.totals[k][x].count), cmp.Compare(x, y))
		})
		for _, r := range reasons {
			s := a.totals[k][r]
			fmt.Fprintf(table, "%s\t%s\t%d\t%.3f\t%d\t%d\n", k, r, s.count, float64(s.count)/float64(all), s.tokens, s.heldMs/int64(s.count))
		}
	}
	if a.omitted > 0 {
		fmt.Fprintf(table, "lines of served requests that the logs left out\t\t%d\n", a.omitted)
	}
	return errors.Wrap(table.Flush(), "write the account")
}

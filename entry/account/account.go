// Package account tells from gateways' log lines where requests were lost: by kind and by reason.
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

// Reason says how a request ended, or what it was lost by. Refusals and failures that have no
// constant here bear their result's name.
type Reason string

// The reasons of requests that were served.
const (
	Good Reason = "good"
	// Paused streams began in time and paused for too long.
	Paused Reason = "late: pause"
	// Elsewhere is late after another upstream had been left.
	Elsewhere Reason = "late: after another upstream"
	// Foreseen is late as was expected when it was placed, Unforeseen though it was expected
	// in time.
	Foreseen   Reason = "late: foreseen"
	Unforeseen Reason = "late: not foreseen"
	// Gone callers have left before the end.
	Gone Reason = "caller left"
)

// line is what is read of a request's line.
type line struct {
	Message      string
	Result       string
	Execution    string
	TookMs       int64 `json:"took_ms"`
	AimMs        int64 `json:"aim_ms"`
	PromptTokens int64 `json:"prompt_tokens"`
	PauseMs      int64 `json:"pause_ms"`
	GoodPauseMs  int64 `json:"good_pause_ms"`
	Tries        []struct {
		ExpectedMs int64 `json:"expected_ms"`
		FirstMs    int64 `json:"first_ms"`
		HeldMs     int64 `json:"held_ms"`
	}
	Lines int64
}

// message is that of a request's line; omitted that of lines which tell how many were left out.
const (
	message = "request ended"
	omitted = "lines of requests that were served were left out"
)

// kind groups requests that have the same aim.
type kind struct {
	aimMs  int64
	engine bool
}

func (k kind) String() string {
	if k.engine {
		return fmt.Sprintf("prompts, aim %d ms", k.aimMs)
	}
	return fmt.Sprintf("plain, aim %d ms", k.aimMs)
}

// sum is what requests of one kind and reason come to.
type sum struct {
	count  int
	tokens int64
	heldMs int64
}

// Account counts lines.
type Account struct {
	sums map[kind]map[Reason]*sum
	// omitted is how many lines of served requests the logs left out.
	omitted int64
}

// New returns an empty Account.
func New() *Account { return &Account{sums: make(map[kind]map[Reason]*sum)} }

// longestLine bounds a line of a log, in bytes.
const longestLine = 1 << 20

// Read counts the lines of a log. What stands before a line's JSON object is passed over, so
// that logs may be those of several processes, with the time and name of each in front.
func (a *Account) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		begin := bytes.IndexByte(text, '{')
		var l line
		if begin < 0 || json.Unmarshal(text[begin:], &l) != nil {
			continue
		}
		switch l.Message {
		case message:
			a.add(&l)
		case omitted:
			a.omitted += l.Lines
		}
	}
	return errors.Wrap(scanner.Err(), "read the log")
}

func (a *Account) add(l *line) {
	k := kind{aimMs: l.AimMs, engine: l.PromptTokens > 0}
	if a.sums[k] == nil {
		a.sums[k] = make(map[Reason]*sum)
	}
	reason := l.reason()
	s := a.sums[k][reason]
	if s == nil {
		s = &sum{}
		a.sums[k][reason] = s
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
		return Gone
	case l.Result != "":
		return Reason(l.Execution + ": " + l.Result)
	case len(l.Tries) == 0:
		return Good
	}
	last := l.Tries[len(l.Tries)-1]
	took := l.TookMs
	if l.PromptTokens > 0 {
		took = last.FirstMs
	}
	switch {
	case l.AimMs > 0 && took > l.AimMs && len(l.Tries) > 1:
		return Elsewhere
	case l.AimMs > 0 && took > l.AimMs && last.ExpectedMs > l.AimMs:
		return Foreseen
	case l.AimMs > 0 && took > l.AimMs:
		return Unforeseen
	case l.GoodPauseMs > 0 && l.PauseMs > l.GoodPauseMs:
		return Paused
	default:
		return Good
	}
}

// Write writes the account as a table: for each kind its reasons, the most frequent first.
func (a *Account) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "kind\treason\trequests\tshare\tprompt tokens\theld ms, mean")
	kinds := slices.SortedFunc(maps.Keys(a.sums), func(x, y kind) int {
		return cmp.Or(cmp.Compare(x.aimMs, y.aimMs), cmp.Compare(x.String(), y.String()))
	})
	for _, k := range kinds {
		all := 0
		for _, s := range a.sums[k] {
			all += s.count
		}
		reasons := slices.SortedFunc(maps.Keys(a.sums[k]), func(x, y Reason) int {
			return cmp.Or(cmp.Compare(a.sums[k][y].count, a.sums[k][x].count), cmp.Compare(x, y))
		})
		for _, r := range reasons {
			s := a.sums[k][r]
			fmt.Fprintf(table, "%s\t%s\t%d\t%.3f\t%d\t%d\n", k, r, s.count, float64(s.count)/float64(all), s.tokens, s.heldMs/int64(s.count))
		}
	}
	if a.omitted > 0 {
		fmt.Fprintf(table, "lines of served requests that the logs left out\t\t%d\n", a.omitted)
	}
	return errors.Wrap(table.Flush(), "write the account")
}

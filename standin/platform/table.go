package platform

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"acaciacleat.example/peers/table"
	"acaciacleat.example/standin/faults"
)

var (
	tableReadFailures   = failures{refused: table.ErrUnavailable, lost: table.ErrUnavailable}
	tableCommitFailures = failures{refused: table.ErrUnavailable, lost: table.ErrUnknownOutcome}
)

// Table is the table service in memory. One counter provides all versions, so the version of a row
// increases even across its deletion.
type Table struct {
	// faults holds the injected faults of all operations.
	faults *faults.Table

	mu       sync.Mutex
	tables   map[string]*rowSet
	revision uint64
	lag      time.Duration
	// resultsByToken holds the results of the commits of at least the last table.TokenMemory.
	resultsByToken map[string]commitResult
	// tokenOrder holds the tokens, oldest first, so that expired ones can be removed.
	tokenOrder []tokenTime
}

var _ table.Store = (*Table)(nil)

type commitResult struct {
	versions []uint64
	err      error
}

type tokenTime struct {
	token string
	at    time.Time
}

// NewTable returns an empty table service.
func NewTable(f *faults.Table) *Table {
	return &Table{
		faults:         f,
		tables:         make(map[string]*rowSet),
		resultsByToken: make(map[string]commitResult),
	}
}

// SetReplicaLag sets the lag of the replica that serves stale reads. After an increase, stale reads
// may miss a row that was written within the new lag, because its older states have been dropped
// according to the previous lag.
func (t *Table) SetReplicaLag(lag time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lag = lag
}

// Get implements table.Store.
func (t *Table) Get(ctx context.Context, key table.Key, consistency table.Consistency) (table.Row, error) {
	return inject(ctx, t.faults, OpTableGet, tableReadFailures, func() (table.Row, error) {
		return t.get(key, consistency)
	})
}

// Scan implements table.Store.
func (t *Table) Scan(ctx context.Context, name, prefix, after string, limit int, consistency table.Consistency) ([]table.Row, error) {
	return inject(ctx, t.faults, OpTableScan, tableReadFailures, func() ([]table.Row, error) {
		return t.scan(name, prefix, after, limit, consistency)
	})
}

// Commit implements table.Store.
func (t *Table) Commit(ctx context.Context, tx table.Tx) ([]uint64, error) {
	return inject(ctx, t.faults, OpTableCommit, tableCommitFailures, func() ([]uint64, error) {
		return t.commit(tx)
	})
}

func (t *Table) get(key table.Key, consistency table.Consistency) (table.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	asOf, err := t.asOf(consistency)
	if err != nil {
		return table.Row{}, err
	}
	row, ok := t.rowsOf(key.Table).read(key.Row, asOf)
	if !ok {
		return table.Row{}, table.ErrNotFound
	}
	return row, nil
}

func (t *Table) scan(name, prefix, after string, limit int, consistency table.Consistency) ([]table.Row, error) {
	if limit < 1 {
		return nil, errors.WithMessage(table.ErrInvalid, "limit is below 1")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	asOf, err := t.asOf(consistency)
	if err != nil {
		return nil, err
	}
	rows := []table.Row{}
	set := t.rowsOf(name)
	first, _ := slices.BinarySearch(set.names, max(prefix, after))
	for _, rowName := range set.names[first:] {
		if !strings.HasPrefix(rowName, prefix) || len(rows) == limit {
			break
		}
		if row, ok := set.read(rowName, asOf); ok && rowName > after {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// asOf returns the time whose state a read returns.
func (t *Table) asOf(consistency table.Consistency) (time.Time, error) {
	switch consistency {
	case table.Latest:
		return time.Now(), nil
	case table.Stale:
		return time.Now().Add(-t.lag), nil
	default:
		return time.Time{}, errors.WithMessagef(table.ErrInvalid, "consistency %q", consistency)
	}
}

func (t *Table) commit(tx table.Tx) ([]uint64, error) {
	if err := validate(tx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.expireTokens(now)
	if recorded, ok := t.resultsByToken[tx.Token]; ok {
		return slices.Clone(recorded.versions), recorded.err
	}
	result := t.apply(tx, now)
	t.resultsByToken[tx.Token] = result
	t.tokenOrder = append(t.tokenOrder, tokenTime{tx.Token, now})
	return slices.Clone(result.versions), result.err
}

func (t *Table) expireTokens(now time.Time) {
	for len(t.tokenOrder) > 0 && now.Sub(t.tokenOrder[0].at) > table.TokenMemory {
		delete(t.resultsByToken, t.tokenOrder[0].token)
		t.tokenOrder = t.tokenOrder[1:]
	}
}

func (t *Table) apply(tx table.Tx, now time.Time) commitResult {
	for _, condition := range tx.Conditions {
		row, _ := t.rowsOf(condition.Key.Table).read(condition.Key.Row, now)
		if row.Version != condition.Version {
			return commitResult{err: table.ErrConflict}
		}
	}
	versions := make([]uint64, 0, len(tx.Writes))
	for _, write := range tx.Writes {
		t.revision++
		row := table.Row{Key: write.Key, Version: t.revision, Token: tx.Token, Value: bytes.Clone(write.Value)}
		t.rowsOf(write.Key.Table).write(change{at: now, row: row, deleted: write.Delete}, now.Add(-t.lag))
		versions = append(versions, t.revision)
	}
	return commitResult{versions: versions}
}

func (t *Table) rowsOf(name string) *rowSet {
	set, ok := t.tables[name]
	if !ok {
		set = &rowSet{history: make(map[string][]change)}
		t.tables[name] = set
	}
	return set
}

func validate(tx table.Tx) error {
	if tx.Token == "" {
		return errors.WithMessage(table.ErrInvalid, "no client token")
	}
	written := make(map[table.Key]bool, len(tx.Writes))
	for _, write := range tx.Writes {
		if write.Key.Table == "" || write.Key.Row == "" {
			return errors.WithMessage(table.ErrInvalid, "a write names no row")
		}
		if written[write.Key] {
			return errors.WithMessagef(table.ErrInvalid, "row %q is written twice", write.Key.Row)
		}
		written[write.Key] = true
	}
	return nil
}

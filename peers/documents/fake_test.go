package documents

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/peers/objects"
	"acaciacleat.example/peers/table"
	"github.com/cenkalti/backoff/v5"
	"github.com/stretchr/testify/require"
)

// fakeTable is an in-memory table with hooks that can lose responses. It is not safe for concurrent
// use.
type fakeTable struct {
	rows    map[table.Key]table.Row
	applied map[string][]uint64
	commits int
	// before runs before an operation is applied and after runs once it has been applied. If one of
	// them returns an error, the operation returns it.
	before, after func(operation string) error
}

func newFakeTable() *fakeTable {
	none := func(string) error { return nil }
	return &fakeTable{rows: map[table.Key]table.Row{}, applied: map[string][]uint64{}, before: none, after: none}
}

func (f *fakeTable) Get(_ context.Context, key table.Key, _ table.Consistency) (table.Row, error) {
	if err := f.before("get"); err != nil {
		return table.Row{}, err
	}
	row, ok := f.rows[key]
	if !ok {
		return row, table.ErrNotFound
	}
	return row, f.after("get")
}

func (f *fakeTable) Scan(_ context.Context, name, prefix, after string, limit int, _ table.Consistency) ([]table.Row, error) {
	if err := f.before("scan"); err != nil {
		return nil, err
	}
	var rows []table.Row
	for _, row := range f.rows {
		if row.Key.Table == name && strings.HasPrefix(row.Key.Row, prefix) && row.Key.Row > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b table.Row) int { return strings.Compare(a.Key.Row, b.Key.Row) })
	return rows[:min(limit, len(rows))], f.after("scan")
}

func (f *fakeTable) Commit(_ context.Context, tx table.Tx) ([]uint64, error) {
	if err := f.before("commit"); err != nil {
		return nil, err
	}
	if versions, ok := f.applied[tx.Token]; ok {
		return versions, f.after("commit")
	}
	for _, condition := range tx.Conditions {
		if f.rows[condition.Key].Version != condition.Version {
			return nil, table.ErrConflict
		}
	}
	f.commits++
	versions := make([]uint64, len(tx.Writes))
	for i, write := range tx.Writes {
		if write.Delete {
			delete(f.rows, write.Key)
			continue
		}
		versions[i] = f.rows[write.Key].Version + 1
		f.rows[write.Key] = table.Row{Key: write.Key, Version: versions[i], Token: tx.Token, Value: write.Value}
	}
	f.applied[tx.Token] = versions
	return versions, f.after("commit")
}

type fakeObjects map[string][]byte

func (f fakeObjects) Get(_ context.Context, name string) ([]byte, error) {
	if data, ok := f[name]; ok {
		return data, nil
	}
	return nil, objects.ErrNotFound
}

func (f fakeObjects) Put(_ context.Context, name string, data []byte) error {
	f[name] = data
	return nil
}

func (f fakeObjects) Delete(_ context.Context, name string) error {
	delete(f, name)
	return nil
}

// tokens is the number of tokens issued so far; it makes each token unique.
var tokens int

// newStore returns a store that resolves an unknown outcome in at most five attempts.
func newStore(f *fakeTable, o fakeObjects) *Store {
	return New(Config{
		Table: f, Objects: o,
		Token:   func() string { tokens++; return strconv.Itoa(tokens) },
		Now:     func() time.Time { return time.Unix(0, 0) },
		Backoff: func() backoff.BackOff { return &limitedBackoff{retries: 4} },
	})
}

type limitedBackoff struct{ retries int }

func (b *limitedBackoff) Reset() {}

func (b *limitedBackoff) NextBackOff() time.Duration {
	if b.retries--; b.retries < 0 {
		return backoff.Stop
	}
	return 0
}

// service returns a document with the named organisations, each of which has one key.
func service(name string, replicas int, organisations ...string) *document.Service {
	models := []document.Model{{Name: name + "-1", Version: "1", Replicas: replicas, ContextTokens: 1, EngineTokens: 1}}
	s := &document.Service{Name: name, Kind: document.KindModel, Models: models}
	for _, organisation := range organisations {
		row := document.Organisation{Name: organisation, KeyHashes: []string{document.HashKey(organisation).String()}}
		s.Organisations = append(s.Organisations, row)
	}
	return s
}

func mustPut(t require.TestingT, s *Store, d *document.Service, ifMatch string) document.Revision {
	revision, conflict, err := s.Put(context.Background(), d, ifMatch)
	require.NoError(t, err)
	require.Nil(t, conflict)
	return revision
}

func requireSameState(t require.TestingT, want, got *State) {
	require.Equal(t, want.Revision(), got.Revision())
	require.Equal(t, want.changed, got.changed)
	for _, name := range slices.Sorted(maps.Keys(want.changed)) {
		require.Empty(t, document.Diff(want.Snapshot.Service(name), got.Snapshot.Service(name)))
	}
}

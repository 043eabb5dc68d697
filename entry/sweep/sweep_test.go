package sweep

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/idempotency"
	"acaciacleat.example/peers/documents"
	"acaciacleat.example/peers/table"
	"acaciacleat.example/standin/faults"
	"acaciacleat.example/standin/platform"
	"github.com/stretchr/testify/require"
)

const (
	service = "parts"
	self    = "entry-00"
	// overDue is when every row of a lifetime from now is gone at the latest.
	overDue = idempotency.DefaultRowLifetime + idempotency.SweepMargin + 2*idempotency.SweepInterval
)

func newTable() *platform.Table { return platform.NewTable(new(faults.Table)) }

// claim writes a key's row as a claim does, now.
func claim(t *testing.T, store table.Store, key string, version uint64) uint64 {
	t.Helper()
	row := idempotency.Row{
		ID:      call.ID{1},
		Binding: idempotency.Binding{Agent: "a", Incarnation: 1, Attempt: 1},
		Writer:  documents.NewToken(),
		Expires: time.Now().Add(idempotency.DefaultRowLifetime),
	}
	name := table.Key{Table: idempotency.Table, Row: idempotency.RowName(service, "crew", key)}
	versions, err := store.Commit(t.Context(), table.Tx{
		Token:      row.Writer,
		Conditions: []table.Condition{{Key: name, Version: version}},
		Writes:     []table.Write{{Key: name, Value: row.Encode()}},
	})
	require.NoError(t, err)
	return versions[0]
}

func rowsLeft(t *testing.T, store table.Store) int {
	t.Helper()
	rows, err := store.Scan(t.Context(), idempotency.Table, "", "", 10*pageRows, table.Latest)
	require.NoError(t, err)
	return len(rows)
}

// run starts a sweeper of the one service; stop must be called in the same bubble.
func run(store table.Store, entries ...string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	s := New(Config{
		Self:     self,
		Store:    store,
		Services: func() []string { return []string{service} },
		Entries:  func() []string { return entries },
		Token:    documents.NewToken,
	})
	go s.Run(ctx)
	return cancel
}

// Symptom: the table of keys grows without bound.
// Sequence: keyed calls are made, more than a page of them; their day passes.
// Cause: nobody deletes the rows.
func TestRowsAreDeletedAfterTheirTimeAndNotBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTable()
		const rows = pageRows + batchRows + 1
		for i := range rows {
			claim(t, store, fmt.Sprint(i), 0)
		}
		defer run(store, self)()
		time.Sleep(idempotency.DefaultRowLifetime + idempotency.SweepMargin)
		synctest.Wait()
		require.Equal(t, rows, rowsLeft(t, store))
		time.Sleep(overDue - idempotency.DefaultRowLifetime - idempotency.SweepMargin)
		synctest.Wait()
		require.Zero(t, rowsLeft(t, store))
	})
}

func TestOnlyTheChosenEntrySweeps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTable()
		claim(t, store, "key", 0)
		other := "entry-01"
		for i := 1; idempotency.Sweeper(service, []string{self, other}) == self; i++ {
			other = fmt.Sprintf("entry-%02d", i)
		}
		defer run(store, self, other)()
		time.Sleep(2 * overDue)
		synctest.Wait()
		require.Equal(t, 1, rowsLeft(t, store))
	})
}

// reboundTable rebinds a row after it was read by a scan and before it is deleted.
type reboundTable struct {
	table.Store
	rebind func(rows []table.Row)
}

func (r *reboundTable) Scan(ctx context.Context, name, prefix, after string, limit int, c table.Consistency) ([]table.Row, error) {
	rows, err := r.Store.Scan(ctx, name, prefix, after, limit, c)
	r.rebind(rows)
	return rows, err
}

// Symptom: a call with a key runs twice.
// Sequence: a sweep reads an old row; a try with its key binds it anew; the sweep deletes
// it; a repeat finds no row.
// Cause: a delete that does not ask for the version that was read. The other rows of the
// batch must still go.
func TestRowThatWasReboundStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTable()
		version := claim(t, store, "rebound", 0)
		claim(t, store, "old", 0)
		once := func(rows []table.Row) {
			if len(rows) == 0 || version == 0 || !time.Now().After(expiry(t, rows[0])) {
				return
			}
			claim(t, store, "rebound", version)
			version = 0
		}
		defer run(&reboundTable{Store: store, rebind: once}, self)()
		time.Sleep(overDue)
		synctest.Wait()
		require.Equal(t, 1, rowsLeft(t, store))
		require.Zero(t, version)
	})
}

// expiry is when a row may be deleted.
func expiry(t *testing.T, stored table.Row) time.Time {
	row, err := idempotency.DecodeRow(stored.Value)
	require.NoError(t, err)
	return row.Expires.Add(idempotency.SweepMargin)
}

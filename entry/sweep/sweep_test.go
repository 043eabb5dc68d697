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
	// sweptAfter is the time after which a row written now has been deleted.
	sweptAfter = idempotency.DefaultRowLifetime + idempotency.SweepMargin + 2*idempotency.SweepInterval
)

func newTable() *platform.Table { return platform.NewTable(new(faults.Table)) }

// writeRow writes the row of a key as a claim does at the present time, on condition that the stored
// row has the given version, and returns the new version.
func writeRow(t *testing.T, store table.Store, key string, version uint64) uint64 {
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

func countRows(t *testing.T, store table.Store) int {
	t.Helper()
	rows, err := store.Scan(t.Context(), idempotency.Table, "", "", 10*pageRows, table.Latest)
	require.NoError(t, err)
	return len(rows)
}

// startSweeper starts a sweeper for the service; stop must be called in the same synctest bubble.
func startSweeper(store table.Store, entries ...string) (stop func()) {
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

// More than a page of rows expire. They must be deleted, so that the table does not grow without bound,
// but not before their lifetime and the sweep margin have passed.
func TestRowsAreDeletedOnlyAfterTheirLifetime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTable()
		const rows = pageRows + batchRows + 1
		for i := range rows {
			writeRow(t, store, fmt.Sprint(i), 0)
		}
		defer startSweeper(store, self)()
		time.Sleep(idempotency.DefaultRowLifetime + idempotency.SweepMargin)
		synctest.Wait()
		require.Equal(t, rows, countRows(t, store))
		time.Sleep(sweptAfter - idempotency.DefaultRowLifetime - idempotency.SweepMargin)
		synctest.Wait()
		require.Zero(t, countRows(t, store))
	})
}

// If every entry swept every service, the reads of the table would grow with the number of entries.
func TestOnlyTheAssignedEntrySweeps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTable()
		writeRow(t, store, "key", 0)
		other := "entry-01"
		for i := 1; idempotency.Sweeper(service, []string{self, other}) == self; i++ {
			other = fmt.Sprintf("entry-%02d", i)
		}
		defer startSweeper(store, self, other)()
		time.Sleep(2 * sweptAfter)
		synctest.Wait()
		require.Equal(t, 1, countRows(t, store))
	})
}

// reboundTable calls rebind after each scan, before the rows are deleted.
type reboundTable struct {
	table.Store
	rebind func(rows []table.Row)
}

func (r *reboundTable) Scan(ctx context.Context, name, prefix, after string, limit int, c table.Consistency) ([]table.Row, error) {
	rows, err := r.Store.Scan(ctx, name, prefix, after, limit, c)
	r.rebind(rows)
	return rows, err
}

// A sweep reads an expired row, and before it deletes that row, an attempt with the same key rebinds it.
// A delete without a condition on the version would remove the row, and a repeat of the call would run
// again. The other rows of the batch must still be deleted.
func TestReboundRowIsNotDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTable()
		version := writeRow(t, store, "rebound", 0)
		writeRow(t, store, "old", 0)
		once := func(rows []table.Row) {
			if len(rows) == 0 || version == 0 || !time.Now().After(sweepableFrom(t, rows[0])) {
				return
			}
			writeRow(t, store, "rebound", version)
			version = 0
		}
		defer startSweeper(&reboundTable{Store: store, rebind: once}, self)()
		time.Sleep(sweptAfter)
		synctest.Wait()
		require.Equal(t, 1, countRows(t, store))
		require.Zero(t, version)
	})
}

// sweepableFrom returns the time from which a row may be deleted.
func sweepableFrom(t *testing.T, stored table.Row) time.Time {
	row, err := idempotency.DecodeRow(stored.Value)
	require.NoError(t, err)
	return row.Expires.Add(idempotency.SweepMargin)
}

package table_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"acaciacleat.example/peers/httpjson"
	"acaciacleat.example/peers/table"
	"acaciacleat.example/standin/faults"
	"acaciacleat.example/standin/platform"
)

// unusedRate is the transfer rate of the platform's weight store, which these tests don't use.
const unusedRate = 1

// forEachStore runs a test against each implementation of table.Store.
func forEachStore(t *testing.T, test func(t *testing.T, store table.Store, p *platform.Platform)) {
	t.Run("memory", func(t *testing.T) {
		p := platform.New(unusedRate)
		test(t, p.Table, p)
	})
	t.Run("http", func(t *testing.T) {
		p := platform.New(unusedRate)
		server := httptest.NewServer(p.Handler())
		t.Cleanup(server.Close)
		test(t, table.NewHTTP(server.URL+platform.PathTable, httpjson.Options{}), p)
	})
}

// contextUntilSilent returns a context that is cancelled once a call has met a Silent fault.
func contextUntilSilent(t *testing.T, p *platform.Platform) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	p.Faults.OnHit(func(f faults.Fault) {
		if f.Kind == faults.Silent {
			cancel()
		}
	})
	return ctx
}

func key(row string) table.Key { return table.Key{Table: "t", Row: row} }

func insert(token, row, value string) table.Tx {
	return table.Tx{
		Token:      token,
		Conditions: []table.Condition{{Key: key(row)}},
		Writes:     []table.Write{{Key: key(row), Value: []byte(value)}},
	}
}

// A transaction must write all its rows or none, and a row that is deleted and written again must have a
// higher version, so that a condition on its old version cannot hold.
func TestTransactions(t *testing.T) {
	forEachStore(t, func(t *testing.T, store table.Store, _ *platform.Platform) {
		ctx := t.Context()
		_, err := store.Get(ctx, key("a"), table.Latest)
		require.ErrorIs(t, err, table.ErrNotFound)

		both := insert("t1", "a", "1")
		both.Writes = append(both.Writes, table.Write{Key: key("b"), Value: []byte("1")})
		versions, err := store.Commit(ctx, both)
		require.NoError(t, err)
		row, err := store.Get(ctx, key("a"), table.Latest)
		require.NoError(t, err)
		require.Equal(t, table.Row{Key: key("a"), Version: versions[0], Token: "t1", Value: []byte("1")}, row)

		refused := insert("t2", "c", "2")
		refused.Conditions = append(refused.Conditions, table.Condition{Key: key("a"), Version: versions[0] + 1})
		_, err = store.Commit(ctx, refused)
		require.ErrorIs(t, err, table.ErrConflict)
		_, err = store.Get(ctx, key("c"), table.Latest)
		require.ErrorIs(t, err, table.ErrNotFound)

		_, err = store.Commit(ctx, table.Tx{Token: "t3", Writes: []table.Write{{Key: key("a"), Delete: true}}})
		require.NoError(t, err)
		again, err := store.Commit(ctx, insert("t4", "a", "3"))
		require.NoError(t, err)
		require.Greater(t, again[0], versions[0])
	})
}

// A commit that is repeated because its response was lost must not be applied twice, even if its
// condition holds again: it returns the result of the first commit.
func TestRepeatedTokenReturnsFirstResult(t *testing.T) {
	forEachStore(t, func(t *testing.T, store table.Store, _ *platform.Platform) {
		ctx := t.Context()
		first, err := store.Commit(ctx, insert("t1", "a", "1"))
		require.NoError(t, err)
		_, err = store.Commit(ctx, insert("t2", "a", "2"))
		require.ErrorIs(t, err, table.ErrConflict)
		_, err = store.Commit(ctx, table.Tx{Token: "t3", Writes: []table.Write{{Key: key("a"), Delete: true}}})
		require.NoError(t, err)

		second, err := store.Commit(ctx, insert("t1", "a", "1"))
		require.NoError(t, err)
		require.Equal(t, first, second)
		_, err = store.Commit(ctx, insert("t2", "a", "2"))
		require.ErrorIs(t, err, table.ErrConflict, "a conflict is also a stored result")
		_, err = store.Get(ctx, key("a"), table.Latest)
		require.ErrorIs(t, err, table.ErrNotFound)
	})
}

func TestScanPages(t *testing.T) {
	forEachStore(t, func(t *testing.T, store table.Store, _ *platform.Platform) {
		ctx := t.Context()
		for _, row := range []string{"b/2", "a/1", "b/3", "b/1", "c"} {
			_, err := store.Commit(ctx, insert("t"+row, row, row))
			require.NoError(t, err)
		}
		cases := []struct {
			prefix, after string
			limit         int
			want          []string
		}{
			{"", "", 9, []string{"a/1", "b/1", "b/2", "b/3", "c"}},
			{"b/", "", 2, []string{"b/1", "b/2"}},
			{"b/", "b/2", 2, []string{"b/3"}},
			{"b/", "c", 2, []string{}},
		}
		for _, c := range cases {
			rows, err := store.Scan(ctx, "t", c.prefix, c.after, c.limit, table.Latest)
			require.NoError(t, err)
			names := []string{}
			for _, row := range rows {
				names = append(names, row.Key.Row)
			}
			require.Equal(t, c.want, names)
		}
	})
}

func TestInvalidRequests(t *testing.T) {
	forEachStore(t, func(t *testing.T, store table.Store, _ *platform.Platform) {
		twice := insert("t1", "a", "1")
		twice.Writes = append(twice.Writes, twice.Writes[0])
		for _, tx := range []table.Tx{insert("", "a", "1"), insert("t1", "", "1"), twice} {
			_, err := store.Commit(t.Context(), tx)
			require.ErrorIs(t, err, table.ErrInvalid)
		}
		_, err := store.Scan(t.Context(), "t", "", "", 0, table.Latest)
		require.ErrorIs(t, err, table.ErrInvalid)
	})
}

// Stale reads are served by a replica that lags, so they may not show a value that was just written.
// A read with Latest must show it.
func TestStaleReadsLag(t *testing.T) {
	forEachStore(t, func(t *testing.T, store table.Store, p *platform.Platform) {
		ctx := t.Context()
		p.Table.SetReplicaLag(time.Hour)
		_, err := store.Commit(ctx, insert("t1", "a", "1"))
		require.NoError(t, err)
		_, err = store.Get(ctx, key("a"), table.Stale)
		require.ErrorIs(t, err, table.ErrNotFound)
		rows, err := store.Scan(ctx, "t", "", "", 1, table.Stale)
		require.NoError(t, err)
		require.Empty(t, rows)
		_, err = store.Get(ctx, key("a"), table.Latest)
		require.NoError(t, err)
	})
}

// A commit that meets a fault must not return ErrUnavailable unless it was certainly not applied.
// A retry with the same token must leave exactly one write.
func TestCommitUnderFaults(t *testing.T) {
	cases := []struct {
		fault   faults.Fault
		want    error
		applied bool
	}{
		{faults.Fault{Kind: faults.Die}, table.ErrUnknownOutcome, false},
		{faults.Fault{Kind: faults.Silent}, table.ErrUnknownOutcome, false},
		{faults.Fault{Kind: faults.AnswerLost}, table.ErrUnknownOutcome, true},
		{faults.Fault{Kind: faults.Outage}, table.ErrUnavailable, false},
		{faults.Fault{Kind: faults.Slow, Delay: time.Millisecond}, nil, true},
	}
	for _, c := range cases {
		t.Run(string(c.fault.Kind), func(t *testing.T) {
			forEachStore(t, func(t *testing.T, store table.Store, p *platform.Platform) {
				c.fault.Operation, c.fault.Count = platform.OpTableCommit, 1
				p.Faults.Set(c.fault)
				_, err := store.Commit(contextUntilSilent(t, p), insert("t1", "a", "1"))
				require.ErrorIs(t, err, c.want)
				_, err = store.Get(t.Context(), key("a"), table.Latest)
				require.Equal(t, c.applied, err == nil)

				versions, err := store.Commit(t.Context(), insert("t1", "a", "1"))
				require.NoError(t, err)
				row, err := store.Get(t.Context(), key("a"), table.Latest)
				require.NoError(t, err)
				require.Equal(t, versions[0], row.Version)
			})
		})
	}
}

// A read that meets a fault fails with ErrUnavailable. It writes nothing, so its error is never
// ErrUnknownOutcome.
func TestReadsUnderFaults(t *testing.T) {
	for _, kind := range []faults.Kind{faults.Die, faults.Silent, faults.AnswerLost, faults.Outage} {
		t.Run(string(kind), func(t *testing.T) {
			forEachStore(t, func(t *testing.T, store table.Store, p *platform.Platform) {
				p.Faults.Set(faults.Fault{Operation: "*", Kind: kind})
				_, err := store.Get(contextUntilSilent(t, p), key("a"), table.Latest)
				require.ErrorIs(t, err, table.ErrUnavailable)
				_, err = store.Scan(contextUntilSilent(t, p), "t", "", "", 1, table.Latest)
				require.ErrorIs(t, err, table.ErrUnavailable)
			})
		})
	}
}

package table_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"acaciacleat.example/core/breaker"
	"acaciacleat.example/peers/table"
	"acaciacleat.example/standin/faults"
	"acaciacleat.example/standin/platform"
)

// An attempt that was certainly not applied proves nothing about the attempts before it. If it did,
// a writer could be told that its commit was not applied although it was, or the reverse.
func TestResolvingStoreOutcomes(t *testing.T) {
	commits := func(kind faults.Kind, skip, count int) faults.Fault {
		return faults.Fault{Operation: platform.OpTableCommit, Kind: kind, Skip: skip, Count: count}
	}
	reads := faults.Fault{Operation: platform.OpTableGet, Kind: faults.Outage}
	cases := []struct {
		name    string
		faults  []faults.Fault
		want    error
		applied bool
	}{
		{"no fault", nil, nil, true},
		{"outage from the start", []faults.Fault{commits(faults.Outage, 0, 0)}, table.ErrUnavailable, false},
		{"one answer lost", []faults.Fault{commits(faults.AnswerLost, 0, 1)}, nil, true},
		{"answers lost, no reads", []faults.Fault{commits(faults.AnswerLost, 0, 5), reads}, nil, true},
		{"died, then well", []faults.Fault{commits(faults.Die, 0, 3)}, nil, true},
		{"lost, then outage, reads well", []faults.Fault{commits(faults.AnswerLost, 0, 1), commits(faults.Outage, 0, 0)}, nil, true},
		{"lost, then outage of all", []faults.Fault{commits(faults.AnswerLost, 0, 1), commits(faults.Outage, 0, 0), reads}, table.ErrUnknownOutcome, true},
		{"died, then outage", []faults.Fault{commits(faults.Die, 0, 1), commits(faults.Outage, 0, 0)}, table.ErrUnknownOutcome, false},
		{"silent for good", []faults.Fault{commits(faults.Silent, 0, 0)}, table.ErrUnknownOutcome, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := platform.New(unusedRate)
				p.Faults.Set(c.faults...)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				versions, err := table.NewResolvingStore(p.Table).Commit(ctx, insert("t1", "a", "1"))
				require.ErrorIs(t, err, c.want)
				p.Faults.Set()
				row, err := p.Table.Get(t.Context(), key("a"), table.Latest)
				require.Equal(t, c.applied, err == nil)
				if c.want == nil {
					require.Equal(t, []uint64{row.Version}, versions)
				}
			})
		})
	}
}

// If a commit is slow and its writer gives up and retries, the first commit may still be applied
// later. Both must get the same result by their token; otherwise the writer would get a conflict
// with its own write.
func TestResolvingStoreLateFirstCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platform.New(unusedRate)
		p.Faults.Set(faults.Fault{Operation: platform.OpTableCommit, Kind: faults.Slow, Delay: time.Second, Count: 1})
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err := p.Table.Commit(ctx, insert("t1", "a", "1"))
		require.ErrorIs(t, err, table.ErrUnknownOutcome)
		first, err := table.NewResolvingStore(p.Table).Commit(t.Context(), insert("t1", "a", "1"))
		require.NoError(t, err)
		time.Sleep(time.Minute)
		row, err := p.Table.Get(t.Context(), key("a"), table.Latest)
		require.NoError(t, err)
		require.Equal(t, first[0], row.Version)
	})
}

// During an outage, each writer retries on its own, so that the service would get more calls than
// normal. The circuit breaker must bound the commits, not block reads, and allow commits again soon
// after the outage.
func TestBreakerStoreBoundsCallsInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platform.New(unusedRate)
		store := table.NewBreakerStore(p.Table, breaker.DefaultSettings)
		reached := 0
		p.Faults.OnHit(func(faults.Fault) { reached++ })
		p.Faults.Set(faults.Fault{Operation: platform.OpTableCommit, Kind: faults.Outage})
		const outage = 10 * time.Minute
		for start := time.Now(); time.Since(start) < outage; time.Sleep(10 * time.Millisecond) {
			_, err := store.Commit(t.Context(), insert("t1", "a", "1"))
			require.ErrorIs(t, err, table.ErrUnavailable)
		}
		require.LessOrEqual(t, reached, breaker.DefaultSettings.Failures+5+int(outage/breaker.DefaultSettings.MaxOpenFor))
		_, err := store.Get(t.Context(), key("a"), table.Latest)
		require.ErrorIs(t, err, table.ErrNotFound)

		p.Faults.Set()
		time.Sleep(breaker.DefaultSettings.MaxOpenFor)
		for range 3 {
			_, err = store.Commit(t.Context(), insert("t1", "a", "1"))
			require.NoError(t, err)
		}
	})
}

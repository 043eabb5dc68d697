package reservation

import (
	"testing"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
	_ "acaciacleat.example/core/seeded"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func id(n int) call.ID { return call.ID{byte(n)} }

func reserve(n int, owner call.Incarnation, tokens int64) Reservation {
	return Reservation{ID: id(n), Attempt: 1, Owner: owner, Tokens: tokens, Deadline: start.Add(time.Minute)}
}

func requireCode(t require.TestingT, code result.Code, err error) {
	var refused *result.Error
	require.True(t, errors.As(err, &refused), "%v", err)
	require.Equal(t, code, refused.Code)
	require.Equal(t, result.NotRun, refused.Execution)
}

func TestBookRefusals(t *testing.T) {
	b := NewBook(100, DefaultOptions())
	require.NoError(t, b.Reserve(reserve(1, 7, 60), start))
	require.NoError(t, b.Reserve(reserve(1, 7, 60), start), "a repeat")
	requireCode(t, result.WrongIncarnation, b.Reserve(reserve(1, 8, 60), start))
	requireCode(t, result.MemoryFull, b.Reserve(reserve(2, 7, 41), start))
	requireCode(t, result.DeadlinePassed, b.Reserve(reserve(3, 7, 1), start.Add(time.Hour)))
	requireCode(t, result.Tombstoned, b.Confirm(id(1), 1, 8, start))
	require.NoError(t, b.Confirm(id(1), 1, 7, start))
	require.True(t, b.Release(id(1), 1, start))
	require.False(t, b.Release(id(1), 1, start))
	requireCode(t, result.Tombstoned, b.Reserve(reserve(1, 7, 60), start))
	again := reserve(1, 7, 60)
	again.Attempt = 2
	require.NoError(t, b.Reserve(again, start))
	require.False(t, b.Release(id(1), 1, start), "late release of the first attempt")
	require.EqualValues(t, 40, b.Free())
}

// Symptom: an engine refuses work while it idles.
// Sequence: an entry reserves, dies, and sends no release.
// Cause: memory that only its owner could free.
func TestSilentOwnersAndUnconfirmedExpire(t *testing.T) {
	b := NewBook(100, DefaultOptions())
	for n, owner := range map[int]call.Incarnation{1: 7, 2: 7, 3: 8} {
		require.NoError(t, b.Reserve(reserve(n, owner, 10), start))
	}
	require.NoError(t, b.Confirm(id(1), 1, 7, start))
	require.NoError(t, b.Confirm(id(3), 1, 8, start))
	next, ok := b.NextExpiry()
	require.True(t, ok)
	require.Equal(t, start.Add(b.options.ConfirmWithin), next)
	require.Len(t, b.Expire(next), 1, "2 was never confirmed")
	b.Alive(8, start.Add(9*time.Second))
	expired := b.Expire(start.Add(b.options.SilenceGrace))
	require.Len(t, expired, 1)
	require.Equal(t, id(1), expired[0].ID)
	b.Alive(8, start.Add(59*time.Second))
	require.Len(t, b.Expire(start.Add(time.Minute)), 1, "the deadline ends it, alive or not")
	require.EqualValues(t, 100, b.Free())
	require.Empty(t, b.owners)
}

// Symptom: the book has free memory, the engine has none.
// Sequence: a cancel's answer is lost, or the agent restarts; the engine runs on.
// Cause: nobody compares the engine's report with the book.
func TestReconcileFindsOrphansAndMissing(t *testing.T) {
	b := NewBook(100, DefaultOptions())
	for n := 1; n <= 3; n++ {
		require.NoError(t, b.Reserve(reserve(n, 7, 10), start))
		require.NoError(t, b.Confirm(id(n), 1, 7, start))
	}
	at := start.Add(5 * time.Second)
	b.Release(id(3), 1, at)
	report := Report{TakenAt: at, Held: []Holding{{id(1), 10}, {id(3), 10}, {id(9), 30}}, ForeignTokens: 5}
	require.Equal(t, Difference{Orphans: []call.ID{id(9)}, Missing: []call.ID{id(2)}}, b.Reconcile(report))
	require.EqualValues(t, 100-20-30-5, b.Free(), "3 was released about the time of the report")
	report.TakenAt = at.Add(5 * time.Second)
	require.Equal(t, []call.ID{id(3), id(9)}, b.Reconcile(report).Orphans)
	b.Reconcile(Report{TakenAt: start, Held: nil})
	require.EqualValues(t, 80, b.Free(), "orphans are gone from the report")
	require.Empty(t, b.Reconcile(Report{TakenAt: start}).Missing, "the report is older than the confirmation")
}

// The book's sums agree with a plain list after any sequence of events.
func TestBookAgreesWithNaiveSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBook(1000, DefaultOptions())
		naive := make(map[call.ID]int64)
		now := start
		n := rapid.IntRange(0, 20)
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				r := reserve(n.Draw(t, "id"), call.Incarnation(rapid.IntRange(1, 3).Draw(t, "owner")), int64(rapid.IntRange(1, 400).Draw(t, "tokens")))
				r.Deadline = now.Add(20 * time.Second)
				if _, held := naive[r.ID]; b.Reserve(r, now) == nil && !held {
					naive[r.ID] = r.Tokens
				}
			},
			"confirm": func(t *rapid.T) { _ = b.Confirm(id(n.Draw(t, "id")), 1, 1, now) },
			"alive":   func(t *rapid.T) { b.Alive(1, now) },
			"release": func(t *rapid.T) {
				victim := id(n.Draw(t, "id"))
				_, held := naive[victim]
				require.Equal(t, held, b.Release(victim, 1, now))
				delete(naive, victim)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
				for _, r := range b.Expire(now) {
					require.Contains(t, naive, r.ID)
					delete(naive, r.ID)
				}
			},
			"": func(t *rapid.T) {
				sum := int64(0)
				for _, tokens := range naive {
					sum += tokens
				}
				require.Equal(t, sum, b.Used())
				require.LessOrEqual(t, sum, int64(1000))
				require.Equal(t, len(naive), b.Len())
			},
		})
	})
}

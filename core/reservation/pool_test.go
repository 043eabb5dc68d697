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

func newReservation(n int, owner call.Incarnation, tokens int64) Reservation {
	return Reservation{ID: id(n), Attempt: 1, Owner: owner, Tokens: tokens, Deadline: start.Add(time.Minute)}
}

func requireCode(t require.TestingT, code result.Code, err error) {
	var refused *result.Error
	require.True(t, errors.As(err, &refused), "%v", err)
	require.Equal(t, code, refused.Code)
	require.Equal(t, result.NotRun, refused.Execution)
}

// Each refusal must have its own code and say that the request did not run, so that the caller may
// send the request elsewhere. A late release must not free the memory of a later attempt.
func TestPoolRefusals(t *testing.T) {
	p := NewPool(100, DefaultOptions())
	require.NoError(t, p.Reserve(newReservation(1, 7, 60), start))
	require.NoError(t, p.Reserve(newReservation(1, 7, 60), start), "repeated reservation")
	requireCode(t, result.WrongIncarnation, p.Reserve(newReservation(1, 8, 60), start))
	requireCode(t, result.MemoryFull, p.Reserve(newReservation(2, 7, 41), start))
	requireCode(t, result.DeadlinePassed, p.Reserve(newReservation(3, 7, 1), start.Add(time.Hour)))
	requireCode(t, result.Tombstoned, p.Confirm(id(1), 1, 8, start))
	require.NoError(t, p.Confirm(id(1), 1, 7, start))
	require.True(t, p.Release(id(1), 1, start))
	require.False(t, p.Release(id(1), 1, start))
	requireCode(t, result.Tombstoned, p.Reserve(newReservation(1, 7, 60), start))
	again := newReservation(1, 7, 60)
	again.Attempt = 2
	require.NoError(t, p.Reserve(again, start))
	require.False(t, p.Release(id(1), 1, start), "late release of the first attempt")
	require.EqualValues(t, 40, p.Free())
}

// An entry reserves memory, crashes and sends no release. If only the owner could free the
// memory, the engine would reject requests while it is idle.
func TestReservationsOfSilentOwnersAndUnconfirmedOnesExpire(t *testing.T) {
	p := NewPool(100, DefaultOptions())
	for n, owner := range map[int]call.Incarnation{1: 7, 2: 7, 3: 8} {
		require.NoError(t, p.Reserve(newReservation(n, owner, 10), start))
	}
	require.NoError(t, p.Confirm(id(1), 1, 7, start))
	require.NoError(t, p.Confirm(id(3), 1, 8, start))
	next, ok := p.NextExpiry()
	require.True(t, ok)
	require.Equal(t, start.Add(p.options.ConfirmTimeout), next)
	require.Len(t, p.Expire(next), 1, "reservation 2 was never confirmed")
	p.RefreshOwner(8, start.Add(9*time.Second))
	expired := p.Expire(start.Add(p.options.OwnerTimeout))
	require.Len(t, expired, 1)
	require.Equal(t, id(1), expired[0].ID)
	p.RefreshOwner(8, start.Add(59*time.Second))
	require.Len(t, p.Expire(start.Add(time.Minute)), 1, "it expires at its deadline although the owner is active")
	require.EqualValues(t, 100, p.Free())
	require.Empty(t, p.owners)
}

// The answer to a cancellation is lost, or the agent restarts, and the engine keeps running
// the request. Without reconciliation the pool would show free memory that the engine does
// not have.
func TestReconcileFindsOrphansAndMissing(t *testing.T) {
	p := NewPool(100, DefaultOptions())
	for n := 1; n <= 3; n++ {
		require.NoError(t, p.Reserve(newReservation(n, 7, 10), start))
		require.NoError(t, p.Confirm(id(n), 1, 7, start))
	}
	at := start.Add(5 * time.Second)
	p.Release(id(3), 1, at)
	report := Report{TakenAt: at, Held: []Holding{{id(1), 10}, {id(3), 10}, {id(9), 30}}, ForeignTokens: 5}
	require.Equal(t, Difference{Orphans: []call.ID{id(9)}, Missing: []call.ID{id(2)}}, p.Reconcile(report))
	require.EqualValues(t, 100-20-30-5, p.Free(), "reservation 3 was released shortly before the report")
	report.TakenAt = at.Add(5 * time.Second)
	require.Equal(t, []call.ID{id(3), id(9)}, p.Reconcile(report).Orphans)
	p.Reconcile(Report{TakenAt: start, Held: nil})
	require.EqualValues(t, 80, p.Free(), "the report no longer lists orphans")
	require.Empty(t, p.Reconcile(Report{TakenAt: start}).Missing, "the report is older than the confirmation")
}

// After any sequence of events, the pool's sums agree with a map of the reservations.
func TestPoolMatchesNaiveModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPool(1000, DefaultOptions())
		model := make(map[call.ID]int64)
		now := start
		n := rapid.IntRange(0, 20)
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				r := newReservation(n.Draw(t, "id"), call.Incarnation(rapid.IntRange(1, 3).Draw(t, "owner")), int64(rapid.IntRange(1, 400).Draw(t, "tokens")))
				r.Deadline = now.Add(20 * time.Second)
				if _, held := model[r.ID]; p.Reserve(r, now) == nil && !held {
					model[r.ID] = r.Tokens
				}
			},
			"confirm": func(t *rapid.T) { _ = p.Confirm(id(n.Draw(t, "id")), 1, 1, now) },
			"alive":   func(t *rapid.T) { p.RefreshOwner(1, now) },
			"release": func(t *rapid.T) {
				released := id(n.Draw(t, "id"))
				_, held := model[released]
				require.Equal(t, held, p.Release(released, 1, now))
				delete(model, released)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
				for _, r := range p.Expire(now) {
					require.Contains(t, model, r.ID)
					delete(model, r.ID)
				}
			},
			"": func(t *rapid.T) {
				sum := int64(0)
				for _, tokens := range model {
					sum += tokens
				}
				require.Equal(t, sum, p.Used())
				require.LessOrEqual(t, sum, int64(1000))
				require.Equal(t, len(model), p.Len())
			},
		})
	})
}

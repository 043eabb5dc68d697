package directory

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/follow"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/table"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

const (
	// removalBound is the time from the removal of an upstream's registration after which it must get no
	// requests.
	removalBound = 2 * time.Second
	// returnBound is the time from the registry's return within which live upstreams register again.
	returnBound = 1800 * time.Millisecond
	// stableWindow is the time after a disruption from which the bounds hold again.
	stableWindow = 3 * time.Second
	// answerTimeout is the time without an answer after which a read fails, in addition to its wait.
	answerTimeout = 400 * time.Millisecond
)

// simulatedRegistry is a source of upstreams. Reads that are pending when its connections go silent, or
// when it goes away, get no answer. While it is away, reads fail at once, or hang if hangs is set.
type simulatedRegistry struct {
	*scriptedSource
	mu      sync.Mutex
	hangs   bool
	away    bool
	silence int
	changes []dispatch.Change
	changed chan struct{}
}

func newSimulatedRegistry(upstreams int) *simulatedRegistry {
	r := &simulatedRegistry{scriptedSource: newSource(), changed: make(chan struct{})}
	for i := range upstreams {
		r.write(registered(i))
	}
	return r
}

func registered(i int) dispatch.Change {
	return dispatch.Change{Upstream: dispatch.Upstream{ID: fmt.Sprint("u-", i), Service: "parts", Address: fmt.Sprint("x-", i), Slots: 4}}
}

// write changes a registration.
func (r *simulatedRegistry) write(change dispatch.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change.Revision = uint64(len(r.changes) + 1)
	r.changes = append(r.changes, change)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *simulatedRegistry) remove(i int) {
	change := registered(i)
	change.Removed = true
	r.write(change)
}

// goSilent makes the open connections go silent; new ones work.
func (r *simulatedRegistry) goSilent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silence++
}

// goAway begins an outage; hangs says whether reads hang in it or fail at once.
func (r *simulatedRegistry) goAway(hangs bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away, r.hangs = true, hangs
	r.silence++
}

// comeBack ends an outage.
func (r *simulatedRegistry) comeBack() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away = false
	r.silence++
}

// Routes implements Source; the routes never change.
func (r *simulatedRegistry) Routes(ctx context.Context, _ uint64, wait time.Duration) (RoutesUpdate, error) {
	time.Sleep(max(wait, time.Millisecond))
	return RoutesUpdate{Value: []byte("1"), Revision: 1, Extent: table.Extent{Named: 1, Rows: 1}}, ctx.Err()
}

// Upstreams implements Source.
func (r *simulatedRegistry) Upstreams(ctx context.Context, after uint64, wait time.Duration) (UpstreamsUpdate, error) {
	timeout, waited := time.NewTimer(wait+answerTimeout), time.NewTimer(wait)
	defer timeout.Stop()
	defer waited.Stop()
	r.mu.Lock()
	connection, away, hangs := r.silence, r.away, r.hangs
	r.mu.Unlock()
	if away && !hangs {
		return UpstreamsUpdate{}, table.ErrUnavailable
	}
	var over bool
	for {
		r.mu.Lock()
		update, changed := UpstreamsUpdate{Changes: append([]dispatch.Change(nil), r.changes[after:]...)}, r.changed
		update.Extent.Named = uint64(len(r.changes))
		if len(update.Changes) > 0 {
			update.Extent.Rows = update.Extent.Named
		}
		reached := connection == r.silence && !away
		r.mu.Unlock()
		if reached && (over || len(update.Changes) > 0) {
			return update, nil
		}
		select {
		case <-changed:
		case <-waited.C:
			over = true
		case <-timeout.C:
			return UpstreamsUpdate{}, table.ErrUnavailable
		case <-ctx.Done():
			return UpstreamsUpdate{}, ctx.Err()
		}
	}
}

// fleetUpstreams applies changes to a fleet.
type fleetUpstreams struct{ *dispatch.Fleet }

func (u fleetUpstreams) Apply(now time.Time, changes []dispatch.Change, whole bool) {
	u.ApplyChanges(now, changes, whole)
}

// usedPerUpstream is the number of requests for each upstream by which used finds them.
const usedPerUpstream = 4

// used returns the upstreams that the fleet chooses now.
func (u fleetUpstreams) used() map[string]bool {
	used := make(map[string]bool)
	for range 3 * usedPerUpstream {
		now := time.Now()
		choice, id, verdict := u.Choose(now, &dispatch.Request{Service: "parts", TimeToDeadline: time.Second}, nil)
		if verdict != dispatch.Place {
			break
		}
		used[choice.Upstream.ID] = true
		defer u.RecordEnd(now, id, dispatch.Served)
	}
	return used
}

// simulate runs a Keeper over a simulated registry of three upstreams, in virtual time, and calls test once
// it has read them.
func simulate(t *testing.T, role follow.Role, test func(k *Keeper, r *simulatedRegistry, u fleetUpstreams)) {
	synctest.Test(t, func(t *testing.T) {
		r, u := newSimulatedRegistry(3), fleetUpstreams{dispatch.NewFleet(dispatch.Settings{Rule: dispatch.LeastOutstanding, Origin: 1})}
		k := New(Config{Source: r, Wait: 1900 * time.Millisecond, Upstreams: u, Role: func() follow.Role { return role }, Log: zerolog.Nop()})
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { k.Run(ctx) })
		time.Sleep(5 * time.Second)
		require.Len(t, u.used(), 3)
		test(k, r, u)
		stop()
		running.Wait()
		time.Sleep(time.Minute)
	})
}

// Guards against sends to an upstream that has left, because a connection to the registry went silent at
// some phase of a read: a failed read is no outage, and the removal is as old as the silence.
func TestRemovalBehindASilentConnectionTakesEffectInTime(t *testing.T) {
	for phase := time.Duration(0); phase < 1900*time.Millisecond; phase += 100 * time.Millisecond {
		for _, later := range []time.Duration{0, 200 * time.Millisecond, 1500 * time.Millisecond} {
			simulate(t, follow.Standalone, func(_ *Keeper, r *simulatedRegistry, u fleetUpstreams) {
				time.Sleep(phase)
				silentAt := time.Now()
				r.goSilent()
				time.Sleep(later)
				r.remove(0)
				time.Sleep(max(removalBound, time.Until(silentAt.Add(stableWindow))))
				require.NotContains(t, u.used(), "u-0", "%s after the last read, removed %s later", phase, later)
			})
		}
	}
}

// Guards against services that are emptied when the registry returns from an outage in which all
// registrations lapsed, and against upstreams that stay in use for longer than live ones need to register.
func TestRegistrationsThatLapsedInAnOutageStayInUse(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		for phase := time.Duration(0); phase < 1900*time.Millisecond; phase += 300 * time.Millisecond {
			simulate(t, follow.Standalone, func(_ *Keeper, r *simulatedRegistry, u fleetUpstreams) {
				time.Sleep(phase)
				r.goAway(hangs)
				time.Sleep(4500 * time.Millisecond)
				r.comeBack()
				returnedAt := time.Now()
				for i := range 3 {
					r.remove(i)
				}
				for time.Since(returnedAt) < returnBound {
					require.Len(t, u.used(), 3, "%s after the return", time.Since(returnedAt))
					time.Sleep(100 * time.Millisecond)
				}
				r.write(registered(1))
				time.Sleep(time.Until(returnedAt.Add(stableWindow)))
				require.Equal(t, map[string]bool{"u-1": true}, u.used())
			})
		}
	}
}

// simulatedFollower is another entry that reads the registry for the Keeper.
type simulatedFollower struct {
	k    *Keeper
	r    *simulatedRegistry
	read uint64
}

// confirm forwards one read.
func (f *simulatedFollower) confirm(recovered bool) {
	f.r.mu.Lock()
	update := &link.FeedUpdate{Feed: link.FeedUpstreams, From: f.read, To: uint64(len(f.r.changes)), Recovered: recovered,
		Changes: append([]dispatch.Change(nil), f.r.changes[f.read:]...)}
	f.r.mu.Unlock()
	f.read = update.To
	f.k.HandleUpdate("a", update)
}

// follow forwards reads for a time.
func (f *simulatedFollower) follow(lasts time.Duration) {
	for began := time.Now(); time.Since(began) < lasts; time.Sleep(300 * time.Millisecond) {
		f.confirm(false)
	}
}

func listen(t *testing.T, test func(f *simulatedFollower, r *simulatedRegistry, u fleetUpstreams)) {
	simulate(t, follow.Listener, func(k *Keeper, r *simulatedRegistry, u fleetUpstreams) {
		f := &simulatedFollower{k: k, r: r, read: uint64(len(r.changes))}
		f.follow(3 * time.Second)
		test(f, r, u)
	})
}

// Guards against a failed read that is remembered while others tell that the registry answers: the next change,
// however much later, would count as its return.
func TestFailedReadsEndWhenOthersAreAnswered(t *testing.T) {
	listen(t, func(f *simulatedFollower, r *simulatedRegistry, u fleetUpstreams) {
		r.goAway(false)
		time.Sleep(3 * time.Second) // Longer than the entry relies on a silent follower.
		f.follow(time.Second)
		r.comeBack()
		f.follow(6 * time.Second)
		removedAt := time.Now()
		r.remove(0)
		time.Sleep(time.Until(removedAt.Add(removalBound)))
		require.NotContains(t, u.used(), "u-0")
	})
}

// Guards against taking the outage of another entry, which was cut off by itself, for one of the registry.
func TestOutageOfAnotherEntryDelaysNoRemoval(t *testing.T) {
	for silence := 100 * time.Millisecond; silence < removalBound; silence += 50 * time.Millisecond {
		listen(t, func(f *simulatedFollower, r *simulatedRegistry, u fleetUpstreams) {
			removedAt := time.Now()
			r.remove(0)
			time.Sleep(silence)
			f.confirm(true)
			time.Sleep(time.Until(removedAt.Add(removalBound)))
			require.NotContains(t, u.used(), "u-0", "after %s", silence)
		})
	}
}

// Guards against a listener that drops live upstreams because it hears of the registry's return in an update
// without changes, and of the lapsed registrations in the next one.
func TestListenerKeepsLapsedRegistrationsAfterAnOutage(t *testing.T) {
	listen(t, func(f *simulatedFollower, r *simulatedRegistry, u fleetUpstreams) {
		r.goAway(false)
		time.Sleep(4500 * time.Millisecond)
		returnedAt := time.Now()
		f.confirm(true)
		r.comeBack()
		time.Sleep(200 * time.Millisecond)
		for i := range 3 {
			r.remove(i)
		}
		f.confirm(false)
		for time.Since(returnedAt) < returnBound {
			require.Len(t, u.used(), 3, "%s after the return", time.Since(returnedAt))
			time.Sleep(100 * time.Millisecond)
		}
		f.follow(2 * time.Second)
		require.Empty(t, u.used())
	})
}

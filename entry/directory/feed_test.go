package directory

import (
	"bytes"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
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

// forwardRecorder collects the updates that a Keeper forwards, and holds the Keeper's role.
type forwardRecorder struct {
	role atomic.Uint32

	mu      sync.Mutex
	updates []*link.FeedUpdate
}

// all returns the updates forwarded so far.
func (f *forwardRecorder) all() []*link.FeedUpdate {
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.updates)
}

func (f *forwardRecorder) add(update *link.FeedUpdate, _ bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updates = append(f.updates, update)
}

// runInRole starts a Keeper in a synctest bubble, in a role that the test may change. The source
// answers the first read of the routes with version 1 at position 10.
func runInRole(t *testing.T, role follow.Role, test func(t *testing.T, k *Keeper, s *scriptedSource, u *recordedUpstreams, recorder *forwardRecorder)) {
	recorder := &forwardRecorder{}
	recorder.role.Store(uint32(role))
	configure := func(c *Config) {
		c.Role = func() follow.Role { return follow.Role(recorder.role.Load()) }
		c.Forward = recorder.add
	}
	runWith(t, configure, func(t *testing.T, k *Keeper, s *scriptedSource, u *recordedUpstreams) {
		s.upstreams <- nil
		s.routes <- answer{version: 1, cursor: 10}
		require.Equal(t, uint64(1), version(k))
		test(t, k, s, u, recorder)
	})
}

// routesUpdate returns a follower's update of the routes.
func routesUpdate(from, to uint64, version int) *link.FeedUpdate {
	update := &link.FeedUpdate{Feed: link.FeedRoutes, From: from, To: to}
	if version > 0 {
		update.Routes = []byte(strconv.Itoa(version))
	}
	return update
}

// Listeners must not miss a change: a follower forwards each update with the positions between which it
// has read, so that a listener can detect a gap.
func TestFollowerForwardsUpdates(t *testing.T) {
	runInRole(t, follow.Follower, func(t *testing.T, k *Keeper, s *scriptedSource, _ *recordedUpstreams, recorder *forwardRecorder) {
		time.Sleep(minBatchPause)
		s.routes <- answer{version: 2, cursor: 12}
		require.Equal(t, uint64(2), version(k))
		var routes []*link.FeedUpdate
		for _, update := range recorder.all() {
			if update.Feed == link.FeedRoutes {
				routes = append(routes, update)
			}
		}
		require.Equal(t, []*link.FeedUpdate{
			{Feed: link.FeedRoutes, From: 10, To: 10}, // The content of a read from the beginning is not forwarded.
			{Feed: link.FeedRoutes, From: 10, To: 12, Routes: []byte("2")},
		}, routes)
	})
}

// A follower forwards empty updates while nothing changes: without them listeners would read the
// feed themselves each time FollowerTimeout has passed.
func TestFollowerForwardsEmptyUpdates(t *testing.T) {
	runInRole(t, follow.Follower, func(t *testing.T, _ *Keeper, _ *scriptedSource, _ *recordedUpstreams, recorder *forwardRecorder) {
		before := len(recorder.all())
		time.Sleep(10 * time.Second)
		synctest.Wait()
		feeds := 2
		require.GreaterOrEqual(t, len(recorder.all())-before, feeds*int(10*time.Second/follow.FollowerTimeout))
	})
}

// A follower forwards one failure when its reads begin to fail, so that listeners read the store
// themselves, and one recovery when they succeed again, so that listeners delay the removals after the
// outage. Repeated failures are not forwarded.
func TestFollowerForwardsFailureAndRecoveryOfTheStore(t *testing.T) {
	runInRole(t, follow.Follower, func(t *testing.T, _ *Keeper, s *scriptedSource, _ *recordedUpstreams, recorder *forwardRecorder) {
		time.Sleep(minBatchPause)
		s.routes <- answer{err: table.ErrUnavailable}
		s.routes <- answer{err: table.ErrUnavailable}
		s.routes <- answer{version: 2, cursor: 12}
		synctest.Wait()
		var failures, recoveries int
		for _, update := range recorder.all() {
			if update.ReadFailed {
				failures++
			}
			if update.Recovered {
				recoveries++
			}
		}
		require.Equal(t, 1, failures)
		require.Equal(t, 1, recoveries)
	})
}

// startListening makes a Keeper listen: a follower sends updates of both feeds.
func startListening(k *Keeper, t *testing.T) {
	t.Helper()
	k.HandleUpdate("a", routesUpdate(10, 10, 0))
	k.HandleUpdate("a", &link.FeedUpdate{Feed: link.FeedUpstreams, From: 1, To: 1})
	time.Sleep(time.Second) // A read that was in progress has ended.
	k.HandleUpdate("a", routesUpdate(10, 10, 0))
	synctest.Wait()
}

// The store must not be read by every entry: a listener applies the updates of its follower and does not
// read while they arrive.
func TestListenerAppliesForwardedUpdatesWithoutReading(t *testing.T) {
	runInRole(t, follow.Listener, func(t *testing.T, k *Keeper, s *scriptedSource, u *recordedUpstreams, _ *forwardRecorder) {
		startListening(k, t)
		calls := len(s.reads())
		position := uint64(10)
		for n := 2; n < 12; n++ {
			k.HandleUpdate("a", routesUpdate(position, position+5, n))
			position += 5
			k.HandleUpdate("a", &link.FeedUpdate{Feed: link.FeedUpstreams, From: uint64(n - 1), To: uint64(n), Changes: make([]dispatch.Change, 1)})
			require.Equal(t, uint64(n), version(k))
			time.Sleep(follow.FollowerReadWait)
		}
		require.Len(t, s.reads(), calls, "the store is not read")
		require.GreaterOrEqual(t, u.applied, 10)
	})
}

// A listener must not keep an old configuration because its follower freezes before a change: it
// reads the feed itself once the follower has been silent for FollowerTimeout.
func TestListenerReadsWhenFollowersAreSilent(t *testing.T) {
	runInRole(t, follow.Listener, func(t *testing.T, k *Keeper, s *scriptedSource, _ *recordedUpstreams, _ *forwardRecorder) {
		startListening(k, t)
		silentSince := time.Now()
		s.routes <- answer{version: 7, cursor: 30}
		require.Equal(t, uint64(7), version(k))
		require.LessOrEqual(t, time.Since(silentSince), follow.FollowerTimeout)
		require.Equal(t, uint64(10), s.reads()[len(s.reads())-1], "from its position")
	})
}

// A listener must not keep an old configuration if the follower's read fails, the follower's link ends,
// an update was missed, or an update omits the routes and does not name their version: the listener
// reads at once.
func TestListenerReadsAtOnceWhenUpdatesAreMissing(t *testing.T) {
	for name, event := range map[string]func(k *Keeper){
		"the follower's read fails": func(k *Keeper) { k.HandleUpdate("a", &link.FeedUpdate{Feed: link.FeedRoutes, ReadFailed: true}) },
		"the link ends":             func(k *Keeper) { k.DropFollower("a") },
		"the routes are too large": func(k *Keeper) {
			k.HandleUpdate("a", &link.FeedUpdate{Feed: link.FeedRoutes, From: 10, To: 20, Omitted: true})
		},
		"an update was missed": func(k *Keeper) { k.HandleUpdate("a", routesUpdate(15, 20, 0)) },
	} {
		t.Run(name, func(t *testing.T) {
			runInRole(t, follow.Listener, func(t *testing.T, k *Keeper, s *scriptedSource, _ *recordedUpstreams, _ *forwardRecorder) {
				startListening(k, t)
				began := time.Now()
				event(k)
				s.routes <- answer{version: 7, cursor: 30}
				require.Equal(t, uint64(7), version(k))
				require.Zero(t, time.Since(began))
				require.Equal(t, uint64(10), s.reads()[len(s.reads())-1], "from its position")
			})
		})
	}
}

// Requests must not be refused for lack of upstreams when the store recovers: registrations expire
// during the outage, and a listener that receives their removal from its follower must treat it as
// unconfirmed, as the follower does.
func TestListenerRecordsOutageWhenTheStoreRecovers(t *testing.T) {
	runInRole(t, follow.Listener, func(t *testing.T, k *Keeper, _ *scriptedSource, u *recordedUpstreams, _ *forwardRecorder) {
		startListening(k, t)
		before := u.unavailable
		k.HandleUpdate("a", &link.FeedUpdate{Feed: link.FeedUpstreams, From: 1, To: 9, Recovered: true, Changes: make([]dispatch.Change, 1)})
		require.Equal(t, before+1, u.unavailable)
	})
}

// An entry must not keep an old configuration until the next change because routing tables arrive
// faster than they are decoded and one is dropped: the feed is read again from the position before the
// dropped table.
func TestDroppedRoutesAreReadAgain(t *testing.T) {
	runInRole(t, follow.Standalone, func(t *testing.T, k *Keeper, s *scriptedSource, _ *recordedUpstreams, _ *forwardRecorder) {
		synctest.Wait()
		apply := k.routes.apply
		k.routes.mu.Lock()
		k.routes.apply = func(time.Time, *batch) bool { return false }
		k.routes.mu.Unlock()
		s.routes <- answer{version: 2, cursor: 12}
		synctest.Wait()
		k.routes.mu.Lock()
		k.routes.apply = apply
		k.routes.mu.Unlock()
		require.Equal(t, uint64(1), version(k))
		s.routes <- answer{version: 2, cursor: 12}
		require.Equal(t, uint64(2), version(k))
		require.Equal(t, []uint64{10, 10}, s.reads()[1:3])
	})
}

// A listener that becomes a follower, because the previous follower's link has ended, must read the store
// and forward what it reads; otherwise the zone would receive no updates.
func TestListenerReadsWhenItBecomesFollower(t *testing.T) {
	runInRole(t, follow.Listener, func(t *testing.T, k *Keeper, s *scriptedSource, _ *recordedUpstreams, recorder *forwardRecorder) {
		startListening(k, t)
		recorder.role.Store(uint32(follow.Follower))
		k.DropFollower("a")
		s.routes <- answer{version: 3, cursor: 30}
		require.Equal(t, uint64(3), version(k))
		updates := recorder.all()
		require.Equal(t, []byte("3"), updates[len(updates)-1].Routes)
	})
}

// largeRoutes returns an encoded table that is too large to be forwarded.
func largeRoutes(version int) []byte {
	return append([]byte(strconv.Itoa(version)), bytes.Repeat([]byte(" "), maxRoutesBytes)...)
}

// A large routing table must not be sent to all entries of the zone by each follower: only its version
// is forwarded, or no version if the routes cannot be decoded.
func TestLargeRoutesAreForwardedAsVersionOnly(t *testing.T) {
	k := New(Config{Source: newSource(), Log: zerolog.Nop()})
	update := &link.FeedUpdate{Feed: link.FeedRoutes, From: 3, To: 4, Routes: largeRoutes(12)}
	outgoing := k.outgoingRoutes(&batch{FeedUpdate: update})
	require.True(t, outgoing.Omitted)
	require.Equal(t, uint64(12), outgoing.OmittedVersion())
	require.Less(t, len(outgoing.Routes), 10)
	require.Equal(t, []uint64{3, 4}, []uint64{outgoing.From, outgoing.To})
	require.Equal(t, largeRoutes(12), update.Routes, "the update itself is unchanged")

	outgoing = k.outgoingRoutes(&batch{FeedUpdate: &link.FeedUpdate{Feed: link.FeedRoutes, From: 3, To: 4, Routes: bytes.Repeat([]byte("x"), maxRoutesBytes+1)}})
	require.Equal(t, &link.FeedUpdate{Feed: link.FeedRoutes, From: 3, To: 4, Omitted: true}, outgoing, "no version if the routes cannot be decoded")
}

// omittedRoutes returns a follower's update about a table that is too large to be forwarded.
func omittedRoutes(from, to, version uint64) *link.FeedUpdate {
	update := routesUpdate(from, to, 0)
	update.OmitRoutes(version)
	return update
}

// A large table must not be read from the store by every entry: listeners wait for other entries
// to offer it.
func TestListenerWaitsForLargeRoutes(t *testing.T) {
	runInRole(t, follow.Listener, func(t *testing.T, k *Keeper, s *scriptedSource, _ *recordedUpstreams, _ *forwardRecorder) {
		startListening(k, t)
		calls := len(s.reads())
		k.HandleUpdate("a", omittedRoutes(10, 20, 7))
		time.Sleep(follow.ContentTimeout - time.Millisecond)
		require.True(t, k.EnqueueRoutes([]byte("7")))
		require.Equal(t, uint64(7), version(k))
		k.HandleUpdate("a", routesUpdate(20, 30, 8))
		require.Equal(t, uint64(8), version(k))
		time.Sleep(follow.ContentTimeout)
		synctest.Wait()
		require.Len(t, s.reads(), calls)
	})
}

// A change must not be lost because other entries were expected to offer it and do not: the
// listener reads the feed itself, from the position before the change.
func TestListenerReadsLargeRoutesThatDoNotArrive(t *testing.T) {
	for name, then := range map[string]func(k *Keeper, recorder *forwardRecorder){
		"and nothing else comes":   func(*Keeper, *forwardRecorder) {},
		"and an update follows":    func(k *Keeper, _ *forwardRecorder) { k.HandleUpdate("a", routesUpdate(20, 25, 0)) },
		"and a newer one is known": func(k *Keeper, _ *forwardRecorder) { k.HandleUpdate("a", omittedRoutes(20, 25, 9)) },
		"and an older one comes":   func(k *Keeper, _ *forwardRecorder) { k.EnqueueRoutes([]byte("6")) },
		"and followers are silent": func(k *Keeper, _ *forwardRecorder) { k.DropFollower("a") },
		"and it becomes follower": func(k *Keeper, recorder *forwardRecorder) {
			recorder.role.Store(uint32(follow.Follower))
			k.DropFollower("a")
		},
	} {
		t.Run(name, func(t *testing.T) {
			runInRole(t, follow.Listener, func(t *testing.T, k *Keeper, s *scriptedSource, _ *recordedUpstreams, recorder *forwardRecorder) {
				startListening(k, t)
				k.HandleUpdate("a", omittedRoutes(10, 20, 7))
				began := time.Now()
				then(k, recorder)
				s.routes <- answer{version: 9, cursor: 30}
				require.Equal(t, uint64(9), version(k))
				require.LessOrEqual(t, time.Since(began), follow.ContentTimeout)
				require.Equal(t, uint64(10), s.reads()[len(s.reads())-1], "from the position before the change")
			})
		})
	}
}

// A large table must not be decoded each time that it is offered.
func TestAppliedTableIsNotDecodedAgain(t *testing.T) {
	runInRole(t, follow.Standalone, func(t *testing.T, k *Keeper, s *scriptedSource, _ *recordedUpstreams, _ *forwardRecorder) {
		k.EnqueueRoutes([]byte("5"))
		require.Equal(t, uint64(5), version(k))
		decoded := s.decoded.Load()
		k.EnqueueRoutes([]byte("5"))
		k.EnqueueRoutes([]byte("4"))
		require.Equal(t, uint64(5), version(k))
		require.Equal(t, decoded, s.decoded.Load())
	})
}

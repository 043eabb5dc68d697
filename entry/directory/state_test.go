package directory

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/follow"
	"acaciacleat.example/peers/link"
	"github.com/stretchr/testify/require"
)

// others are the entries that a Keeper asks for the state of its feeds, and to which it sends it.
type others struct {
	mu    sync.Mutex
	asked []link.Feed
	sent  []*link.FeedUpdate
}

func (o *others) ask(feed link.Feed) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked = append(o.asked, feed)
	return true
}

func (o *others) send(_ string, state *link.FeedUpdate) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent = append(o.sent, state)
}

func (o *others) askedCount() int {
	synctest.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.asked)
}

func (o *others) sentStates() []*link.FeedUpdate {
	synctest.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]*link.FeedUpdate{}, o.sent...)
}

// runAmongOthers starts a Keeper that may ask others.
func runAmongOthers(t *testing.T, role *follow.Role, test func(t *testing.T, k *Keeper, s *scriptedSource, o *others)) {
	o := &others{}
	configure := func(c *Config) {
		c.Role = func() follow.Role { return *role }
		c.Ask, c.SendState = o.ask, o.send
	}
	runWith(t, configure, func(t *testing.T, k *Keeper, s *scriptedSource, _ *recordedUpstreams) { test(t, k, s, o) })
}

// wholeState returns the state of both feeds.
func wholeState() []*link.FeedUpdate {
	routes := routesUpdate(0, 20, 5)
	routes.Complete = true
	upstreams := &link.FeedUpdate{Feed: link.FeedUpstreams, To: 20, Complete: true, Changes: []dispatch.Change{{Upstream: dispatch.Upstream{ID: "a"}}}}
	return []*link.FeedUpdate{routes, upstreams}
}

// Guards against entries that read the store as they start although others could tell them.
func TestStartingEntryGetsTheStateFromOthers(t *testing.T) {
	role := follow.Attached
	runAmongOthers(t, &role, func(t *testing.T, k *Keeper, s *scriptedSource, o *others) {
		require.Equal(t, 2, o.askedCount())
		time.Sleep(firstAskWait / 2)
		for _, state := range wholeState() {
			k.HandleUpdate("relay", state)
			k.HandleUpdate("follower", &link.FeedUpdate{Feed: state.Feed, From: 20, To: 20})
		}
		require.Equal(t, uint64(5), version(k))
		require.True(t, k.Ready())
		k.HandleUpdate("follower", routesUpdate(20, 22, 6))
		require.Equal(t, uint64(6), version(k))
		require.Empty(t, s.reads())
		require.Equal(t, 2, o.askedCount())
	})
}

// Guards against an entry that reads the store because it has the state before the next word of a follower.
func TestStateOfKnownAgeLastsUntilTheNextConfirmation(t *testing.T) {
	role := follow.Attached
	runAmongOthers(t, &role, func(t *testing.T, k *Keeper, s *scriptedSource, o *others) {
		require.Equal(t, 2, o.askedCount())
		time.Sleep(firstAskWait / 2)
		for _, state := range wholeState() {
			state.Age = 10 * time.Millisecond
			k.HandleUpdate("relay", state)
		}
		time.Sleep(follow.FollowerReadWait)
		for _, feed := range []link.Feed{link.FeedRoutes, link.FeedUpstreams} {
			k.HandleUpdate("follower", &link.FeedUpdate{Feed: feed, From: 20, To: 20})
		}
		time.Sleep(follow.FollowerReadWait)
		synctest.Wait()
		require.Empty(t, s.reads())
	})
}

// Guards against an entry that waits for others which can't tell it anything.
func TestStartingEntryReadsWhenNobodyAnswers(t *testing.T) {
	role := follow.Attached
	runAmongOthers(t, &role, func(t *testing.T, k *Keeper, s *scriptedSource, o *others) {
		began := time.Now()
		s.routes <- answer{version: 3, cursor: 10}
		require.Equal(t, uint64(3), version(k))
		require.Equal(t, firstAskWait, time.Since(began))
	})
}

// Guards against an entry that reads the store before it knows whether others can tell it.
func TestEntryWithoutARoleReadsNothing(t *testing.T) {
	role := follow.Starting
	runAmongOthers(t, &role, func(t *testing.T, k *Keeper, s *scriptedSource, o *others) {
		time.Sleep(3 * time.Second)
		synctest.Wait()
		require.Empty(t, s.reads())
		role = follow.Standalone
		k.Wake()
		s.routes <- answer{version: 3, cursor: 10}
		require.Equal(t, uint64(3), version(k))
		require.Zero(t, o.askedCount())
	})
}

// Guards against all entries reading the store because their followers' position has jumped.
func TestEntryThatMissedAnUpdateAsksOthers(t *testing.T) {
	role := follow.Attached
	runAmongOthers(t, &role, func(t *testing.T, k *Keeper, s *scriptedSource, o *others) {
		require.Equal(t, 2, o.askedCount())
		for _, state := range wholeState() {
			k.HandleUpdate("relay", state)
			k.HandleUpdate("follower", &link.FeedUpdate{Feed: state.Feed, From: 20, To: 20})
		}
		require.Equal(t, uint64(5), version(k))
		k.HandleUpdate("follower", routesUpdate(30, 30, 0))
		require.Equal(t, 3, o.askedCount())
		state := routesUpdate(0, 30, 9)
		state.Complete = true
		k.HandleUpdate("relay", state)
		require.Equal(t, uint64(9), version(k))
		require.Empty(t, s.reads())
		k.HandleUpdate("follower", routesUpdate(40, 40, 0))
		s.routes <- answer{version: 10, cursor: 40}
		require.Equal(t, uint64(10), version(k), "nobody has answered")
	})
}

// Guards against an entry that sends a state before it has it, or an older one than its position says.
func TestStateIsSentOnceItIsKnown(t *testing.T) {
	role := follow.Follower
	runAmongOthers(t, &role, func(t *testing.T, k *Keeper, s *scriptedSource, o *others) {
		k.Ask("other", link.FeedRoutes)
		k.Ask("other", link.FeedUpstreams)
		require.Empty(t, o.sentStates())
		s.routes <- answer{version: 4, cursor: 10}
		require.Equal(t, []*link.FeedUpdate{{Feed: link.FeedRoutes, To: 10, Complete: true, Age: time.Millisecond, Routes: []byte("4")}}, o.sentStates())
		s.upstreams <- nil
		require.Len(t, o.sentStates(), 2)
		time.Sleep(3 * time.Second)
		require.Len(t, o.sentStates(), 2, "each question is answered once")
	})
}

// Guards against a state that lists an upstream which has left, or lacks one.
func TestStateListsTheRegistrationsThatCount(t *testing.T) {
	change := func(id string, revision uint64, removed bool) dispatch.Change {
		return dispatch.Change{Upstream: dispatch.Upstream{ID: id}, Revision: revision, Removed: removed, ColdFor: time.Second}
	}
	r := make(registrations)
	r.apply([]dispatch.Change{change("a", 1, false), change("b", 2, false)}, false)
	r.apply([]dispatch.Change{change("a", 3, false), change("b", 4, true)}, false)
	require.Equal(t, []dispatch.Change{{Upstream: dispatch.Upstream{ID: "a"}, Revision: 3}}, r.all())
	r.apply([]dispatch.Change{change("c", 5, false)}, true)
	require.Len(t, r.all(), 1)
	for i := range uint64(3 * maxRemoved) {
		r.apply([]dispatch.Change{change(fmt.Sprint("removed-", i), 10+i, true)}, false)
		require.LessOrEqual(t, len(r), maxRemoved+1)
	}
	require.Len(t, r.all(), 1)
	newest := change(fmt.Sprint("removed-", 3*maxRemoved-1), 7, false)
	require.Empty(t, r.news([]dispatch.Change{newest}))
}

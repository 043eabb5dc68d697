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

// told collects what a Keeper passes on, and plays its role.
type told struct {
	role atomic.Uint32

	mu   sync.Mutex
	news []*link.FeedUpdate
}

// all returns what was passed on up to now.
func (t *told) all() []*link.FeedUpdate {
	synctest.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.news)
}

func (t *told) add(news *link.FeedUpdate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.news = append(t.news, news)
}

// inRole starts a Keeper in a bubble of virtual time, in a role that the test may change. The
// source answers the routes' first read with version 1 at place 10.
func inRole(t *testing.T, role follow.Role, test func(t *testing.T, k *Keeper, s *source, u *upstreams, told *told)) {
	told := &told{}
	told.role.Store(uint32(role))
	configure := func(c *Config) {
		c.Role = func() follow.Role { return follow.Role(told.role.Load()) }
		c.Tell = told.add
	}
	runWith(t, configure, func(t *testing.T, k *Keeper, s *source, u *upstreams) {
		s.upstreams <- nil
		s.routes <- answer{version: 1, cursor: 10}
		require.Equal(t, uint64(1), version(k))
		test(t, k, s, u, told)
	})
}

// routesNews is what a follower tells of the routes.
func routesNews(from, to uint64, version int) *link.FeedUpdate {
	news := &link.FeedUpdate{Feed: link.FeedRoutes, From: from, To: to}
	if version > 0 {
		news.Routes = []byte(strconv.Itoa(version))
	}
	return news
}

func TestFollowerPassesOnWhatItReads(t *testing.T) {
	inRole(t, follow.Follower, func(t *testing.T, k *Keeper, s *source, _ *upstreams, told *told) {
		time.Sleep(settle)
		s.routes <- answer{version: 2, cursor: 12}
		require.Equal(t, uint64(2), version(k))
		var routes []*link.FeedUpdate
		for _, news := range told.all() {
			if news.Feed == link.FeedRoutes {
				routes = append(routes, news)
			}
		}
		require.Equal(t, []*link.FeedUpdate{
			{Feed: link.FeedRoutes, From: 10, To: 10}, // What was read from the beginning is not passed on.
			{Feed: link.FeedRoutes, From: 10, To: 12, Routes: []byte("2")},
		}, routes)
	})
}

// Symptom: listeners read by themselves every other second. Cause: a calm feed says nothing for
// longer than they rely on silence.
func TestFollowerSpeaksWhileNothingChanges(t *testing.T) {
	inRole(t, follow.Follower, func(t *testing.T, _ *Keeper, _ *source, _ *upstreams, told *told) {
		before := len(told.all())
		time.Sleep(10 * time.Second)
		synctest.Wait()
		feeds := 2
		require.GreaterOrEqual(t, len(told.all())-before, feeds*int(10*time.Second/follow.FollowerTimeout))
	})
}

func TestFollowerTellsThatItHasLostTheStore(t *testing.T) {
	inRole(t, follow.Follower, func(t *testing.T, _ *Keeper, s *source, _ *upstreams, told *told) {
		time.Sleep(settle)
		s.routes <- answer{err: table.ErrUnavailable}
		s.routes <- answer{err: table.ErrUnavailable}
		s.routes <- answer{version: 2, cursor: 12}
		synctest.Wait()
		var lost, returned int
		for _, news := range told.all() {
			if news.ReadFailed {
				lost++
			}
			if news.Recovered {
				returned++
			}
		}
		require.Equal(t, 1, lost)
		require.Equal(t, 1, returned)
	})
}

// listen lets a Keeper become a listener: a follower is heard of both feeds.
func listen(k *Keeper, t *testing.T) {
	t.Helper()
	k.Heard("a", routesNews(10, 10, 0))
	k.Heard("a", &link.FeedUpdate{Feed: link.FeedUpstreams, From: 1, To: 1})
	time.Sleep(time.Second) // A read that was under way has ended.
	k.Heard("a", routesNews(10, 10, 0))
	synctest.Wait()
}

func TestListenerReadsNothingAndHearsOfChanges(t *testing.T) {
	inRole(t, follow.Listener, func(t *testing.T, k *Keeper, s *source, u *upstreams, _ *told) {
		listen(k, t)
		calls := len(s.calls())
		place := uint64(10)
		for n := 2; n < 12; n++ {
			k.Heard("a", routesNews(place, place+5, n))
			place += 5
			k.Heard("a", &link.FeedUpdate{Feed: link.FeedUpstreams, From: uint64(n - 1), To: uint64(n), Changes: make([]dispatch.Change, 1)})
			require.Equal(t, uint64(n), version(k))
			time.Sleep(follow.FollowerReadWait)
		}
		require.Len(t, s.calls(), calls, "the store is not asked")
		require.GreaterOrEqual(t, u.applied, 10)
	})
}

// Symptom: an entry goes on by an old configuration. Sequence: its follower freezes; the
// configuration changes. Cause: it relied on who said nothing.
func TestListenerReadsWhenNobodyIsHeard(t *testing.T) {
	inRole(t, follow.Listener, func(t *testing.T, k *Keeper, s *source, _ *upstreams, _ *told) {
		listen(k, t)
		silent := time.Now()
		s.routes <- answer{version: 7, cursor: 30}
		require.Equal(t, uint64(7), version(k))
		require.LessOrEqual(t, time.Since(silent), follow.FollowerTimeout)
		require.Equal(t, uint64(10), s.calls()[len(s.calls())-1], "from where it stood")
	})
}

// Symptom, sequence and cause as above, where the follower loses the store or its link ends, or
// tells of changes that are too large to be sent along: the entry reads at once.
func TestListenerReadsAtOnceWhatItCantHear(t *testing.T) {
	for name, event := range map[string]func(k *Keeper){
		"the follower loses the store": func(k *Keeper) { k.Heard("a", &link.FeedUpdate{Feed: link.FeedRoutes, ReadFailed: true}) },
		"its link ends":                func(k *Keeper) { k.Gone("a") },
		"the routes are too large": func(k *Keeper) {
			k.Heard("a", &link.FeedUpdate{Feed: link.FeedRoutes, From: 10, To: 20, Omitted: true})
		},
		"a word was missed": func(k *Keeper) { k.Heard("a", routesNews(15, 20, 0)) },
	} {
		t.Run(name, func(t *testing.T) {
			inRole(t, follow.Listener, func(t *testing.T, k *Keeper, s *source, _ *upstreams, _ *told) {
				listen(k, t)
				began := time.Now()
				event(k)
				s.routes <- answer{version: 7, cursor: 30}
				require.Equal(t, uint64(7), version(k))
				require.Zero(t, time.Since(began))
				require.Equal(t, uint64(10), s.calls()[len(s.calls())-1], "from where it stood")
			})
		})
	}
}

// Symptom: requests are refused for want of upstreams when the store returns. Sequence: it was
// away, registrations lapsed, and a listener hears of their removal from its follower. Cause: only
// who had lost the store itself doubted what vanishes just then.
func TestListenerDoubtsWhatVanishesAtTheStoresReturn(t *testing.T) {
	inRole(t, follow.Listener, func(t *testing.T, k *Keeper, _ *source, u *upstreams, _ *told) {
		listen(k, t)
		before := u.lost
		k.Heard("a", &link.FeedUpdate{Feed: link.FeedUpstreams, From: 1, To: 9, Recovered: true, Changes: make([]dispatch.Change, 1)})
		require.Equal(t, before+1, u.lost)
	})
}

// Symptom: an entry goes on by an old configuration until the next change. Sequence: tables come
// faster than they are decoded; one is dropped. Cause: the feed went on behind it.
func TestDroppedRoutesAreReadAgain(t *testing.T) {
	inRole(t, follow.Standalone, func(t *testing.T, k *Keeper, s *source, _ *upstreams, _ *told) {
		synctest.Wait()
		free := k.routes.apply
		k.routes.mu.Lock()
		k.routes.apply = func(time.Time, *link.FeedUpdate, origin) bool { return false }
		k.routes.mu.Unlock()
		s.routes <- answer{version: 2, cursor: 12}
		synctest.Wait()
		k.routes.mu.Lock()
		k.routes.apply = free
		k.routes.mu.Unlock()
		require.Equal(t, uint64(1), version(k))
		s.routes <- answer{version: 2, cursor: 12}
		require.Equal(t, uint64(2), version(k))
		require.Equal(t, []uint64{10, 10}, s.calls()[1:3])
	})
}

func TestListenerFollowsWhenItIsChosen(t *testing.T) {
	inRole(t, follow.Listener, func(t *testing.T, k *Keeper, s *source, _ *upstreams, told *told) {
		listen(k, t)
		told.role.Store(uint32(follow.Follower))
		k.Gone("a")
		s.routes <- answer{version: 3, cursor: 30}
		require.Equal(t, uint64(3), version(k))
		news := told.all()
		require.Equal(t, []byte("3"), news[len(news)-1].Routes)
	})
}

// padded returns an encoded table that is too large to be sent along.
func padded(version int) []byte {
	return append([]byte(strconv.Itoa(version)), bytes.Repeat([]byte(" "), mostRoutes)...)
}

func TestOfLargeRoutesTheVersionIsSentAlong(t *testing.T) {
	k := New(Config{Source: newSource(), Log: zerolog.Nop()})
	news := &link.FeedUpdate{Feed: link.FeedRoutes, From: 3, To: 4, Routes: padded(12)}
	told := k.outgoingRoutes(news)
	require.True(t, told.Omitted)
	require.Equal(t, uint64(12), told.OmittedVersion())
	require.Less(t, len(told.Routes), 10)
	require.Equal(t, []uint64{3, 4}, []uint64{told.From, told.To})
	require.Equal(t, padded(12), news.Routes, "the entry's own copy stays")

	told = k.outgoingRoutes(&link.FeedUpdate{Feed: link.FeedRoutes, From: 3, To: 4, Routes: bytes.Repeat([]byte("x"), mostRoutes+1)})
	require.Equal(t, &link.FeedUpdate{Feed: link.FeedRoutes, From: 3, To: 4, Omitted: true}, told, "without a version that can't be read")
}

// omitted is what a follower tells of a table that is too large to be sent along.
func omitted(from, to, version uint64) *link.FeedUpdate {
	news := routesNews(from, to, 0)
	news.OmitRoutes(version)
	return news
}

// Guards against all entries reading a large table from the store that few need to read.
func TestListenerLeavesLargeRoutesToOthers(t *testing.T) {
	inRole(t, follow.Listener, func(t *testing.T, k *Keeper, s *source, _ *upstreams, _ *told) {
		listen(k, t)
		calls := len(s.calls())
		k.Heard("a", omitted(10, 20, 7))
		time.Sleep(follow.ContentTimeout - time.Millisecond)
		require.True(t, k.Offer([]byte("7")))
		require.Equal(t, uint64(7), version(k))
		k.Heard("a", routesNews(20, 30, 8))
		require.Equal(t, uint64(8), version(k))
		time.Sleep(follow.ContentTimeout)
		synctest.Wait()
		require.Len(t, s.calls(), calls)
	})
}

// Guards against a change that an entry never hears of, because it was to come from others.
func TestListenerReadsLargeRoutesThatDoNotCome(t *testing.T) {
	for name, then := range map[string]func(k *Keeper, told *told){
		"and nothing else comes":   func(*Keeper, *told) {},
		"and further news come":    func(k *Keeper, _ *told) { k.Heard("a", routesNews(20, 25, 0)) },
		"and a newer one is told":  func(k *Keeper, _ *told) { k.Heard("a", omitted(20, 25, 9)) },
		"and an older one comes":   func(k *Keeper, _ *told) { k.Offer([]byte("6")) },
		"and followers are silent": func(k *Keeper, _ *told) { k.Gone("a") },
		"and it is chosen to read": func(k *Keeper, told *told) { told.role.Store(uint32(follow.Follower)); k.Gone("a") },
	} {
		t.Run(name, func(t *testing.T) {
			inRole(t, follow.Listener, func(t *testing.T, k *Keeper, s *source, _ *upstreams, told *told) {
				listen(k, t)
				k.Heard("a", omitted(10, 20, 7))
				began := time.Now()
				then(k, told)
				s.routes <- answer{version: 9, cursor: 30}
				require.Equal(t, uint64(9), version(k))
				require.LessOrEqual(t, time.Since(began), follow.ContentTimeout)
				require.Equal(t, uint64(10), s.calls()[len(s.calls())-1], "from before the change")
			})
		})
	}
}

// Guards against a large table being decoded as often as it is offered.
func TestTableInForceIsNotDecodedAgain(t *testing.T) {
	inRole(t, follow.Standalone, func(t *testing.T, k *Keeper, s *source, _ *upstreams, _ *told) {
		k.Offer([]byte("5"))
		require.Equal(t, uint64(5), version(k))
		decoded := s.decoded.Load()
		k.Offer([]byte("5"))
		k.Offer([]byte("4"))
		require.Equal(t, uint64(5), version(k))
		require.Equal(t, decoded, s.decoded.Load())
	})
}

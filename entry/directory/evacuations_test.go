package directory

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"acaciacleat.example/core/evacuation"
	"acaciacleat.example/core/follow"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/table"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// recordedEvacuations holds the changes that it has received.
type recordedEvacuations struct {
	mu      sync.Mutex
	changes []evacuation.Change
	reads   int
	failed  int
	known   bool
}

func (e *recordedEvacuations) Read(_ time.Time, changes []evacuation.Change, _, _ uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reads++
	e.changes = append(e.changes, changes...)
}

func (e *recordedEvacuations) ReadFailed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failed++
}

func (e *recordedEvacuations) ReceiveUpdate(_ time.Time, _ string, changes []evacuation.Change) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changes = append(e.changes, changes...)
}

func (*recordedEvacuations) RecordFaults(time.Time, []error) {}

func (e *recordedEvacuations) Known() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known
}

var evacuated = []evacuation.Change{{Zone: "zone-a", Version: 11, Evacuated: true}}

// Guards against an evacuation that waits for routes which are omitted, can't be applied or skip an update.
func TestEvacuationsDoNotWaitForRoutes(t *testing.T) {
	updates := map[string]*link.FeedUpdate{
		"routes omitted":          omittedRoutes(10, 12, 7),
		"version unknown":         omittedRoutes(10, 12, 0),
		"routes can't be decoded": {Feed: link.FeedRoutes, From: 10, To: 12, Routes: []byte("damaged")},
		"an update was missed":    routesUpdate(11, 12, 0),
	}
	for name, update := range updates {
		t.Run(name, func(t *testing.T) {
			sink := &recordedEvacuations{}
			k := New(Config{Source: newSource(), Evacuations: sink, Log: zerolog.Nop(), Role: func() follow.Role { return follow.Listener }})
			update.Evacuations = evacuated
			k.HandleUpdate("follower", update)
			require.Equal(t, evacuated, sink.changes)
		})
	}
}

// Guards against listeners that take a position for known without the evacuations up to it: a follower
// forwards them, also without the routes, unless it has read everything and forwards a position only.
func TestFollowerForwardsEvacuations(t *testing.T) {
	k := New(Config{Source: newSource(), Log: zerolog.Nop()})
	update := &link.FeedUpdate{Feed: link.FeedRoutes, From: 3, To: 12, Routes: largeRoutes(12), Evacuations: evacuated}
	outgoing := k.outgoingRoutes(&batch{FeedUpdate: update})
	require.True(t, outgoing.Omitted)
	require.Equal(t, evacuated, outgoing.Evacuations)
	update.From = 0
	require.Equal(t, &link.FeedUpdate{Feed: link.FeedRoutes, From: 12, To: 12}, k.outgoingRoutes(&batch{FeedUpdate: update}))
}

// Guards against an entry that serves before it knows where it may send requests, and against one that
// doesn't learn that it has lost the store.
func TestReadyOnceEvacuationsAreKnown(t *testing.T) {
	sink := &recordedEvacuations{}
	runWith(t, func(c *Config) { c.Evacuations = sink }, func(t *testing.T, k *Keeper, s *scriptedSource, _ *recordedUpstreams) {
		s.upstreams <- nil
		k.EnqueueRoutes([]byte("5"))
		require.Equal(t, uint64(5), version(k))
		require.False(t, k.Ready())
		s.routes <- answer{err: table.ErrUnavailable}
		s.routes <- answer{err: table.ErrHistoryTruncated}
		s.routes <- answer{version: 5, cursor: 10}
		synctest.Wait()
		sink.mu.Lock()
		require.Equal(t, [2]int{1, 1}, [2]int{sink.reads, sink.failed}, "a dropped history is no loss")
		sink.known = true
		sink.mu.Unlock()
		require.True(t, k.Ready())
	})
}

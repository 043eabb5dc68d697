package directory

import (
	"context"
	"sync"
	"testing"
	"time"

	core "acaciacleat.example/core/evacuation"
	"acaciacleat.example/core/follow"
	"acaciacleat.example/entry/evacuation"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/table"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// answeringSource answers reads of the routes with what a test sets.
type answeringSource struct {
	*scriptedSource
	next RoutesUpdate
}

func (s *answeringSource) Routes(context.Context, uint64, time.Duration) (RoutesUpdate, error) {
	return s.next, nil
}

func routesAnswer(version int, named, rows uint64, full bool, evacuations ...core.Change) RoutesUpdate {
	a := RoutesUpdate{Revision: rows, Evacuations: evacuations, Extent: table.Extent{Named: named, Rows: rows, Full: full}}
	if version > 0 {
		a.Value = largeRoutes(version)
	}
	return a
}

type evacuatedZones struct {
	mu    sync.Mutex
	zones []string
}

func (z *evacuatedZones) SetEvacuated(_ time.Time, zones []string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.zones = zones
}

func (*evacuatedZones) InZone(string) (upstreams, requests int) { return 0, 0 }

// newReading returns a Keeper whose reads of the routes the test makes itself.
func newReading(evacuations Evacuations) (*Keeper, *answeringSource, func(RoutesUpdate), *[]*link.FeedUpdate) {
	source := &answeringSource{scriptedSource: newSource()}
	var sent []*link.FeedUpdate
	k := New(Config{
		Source: source, Upstreams: &recordedUpstreams{}, Evacuations: evacuations, Log: zerolog.Nop(),
		Role: func() follow.Role { return follow.Follower }, Forward: func(u *link.FeedUpdate, _ bool) { sent = append(sent, u) },
	})
	read := func(a RoutesUpdate) {
		source.next = a
		_, _ = k.routes.readOnce(context.Background(), follow.Follower, time.Second)
		for len(k.received) > 0 {
			k.applyReceived(<-k.received)
			k.queued.Add(-1)
		}
	}
	return k, source, read, &sent
}

// Guards against an evacuation that a whole read ends which confirms nothing, since it is older than the evacuation.
func TestOlderWholeReadEndsNoEvacuation(t *testing.T) {
	zones := &evacuatedZones{}
	evacuations := evacuation.New(zones, zerolog.Nop())
	k, _, read, _ := newReading(evacuations)
	// The state comes from others, as at a start.
	evacuations.Receive(time.Now(), "other", core.Report{Position: 5})
	k.HandleUpdate("other", &link.FeedUpdate{Feed: link.FeedRoutes, To: 10, Complete: true, Routes: []byte("1")})
	zone := core.Change{Zone: "zone-a", Version: 12, Evacuated: true}
	read(routesAnswer(0, 12, 12, false, zone))
	read(routesAnswer(0, 12, 12, false, zone))
	require.Equal(t, follow.Position(12), k.routes.state.Proven())
	require.Equal(t, []string{"zone-a"}, zones.zones)
	read(routesAnswer(2, 20, 20, false))
	read(routesAnswer(0, 20, 0, false))
	require.True(t, k.routes.state.Confirms())
	read(routesAnswer(1, 11, 10, false))
	require.Equal(t, []string{"zone-a"}, zones.zones, "the list is older than the evacuation")
	require.Empty(t, evacuations.TakeReport(true).Changes[1:], "others must not be told that it has ended")
}

// Guards against listeners that take a page with changes which is full, or a whole read that is older than the position, for a confirmation.
func TestAnswersThatConfirmNothingConfirmNothingAtListeners(t *testing.T) {
	_, _, read, sent := newReading(noEvacuations{})
	read(routesAnswer(1, 10, 10, false))
	*sent = nil
	read(routesAnswer(2, 20, 20, true))
	require.Len(t, *sent, 1)
	listener, _, _, _ := newReading(noEvacuations{})
	listener.HandleUpdate("other", &link.FeedUpdate{Feed: link.FeedRoutes, To: 10, Complete: true, Routes: []byte("1")})
	listener.HandleUpdate("follower", (*sent)[0])
	require.False(t, listener.routes.state.MissedUpdate())
	require.Negative(t, listener.Age(time.Now(), link.FeedRoutes), "the page may have been followed by others")
}

// Guards against a whole read after a dropped history that is older than what the store has named, and is taken for the present.
func TestOlderWholeReadAfterADroppedHistoryConfirmsNothing(t *testing.T) {
	runConfirming(t, func(t *testing.T, k *Keeper, s *confirmingSource) {
		_, named := k.known()
		require.Equal(t, follow.Position(10), named)
		s.named.Store(9)
		s.routes <- answer{err: table.ErrHistoryTruncated}
		time.Sleep(100 * time.Millisecond)
		ok, _ := confirms(k)
		require.False(t, ok)
	})
}

// Guards against state that is read without the lock while another entry's update changes it. It fails with the race detector.
func TestReadsBesideUpdates(t *testing.T) {
	k, _, read, _ := newReading(noEvacuations{})
	read(routesAnswer(1, 10, 10, false))
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for to := uint64(4e9); ; to++ {
			select {
			case <-stop:
				return
			default:
				k.HandleUpdate("other", &link.FeedUpdate{Feed: link.FeedRoutes, From: 10, To: to})
			}
		}
	}()
	for i := range 500 {
		read(routesAnswer(2+i, 3e9+uint64(i), 3e9+uint64(i), true)) // A full page of large rows: the next read is of everything.
	}
	close(stop)
	<-done
}

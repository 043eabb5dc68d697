package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"acaciacleat.example/core/attempt"
	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/reachability"
	"acaciacleat.example/peers/service"
	"github.com/stretchr/testify/require"
)

// zoneFixture is an entry in zone a with four upstreams in each of the zones a, b and c. Dials to zone c stay
// unanswered while it is silent, and all dials while the entry is isolated.
type zoneFixture struct {
	fleet    *dispatch.Fleet
	clients  *Clients
	silent   atomic.Bool
	isolated atomic.Bool
	// dials counts those to zone c.
	dials atomic.Int64
}

func newZoneFixture() *zoneFixture {
	w := &zoneFixture{fleet: dispatch.NewFleet(dispatch.Settings{Zone: "a", Origin: 1}), clients: NewClients()}
	var changes []dispatch.Change
	for _, zone := range []string{"a", "b", "c"} {
		for i := range 4 {
			id := fmt.Sprint(zone, i)
			changes = append(changes, dispatch.Change{Upstream: dispatch.Upstream{ID: id, Service: "s", Address: id, Zone: zone, Slots: 1}})
		}
	}
	w.fleet.ApplyChanges(time.Now(), changes, true)
	w.clients.dial = w.dial
	w.clients.WatchZones(NewZoneWatch(w.fleet, w.clients))
	return w
}

func (w *zoneFixture) dial(ctx context.Context, _, address string) (net.Conn, error) {
	if w.isolated.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if strings.HasPrefix(address, "c") {
		w.dials.Add(1)
		if w.silent.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
	}
	client, server := net.Pipe()
	_ = server.Close()
	return client, nil
}

func (w *zoneFixture) dialZone(zone string) error {
	conn, err := w.clients.dialIn(zone)(context.Background(), "tcp", zone+"0")
	if err == nil {
		_ = conn.Close()
	}
	return err
}

// Guards against requests that each wait for a dial to time out in a zone that can't be reached, and
// against a zone that stays left out once it can be reached again.
func TestZoneThatDoesNotAnswerIsLeftOutUntilItReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newZoneFixture()
		w.silent.Store(true)
		require.NoError(t, w.dialZone("b"))
		began := time.Now()
		require.ErrorIs(t, w.dialZone("c"), errZoneCut)
		require.Equal(t, reachability.SuspectAfter+reachability.CheckTimeout, time.Since(began))
		require.True(t, w.fleet.ZoneCut("c"))
		w.silent.Store(false)
		time.Sleep(reachability.CheckInterval)
		synctest.Wait()
		require.False(t, w.fleet.ZoneCut("c"))
	})
}

// Guards against a zone that is left out because of one upstream that doesn't answer.
func TestSilentUpstreamDoesNotCutItsZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newZoneFixture()
		require.NoError(t, w.dialZone("b"))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := w.clients.zones.dial(ctx, "c", func(ctx context.Context) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.False(t, w.fleet.ZoneCut("c"))
		require.LessOrEqual(t, w.dials.Load(), int64(reachability.CheckSize))
	})
}

// Guards against entries that each find a cut by their own requests, and against a zone that an entry leaves
// out because another one says so.
func TestEntryChecksAZoneThatAnotherOneCannotReach(t *testing.T) {
	for _, silent := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newZoneFixture()
			w.silent.Store(silent)
			require.NoError(t, w.dialZone("b"))
			reports := []dispatch.ZoneReport{{From: dispatch.TagOf("a"), To: dispatch.TagOf("c")}}
			for _, zone := range w.fleet.ApplyZoneReports(time.Now(), 2, reports) {
				w.clients.zones.Doubt(zone)
			}
			time.Sleep(reachability.CheckTimeout)
			synctest.Wait()
			require.Equal(t, silent, w.fleet.ZoneCut("c"))
			w.silent.Store(false)
			time.Sleep(reachability.CheckInterval)
			synctest.Wait()
			require.False(t, w.fleet.ZoneCut("c"))
		})
	}
}

// Guards against an entry that has just lost the network and breaks off its calls in the other zones.
func TestIsolatedEntryBlamesNoZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newZoneFixture()
		require.NoError(t, w.dialZone("b"))
		w.isolated.Store(true)
		go func() { _ = w.dialZone("c") }()
		time.Sleep(reachability.SuspectAfter + reachability.CheckTimeout)
		synctest.Wait()
		require.Zero(t, w.fleet.CutZones())
		w.isolated.Store(false)
		w.clients.zones.endAll("c")
	})
}

// Guards against a cut that isn't found because this entry has no traffic with the other zones.
func TestIdleEntryFindsACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newZoneFixture()
		w.silent.Store(true)
		require.ErrorIs(t, w.dialZone("c"), errZoneCut)
		w.silent.Store(false)
		time.Sleep(reachability.CheckInterval)
	})
}

// Guards against a call whose dial is ended by a cut and that counts as sent, or speaks against its upstream,
// which other zones reach.
func TestDialEndedByACutIsNotSentAndBlamesNoUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newZoneFixture()
		w.silent.Store(true)
		upstream := dispatch.Upstream{ID: "c0", Service: "s", Address: "c0", Zone: "c", Slots: 1}
		used, release := w.clients.acquire(upstream)
		defer release()
		_, err := used.http.Do(t.Context(), service.Call{Method: "POST", Path: "/", TimeLeft: time.Minute})
		require.ErrorIs(t, err, service.ErrNotSent)
		require.Equal(t, dispatch.Abandoned, transportOutcome(err))
		e := &exchange{g: New(Config{Fleet: w.fleet, Metrics: NewMetrics(), Now: time.Now}), r: httptest.NewRequest("POST", "/ask", nil), attempts: make([]attemptRecord, 1)}
		e.machine = attempt.New(attempt.Request{Retries: NewBudgets(Allowance{}, 1).ForService("s")})
		e.reservationFailed(upstream, err)
		require.Empty(t, w.fleet.TakeReports(time.Now()))
		w.silent.Store(false)
		time.Sleep(reachability.CheckInterval)
	})
}

package gateway

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/reachability"
	"github.com/pkg/errors"
)

// errZoneCut is the cause of a dial that ended because its zone can't be reached.
var errZoneCut = errors.New("the availability zone can't be reached")

// ZoneWatch finds the availability zones that this entry can't reach. If a dial stays unanswered, it dials
// other upstreams of the zone; if none of them answers, the zone is cut off: the other dials there end at
// once, silent calls there count as stalled, and requests go to other zones. It is safe for concurrent
// use.
type ZoneWatch struct {
	fleet  *dispatch.Fleet
	dialer func(ctx context.Context, network, address string) (net.Conn, error)

	// ctx ends the checks.
	ctx  context.Context
	stop context.CancelFunc

	mu sync.Mutex
	// onCuts holds, by zone, what ends the dials and rechecks the calls in progress there.
	onCuts map[string]map[*func()]struct{}
}

// NewZoneWatch returns a ZoneWatch that dials as the given clients do.
func NewZoneWatch(fleet *dispatch.Fleet, clients *Clients) *ZoneWatch {
	z := &ZoneWatch{fleet: fleet, dialer: clients.dial, onCuts: make(map[string]map[*func()]struct{})}
	z.ctx, z.stop = context.WithCancel(context.Background())
	return z
}

// Stop ends the checks of zones.
func (z *ZoneWatch) Stop() { z.stop() }

// dial dials an upstream of a zone.
func (z *ZoneWatch) dial(ctx context.Context, zone string, dial func(ctx context.Context) (net.Conn, error)) (net.Conn, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer z.onCut(zone, func() { cancel(errZoneCut) })()
	began := time.Now()
	timer := time.AfterFunc(reachability.SuspectAfter, func() { z.check(zone, began) })
	defer timer.Stop()
	conn, err := dial(ctx)
	if err != nil {
		if cause := context.Cause(ctx); errors.Is(cause, errZoneCut) {
			return nil, cause
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			z.fleet.ZoneAnswered(time.Now(), zone)
		}
		return nil, err
	}
	z.fleet.ZoneAnswered(time.Now(), zone)
	return conn, nil
}

// watch makes a stallWatch check its call once the call's zone is cut off, until the returned function is
// called.
func (z *ZoneWatch) watch(stall *stallWatch) (remove func()) {
	if z == nil || stall.timer == nil {
		return func() {}
	}
	return z.onCut(stall.zone, func() { stall.timer.Reset(0) })
}

// cut reports whether a zone is cut off.
func (z *ZoneWatch) cut(zone string) bool { return z != nil && z.fleet.ZoneCut(zone) }

// onCut registers what is called once a zone is cut off, until the returned function is called.
func (z *ZoneWatch) onCut(zone string, end func()) (remove func()) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.onCuts[zone] == nil {
		z.onCuts[zone] = make(map[*func()]struct{})
	}
	key := &end
	z.onCuts[zone][key] = struct{}{}
	return func() {
		z.mu.Lock()
		defer z.mu.Unlock()
		delete(z.onCuts[zone], key)
	}
}

// Doubt checks a zone that another entry can't reach.
func (z *ZoneWatch) Doubt(zone string) { go z.check(zone, time.Now()) }

// check dials upstreams of a zone, if a check is due because a dial has been unanswered since a time. While
// the zone is cut off it is checked again.
func (z *ZoneWatch) check(zone string, unansweredSince time.Time) {
	began := time.Now()
	upstreams := z.fleet.BeginZoneCheck(began, zone, unansweredSince)
	if len(upstreams) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(z.ctx, reachability.CheckTimeout)
	defer cancel()
	var witnesses sync.WaitGroup
	for _, upstream := range z.fleet.ZoneWitnesses(zone) {
		witnesses.Go(func() {
			if z.answers(ctx, upstream) {
				z.fleet.ZoneAnswered(time.Now(), upstream.Zone)
			}
		})
	}
	answered := z.anyAnswers(ctx, upstreams)
	if !answered {
		witnesses.Wait()
	}
	if z.ctx.Err() != nil {
		return // Dials that were stopped show nothing.
	}
	if z.fleet.EndZoneCheck(time.Now(), began, zone, answered) {
		z.endAll(zone)
	}
	if z.fleet.ZoneCut(zone) {
		next := began.Add(reachability.CheckInterval)
		time.AfterFunc(time.Until(next), func() { z.check(zone, next) })
	}
}

// anyAnswers reports whether one of the upstreams answers.
func (z *ZoneWatch) anyAnswers(ctx context.Context, upstreams []dispatch.Upstream) bool {
	answers := make(chan bool, len(upstreams))
	for _, upstream := range upstreams {
		go func() { answers <- z.answers(ctx, upstream) }()
	}
	for range upstreams {
		if <-answers {
			return true
		}
	}
	return false
}

// answers reports whether an upstream accepts or refuses a connection.
func (z *ZoneWatch) answers(ctx context.Context, upstream dispatch.Upstream) bool {
	conn, err := z.dialer(ctx, "tcp", upstream.Address)
	if err == nil {
		_ = conn.Close() // Nothing was sent.
	}
	return err == nil || errors.Is(err, syscall.ECONNREFUSED)
}

// endAll ends the dials in a zone and rechecks its calls.
func (z *ZoneWatch) endAll(zone string) {
	z.mu.Lock()
	var ends []func()
	for end := range z.onCuts[zone] {
		ends = append(ends, *end)
	}
	z.mu.Unlock()
	for _, end := range ends {
		end()
	}
}

package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"acaciacleat.example/platform/standin"
	"github.com/pkg/errors"
)

// feedKinds are the disruptions of the paths by which entries learn of changes.
var feedKinds = []Kind{
	StoreOutage, StoreUnresponsive, StoreAnswersLost, StoreDelayed, StoreFeedsClosed, StoreCompacted, StoreGap, StoreGap, StoreGap,
	StoreVersionsAhead, StoreVersionsAhead,
	StoreReset, StoreSilent, StoreSilent, StoreOneWay, StoreSlow, StoreTurnsAway, StoreTurnsAway, Pause, Kill,
}

const (
	// calmPeriod follows each disruption of a plan for feeds, so that entries are in touch again for a while.
	calmPeriod = stableWindow + 1500*time.Millisecond
	// maxFeedDisruption is the longest disruption of such a plan.
	maxFeedDisruption = 4500 * time.Millisecond
	// maxChangePause is the longest pause between two versions of the configuration.
	maxChangePause = 600 * time.Millisecond
)

// NewFeedPlan returns a random plan of a run that lasts d, in which the configuration changes all the time and upstreams
// leave, while disruptions of the paths to the store come one after the other: each change must be applied in
// time by the entries that are in touch. The same arguments give the same plan.
func NewFeedPlan(seed uint64, d time.Duration, entries, cpuPercent int) (*Plan, error) {
	p := &Plan{
		Seed: seed, Entries: entries, Engines: 4, Plains: 4, Callers: 12, CPUPercent: cpuPercent,
		LastsMs: int(d.Milliseconds()), QuietMs: int((recoveryLimit + quietPeriod).Milliseconds()),
	}
	end := d - recoveryLimit - quietPeriod
	if end <= warmup+maxFeedDisruption {
		return nil, errors.Errorf("a run must last more than %s", recoveryLimit+quietPeriod+warmup+maxFeedDisruption)
	}
	random := rand.New(rand.NewPCG(seed, 7))
	draw := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	add := func(at, duration time.Duration, kind Kind) {
		p.Events = append(p.Events, Event{
			AtMs: int(at.Milliseconds()), ForMs: int(duration.Milliseconds()), Kind: kind, Target: random.IntN(1 << 16),
		})
	}
	for at := warmup; at < end-maxFeedDisruption; at += calmPeriod {
		lasts := minPause + draw(maxFeedDisruption-minPause)
		kind := feedKinds[random.IntN(len(feedKinds))]
		first := len(p.Events)
		add(at, lasts, kind)
		for range random.IntN(entries) {
			if targetsOneEntry(kind) { // Others are disrupted with it, at most all but one.
				p.Events = append(p.Events, p.Events[first])
				p.Events[len(p.Events)-1].Target += len(p.Events) - first - 1
			}
		}
		for _, kind := range []Kind{Drain, LeaveUnsaid} {
			if leaves := at + draw(lasts+calmPeriod); leaves < end-2*leaveLimit {
				add(leaves, minPause, kind)
			}
		}
		at += lasts
	}
	for at := warmup; at < end; at += draw(maxChangePause) {
		if !p.afterGap(at) {
			add(at, 0, Configure)
		}
	}
	p.normalizeTargets()
	p.AccessCallers = accessCallers
	p.drawReadsBehind(end)
	return p, nil
}

// afterGap reports whether a time is within quietAfterGap after the beginning of a StoreGap.
func (p *Plan) afterGap(at time.Duration) bool {
	return slices.ContainsFunc(p.Events, func(e Event) bool {
		since := at - time.Duration(e.AtMs)*time.Millisecond
		return e.Kind == StoreGap && since >= 0 && since < quietAfterGap
	})
}

// targetsOneEntry reports whether a kind disrupts an entry alone, and not the store.
func targetsOneEntry(kind Kind) bool {
	return slices.Contains([]Kind{StoreReset, StoreSilent, StoreOneWay, StoreSlow, StoreTurnsAway, Pause, Kill}, kind)
}

const (
	// gapDuration is how long feeds hear nothing before the store drops its history, changeDelay how long after the
	// beginning the changes are made.
	gapDuration = 1200 * time.Millisecond
	changeDelay = 200 * time.Millisecond
	// quietAfterGap is how long nothing else is configured then: the next version would hide that one was missed.
	quietAfterGap = gapDuration + calmPeriod
)

// leaveGap keeps changes from all feed calls for gapDuration and then drops the history. A version is written and an
// upstream begins to leave meanwhile. What the store answers, and whether reads that wait notice, follows from variant.
func (h *harness) leaveGap(ctx context.Context, replica *standin.Replica, duration time.Duration, variant int) {
	end := h.recorder.begin(&disruption{part: partStore, entry: allEntries, stretches: true})
	drop := h.standins.Store.Compact
	if variant%2 == 1 {
		drop = h.standins.Store.CompactUnnoticed
	}
	h.standins.Store.Silence(standin.Silences[variant/2%len(standin.Silences)])
	wait(ctx, changeDelay)
	h.configure(0)
	go h.drainUpstream(ctx, replica, duration)
	wait(ctx, gapDuration-changeDelay)
	drop()
	end()
}

// moveVersionsAhead writes versions of the configuration between the choice of an answer's rows and that of the version
// which it names, in one of aheadEvery reads.
func (h *harness) moveVersionsAhead(ctx context.Context, duration time.Duration) {
	var reads atomic.Int64
	h.standins.Store.BetweenRowsAndVersion(func(table string) {
		if table == "op" && reads.Add(1)%aheadEvery == 0 {
			h.configure(0)
		}
	})
	wait(ctx, duration)
	h.standins.Store.BetweenRowsAndVersion(nil)
}

// aheadEvery is odd, so that each of several entries whose reads run in step is met.
const aheadEvery = 5

// turnAway makes the store refuse the calls of one entry with 503. The disruption is the store's, so it counts for all.
func (h *harness) turnAway(ctx context.Context, e *entry, duration time.Duration) {
	refusing := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}), ReadHeaderTimeout: time.Minute}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.recorder.addViolation(NotRecovered, "no listener to refuse an entry's calls: %v", err)
		return
	}
	go func() { _ = refusing.Serve(listener) }() // Close ends it.
	defer refusing.Close()
	defer h.recorder.begin(&disruption{part: partStore, entry: allEntries, stretches: true})()
	e.storeRelay.SetTarget(listener.Addr().String())
	e.storeRelay.Reset()
	wait(ctx, duration)
	e.storeRelay.SetTarget(h.standins.Address())
	e.storeRelay.CloseConnections()
}

// leaveUnsaid removes an upstream from the registry without a word, and checks that it gets no more requests.
func (h *harness) leaveUnsaid(ctx context.Context, replica *standin.Replica, duration time.Duration) {
	h.checkUnused(ctx, replica, duration, func() { h.standins.Store.Remove("servers", replica.ID) })
}

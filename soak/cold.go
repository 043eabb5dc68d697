package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"acaciacleat.example/platform/standin"
)

const (
	// coldPerSecond is the rate that all upstreams bear while they are cold, in requests per second.
	coldPerSecond = 8
	// maxColdRestarts is the largest number of ColdRestart events of a plan.
	maxColdRestarts = 4
	// minColdDuration and maxColdDuration bound ColdRestart.
	minColdDuration = 2500 * time.Millisecond
	maxColdDuration = 5 * time.Second
)

// coldFigures returns the figures of the plan's services: none if no upstream becomes cold.
func (p *Plan) coldFigures() standin.ColdFigures {
	if !slices.ContainsFunc(p.Events, func(e Event) bool { return e.Kind == ColdRestart }) {
		return standin.ColdFigures{}
	}
	return standin.ColdFigures{Seconds: minColdDuration.Seconds(), PerSecond: coldPerSecond}
}

// drawColdRestarts adds ColdRestart events between two times, from a random source of its own.
func (p *Plan) drawColdRestarts(from, to time.Duration) {
	random := rand.New(rand.NewPCG(p.Seed, 3))
	spare := to - from - maxColdDuration
	if spare <= 0 {
		return
	}
	for range 1 + random.IntN(maxColdRestarts) {
		p.Events = append(p.Events, Event{
			AtMs:  int((from + time.Duration(random.Int64N(int64(spare)))).Milliseconds()),
			ForMs: int((minColdDuration + time.Duration(random.Int64N(int64(maxColdDuration-minColdDuration)))).Milliseconds()),
			Kind:  ColdRestart, Target: random.IntN(1 << 16),
		})
	}
}

// coldRestart restarts an upstream under its ID, cold, and checks that it gets no more than it bears from
// the time on at which entries must know.
func (h *harness) coldRestart(ctx context.Context, replica *standin.Replica, duration time.Duration) {
	lock := h.rowLocks[replica]
	lock.Lock()
	defer lock.Unlock()
	end := h.recorder.beginDisruption(partUpstreams, allEntries)
	replica.BecomeCold(duration, coldPerSecond, restartNoticeLimit)
	replica.Restart(time.Now().UnixMilli(), false)
	replica.Register(h.standins.Store, "ready")
	end()
	wait(ctx, duration)
	_, worst, crashed := replica.ColdArrivals()
	h.recorder.checkCold(replica.ID, worst, crashed)
}

// checkCold checks the worst second of a cold upstream.
func (r *recorder) checkCold(id string, worst int, crashed bool) {
	share := float64(worst) / standin.ColdBound(coldPerSecond)
	r.mu.Lock()
	r.coldShare = max(r.coldShare, share)
	r.mu.Unlock()
	if share > 1 || crashed {
		r.addViolation(ColdExceeded, "%s got %d requests in a second while it was cold; %.1f tolerated", id, worst, standin.ColdBound(coldPerSecond))
	}
}

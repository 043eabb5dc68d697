package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"acaciacleat.example/platform/standin"
)

const (
	// maxSlowEngines is the largest number of EngineSlow events of a plan.
	maxSlowEngines = 4
	// minSlowDuration and maxSlowDuration bound them; slowdown is the factor of the pauses.
	minSlowDuration = time.Second
	maxSlowDuration = 5 * time.Second
	slowdown        = 3
)

// drawSlowEngines adds EngineSlow events between two times. They have a random source of their own, so
// that a seed keeps its other events.
func (p *Plan) drawSlowEngines(from, to time.Duration) {
	random := rand.New(rand.NewPCG(p.Seed, 72))
	spare := to - from - maxSlowDuration
	if spare <= 0 {
		return
	}
	for range random.IntN(maxSlowEngines + 1) {
		at := from + time.Duration(random.Int64N(int64(spare)))
		lasts := minSlowDuration + time.Duration(random.Int64N(int64(maxSlowDuration-minSlowDuration)))
		p.Events = append(p.Events, Event{
			AtMs: int(at.Milliseconds()), ForMs: int(lasts.Milliseconds()), Kind: EngineSlow, Target: random.IntN(1 << 16),
		})
	}
}

// slowEngine makes an engine slow for a time. No request may fail for that, unless it has begun and its time
// is over.
func (h *harness) slowEngine(ctx context.Context, engine *standin.Replica, duration time.Duration) {
	defer h.recorder.beginDisruption(partEngineSpeed, allEntries)()
	engine.SlowDown(slowdown)
	wait(ctx, duration)
	engine.SlowDown(1)
}

package soak

import (
	"context"
	"time"
)

// Standstill is a period in which the command's own process did not run, because the machine stood still or
// had no time for it. Requests that were on their way then are late at all entries at once. Violations
// count all the same: the report shows what may have caused them.
type Standstill struct {
	AtMs  int `json:"atMs"`
	ForMs int `json:"forMs"`
}

const (
	// tickInterval is how often the process is expected to run.
	tickInterval = 100 * time.Millisecond
	// minStandstill is the least delay of a tick that is reported, less than the 1.5 s that an answer may
	// come after its deadline.
	minStandstill = time.Second
)

// watchStandstills records standstills until ctx ends.
func (r *recorder) watchStandstills(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			r.recordTick(last, now)
			last = now
		}
	}
}

// recordTick records a tick and the one before it.
func (r *recorder) recordTick(last, now time.Time) {
	late := now.Sub(last) - tickInterval
	if late < minStandstill {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.standstills = append(r.standstills, Standstill{
		AtMs: int(last.Add(tickInterval).Sub(r.startedAt).Milliseconds()), ForMs: int(late.Milliseconds()),
	})
}

func (r *recorder) allStandstills() []Standstill {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.standstills
}

// Package standstill notices that the process did not run for a while: it was stopped, its machine stood still or had
// no processor time for it. Nobody tells a process so, and until it has read what it missed, what it knows may be as old
// as the standstill is long. It does no I/O.
package standstill

import (
	"sync/atomic"
	"time"
)

const (
	// Limit is the longest time without an observation that is no standstill. Together with the time in which an
	// entry reads again it is below the bounds of configurations and departures.
	Limit = 500 * time.Millisecond
	// Interval is the interval at which Detector.Observe must be called.
	Interval = 50 * time.Millisecond
)

// Detector notices standstills from the times at which the process is seen to run. It is safe for concurrent use.
type Detector struct {
	last, ended atomic.Pointer[time.Time]
	standstills atomic.Uint64
}

// New returns a Detector of a process that runs now.
func New(now time.Time) *Detector {
	d := &Detector{}
	d.last.Store(&now)
	d.ended.Store(&time.Time{})
	return d
}

// Observe records that the process runs at a time. If it is the first observation after a standstill, it returns how
// long that was.
//
// Besides the periodic calls, whatever relies on recent knowledge must call it: after a standstill, a request may be
// handled before the next tick.
func (d *Detector) Observe(now time.Time) (stoodStill time.Duration) {
	last := d.last.Load()
	gap := elapsed(*last, now)
	switch {
	case gap > Limit:
		// It is stored before last, so that nobody sees the process run again without knowing that it had stood still.
		d.ended.Store(&now)
		if !d.last.CompareAndSwap(last, &now) {
			return 0 // Another call has noticed the same standstill.
		}
		d.standstills.Add(1)
		return gap
	case gap >= Interval/2:
		d.last.CompareAndSwap(last, &now)
	}
	return 0
}

// elapsed returns the time from one moment to another by the clock that says more. The monotonic clock does not run while
// a VM is suspended, and the time of day may be set back.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Ended returns when the last standstill ended; zero if there was none.
func (d *Detector) Ended() time.Time { return *d.ended.Load() }

// Count returns the number of standstills.
func (d *Detector) Count() uint64 { return d.standstills.Load() }

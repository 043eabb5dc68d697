package directory

import (
	"context"
	"sync"
	"time"

	"acaciacleat.example/core/follow"
	"acaciacleat.example/core/standstill"
)

// When the process has stood still, changes that the store acknowledged meanwhile are not known here, although their
// bounds may be over, and requests that have arrived meanwhile wait to be handled. So both feeds are read again at once,
// and requests wait until what they are handled by is at least as new as the end of the standstill.

const (
	// confirmWait is how long a read that confirms the state waits for a change: the least that the store takes.
	confirmWait = time.Millisecond
	// confirmLimit is how long after a standstill requests wait. Then they are served by what is known, as
	// while the store is away.
	confirmLimit = 500 * time.Millisecond
)

// currency notifies those who wait until the state is current.
type currency struct {
	mu sync.Mutex
	// changed is closed, and dropped, when the state may have become current.
	changed chan struct{}
}

// next returns a channel that is closed when the state may have become current.
func (c *currency) next() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

func (c *currency) notify() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// Current reports whether routes and upstreams are at least as new as the end of the last standstill of the process, or
// that end is too long ago to wait for them.
func (k *Keeper) Current() bool {
	now := time.Now()
	since := k.observe(now)
	return k.currentSince(since) || now.Sub(since) >= confirmLimit
}

// AwaitCurrent returns once Current reports true, or when ctx ends.
func (k *Keeper) AwaitCurrent(ctx context.Context) {
	now := time.Now()
	since := k.observe(now)
	left := confirmLimit - now.Sub(since)
	if k.currentSince(since) || left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	for {
		changed := k.currency.next()
		if k.currentSince(since) {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// WatchStandstills notices standstills also while no requests arrive, until ctx ends.
func (k *Keeper) WatchStandstills(ctx context.Context) {
	ticker := time.NewTicker(standstill.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.observe(time.Now())
		}
	}
}

// Standstills returns the number of standstills of the process.
func (k *Keeper) Standstills() uint64 { return k.standstills.Count() }

// observe records that the process runs, and returns the end of its last standstill; zero if there was none. It makes
// the feeds be read again after one.
func (k *Keeper) observe(now time.Time) (ended time.Time) {
	if stoodStill := k.standstills.Observe(now); stoodStill > 0 {
		k.config.Log.Warn().Int64("for_ms", stoodStill.Milliseconds()).Msg("the process did not run; reading the feeds again")
		k.routes.readAgain()
		k.upstreams.readAgain()
	}
	return k.standstills.Ended()
}

// currentSince reports whether both feeds were read since a time, and what was read is active.
func (k *Keeper) currentSince(since time.Time) bool {
	return since.IsZero() || k.routes.hasReadSince(since) && k.upstreams.hasReadSince(since) && k.queued.Load() == 0
}

// hasReadSince reports whether a read that was begun at a time or later has succeeded. One that was begun before may
// have been answered at any time since.
func (f *feed) hasReadSince(since time.Time) bool {
	began := f.readSince.Load()
	return began != nil && !began.Before(since)
}

// unconfirmed reports whether the feed must be read because of a standstill. An entry that listens need not read it any
// more once FollowerTimeout has passed: followers have read since then what they send.
func (f *feed) unconfirmed(role follow.Role) bool {
	ended := f.standstills.Ended()
	if ended.IsZero() || f.hasReadSince(ended) {
		return false
	}
	return !role.Listens() || time.Since(ended) < follow.FollowerTimeout
}

// readAgain ends the pause or read in progress, and makes the entry read the feed.
func (f *feed) readAgain() {
	if interrupt := f.interrupt.Load(); interrupt != nil {
		(*interrupt)()
	}
	f.wake()
}

// beginAnew makes the next read begin from the beginning if that was asked for.
func (f *feed) beginAnew() {
	if f.anew.Swap(false) {
		f.mu.Lock()
		f.reset()
		f.mu.Unlock()
	}
}

// reset makes the entry read everything from the store itself: what others know may lack the same changes, and an entry
// that listens reads because others are silent. It is called with mu held.
func (f *feed) reset() {
	f.state.Reset()
	f.asked = true
}

// interruptible returns a context that readAgain ends, and a function that releases it.
func (f *feed) interruptible(ctx context.Context) (step context.Context, end context.CancelFunc) {
	step, end = context.WithCancel(ctx)
	f.interrupt.Store(&end)
	return step, end
}

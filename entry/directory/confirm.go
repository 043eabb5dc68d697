package directory

import (
	"context"
	"sync"
	"time"

	"acaciacleat.example/core/follow"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// A caller doesn't repeat a request that it is told is wrong. So none is refused for good by a routing table that is only
// believed to be the newest. An entry among others waits for the next answer of the store that it or a follower gets, which costs
// no call. Where there is none soon, it asks the store itself: once for all requests that wait, and for the whole table, since reads
// of changes may lack one.

const (
	// confirmTimeout bounds a read that confirms the routes, and how long a request waits for one after answerWait.
	confirmTimeout = time.Second
	// answerWait is how long a request first waits for an answer that needs no further read. An answer counts if it has come
	// answerTransit after the request: those that come earlier may have been given before.
	answerWait    = time.Second
	answerTransit = 50 * time.Millisecond
	// confirmRate is the number of such reads a second beyond confirmBurst at once, so that a flood of requests costs few calls.
	confirmRate  = 2
	confirmBurst = 10
)

// errNotConfirmed is the error of a read whose answer is older than what was known when it began.
var errNotConfirmed = errors.New("the store's answer is older than what is known")

// confirmation is the last read that was to confirm that the active routing table is the newest.
type confirmation struct {
	mu sync.Mutex
	// scheduled says that a read is in progress or due.
	scheduled bool
	limiter   *rate.Limiter
	began     time.Time
	// newest is the version that the store had; zero if the read failed.
	newest uint64
	// confirmed and failed count the reads.
	confirmed, failed uint64
}

// since returns the newest version by a read that began at a time or later; ok is false if none has ended yet.
func (c *confirmation) since(at time.Time) (newest uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest, !c.began.Before(at)
}

// schedule makes read be called as soon as confirmRate allows, unless that is due already.
func (c *confirmation) schedule(read func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.scheduled {
		return
	}
	c.scheduled = true
	time.AfterFunc(c.limiter.Reserve().Delay(), read)
}

func (c *confirmation) end(began time.Time, newest uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduled, c.began, c.newest = false, began, newest
	if newest == 0 {
		c.failed++
		return
	}
	c.confirmed++
}

// ConfirmRoutes waits until an answer of the store to this entry or a follower, after a time, shows that the active routes are the newest;
// if itself is set, until the store shows it to a read that this entry has begun since. Newer routes become active before. It reports
// false if that fails, takes too long, or can't be expected because the store doesn't answer.
func (k *Keeper) ConfirmRoutes(ctx context.Context, since time.Time, itself bool) bool {
	if !itself && !k.storeAway() && k.config.Role() != follow.Standalone && k.awaitAnswer(ctx, since.Add(answerTransit)) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for {
		changed := k.currency.next()
		newest, read := k.confirmation.since(since)
		switch {
		case !read && k.storeAway(), read && newest == 0:
			return false
		case !read:
			k.confirmation.schedule(k.readConfirmation)
		case newest <= k.version() && k.Newest() <= k.version():
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// storeAway reports whether the store has not answered for longer than usual.
func (k *Keeper) storeAway() bool { return k.routes.age(time.Now()) > k.usualAge() }

// awaitAnswer waits for answerWait until an answer that came at a time or later shows that the active routes are the newest.
func (k *Keeper) awaitAnswer(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(answerWait)
	defer timer.Stop()
	for {
		changed := k.currency.next()
		if k.routes.confirmedSince(at) && k.queued.Load() == 0 && k.Newest() <= k.version() {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// Confirmations returns the numbers of reads that have confirmed the newest routes, and of those that have not.
func (k *Keeper) Confirmations() (confirmed, failed uint64) {
	k.confirmation.mu.Lock()
	defer k.confirmation.mu.Unlock()
	return k.confirmation.confirmed, k.confirmation.failed
}

// readConfirmation reads which routes are the newest, and queues them if they are newer than the active ones.
func (k *Keeper) readConfirmation() {
	began := time.Now()
	newest, err := k.readNewest(began)
	if err != nil {
		k.config.Log.Warn().Err(err).Int64("took_ms", time.Since(began).Milliseconds()).Uint64("in_force", k.version()).
			Msg("the store doesn't confirm that the routes in force are the newest; requests that they don't allow may come again")
	}
	k.confirmation.end(began, newest)
	k.currency.notify()
}

// readNewest returns the newest version of the routes.
func (k *Keeper) readNewest(began time.Time) (version uint64, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	known, named := k.known()
	update, err := k.config.Source.Routes(ctx, 0, 0)
	switch {
	case err != nil:
		return 0, err
	case update.Value == nil, follow.Position(update.Extent.Named) < named:
		return 0, errNotConfirmed
	}
	version, err = k.config.Source.Version(update.Value)
	switch {
	case err != nil:
		return 0, err
	case version < known:
		return 0, errNotConfirmed
	case version > k.version() && !k.enqueue(receivedRoutes{update.Value, fromStore, began}):
		return 0, errNotConfirmed
	}
	return version, nil
}

// known returns the newest version of the routes that anyone is known to have, and the newest version that the store is known to have
// named.
func (k *Keeper) known() (version uint64, named follow.Position) {
	k.routes.mu.Lock()
	defer k.routes.mu.Unlock()
	return max(k.Newest(), k.version()), k.routes.state.Named()
}

package directory

import (
	"context"
	"maps"
	"slices"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/follow"
	"acaciacleat.example/peers/link"
)

// An entry that lacks the state of a feed asks another one before it reads the store, so that the
// store's load does not grow with the entries that start or that have missed an update. An entry that
// can't answer at once does so when it has read or received the state.

const (
	// startPoll is the longest wait of an entry that has just started for its role.
	startPoll = 500 * time.Millisecond
	// followerAskWait is how long a follower waits for the state before it reads it: others may wait
	// for the follower.
	followerAskWait = 150 * time.Millisecond
	// missedAskWait is how long an entry that has missed an update waits, and firstAskWait one that
	// has just started. The latter covers the start of the followers where all start at once.
	missedAskWait = 400 * time.Millisecond
	firstAskWait  = 1200 * time.Millisecond
)

// askOthers asks another entry for the state and waits for the answer. It reports false if there is
// nobody to ask, or others were asked in vain.
func (f *feed) askOthers(ctx context.Context, role follow.Role) bool {
	f.mu.Lock()
	fresh := f.state.Position() == 0
	wait := missedAskWait
	switch {
	case role == follow.Follower:
		wait = followerAskWait
	case fresh:
		wait = firstAskWait
	}
	// An entry whose followers are silent reads at once: what others know may be as old.
	ask := !f.asked && (fresh || role.Listens() && f.state.MissedUpdate()) && role != follow.Standalone
	f.asked = f.asked || ask
	f.mu.Unlock()
	if !ask || f.config.Ask == nil {
		return false
	}
	if !f.config.Ask(f.name) {
		f.log.Info().Bool("started", fresh).Msg("no entry can be asked for the state; reading the store")
		return false
	}
	began := time.Now()
	for left := wait; left > 0 && ctx.Err() == nil; left = wait - time.Since(began) {
		f.waitForWakeup(ctx, left)
		if f.upToDate(role) {
			return true
		}
	}
	if f.upToDate(role) {
		return true
	}
	f.mu.Lock()
	position := f.state.Position()
	f.mu.Unlock()
	f.log.Info().Bool("started", fresh).Uint64("position", uint64(position)).Int64("waited_ms", time.Since(began).Milliseconds()).
		Msg("others did not confirm the state in time; reading the store")
	return false
}

// upToDate reports whether the entry need not read the feed any more, or has the state from which a
// follower goes on.
func (f *feed) upToDate(role follow.Role) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if role == follow.Follower {
		return f.state.Position() != 0
	}
	_, ok := f.state.CanListen(time.Now(), role)
	return ok
}

// handleState handles the whole state, which another entry has sent. It is called with mu held.
func (f *feed) handleState(now time.Time, update *link.FeedUpdate) {
	var confirmed time.Time
	if update.Age > 0 {
		confirmed = now.Add(-update.Age)
	}
	if f.state.HandleState(follow.Position(update.To), confirmed) {
		f.applyContent(now, update)
	}
	f.wake()
	f.answerAskers(now)
}

// handleAsk handles another entry's question for the state.
func (f *feed) handleAsk(now time.Time, vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.askers == nil {
		f.askers = make(map[string]bool)
	}
	f.askers[vm] = true
	f.answerAskers(now)
}

// answerAskers sends the state to the entries that have asked for it, if it is known. It is called
// with mu held.
func (f *feed) answerAskers(now time.Time) {
	if len(f.askers) == 0 || f.config.SendState == nil {
		return
	}
	f.recordApplied()
	confirmed, ok := f.state.Confirmed(now)
	if !ok {
		return
	}
	state := f.wholeState(f.state.Position())
	if state == nil {
		return
	}
	state.Age = max(now.Sub(confirmed), time.Millisecond)
	for vm := range f.askers {
		f.config.SendState(vm, state)
	}
	clear(f.askers)
}

// Ask handles another entry's question for the state of a feed.
func (k *Keeper) Ask(vm string, name link.Feed) {
	switch name {
	case link.FeedRoutes:
		k.routes.handleAsk(time.Now(), vm)
	case link.FeedUpstreams:
		k.upstreams.handleAsk(time.Now(), vm)
	default:
		k.config.Log.Warn().Str("entry", vm).Uint8("feed", uint8(name)).Msg("the state of a feed that isn't known was asked for")
	}
}

// Wake makes the feeds look at this entry's role again.
func (k *Keeper) Wake() {
	k.routes.wake()
	k.upstreams.wake()
}

// wholeRoutes returns the routes in force; nil while others are queued.
func (k *Keeper) wholeRoutes(position follow.Position) *link.FeedUpdate {
	if k.queued.Load() > 0 || k.Table() == nil {
		return nil
	}
	update := &link.FeedUpdate{Feed: link.FeedRoutes, To: uint64(position), Complete: true, Routes: k.Value()}
	k.omitLarge(update)
	return update
}

// wholeUpstreams returns all registrations.
func (k *Keeper) wholeUpstreams(position follow.Position) *link.FeedUpdate {
	return &link.FeedUpdate{Feed: link.FeedUpstreams, To: uint64(position), Complete: true, Changes: k.registrations.all()}
}

// registrations are the latest registrations of all upstreams, and those that were removed since everything was last
// read: rows come more than once. The lock of the upstreams' feed guards them.
type registrations map[string]dispatch.Change

// apply applies changes; whole says that they list every upstream.
func (r registrations) apply(changes []dispatch.Change, whole bool) {
	if whole {
		clear(r)
	}
	for _, change := range changes {
		if change.Removed && change.Revision == 0 {
			delete(r, change.ID)
			continue
		}
		change.ColdFor = 0 // It counts from the registration; reports on cold upstreams say what is left.
		r[change.ID] = change
	}
	r.forgetRemoved()
}

// maxRemoved bounds the removed registrations that are remembered, at many times those of the time for which a row comes again.
const maxRemoved = 4096

// forgetRemoved drops the older half of the removed registrations if there are too many.
func (r registrations) forgetRemoved() {
	if len(r) <= maxRemoved {
		return
	}
	var revisions []uint64
	for _, known := range r {
		if known.Removed {
			revisions = append(revisions, known.Revision)
		}
	}
	if len(revisions) <= maxRemoved {
		return
	}
	slices.Sort(revisions)
	middle := revisions[len(revisions)/2]
	maps.DeleteFunc(r, func(_ string, known dispatch.Change) bool { return known.Removed && known.Revision < middle })
}

func (r registrations) all() []dispatch.Change {
	all := make([]dispatch.Change, 0, len(r))
	for _, change := range r {
		if !change.Removed {
			all = append(all, change)
		}
	}
	return all
}

// news returns the changes that are newer than what is known. Those without a revision are.
func (r registrations) news(changes []dispatch.Change) (news []dispatch.Change) {
	for _, change := range changes {
		if change.Revision == 0 || change.Revision > r[change.ID].Revision {
			news = append(news, change)
		}
	}
	return news
}

// unlisted returns the removals of the registrations that are not among all as of a version.
func (r registrations) unlisted(all []dispatch.Change, version uint64) (removals []dispatch.Change) {
	listed := make(map[string]bool, len(all))
	for i := range all {
		listed[all[i].ID] = true
	}
	for id, known := range r {
		if !listed[id] && !known.Removed {
			removals = append(removals, dispatch.Change{Upstream: dispatch.Upstream{ID: id}, Revision: version, Removed: true})
		}
	}
	return removals
}

package directory

import (
	"time"

	"acaciacleat.example/core/follow"
	"acaciacleat.example/peers/link"
	"github.com/rs/zerolog"
)

// rejection is why a routing table that has arrived was not applied.
type rejection uint8

const (
	// inForce: it is in force already. older: a newer one is.
	inForce rejection = iota
	older
	undecodable
	queueFull
	rejections
)

// String returns the reason's name in logs and metrics.
func (r rejection) String() string {
	return [rejections]string{"in_force", "older", "undecodable", "queue_full"}[r]
}

// rejectOld records that a routing table has arrived that is not newer than the one in force.
func (k *Keeper) rejectOld(r *receivedRoutes, version uint64) {
	why, level := older, zerolog.InfoLevel
	if version == k.version() {
		why, level = inForce, zerolog.DebugLevel
	}
	k.notApplied[why].Add(1)
	k.config.Log.WithLevel(level).Str("from", string(r.from)).Uint64("version", version).Uint64("in_force", k.version()).
		Stringer("reason", why).Msg("routes have arrived that are not newer than those in force")
}

// rejectRoutes records that a routing table has arrived that can't be applied. A version of zero is unknown.
func (k *Keeper) rejectRoutes(r *receivedRoutes, version uint64, why rejection, err error) {
	k.notApplied[why].Add(1)
	k.config.Log.Warn().Err(err).Str("from", string(r.from)).Uint64("version", version).Uint64("in_force", k.version()).
		Stringer("reason", why).Msg("routes have arrived that can't be applied; those in force stay")
}

// NotApplied returns the number of routing tables that have arrived and were not applied, by reason.
func (k *Keeper) NotApplied() map[string]uint64 {
	counts := make(map[string]uint64, rejections)
	for why := range rejections {
		counts[why.String()] = k.notApplied[why].Load()
	}
	return counts
}

// HeardOf records that somebody has a version of the routes.
func (k *Keeper) HeardOf(version uint64) {
	for {
		newest := k.newest.Load()
		if version <= newest || k.newest.CompareAndSwap(newest, version) {
			return
		}
	}
}

// Newest returns the newest version of the routes that the entry has heard of from anyone.
func (k *Keeper) Newest() uint64 { return k.newest.Load() }

// InForceSince returns when the active routing table was applied; zero if there is none.
func (k *Keeper) InForceSince() time.Time {
	if at := k.inForceSince.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// PassedOver returns the number of changes of a feed that reads had passed over: the source had named newer versions
// without them.
func (k *Keeper) PassedOver(feed link.Feed) uint64 { return k.feedOf(feed).answers.countPassedOver() }

// usualDelay is how much older than the wait of a read, or than FollowerTimeout, a feed may usually be.
const usualDelay = 500 * time.Millisecond

// Lagging reports whether requests that arrive now may be handled by what is known to be old: the entry has heard of
// newer routes, or a feed is older than usual.
func (k *Keeper) Lagging(now time.Time) bool {
	return k.RoutesLagging(now) || k.upstreams.age(now) > k.usualAge()
}

// RoutesLagging is Lagging for the routes alone.
func (k *Keeper) RoutesLagging(now time.Time) bool {
	return k.Newest() > k.version() || k.routes.age(now) > k.usualAge()
}

// usualAge is the age up to which a feed isn't older than usual.
func (k *Keeper) usualAge() time.Duration {
	return max(k.config.Wait, follow.FollowerTimeout) + usualDelay
}

// Explain adds to a line what the entry knows and from which reads.
func (k *Keeper) Explain(line *zerolog.Event) *zerolog.Event {
	return line.Uint64("routes_newest", k.Newest()).
		Array("routes_reads", k.routes.answers.last(maxExplainedReads)).
		Array("upstreams_reads", k.upstreams.answers.last(maxExplainedReads))
}

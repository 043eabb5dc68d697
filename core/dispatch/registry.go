package dispatch

import "time"

// registry tracks outages of the registry and decides how long an upstream whose registration
// was removed stays in use.
//
// During an outage upstreams can't renew their registrations, so they lapse although the
// upstreams are alive. Acting on these removals as soon as the registry answers again would
// empty every service. Live upstreams register again about two seconds after the registry's
// return, so removals within lapseWindow of the return take effect only recoveryGrace after it.
//
// An upstream that shuts down must get no requests two seconds after its removal, of which an entry
// may hear that late if its connection to the registry has gone silent. So one failed read is no outage
// yet; several in a row are.
type registry struct {
	// answeredAt is the time of the last answer, to this entry or, by what they tell, to another one.
	// recoveredAt is the end of the last outage.
	answeredAt  time.Time
	recoveredAt time.Time
	// failures is the number of reads that have failed since the last answer.
	failures int
}

const (
	// minFailures is the number of reads in a row that must fail to show an outage. A read over a connection that
	// has gone silent fails once; the next one uses a new connection.
	minFailures = 2
	// maxUnheard is longer than it takes an entry that hears of no answer to read the registry itself, and
	// shorter than an outage in which registrations lapse.
	maxUnheard = 2300 * time.Millisecond
	// recoveryGrace is the time after the registry's return at which deferred removals take
	// effect. Live upstreams register again within about two seconds. An upstream that shuts
	// down and whose registration is removed in this period must get no requests after two
	// seconds; a live one that takes longer to register is unused for a few tenths of a second.
	recoveryGrace = 1850 * time.Millisecond
	// lapseWindow is the time after its return in which the registry still removes lapsed
	// registrations.
	lapseWindow = 1500 * time.Millisecond
)

// readFailed records that a read of the registry has failed.
func (r *registry) readFailed() { r.failures++ }

// answered records that the registry has answered, and reports whether it has been away until then.
func (r *registry) answered(now time.Time) (returned bool) {
	returned = r.failures >= minFailures
	if returned {
		r.recoveredAt = now
	}
	r.failures, r.answeredAt = 0, now
	return returned
}

// returned records that another entry, whose reads had failed, has had an answer. Its reads may have
// failed for a reason of its own, so that shows an outage only if this entry knows of no answer meanwhile.
// Of several such reports the first one counts.
func (r *registry) returned(now time.Time) {
	if now.Sub(r.answeredAt) >= maxUnheard && now.Sub(r.recoveredAt) > lapseWindow {
		r.recoveredAt = now
	}
}

// removalGrace returns how long an upstream that is removed now stays in use; zero removes it
// at once.
func (r *registry) removalGrace(now time.Time) time.Duration {
	if r.recoveredAt.IsZero() || now.Sub(r.recoveredAt) > lapseWindow {
		return 0
	}
	return recoveryGrace - now.Sub(r.recoveredAt)
}

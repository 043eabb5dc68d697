package dispatch

import "time"

// registry tracks outages of the registry and decides how long an upstream whose registration
// was removed stays in use.
//
// During an outage upstreams can't renew their registrations, so they lapse although the
// upstreams are alive. Acting on these removals as soon as the registry answers again would
// empty every service. Live upstreams register again about two seconds after the registry's
// return, so removals within lapseWindow of the return take effect only recoveryGrace after it.
type registry struct {
	// unavailable is set from the first failed call to the next answer; recoveredAt is the time
	// of that answer.
	unavailable bool
	lastFailure time.Time
	recoveredAt time.Time
}

const (
	// recoveryGrace is the time after the registry's return at which deferred removals take
	// effect. Live upstreams register again within about two seconds. An upstream that shuts
	// down and whose registration is removed in this period must get no requests after two
	// seconds; a live one that takes longer to register is unused for a few tenths of a second.
	recoveryGrace = 1850 * time.Millisecond
	// lapseWindow is the time after its return in which the registry still removes lapsed
	// registrations.
	lapseWindow = 1500 * time.Millisecond
)

func (r *registry) markUnavailable(now time.Time) {
	r.unavailable = true
	r.lastFailure = now
}

func (r *registry) markAvailable(now time.Time) {
	if r.unavailable {
		r.unavailable = false
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

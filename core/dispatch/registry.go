package dispatch

import "time"

// registry judges how far a removal from the registry can be believed.
//
// What goes wrong: while the registry is away, upstreams can't renew their entries, which
// then lapse although the upstreams live. One would notice all upstreams vanish at the
// registry's return and every request refused. Living upstreams are back in the list
// about two seconds after its return; so what vanishes just then is believed only shortly
// before that time.
type registry struct {
	// away is when it last failed to answer; returned when it first answered again.
	away     bool
	lastLost time.Time
	returned time.Time
}

const (
	// returnGrace is the time from the registry's return in which a removal is doubted.
	// Living upstreams register again within about two seconds, and one that leaves without
	// a word, whose entry is removed just then, must get nothing after two seconds: a
	// living one that takes longer is left out for some tenths of a second.
	returnGrace = 1850 * time.Millisecond
	// settleTime is how long after its return the registry still removes what had lapsed.
	settleTime = 1500 * time.Millisecond
)

func (r *registry) lost(now time.Time) {
	r.away = true
	r.lastLost = now
}

func (r *registry) answered(now time.Time) {
	if r.away {
		r.away = false
		r.returned = now
	}
}

// grace returns how long a unit that is removed now stays in use; zero: not at all.
func (r *registry) grace(now time.Time) time.Duration {
	if r.returned.IsZero() || now.Sub(r.returned) > settleTime {
		return 0
	}
	return returnGrace - now.Sub(r.returned)
}

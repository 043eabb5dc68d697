// Package breaker implements a circuit breaker as a state machine without I/O. Without
// it, every process would continue to send calls and retries to a service that is down or
// overloaded, and the load would be highest while the service tries to recover. The
// breaker refuses calls for some time after consecutive failures, and then lets one call
// through at a time until enough of them have succeeded.
package breaker

import "time"

// State is the state of a Breaker.
type State uint8

const (
	// Closed lets all calls through.
	Closed State = iota
	// Open refuses all calls.
	Open
	// HalfOpen lets one call through at a time.
	HalfOpen
)

var stateNames = [...]string{"closed", "open", "half-open"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// Outcome is the way in which a call ended.
type Outcome uint8

const (
	// Success means that the service answered, even if it refused the call.
	Success Outcome = iota
	// Failure means that the service did not answer or could not serve the call.
	Failure
	// Neutral means that the call shows nothing about the service, for example because
	// its caller gave up.
	Neutral
)

// Settings are the parameters of a Breaker. All are positive.
type Settings struct {
	// Failures is the number of consecutive failures that opens the breaker.
	Failures int
	// OpenFor is how long the breaker stays open at first. Each failed probe doubles
	// it, up to MaxOpenFor.
	OpenFor    time.Duration
	MaxOpenFor time.Duration
	// Successes is the number of consecutive successful probes that closes the breaker.
	Successes int
	// ProbeTimeout is the time after which a probe without a reported outcome counts as
	// failed. Without it, a single missing report would block the breaker in HalfOpen.
	ProbeTimeout time.Duration
}

// DefaultSettings suit a service that answers within two seconds.
var DefaultSettings = Settings{
	Failures:     5,
	OpenFor:      500 * time.Millisecond,
	MaxOpenFor:   10 * time.Second,
	Successes:    2,
	ProbeTimeout: 10 * time.Second,
}

// Permit identifies one call that was let through.
type Permit struct {
	// period is the number of the period, the time between two changes of state, in which
	// the call began. Outcomes that are reported in a later period are ignored.
	period uint64
}

// Breaker decides which calls are let through. It is not safe for concurrent use. All
// times passed to it must come from one monotonic clock.
type Breaker struct {
	settings Settings
	state    State
	period   uint64
	// consecutive counts consecutive failures while closed and consecutive successes
	// while half-open.
	consecutive int
	openFor     time.Duration
	openUntil   time.Time
	// probing means that a probe is running, which must end by probeDeadline.
	probing       bool
	probeDeadline time.Time
}

// New returns a closed breaker.
func New(settings Settings) *Breaker {
	return &Breaker{settings: settings, openFor: settings.OpenFor}
}

// State returns the state at now.
func (b *Breaker) State(now time.Time) State {
	b.advance(now)
	return b.state
}

// Allow reports whether a call may begin at now. If ok is true, the call's outcome must be
// reported with Done.
func (b *Breaker) Allow(now time.Time) (permit Permit, ok bool) {
	b.advance(now)
	switch b.state {
	case Closed:
		return Permit{period: b.period}, true
	case HalfOpen:
		return b.allowProbe(now)
	default:
		return Permit{}, false
	}
}

// RetryAfter returns the time from now until the next call may be let through; 0 means
// immediately.
func (b *Breaker) RetryAfter(now time.Time) time.Duration {
	b.advance(now)
	switch {
	case b.state == Open:
		return b.openUntil.Sub(now)
	case b.state == HalfOpen && b.probing:
		return b.probeDeadline.Sub(now)
	default:
		return 0
	}
}

// Done records the outcome of a call. It must be called once for each permit. Outcomes of
// calls that began in an earlier period are ignored.
func (b *Breaker) Done(permit Permit, now time.Time, outcome Outcome) {
	b.advance(now)
	if permit.period != b.period {
		return
	}
	switch b.state {
	case Closed:
		b.doneClosed(now, outcome)
	case HalfOpen:
		b.doneProbe(now, outcome)
	}
}

func (b *Breaker) advance(now time.Time) {
	if b.state == Open && !now.Before(b.openUntil) {
		b.enter(HalfOpen)
	}
	if b.state == HalfOpen && b.probing && !now.Before(b.probeDeadline) {
		b.reopen(now)
	}
}

func (b *Breaker) allowProbe(now time.Time) (Permit, bool) {
	if b.probing {
		return Permit{}, false
	}
	b.probing = true
	b.probeDeadline = now.Add(b.settings.ProbeTimeout)
	return Permit{period: b.period}, true
}

func (b *Breaker) doneClosed(now time.Time, outcome Outcome) {
	switch outcome {
	case Success:
		b.consecutive = 0
	case Failure:
		b.consecutive++
	}
	if b.consecutive >= b.settings.Failures {
		b.open(now)
	}
}

func (b *Breaker) doneProbe(now time.Time, outcome Outcome) {
	b.probing = false
	switch outcome {
	case Failure:
		b.reopen(now)
	case Success:
		b.consecutive++
	}
	if b.state == HalfOpen && b.consecutive >= b.settings.Successes {
		b.openFor = b.settings.OpenFor
		b.enter(Closed)
	}
}

func (b *Breaker) reopen(now time.Time) {
	b.openFor = min(2*b.openFor, b.settings.MaxOpenFor)
	b.open(now)
}

func (b *Breaker) open(now time.Time) {
	b.enter(Open)
	b.openUntil = now.Add(b.openFor)
}

func (b *Breaker) enter(state State) {
	b.state = state
	b.period++
	b.consecutive = 0
	b.probing = false
}

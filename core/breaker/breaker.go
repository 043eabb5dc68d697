// Package breaker is a circuit breaker as a plain state machine. Without it, every
// process goes on sending calls and retries to a service that is down or overloaded;
// one notices it by the service being hit hardest just when it tries to come back. The
// breaker refuses calls for a while after a run of failures, and then lets single calls
// through until the service has answered some.
package breaker

import "time"

// State is the state of a Breaker.
type State uint8

// The states.
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

// Outcome is how a call ended.
type Outcome uint8

// The outcomes.
const (
	// Success means that the service answered, be it with a refusal of its own.
	Success Outcome = iota
	// Failure means that the service did not answer or could not serve.
	Failure
	// Neutral says nothing about the service: the caller gave up, for example.
	Neutral
)

// Settings are the bounds of a Breaker. All are above zero.
type Settings struct {
	// Failures is the number of failures in a row that opens the breaker.
	Failures int
	// OpenFor is how long the breaker stays open at first. Each failed probe doubles
	// it, up to MaxOpenFor.
	OpenFor    time.Duration
	MaxOpenFor time.Duration
	// Successes is the number of probes in a row that must succeed to close it.
	Successes int
	// ProbeTimeout is when a probe whose outcome was never reported counts as failed.
	// Without it, one lost report would keep the breaker half-open for good.
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
	// period is the stay in one state during which the call began, so that a late
	// outcome does not count in a later stay.
	period uint64
}

// Breaker decides which calls go through. It is not safe for concurrent use. The times
// given to it come from one monotonic clock.
type Breaker struct {
	settings Settings
	state    State
	period   uint64
	// run counts failures in a row when closed, successes in a row when half-open.
	run       int
	openFor   time.Duration
	openUntil time.Time
	// probing says that a probe is running.
	probing bool
	probeBy time.Time
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

// Allow asks whether a call may begin at now. If ok, report its outcome with Done.
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

// RetryAfter returns how long after now the next call may be let through; 0 if one may
// be at once.
func (b *Breaker) RetryAfter(now time.Time) time.Duration {
	b.advance(now)
	switch {
	case b.state == Open:
		return b.openUntil.Sub(now)
	case b.state == HalfOpen && b.probing:
		return b.probeBy.Sub(now)
	default:
		return 0
	}
}

// Done reports the outcome of a call, once for each permit. Outcomes of an earlier period are ignored.
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
	if b.state == HalfOpen && b.probing && !now.Before(b.probeBy) {
		b.reopen(now)
	}
}

func (b *Breaker) allowProbe(now time.Time) (Permit, bool) {
	if b.probing {
		return Permit{}, false
	}
	b.probing = true
	b.probeBy = now.Add(b.settings.ProbeTimeout)
	return Permit{period: b.period}, true
}

func (b *Breaker) doneClosed(now time.Time, outcome Outcome) {
	switch outcome {
	case Success:
		b.run = 0
	case Failure:
		b.run++
	}
	if b.run >= b.settings.Failures {
		b.open(now)
	}
}

func (b *Breaker) doneProbe(now time.Time, outcome Outcome) {
	b.probing = false
	switch outcome {
	case Failure:
		b.reopen(now)
	case Success:
		b.run++
	}
	if b.state == HalfOpen && b.run >= b.settings.Successes {
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
	b.run = 0
	b.probing = false
}

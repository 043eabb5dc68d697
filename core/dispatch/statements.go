package dispatch

import (
	"maps"
	"time"

	"acaciacleat.example/core/cooldown"
	"acaciacleat.example/core/ratelimit"
	"acaciacleat.example/core/slowstart"
)

// statements are what an incarnation has said of itself in its answers. Unlike evidence they bind this
// entry: no registration, answer or lack of upstreams overrules them. They are kept while the registry
// doesn't list the incarnation, because it may be listed again.
type statements struct {
	// limit is the rate limit that it has named.
	limit ratelimit.Known
	// drainingSince is when it first said that it is draining; zero if it hasn't.
	drainingSince time.Time
	// cooldown is the pause that it has asked this entry for.
	cooldown cooldown.Period
	// cold is its cold time.
	cold slowstart.Known
	// unlistedSince is since when the registry doesn't list the incarnation; zero if it does.
	unlistedSince time.Time
}

// statementsTTL is how long the statements of an incarnation are kept that the registry doesn't list.
const statementsTTL = time.Hour

// statementsOf returns the statements of an incarnation, listed or not.
func (f *Fleet) statementsOf(incarnation string) *statements {
	s := f.statements[incarnation]
	if s == nil {
		s = &statements{}
		f.statements[incarnation] = s
	}
	return s
}

// expireStatements drops the statements of incarnations that ended long ago.
func (f *Fleet) expireStatements(now time.Time) {
	for _, s := range f.statements {
		if s.unlistedSince.IsZero() {
			s.unlistedSince = now
		}
	}
	for _, u := range f.upstreams {
		u.unlistedSince = time.Time{}
	}
	maps.DeleteFunc(f.statements, func(_ string, s *statements) bool {
		return !s.unlistedSince.IsZero() && now.Sub(s.unlistedSince) > statementsTTL
	})
}

// draining reports whether an upstream takes no new requests, by its registration or its own answers.
func (u *upstreamState) draining() bool { return u.Draining || u.saysDraining() }

// saysDraining reports whether the incarnation has said that it is draining.
func (s *statements) saysDraining() bool { return !s.drainingSince.IsZero() }

// Statement is a kind of statement that binds this entry.
type Statement string

// The statements that keep requests away.
const (
	StatesDraining Statement = "draining"
	StatesCooldown Statement = "cooldown"
	// ZoneEvacuated is the operator's statement on the zone of the upstream; the others are its own.
	ZoneEvacuated Statement = "evacuated"
	// Unlisted is the registry's: the upstream is draining or not registered any more.
	Unlisted Statement = "unlisted"
)

// StatesCold is the statement that limits what an upstream gets; see ObserveCold.
const StatesCold Statement = "cold"

// StatementChange is a statement that an upstream has made for the first time, or has extended.
type StatementChange struct {
	// Upstream is the name of the incarnation.
	Upstream  string
	Statement Statement
	// Pause is how long it wants no requests; set for StatesCooldown.
	Pause time.Duration
	At    time.Time
}

// maxStatementChanges bounds the changes that wait to be logged.
const maxStatementChanges = 256

// ObserveDraining records that an answer of an incarnation says that it is draining.
func (f *Fleet) ObserveDraining(now time.Time, upstream Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	said := f.statementsOf(upstream.Incarnation())
	if said.saysDraining() {
		return
	}
	said.drainingSince = now
	f.recordStatement(StatementChange{Upstream: upstream.Incarnation(), Statement: StatesDraining, At: now})
	if u := f.findIncarnation(upstream); u != nil {
		f.evidence.Announce(now, u.subject(), &u.health)
		f.signalPending()
	}
}

// ObservePause records that an answer of an incarnation, received now, asks for a pause.
func (f *Fleet) ObservePause(now time.Time, upstream Upstream, pause time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.statementsOf(upstream.Incarnation()).cooldown.Ask(now, pause) {
		return
	}
	f.recordStatement(StatementChange{Upstream: upstream.Incarnation(), Statement: StatesCooldown, Pause: pause, At: now})
}

func (f *Fleet) recordStatement(change StatementChange) {
	if len(f.statementChanges) < maxStatementChanges {
		f.statementChanges = append(f.statementChanges, change)
	}
}

// TakeStatementChanges returns the changes of statements since the last call.
func (f *Fleet) TakeStatementChanges() []StatementChange {
	f.mu.Lock()
	defer f.mu.Unlock()
	changes := f.statementChanges
	f.statementChanges = nil
	return changes
}

// Stated returns the number of upstreams for which a statement holds now.
func (f *Fleet) Stated(now time.Time, statement Statement) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, u := range f.upstreams {
		if statement == StatesDraining && u.saysDraining() || statement == StatesCooldown && u.cooldown.Active(now) ||
			statement == ZoneEvacuated && u.evacuated {
			n++
		}
	}
	return n
}

// Objection returns the statement that forbids a send to an upstream that was chosen at a time; ok is false
// if there is none. It is asked right before a send, because the statement may have arrived since the
// choice; the process may have stood still in between. A trial in a long pause is chosen in spite of the pause.
func (f *Fleet) Objection(now, chosenAt time.Time, upstream Upstream) (statement Statement, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	said := f.statements[upstream.Incarnation()]
	switch {
	case f.evacuates(upstream):
		return ZoneEvacuated, true
	case said != nil && said.saysDraining():
		return StatesDraining, true
	case !f.lists(now, upstream):
		return Unlisted, true
	case said == nil:
		return "", false
	case said.cooldown.Active(now) && said.cooldown.AskedSince(chosenAt):
		return StatesCooldown, true
	default:
		return "", false
	}
}

// lists reports whether the registry lists an incarnation of an upstream, and not as draining.
func (f *Fleet) lists(now time.Time, upstream Upstream) bool {
	u := f.upstreams[upstream.ID]
	return u != nil && u.incarnation == upstream.Incarnation() && u.listed(now)
}

// CooldownWait returns after how long a refused request should come again because all upstreams of its
// service have asked for a pause: after the end of the first pause, within the time that its caller waits.
// The result ok is false if an upstream takes requests now or none has asked for a pause.
func (f *Fleet) CooldownWait(now time.Time, request *Request) (wait time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cooldownWait(now, request)
}

func (f *Fleet) cooldownWait(now time.Time, request *Request) (wait time.Duration, ok bool) {
	next := *request
	next.Exclude = nil // When the request comes again, it may use all upstreams.
	var first *upstreamState
	for _, u := range f.services[request.Service] {
		if !u.admits(now, &next) {
			continue
		}
		if !u.cooldown.Active(now) {
			return 0, false
		}
		if first == nil || u.cooldown.Wait(now) < first.cooldown.Wait(now) {
			first = u
		}
	}
	if first == nil {
		return 0, false
	}
	return first.cooldown.Return(now, request.TimeToDeadline/maxRetryShare), true
}

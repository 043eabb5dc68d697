// Package cooldown decides how long an entry sends no requests to an upstream that has asked it for a
// pause. It does no I/O.
package cooldown

import "time"

// Statement is what an answer says of the pause that its upstream wants. The zero Statement asks for
// none.
type Statement struct {
	Pause time.Duration
	// Malformed is set if the answer names something that is no duration; Pause is then the longest
	// valid one that it names.
	Malformed bool
}

// MaxPause bounds the time without any request. An upstream that asks for longer gets a single request
// after each MaxPause, so that it returns to use if the value was wrong.
const MaxPause = time.Minute

// Period is the pause that an upstream has asked an entry for. The zero Period is none.
type Period struct {
	// end is the latest end that the upstream has named. nextAt is when it may get a request: at the
	// end, or before that for a trial. waitsSince is since when it gets none.
	end        time.Time
	nextAt     time.Time
	waitsSince time.Time
	// askedAt is when the end was named.
	askedAt time.Time
	// trialAt is when the latest trial was sent; zero if there was none.
	trialAt time.Time
}

// Ask applies a pause asked for at a time. A pause that would end sooner than the current one changes
// nothing: each answer that asks for a pause holds until its own end. It reports whether the end has
// changed.
func (p *Period) Ask(at time.Time, pause time.Duration) bool {
	end := at.Add(pause)
	if pause <= 0 || !end.After(p.end) {
		return false
	}
	if !p.Active(at) {
		p.waitsSince = at
	}
	p.end, p.askedAt = end, at
	if next := at.Add(min(pause, MaxPause)); next.After(p.nextAt) {
		p.nextAt = next
	}
	return true
}

// Wait returns how long no request may be sent.
func (p *Period) Wait(now time.Time) time.Duration { return max(p.nextAt.Sub(now), 0) }

// Return returns after how long a caller that is refused now should come again. Callers return in the
// order in which they were refused, spread over the time within from the end of the pause on, or over the
// length of the pause if that is shorter.
func (p *Period) Return(now time.Time, within time.Duration) time.Duration {
	wait := p.Wait(now)
	if wait == 0 {
		return 0
	}
	length := p.nextAt.Sub(p.waitsSince)
	return wait + time.Duration((length-wait).Seconds()/length.Seconds()*float64(min(length, within)))
}

// Active reports whether no request may be sent now.
func (p *Period) Active(now time.Time) bool { return now.Before(p.nextAt) }

// AskedSince reports whether the upstream has named an end at a time or later.
func (p *Period) AskedSince(at time.Time) bool { return !p.askedAt.Before(at) }

// Over reports whether the end that the upstream has named has passed.
func (p *Period) Over(now time.Time) bool { return !now.Before(p.end) }

// Sent records that a request is sent. Before the end of the pause it is a trial, and the next request
// waits for its answer or for MaxPause.
func (p *Period) Sent(now time.Time) {
	if p.Over(now) || p.Active(now) {
		return
	}
	p.trialAt, p.waitsSince = now, now
	p.nextAt = now.Add(min(p.end.Sub(now), MaxPause))
}

// Served ends the pause if the request that was sent at sentAt was a trial.
func (p *Period) Served(sentAt time.Time) {
	if !p.trialAt.IsZero() && !sentAt.Before(p.trialAt) {
		*p = Period{}
	}
}

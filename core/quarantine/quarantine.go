// Package quarantine detects requests that crash the upstreams that run them, and segments of prompts
// that crash the upstreams that answer any prompt with them, and holds them back. It does no I/O.
//
// Every request in flight at an upstream that crashes is a suspect, the cause as well as the
// others. The cause is in flight at each of the crashes, while the others are answered by other
// upstreams. So a request is held back once several upstreams have crashed while running it, no
// other request explains those crashes better, and no upstream has answered it. The same holds for a
// segment, which crashes upstreams in requests that are otherwise unlike; see segment.go.
package quarantine

import (
	"maps"
	"time"

	"acaciacleat.example/core/fingerprint"
)

// Settings are the settings of a Ledger.
type Settings struct {
	// MinCrashes is the number of upstreams that must have crashed while running a request before it
	// is held back.
	MinCrashes int
	// Hold is how long a request is held back the first time. Then it is on probation for the same
	// time, during which one more crash is enough, and each further hold is holdGrowth times as
	// long as the one before.
	Hold time.Duration
	// SegmentHold is how long a segment is held back the first time; the next hold is segmentHoldGrowth times as
	// long. It is short because a segment that is held back in error, as
	// when all upstreams fail together, stops many callers until one prompt with it has been tried.
	SegmentHold time.Duration
}

// DefaultSettings require three crashes, which are unlikely to be a coincidence.
var DefaultSettings = Settings{MinCrashes: 3, Hold: time.Hour, SegmentHold: 2 * time.Second}

// Length returns the length of a hold.
func (s Settings) Length(h Hold) time.Duration {
	length, growth := s.Hold, time.Duration(holdGrowth)
	if h.Segment {
		length, growth = s.SegmentHold, segmentHoldGrowth
	}
	for range h.Times - 1 {
		length = min(length*growth, MaxHold)
	}
	return length
}

// ProbationEnd returns when the probation after a hold ends: after the length of the hold, and not before the
// crashes that led to it are forgotten.
func (s Settings) ProbationEnd(h Hold) time.Time { return h.Until.Add(max(s.Length(h), Retention)) }

const (
	// VerdictDelay is how long a verdict waits for further suspects of the last crash. Entries send
	// each other their suspects within a few round trips.
	VerdictDelay = 100 * time.Millisecond
	// coincidenceWindow is the time within which crashes count as one. When a rack fails, several
	// upstreams that ran the same popular request crash at once.
	coincidenceWindow = 20 * time.Millisecond
	// holdGrowth is the factor by which each further hold is longer. It limits how often a request
	// that keeps crashing upstreams is tried again.
	holdGrowth = 8
	// segmentHoldGrowth is the same for segments. Their second hold rests on the crash of a single trial, so
	// that an error is unlikely.
	segmentHoldGrowth = 32
	// Retention is how long crashes and suspects are kept.
	Retention = 30 * time.Minute
	// MaxHold bounds the length of any hold.
	MaxHold = 30 * 24 * time.Hour
	// Bounds on the size of a Ledger, several times the number of crashes in an hour with many
	// failures. When they are reached, the oldest crash is dropped, and no suspect or hold is
	// added.
	maxCrashes  = 1024
	maxSuspects = 8192
	maxHolds    = 4096
)

// Verdict is the decision to hold a request, or all requests with a segment, back.
type Verdict struct {
	Print fingerprint.Print
	// Crashes is the number of crashes that no other request or segment explains; coincident crashes
	// count once. Shared says that another one explains them equally well.
	Crashes int
	Shared  bool
	Hold    Hold
}

// Hold says until when a request or a segment is held back, and how many times in a row it has been.
type Hold struct {
	Until   time.Time
	Times   int
	Segment bool
}

// Ledger keeps crashes, suspects and verdicts. It is used by one goroutine at a time.
type Ledger struct {
	settings Settings
	crashes  map[uint32]*crash
	suspects map[fingerprint.Print]*suspect
	segments map[fingerprint.Print]*segment
	holds    map[fingerprint.Print]Hold
	// due holds when the verdict on each candidate is due.
	due map[fingerprint.Print]time.Time
	// cleared holds when each request or segment was cleared, so that outdated stored records and holds
	// that arrive later are ignored. A new crash removes a request from it; of a segment only the crashes
	// before that time are ignored.
	cleared map[fingerprint.Print]time.Time
}

// Crash is the crash of one incarnation of an upstream with a given request in flight.
type Crash struct {
	Upstream uint32
	At       time.Time
	// Repeated says that the request was sent there after another upstream had crashed while running
	// it.
	Repeated bool
	// Begun says that the first event of the answer had arrived AnswerYoung before or earlier.
	Begun bool
}

// crash is the crash of one incarnation with all requests in flight.
type crash struct {
	at time.Time
	// inFlight holds the requests in flight.
	inFlight map[fingerprint.Print]inFlight
}

// inFlight holds Crash.Repeated and Crash.Begun of a request.
type inFlight struct{ repeated, begun bool }

// suspect is a request that was in flight at crashed upstreams.
type suspect struct {
	upstreams []uint32
	lastCrash time.Time
	// segments are the segments that it counts against.
	segments []fingerprint.Print
}

// NewLedger returns an empty Ledger.
func NewLedger(settings Settings) *Ledger {
	return &Ledger{
		settings: settings,
		crashes:  make(map[uint32]*crash),
		suspects: make(map[fingerprint.Print]*suspect),
		segments: make(map[fingerprint.Print]*segment),
		holds:    make(map[fingerprint.Print]Hold),
		due:      make(map[fingerprint.Print]time.Time),
		cleared:  make(map[fingerprint.Print]time.Time),
	}
}

// RecordCrash records that an incarnation has crashed with a request in flight, whose prompt has the given
// segments. It reports whether this was not known before.
func (l *Ledger) RecordCrash(now time.Time, seen Crash, print fingerprint.Print, segments ...Segment) bool {
	delete(l.cleared, print)
	return l.addCrash(now, seen, print, segments)
}

// RestoreCrash records a crash from a stored record, unless the request was cleared in the
// meantime. It reports whether the crash was added.
func (l *Ledger) RestoreCrash(now time.Time, recorded Crash, print fingerprint.Print, segments ...Segment) bool {
	if _, answered := l.cleared[print]; answered {
		return false
	}
	return l.addCrash(now, recorded, print, segments)
}

func (l *Ledger) addCrash(now time.Time, seen Crash, print fingerprint.Print, segments []Segment) bool {
	if now.Sub(seen.At) > Retention {
		return false
	}
	if seen.At.After(now) {
		seen.At = now // The clocks of the VMs may differ.
	}
	c := l.crashes[seen.Upstream]
	if c == nil {
		l.evictOldestCrashes(now)
		c = &crash{at: seen.At, inFlight: make(map[fingerprint.Print]inFlight)}
		l.crashes[seen.Upstream] = c
	}
	if _, known := c.inFlight[print]; known {
		return false
	}
	s := l.suspects[print]
	if s == nil {
		if len(l.suspects) >= maxSuspects {
			return false
		}
		s = &suspect{}
		l.suspects[print] = s
	}
	c.inFlight[print] = inFlight{repeated: seen.Repeated, begun: seen.Begun}
	s.upstreams = append(s.upstreams, seen.Upstream)
	s.lastCrash = now
	l.addSegments(now, seen.At, print, s, segments)
	return true
}

// Clear removes all crashes and holds of a request or a segment, because an upstream has answered it or an
// operator has released it. It reports whether there were any.
func (l *Ledger) Clear(now time.Time, print fingerprint.Print) bool {
	known := l.Suspected(print) || l.holds[print].Times > 0
	if known {
		l.removeRequest(print)
		l.removeSegment(print)
		delete(l.holds, print)
		l.markCleared(now, print)
	}
	return known
}

// markCleared records that a request was cleared. If there is no room, it first
// drops the records of all others.
func (l *Ledger) markCleared(now time.Time, print fingerprint.Print) {
	if len(l.cleared) >= maxSuspects {
		clear(l.cleared)
	}
	l.cleared[print] = now
}

func (l *Ledger) removeRequest(print fingerprint.Print) {
	if s := l.suspects[print]; s != nil {
		for _, upstream := range s.upstreams {
			if c := l.crashes[upstream]; c != nil {
				delete(c.inFlight, print)
			}
		}
		l.forgetSuspect(print)
	}
}

// forgetSuspect removes a suspect, and the segments that no other suspect has.
func (l *Ledger) forgetSuspect(print fingerprint.Print) {
	for _, id := range l.suspects[print].segments {
		if s := l.segments[id]; s != nil {
			delete(s.requests, print)
			if len(s.requests) == 0 {
				l.removeSegment(id)
			}
		}
	}
	delete(l.suspects, print)
	delete(l.due, print)
}

// Suspected reports whether an upstream has crashed while running a request, or one with a segment.
func (l *Ledger) Suspected(print fingerprint.Print) bool {
	return l.suspects[print] != nil || l.segments[print] != nil
}

// Suspects returns the number of suspected requests.
func (l *Ledger) Suspects() int { return len(l.suspects) }

// Crashes returns the crashes at which a request was in flight.
func (l *Ledger) Crashes(print fingerprint.Print) []Crash {
	s := l.suspects[print]
	if s == nil {
		return nil
	}
	all := make([]Crash, len(s.upstreams))
	for i, upstream := range s.upstreams {
		all[i] = l.crashWith(upstream, print)
	}
	return all
}

// crashWith returns the crash of an upstream at which a request was in flight.
func (l *Ledger) crashWith(upstream uint32, print fingerprint.Print) Crash {
	c := l.crashes[upstream]
	return Crash{Upstream: upstream, At: c.at, Repeated: c.inFlight[print].repeated, Begun: c.inFlight[print].begun}
}

// ApplyHold applies a hold received from another entry or from a stored record, also one that has ended, for its
// probation. It reports whether the request or segment is held back now and was not before.
func (l *Ledger) ApplyHold(now time.Time, print fingerprint.Print, received Hold) bool {
	began := received.Until.Add(-l.settings.Length(received))
	if at, answered := l.cleared[print]; answered && !began.After(at) || now.After(l.settings.ProbationEnd(received)) {
		return false
	}
	known := l.holds[print]
	if known.Times == 0 && len(l.holds) >= maxHolds {
		return false
	}
	if latest := now.Add(MaxHold); received.Until.After(latest) {
		received.Until = latest
	}
	if !received.Until.After(known.Until) {
		return false
	}
	l.holds[print] = Hold{Until: received.Until, Times: max(received.Times, known.Times, 1), Segment: received.Segment}
	return !now.Before(known.Until) && now.Before(received.Until)
}

// startHold holds a request or a segment back because of a verdict.
func (l *Ledger) startHold(now time.Time, print fingerprint.Print, segment bool) Hold {
	h := Hold{Times: l.holds[print].Times + 1, Segment: segment}
	h.Until = now.Add(l.settings.Length(h))
	l.holds[print] = h
	return h
}

// HeldUntil returns until when a request or a segment is held back; zero if it is not.
func (l *Ledger) HeldUntil(now time.Time, print fingerprint.Print) time.Time {
	if h := l.holds[print]; now.Before(h.Until) {
		return h.Until
	}
	return time.Time{}
}

// ActiveHolds returns the holds of the requests and segments that are held back.
func (l *Ledger) ActiveHolds(now time.Time) map[fingerprint.Print]Hold {
	held := make(map[fingerprint.Print]Hold)
	for print, h := range l.holds {
		if now.Before(h.Until) {
			held[print] = h
		}
	}
	return held
}

// Holds returns all holds, also those that have ended and whose request or segment is on probation.
func (l *Ledger) Holds() map[fingerprint.Print]Hold { return maps.Clone(l.holds) }

// Expire removes crashes and clearances that are older than Retention, and holds whose probation
// has ended.
func (l *Ledger) Expire(now time.Time) {
	for upstream, c := range l.crashes {
		if now.Sub(c.at) > Retention {
			l.dropCrash(upstream)
		}
	}
	for print, h := range l.holds {
		if now.After(l.settings.ProbationEnd(h)) {
			delete(l.holds, print)
		}
	}
	for print, at := range l.cleared {
		if now.Sub(at) > Retention {
			delete(l.cleared, print)
		}
	}
}

// evictOldestCrashes makes room for one crash by dropping expired ones and then the oldest.
func (l *Ledger) evictOldestCrashes(now time.Time) {
	if len(l.crashes) < maxCrashes {
		return
	}
	l.Expire(now)
	for len(l.crashes) >= maxCrashes {
		var oldest uint32
		var at time.Time
		for upstream, c := range l.crashes {
			// Ties are broken by upstream, so that all entries drop the same crash.
			if at.IsZero() || c.at.Before(at) || c.at.Equal(at) && upstream < oldest {
				oldest, at = upstream, c.at
			}
		}
		l.dropCrash(oldest)
	}
}

// dropCrash removes a crash, and the suspects that have no other.
func (l *Ledger) dropCrash(upstream uint32) {
	for print := range l.crashes[upstream].inFlight {
		s := l.suspects[print]
		s.removeUpstream(upstream)
		if len(s.upstreams) == 0 {
			l.forgetSuspect(print)
		}
	}
	delete(l.crashes, upstream)
}

func (s *suspect) removeUpstream(upstream uint32) {
	for i, u := range s.upstreams {
		if u == upstream {
			s.upstreams = append(s.upstreams[:i:i], s.upstreams[i+1:]...)
			return
		}
	}
}

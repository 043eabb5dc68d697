// Package quarantine finds the requests that crash the upstreams that run them, and holds them
// back. It does no I/O.
//
// Whoever runs at an upstream that crashes is suspected, the cause and those beside it alike. What
// tells them apart is that the cause is there each time, and that the others are answered
// elsewhere. So a request is held back once several upstreams have crashed under it, nothing else
// explains those crashes better, and no upstream has ever answered it.
package quarantine

import (
	"time"

	"acaciacleat.example/core/fingerprint"
)

// Settings of a Ledger.
type Settings struct {
	// Crashes is the number of upstreams that must have crashed under a request before it is held
	// back.
	Crashes int
	// Hold is how long it is held back the first time. Then it is on probation for as long again,
	// in which one more crash is enough, and each further hold is holdGrowth times as long.
	Hold time.Duration
}

// DefaultSettings take three crashes for no coincidence.
var DefaultSettings = Settings{Crashes: 3, Hold: time.Hour}

// Length returns how long a request is held back when it is for so many times in a row.
func (s Settings) Length(times int) time.Duration {
	length := s.Hold
	for range times - 1 {
		length = min(length*holdGrowth, MostHold)
	}
	return length
}

const (
	// Settle is how long a verdict waits for further suspects of the last crash: entries tell
	// each other of one within some round trips.
	Settle = 100 * time.Millisecond
	// coincide is the time within which crashes count as one: a rack that fails takes several
	// upstreams at once, with a request that was sent to many of them.
	coincide = 20 * time.Millisecond
	// holdGrowth keeps the trials of a request that goes on crashing upstreams few.
	holdGrowth = 8
	// Memory is how long crashes and suspicions are remembered.
	Memory = 30 * time.Minute
	// MostHold bounds a hold, whoever asks for it.
	MostHold = 30 * 24 * time.Hour
	// The bounds of what is kept, some times more than a fleet loses in a bad hour. Beyond them the
	// oldest crash is forgotten, and no further suspect and hold is taken up.
	mostCrashes  = 1024
	mostSuspects = 8192
	mostHeld     = 4096
)

// Verdict says that a request is held back.
type Verdict struct {
	Print fingerprint.Print
	// Crashes is the number of crashes that nothing else explains, those that coincide counted
	// once. Shared says that another request explains them as well.
	Crashes int
	Shared  bool
	Hold    Hold
}

// Hold says until when a request is held back, and for how many times in a row it has been.
type Hold struct {
	Until time.Time
	Times int
}

// Ledger keeps crashes, suspects and verdicts. It is used by one goroutine at a time.
type Ledger struct {
	settings Settings
	crashes  map[uint32]*crash
	suspects map[fingerprint.Print]*suspect
	holds    map[fingerprint.Print]Hold
	// cleared tells when a request was answered of which others may still say old things.
	cleared map[fingerprint.Print]time.Time
}

// Crash is the end of one incarnation of an upstream with a request in hand.
type Crash struct {
	Upstream uint32
	At       time.Time
	// Again says that the request had come there from another upstream that had crashed under it.
	Again bool
}

// crash is the end of one incarnation with all that was in hand.
type crash struct {
	at time.Time
	// under holds the requests, with Crash.Again of each.
	under map[fingerprint.Print]bool
}

// suspect is a request under which upstreams have crashed.
type suspect struct {
	upstreams []uint32
	last      time.Time
}

// NewLedger returns an empty Ledger.
func NewLedger(settings Settings) *Ledger {
	return &Ledger{
		settings: settings,
		crashes:  make(map[uint32]*crash),
		suspects: make(map[fingerprint.Print]*suspect),
		holds:    make(map[fingerprint.Print]Hold),
		cleared:  make(map[fingerprint.Print]time.Time),
	}
}

// Strike notes that an incarnation has crashed with a request in hand. It reports whether that is
// news.
func (l *Ledger) Strike(now time.Time, seen Crash, print fingerprint.Print) bool {
	delete(l.cleared, print)
	return l.strike(now, seen, print)
}

// Recall notes a crash from a record: one of a request that has been answered since does not
// count.
func (l *Ledger) Recall(now time.Time, recorded Crash, print fingerprint.Print) bool {
	if _, answered := l.cleared[print]; answered {
		return false
	}
	return l.strike(now, recorded, print)
}

func (l *Ledger) strike(now time.Time, seen Crash, print fingerprint.Print) bool {
	if now.Sub(seen.At) > Memory {
		return false
	}
	if seen.At.After(now) {
		seen.At = now // The clocks of two VMs differ.
	}
	c := l.crashes[seen.Upstream]
	if c == nil {
		l.makeRoom(now)
		c = &crash{at: seen.At, under: make(map[fingerprint.Print]bool)}
		l.crashes[seen.Upstream] = c
	}
	if _, known := c.under[print]; known {
		return false
	}
	s := l.suspects[print]
	if s == nil {
		if len(l.suspects) >= mostSuspects {
			return false
		}
		s = &suspect{}
		l.suspects[print] = s
	}
	c.under[print] = seen.Again
	s.upstreams = append(s.upstreams, seen.Upstream)
	s.last = now
	return true
}

// Clear forgets all that speaks against a request: an upstream has answered it, or an operator has
// released it. It reports whether anything did.
func (l *Ledger) Clear(now time.Time, print fingerprint.Print) bool {
	known := l.Suspected(print) || l.holds[print].Times > 0
	if known {
		l.forget(print)
		l.clearedNow(now, print)
	}
	return known
}

func (l *Ledger) clearedNow(now time.Time, print fingerprint.Print) {
	if len(l.cleared) >= mostSuspects {
		clear(l.cleared)
	}
	l.cleared[print] = now
}

func (l *Ledger) forget(print fingerprint.Print) {
	if s := l.suspects[print]; s != nil {
		for _, upstream := range s.upstreams {
			if c := l.crashes[upstream]; c != nil {
				delete(c.under, print)
			}
		}
	}
	delete(l.suspects, print)
	delete(l.holds, print)
}

// Suspected reports whether an upstream has crashed under a request.
func (l *Ledger) Suspected(print fingerprint.Print) bool { return l.suspects[print] != nil }

// Suspects returns the number of suspected requests.
func (l *Ledger) Suspects() int { return len(l.suspects) }

// Crashes returns the crashes under a request.
func (l *Ledger) Crashes(print fingerprint.Print) []Crash {
	s := l.suspects[print]
	if s == nil {
		return nil
	}
	all := make([]Crash, len(s.upstreams))
	for i, upstream := range s.upstreams {
		c := l.crashes[upstream]
		all[i] = Crash{Upstream: upstream, At: c.at, Again: c.under[print]}
	}
	return all
}

// Take holds a request back because another entry does, or did in an earlier life. It reports
// whether that is news.
func (l *Ledger) Take(now time.Time, print fingerprint.Print, told Hold) bool {
	if _, answered := l.cleared[print]; answered || !now.Before(told.Until) {
		return false
	}
	known := l.holds[print]
	if known.Times == 0 && len(l.holds) >= mostHeld {
		return false
	}
	if latest := now.Add(MostHold); told.Until.After(latest) {
		told.Until = latest
	}
	if !told.Until.After(known.Until) {
		return false
	}
	l.holds[print] = Hold{Until: told.Until, Times: max(told.Times, known.Times, 1)}
	return !now.Before(known.Until)
}

// hold holds a request back by a verdict.
func (l *Ledger) hold(now time.Time, print fingerprint.Print) Hold {
	times := l.holds[print].Times + 1
	h := Hold{Until: now.Add(l.settings.Length(times)), Times: times}
	l.holds[print] = h
	return h
}

// Held returns until when a request is held back; zero where it isn't.
func (l *Ledger) Held(now time.Time, print fingerprint.Print) time.Time {
	if h := l.holds[print]; now.Before(h.Until) {
		return h.Until
	}
	return time.Time{}
}

// Holds returns the requests that are held back.
func (l *Ledger) Holds(now time.Time) map[fingerprint.Print]Hold {
	held := make(map[fingerprint.Print]Hold)
	for print, h := range l.holds {
		if now.Before(h.Until) {
			held[print] = h
		}
	}
	return held
}

// Forget drops what is too old to count.
func (l *Ledger) Forget(now time.Time) {
	for upstream, c := range l.crashes {
		if now.Sub(c.at) > Memory {
			l.dropCrash(upstream)
		}
	}
	for print, h := range l.holds {
		if now.After(h.Until.Add(l.settings.Length(h.Times))) {
			delete(l.holds, print)
		}
	}
	for print, at := range l.cleared {
		if now.Sub(at) > Memory {
			delete(l.cleared, print)
		}
	}
}

// makeRoom drops the oldest crash where there are too many.
func (l *Ledger) makeRoom(now time.Time) {
	if len(l.crashes) < mostCrashes {
		return
	}
	l.Forget(now)
	for len(l.crashes) >= mostCrashes {
		var oldest uint32
		var at time.Time
		for upstream, c := range l.crashes {
			if at.IsZero() || c.at.Before(at) {
				oldest, at = upstream, c.at
			}
		}
		l.dropCrash(oldest)
	}
}

func (l *Ledger) dropCrash(upstream uint32) {
	for print := range l.crashes[upstream].under {
		s := l.suspects[print]
		s.drop(upstream)
		if len(s.upstreams) == 0 {
			delete(l.suspects, print)
		}
	}
	delete(l.crashes, upstream)
}

func (s *suspect) drop(upstream uint32) {
	for i, u := range s.upstreams {
		if u == upstream {
			s.upstreams = append(s.upstreams[:i:i], s.upstreams[i+1:]...)
			return
		}
	}
}

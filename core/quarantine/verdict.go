package quarantine

import (
	"bytes"
	"slices"
	"time"

	"acaciacleat.example/core/fingerprint"
)

// candidate is a suspect that may be held back, with what speaks for it as the cause.
type candidate struct {
	print   fingerprint.Print
	suspect *suspect
	// crashes are those that no held request explains, and events their number, where those
	// that coincide count once unless the request went from one to the other.
	crashes []uint32
	events  int
}

// strength orders candidates, the likeliest cause first.
func strength(a, b candidate) int {
	if d := b.events - a.events; d != 0 {
		return d
	}
	return bytes.Compare(a.print[:], b.print[:])
}

// Decide holds back the requests that by now count as the cause of crashes, the likeliest first:
// the crashes that one explains no longer speak against those that were there too. Of several
// that explain the same crashes equally well all are held back, since sending on the wrong one
// costs an upstream with all that it runs. It returns when to decide again; zero for not before
// the next strike.
func (l *Ledger) Decide(now time.Time) (verdicts []Verdict, next time.Time) {
	for {
		all := l.candidates(now)
		if len(all) == 0 {
			return verdicts, time.Time{}
		}
		slices.SortFunc(all, strength)
		if due := all[0].suspect.last.Add(Settle); now.Before(due) {
			return verdicts, due
		}
		causes := alike(all)
		for _, c := range causes {
			verdicts = append(verdicts, Verdict{
				Print: c.print, Crashes: c.events, Shared: len(causes) > 1, Hold: l.hold(now, c.print),
			})
		}
	}
}

// alike returns the first of the sorted candidates with those that explain a part of the same
// crashes equally well.
func alike(all []candidate) []candidate {
	first := &all[0]
	same := []candidate{*first}
	for i := range all[1:] {
		c := &all[i+1]
		if c.events != first.events {
			break
		}
		if slices.ContainsFunc(c.crashes, func(u uint32) bool { return slices.Contains(first.crashes, u) }) {
			same = append(same, *c)
		}
	}
	return same
}

// candidates returns the suspects that enough unexplained crashes speak against.
func (l *Ledger) candidates(now time.Time) []candidate {
	var all []candidate
	explained := l.explained()
	for print, s := range l.suspects {
		needed, since := l.needed(print)
		if len(s.upstreams) < needed || !l.Held(now, print).IsZero() {
			continue
		}
		if c := l.unexplained(print, s, explained, since); c.events >= needed {
			all = append(all, c)
		}
	}
	return all
}

// needed is the number of crashes after which a request is held back, and the time after which
// they must have come: on probation those that led to the first hold don't count again.
func (l *Ledger) needed(print fingerprint.Print) (crashes int, since time.Time) {
	if h := l.holds[print]; h.Times > 0 {
		return 1, h.Until
	}
	return l.settings.Crashes, time.Time{}
}

// unexplained weighs the crashes under a suspect that no held request explains.
func (l *Ledger) unexplained(print fingerprint.Print, s *suspect, explained map[uint32]fingerprint.Print, since time.Time) candidate {
	c := candidate{print: print, suspect: s}
	var times []time.Time
	for _, upstream := range s.upstreams {
		crash := l.crashes[upstream]
		by, other := explained[upstream]
		if other && by != print || !crash.at.After(since) {
			continue
		}
		c.crashes = append(c.crashes, upstream)
		if crash.under[print] {
			c.events++
			continue
		}
		times = append(times, crash.at)
	}
	c.events += separate(times)
	return c
}

// separate counts times, those that coincide with the one before once.
func separate(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	n := 0
	for i, at := range times {
		if i == 0 || at.Sub(times[i-1]) > coincide {
			n++
		}
	}
	return n
}

// explained returns the crashes at which a request was in hand that is held back or on
// probation, with that request.
func (l *Ledger) explained() map[uint32]fingerprint.Print {
	crashes := make(map[uint32]fingerprint.Print)
	for print := range l.holds {
		if s := l.suspects[print]; s != nil {
			for _, upstream := range s.upstreams {
				crashes[upstream] = print
			}
		}
	}
	return crashes
}

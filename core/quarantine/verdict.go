package quarantine

import (
	"bytes"
	"slices"
	"time"

	"acaciacleat.example/core/fingerprint"
)

// candidate is a suspect that may be held back, with the crashes that it may have caused.
type candidate struct {
	print   fingerprint.Print
	suspect *suspect
	// crashes are those that no other request explains. events is their number, where coincident
	// crashes count once unless the request was retried from one upstream to the other.
	crashes []uint32
	events  int
}

// compareLikelihood orders candidates so that the most likely cause comes first.
func compareLikelihood(a, b candidate) int {
	if d := b.events - a.events; d != 0 {
		return d
	}
	return bytes.Compare(a.print[:], b.print[:])
}

// Decide holds back the requests and segments that are the probable cause of crashes. It begins with the most
// likely cause, whose crashes no longer count against the others in flight. If several explain the
// same crashes equally well, all of them are held back, since sending the wrong one to an upstream
// crashes it with all its requests. Decide returns the time at which to call it again; zero if there is
// nothing to decide before the next crash.
func (l *Ledger) Decide(now time.Time) (verdicts []Verdict, next time.Time) {
	for {
		found, dueSegments := l.decideSegments(now)
		dueRequests := time.Time{}
		if len(found) == 0 {
			found, dueRequests = l.decideRequests(now)
		}
		if len(found) == 0 {
			return verdicts, earlier(dueSegments, dueRequests)
		}
		verdicts = append(verdicts, found...)
	}
}

// earlier returns the earlier of two times, of which a zero one doesn't count.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// decideSegments holds back the most likely segments. If that isn't due yet, it returns when it is.
func (l *Ledger) decideSegments(now time.Time) (verdicts []Verdict, due time.Time) {
	all := l.suspectedSegments(now)
	if len(all) == 0 {
		return nil, time.Time{}
	}
	if due := l.due[all[0].print]; now.Before(due) {
		return nil, due
	}
	found := causes(all)
	for _, e := range found {
		verdicts = append(verdicts, Verdict{
			Print: e.print, Crashes: len(e.blamed), Shared: len(found) > 1, Hold: l.startHold(now, e.print, true),
		})
	}
	return verdicts, time.Time{}
}

// decideRequests holds back the most likely requests. If that isn't due yet, it returns when it is.
func (l *Ledger) decideRequests(now time.Time) (verdicts []Verdict, due time.Time) {
	all := l.candidates(now)
	if len(all) == 0 {
		return nil, time.Time{}
	}
	slices.SortFunc(all, compareLikelihood)
	if due := l.due[all[0].print]; now.Before(due) {
		return nil, due
	}
	found := equallyLikely(all)
	for _, c := range found {
		verdicts = append(verdicts, Verdict{
			Print: c.print, Crashes: c.events, Shared: len(found) > 1, Hold: l.startHold(now, c.print, false),
		})
	}
	return verdicts, time.Time{}
}

// equallyLikely returns the first of the sorted candidates, and the others that have the same
// number of events and share at least one crash with it.
func equallyLikely(all []candidate) []candidate {
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

// candidates returns the suspects that are not held back and have enough crashes that no other
// request explains.
func (l *Ledger) candidates(now time.Time) []candidate {
	var all []candidate
	explained := l.explainedCrashes()
	for print, s := range l.suspects {
		required, since := l.threshold(print)
		c := candidate{}
		if len(s.upstreams) >= required && l.HeldUntil(now, print).IsZero() {
			c = l.newCandidate(print, s, explained, since)
		}
		if c.events < required {
			delete(l.due, print)
			continue
		}
		l.schedule(print, s.lastCrash)
		all = append(all, c)
	}
	return all
}

// schedule sets when the verdict on a candidate is due, unless it was set before: further crashes must not
// postpone it.
func (l *Ledger) schedule(print fingerprint.Print, lastCrash time.Time) {
	if _, known := l.due[print]; !known {
		l.due[print] = lastCrash.Add(VerdictDelay)
	}
}

// threshold returns the number of crashes after which a request is held back, and the time after
// which they must have occurred: on probation the crashes before the hold ended do not count again.
func (l *Ledger) threshold(print fingerprint.Print) (crashes int, since time.Time) {
	if h := l.holds[print]; h.Times > 0 {
		return 1, h.Until
	}
	return l.settings.MinCrashes, time.Time{}
}

// newCandidate counts the crashes of a suspect after since that explained does not attribute to
// another request.
func (l *Ledger) newCandidate(print fingerprint.Print, s *suspect, explained map[uint32][]fingerprint.Print, since time.Time) candidate {
	c := candidate{print: print, suspect: s}
	var times []time.Time
	for _, upstream := range s.upstreams {
		crash := l.crashes[upstream]
		by := explained[upstream]
		if len(by) > 0 && !slices.Contains(by, print) || !crash.at.After(since) {
			continue
		}
		c.crashes = append(c.crashes, upstream)
		if crash.inFlight[print].repeated {
			c.events++
			continue
		}
		times = append(times, crash.at)
	}
	c.events += countDistinct(times)
	return c
}

// countDistinct counts times. A time within coincidenceWindow of the one before is not counted.
func countDistinct(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	n := 0
	for i, at := range times {
		if i == 0 || at.Sub(times[i-1]) > coincidenceWindow {
			n++
		}
	}
	return n
}

// explainedCrashes returns the crashes at which requests or segments that are held back or on probation were
// in flight, with all of these requests and segments.
func (l *Ledger) explainedCrashes() map[uint32][]fingerprint.Print {
	crashes := l.segmentsInFlight()
	for print := range l.holds {
		if s := l.suspects[print]; s != nil {
			for _, upstream := range s.upstreams {
				crashes[upstream] = append(crashes[upstream], print)
			}
		}
	}
	return crashes
}

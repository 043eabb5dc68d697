package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"acaciacleat.example/core/fingerprint"
)

// Segment is a segment of a prompt that other prompts may share, such as a system prompt.
type Segment struct {
	Print fingerprint.Print
	// Answered is how many prompts with it an entry has seen answered lately.
	Answered uint32
}

// MaxSegments bounds the segments of one request.
const MaxSegments = 16

// AnswerYoung is how long after the first event of an answer it still counts as not begun: a crash so soon is as
// likely the answer's doing as one before it.
const AnswerYoung = 200 * time.Millisecond

const (
	// A crash counts against a segment with unbegunPoints if a request with it was in flight whose answer
	// had not begun, and with begunPoints if that of each had: the upstream had then written of the segment
	// before it crashed.
	unbegunPoints = 2
	begunPoints   = 1
	// maxCrashesPerRequest bounds the crashes at which one request counts against its segments: a request
	// that crashes upstreams by itself says nothing of what it shares with others.
	maxCrashesPerRequest = 2
	// A segment is held back after newSegmentCrashes crashes more than a request. One that has been answered
	// lately must have been in flight at answeredSegmentCrashes more, because the popular segments are in
	// flight at most upstreams.
	newSegmentCrashes      = 1
	answeredSegmentCrashes = 2
	// waveWindow is the time within which crashes count as one against a segment: upstreams that fail
	// together have most of the popular segments in flight.
	waveWindow = 100 * time.Millisecond
)

// segment is a segment of suspected requests.
type segment struct {
	requests map[fingerprint.Print]struct{}
	// answered is the largest Segment.Answered of all reports, depth the last position in a prompt.
	answered  uint32
	depth     int
	lastCrash time.Time
}

// addSegments records the segments of a suspect that was in flight at a crash.
func (l *Ledger) addSegments(now, at time.Time, request fingerprint.Print, s *suspect, segments []Segment) {
	for depth, reported := range segments[:min(len(segments), MaxSegments)] {
		if answered, ok := l.cleared[reported.Print]; ok && !at.After(answered) {
			continue
		}
		known := l.segments[reported.Print]
		if known == nil {
			if len(l.segments) >= maxSuspects {
				continue
			}
			known = &segment{requests: make(map[fingerprint.Print]struct{})}
			l.segments[reported.Print] = known
		}
		known.requests[request] = struct{}{}
		known.answered = max(known.answered, reported.Answered)
		known.depth = max(known.depth, depth)
		known.lastCrash = now
		if !slices.Contains(s.segments, reported.Print) {
			s.segments = append(s.segments, reported.Print)
		}
	}
}

// removeSegment removes what counts against a segment.
func (l *Ledger) removeSegment(print fingerprint.Print) {
	s := l.segments[print]
	if s == nil {
		return
	}
	for request := range s.requests {
		r := l.suspects[request]
		r.segments = slices.DeleteFunc(r.segments, func(p fingerprint.Print) bool { return p == print })
	}
	delete(l.segments, print)
	delete(l.due, print)
}

// SegmentCrashes returns the crashes that count against a segment, in order.
func (l *Ledger) SegmentCrashes(print fingerprint.Print) []Crash {
	s := l.segments[print]
	if s == nil {
		return nil
	}
	var all []Crash
	blamed := l.weigh(print, s, l.segmentsInFlight(), time.Time{}).blamed
	for upstream, request := range blamed {
		all = append(all, l.crashWith(upstream, request))
	}
	slices.SortFunc(all, func(a, b Crash) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Upstream, b.Upstream)) })
	return all
}

// Segments returns the number of suspected segments.
func (l *Ledger) Segments() int { return len(l.segments) }

// OneCrashFromHold reports whether one more crash would cause a request, or one of its segments, to be held
// back.
func (l *Ledger) OneCrashFromHold(print fingerprint.Print, segments ...fingerprint.Print) bool {
	if len(l.Crashes(print)) >= l.settings.MinCrashes-1 {
		return true
	}
	var explained map[uint32][]fingerprint.Print
	for _, id := range segments {
		s := l.segments[id]
		if s == nil {
			continue
		}
		if explained == nil {
			explained = l.segmentsInFlight()
		}
		required, since := l.requiredPoints(id, s)
		if l.weigh(id, s, explained, since).points+unbegunPoints >= required {
			return true
		}
	}
	return false
}

// requiredPoints returns the points from which on a segment is held back, and the time after which its
// crashes must have occurred.
func (l *Ledger) requiredPoints(print fingerprint.Print, s *segment) (points int, since time.Time) {
	if h := l.holds[print]; h.Times > 0 {
		return unbegunPoints, h.Until
	}
	crashes := l.settings.MinCrashes + newSegmentCrashes
	if s.answered > 0 {
		crashes = l.settings.MinCrashes + answeredSegmentCrashes
	}
	return crashes * unbegunPoints, time.Time{}
}

// evidence is what counts against a segment.
type evidence struct {
	print   fingerprint.Print
	segment *segment
	points  int
	// required are the points from which on the segment is held back.
	required int
	// blamed holds the crashes that count, each with the request that counts at it.
	blamed map[uint32]fingerprint.Print
}

// weigh counts the crashes of a segment after since, less those at which other segments were in flight that are
// held back or on probation; held names these at each crash. If since is set, the segment is on probation, and the
// first crash that a narrower suspect may have caused doesn't count.
func (l *Ledger) weigh(print fingerprint.Print, s *segment, held map[uint32][]fingerprint.Print, since time.Time) evidence {
	requestsAt := make(map[uint32][]fingerprint.Print)
	for request := range s.requests {
		for _, upstream := range l.suspects[request].upstreams {
			requestsAt[upstream] = append(requestsAt[upstream], request)
		}
	}
	e := evidence{print: print, segment: s, blamed: make(map[uint32]fingerprint.Print)}
	counts := make(map[fingerprint.Print]int)
	var last time.Time
	spared := false
	for _, upstream := range l.inOrder(requestsAt) {
		c, by := l.crashes[upstream], held[upstream]
		if !c.at.After(since) || len(by) > 0 && !slices.Contains(by, print) {
			continue
		}
		if !since.IsZero() && !spared && l.narrowerSuspect(print, s, upstream, requestsAt[upstream]) {
			spared = true
			continue
		}
		request, ok := c.likeliest(requestsAt[upstream], counts)
		if !ok || !last.IsZero() && c.at.Sub(last) <= waveWindow && !c.inFlight[request].repeated {
			continue
		}
		last = c.at
		counts[request]++
		e.blamed[upstream] = request
		e.points += unbegunPoints
		if c.inFlight[request].begun {
			e.points += begunPoints - unbegunPoints
		}
	}
	return e
}

// isNarrowerThan reports whether all requests that have the segment, and not only those, have the other one too.
func (s *segment) isNarrowerThan(other *segment) bool {
	if len(s.requests) >= len(other.requests) {
		return false
	}
	for request := range s.requests {
		if _, has := other.requests[request]; !has {
			return false
		}
	}
	return true
}

// narrowerSuspect reports whether one of the requests with a segment that were in flight at a crash has a narrower
// segment that was in flight at an earlier crash too.
func (l *Ledger) narrowerSuspect(print fingerprint.Print, s *segment, upstream uint32, requests []fingerprint.Print) bool {
	for _, request := range requests {
		for _, id := range l.suspects[request].segments {
			if other := l.segments[id]; id != print && other.isNarrowerThan(s) && l.crashedBefore(other, l.crashes[upstream].at) {
				return true
			}
		}
	}
	return false
}

// crashedBefore reports whether a segment was in flight at a crash before the given time.
func (l *Ledger) crashedBefore(s *segment, at time.Time) bool {
	for request := range s.requests {
		for _, upstream := range l.suspects[request].upstreams {
			if l.crashes[upstream].at.Before(at) {
				return true
			}
		}
	}
	return false
}

// inOrder returns the upstreams in the order of their crashes.
func (l *Ledger) inOrder(requestsAt map[uint32][]fingerprint.Print) []uint32 {
	return slices.SortedFunc(maps.Keys(requestsAt), func(a, b uint32) int {
		return cmp.Or(l.crashes[a].at.Compare(l.crashes[b].at), cmp.Compare(a, b))
	})
}

// likeliest returns the request that most probably caused a crash: one whose answer had not begun rather than
// one whose answer had, and of these the one that counts at the fewest crashes so far. It reports false if
// all of them count at maxCrashesPerRequest.
func (c *crash) likeliest(requests []fingerprint.Print, counts map[fingerprint.Print]int) (best fingerprint.Print, ok bool) {
	for _, request := range requests {
		if counts[request] >= maxCrashesPerRequest {
			continue
		}
		if !ok || c.compareLikelihood(request, best, counts) < 0 {
			best, ok = request, true
		}
	}
	return best, ok
}

func (c *crash) compareLikelihood(a, b fingerprint.Print, counts map[fingerprint.Print]int) int {
	begun := func(request fingerprint.Print) int {
		if c.inFlight[request].begun {
			return 1
		}
		return 0
	}
	return cmp.Or(begun(a)-begun(b), counts[a]-counts[b], bytes.Compare(a[:], b[:]))
}

// segmentsInFlight returns the crashes at which segments that are held back or on probation were in flight,
// with all of these segments.
func (l *Ledger) segmentsInFlight() map[uint32][]fingerprint.Print {
	crashes := make(map[uint32][]fingerprint.Print)
	for print, h := range l.holds {
		s := l.segments[print]
		if !h.Segment || s == nil {
			continue
		}
		for request := range s.requests {
			for _, upstream := range l.suspects[request].upstreams {
				if !slices.Contains(crashes[upstream], print) {
					crashes[upstream] = append(crashes[upstream], print)
				}
			}
		}
	}
	return crashes
}

// suspectedSegments returns the segments that are not held back and have enough points, the most likely cause
// first.
func (l *Ledger) suspectedSegments(now time.Time) []evidence {
	var all []evidence
	held := l.segmentsInFlight()
	for print, s := range l.segments {
		required, since := l.requiredPoints(print, s)
		e := evidence{}
		if len(s.requests)*maxCrashesPerRequest*unbegunPoints >= required && l.HeldUntil(now, print).IsZero() {
			e = l.weigh(print, s, held, since)
			if since.IsZero() && e.points >= required && l.nearlyExplained(e) {
				required += unbegunPoints
			}
			e.required = required
		}
		if e.points < required {
			delete(l.due, print)
			continue
		}
		l.schedule(print, s.lastCrash)
		all = append(all, e)
	}
	slices.SortFunc(all, compareEvidence)
	return all
}

// nearlyExplained reports whether a narrower segment was in flight at all crashes that count against a segment, or all but
// one. The one may be a coincidence.
func (l *Ledger) nearlyExplained(e evidence) bool {
	weighed := make(map[fingerprint.Print]bool)
	for _, request := range e.blamed {
		for _, id := range l.suspects[request].segments {
			other := l.segments[id]
			if weighed[id] || other.answered > e.segment.answered {
				continue
			}
			weighed[id] = true
			if l.crashesShared(other, e) >= len(e.blamed)-1 && other.isNarrowerThan(e.segment) {
				return true
			}
		}
	}
	return false
}

// crashesShared returns at how many of the crashes that count against a segment another one was in flight.
func (l *Ledger) crashesShared(other *segment, e evidence) int {
	shared := make(map[uint32]bool)
	for request := range other.requests {
		for _, upstream := range l.suspects[request].upstreams {
			if _, ok := e.blamed[upstream]; ok {
				shared[upstream] = true
			}
		}
	}
	return len(shared)
}

// compareEvidence orders segments so that the most likely cause comes first: the one with most points beyond
// those required. Of segments that came together each time, the one that fewest sound prompts have does: the
// one that was answered least, then the one that fewest suspected requests have, then the last one of the prompt.
func compareEvidence(a, b evidence) int {
	return cmp.Or((b.points-b.required)-(a.points-a.required), cmp.Compare(a.segment.answered, b.segment.answered),
		cmp.Compare(len(a.segment.requests), len(b.segment.requests)), b.segment.depth-a.segment.depth,
		bytes.Compare(a.print[:], b.print[:]))
}

// causes returns the first of the sorted segments, and those that explain the same crashes equally well by
// requests of their own.
func causes(all []evidence) []evidence {
	same := all[:1:1]
	for _, e := range all[1:] {
		equal := e.points == all[0].points && e.required == all[0].required
		if equal && sharesCrash(e, all[0]) && !slices.ContainsFunc(same, e.comesWith) {
			same = append(same, e)
		}
	}
	return same
}

func sharesCrash(a, b evidence) bool {
	for upstream := range a.blamed {
		if _, ok := b.blamed[upstream]; ok {
			return true
		}
	}
	return false
}

// comesWith reports whether the requests that count against another segment at the crashes of this one have this one
// as well, so that the crashes say nothing of it by itself.
func (e evidence) comesWith(other evidence) bool {
	for upstream := range e.blamed {
		request, ok := other.blamed[upstream]
		if !ok {
			return false
		}
		if _, has := e.segment.requests[request]; !has {
			return false
		}
	}
	return true
}

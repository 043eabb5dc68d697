package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Long prompts take turns. Engines read the newest part first, so a set that is sent while
// others are read delays all of them, and those behind it delay it: in bursts a prompt of a
// third of a second took four. What is held at its entry until engines are free overtakes
// nothing, and can still be placed on those that turn out to be free first.
//
// All entries know what waits at the others, and order it alike, see standing.

// waiter is a request that waits for its turn.
type waiter struct {
	id WorkID
	// rank is lower for what is more urgent to the operator.
	rank int
	// read is the reading time of its whole prompt on one engine.
	read time.Duration
	aim  time.Time
	// over is when it counts as given up though nobody has said so.
	over time.Time
	// passed is since when it could have been placed but for those before it.
	passed time.Time
}

func (w *waiter) waiting(now time.Time) Event {
	return Event{
		Kind:   Waiting,
		Number: w.id.Number,
		Rank:   w.rank,
		PartMs: w.read.Milliseconds(),
		AimMs:  w.aim.Sub(now).Milliseconds(),
		LeftMs: (w.over.Sub(now) - forgetSlack).Milliseconds(),
	}
}

// queue is what a request finds before it among those that wait.
type queue struct {
	// count is how many go before it, and read their reading time.
	count int
	read  time.Duration
	// late says that the request can't meet its aim, or only by making a shorter one miss its.
	late bool
}

// standing returns where a request stands among those that wait, if engines have so much to
// read now and so many of them read at a time.
//
// Those that can all meet their aims go by their aims. Where one would miss it, one of those up
// to it is left out: of the least urgent by the operator's priorities the longest, as that
// leaves the most in time (Moore, 1968). Those left out follow behind the others, the shortest
// first.
func (f *Fleet) standing(now time.Time, own *waiter, backlog time.Duration, engines int) queue {
	f.order = append(f.order[:0], own)
	for id, w := range f.waiters {
		if id != own.id {
			f.order = append(f.order, w)
		}
	}
	slices.SortFunc(f.order, func(a, b *waiter) int {
		return cmp.Or(a.aim.Compare(b.aim), cmp.Compare(a.id.Origin, b.id.Origin), cmp.Compare(a.id.Number, b.id.Number))
	})
	f.inTime = f.inTime[:0]
	var q queue
	sum := backlog
	for _, w := range f.order {
		f.inTime = append(f.inTime, w)
		sum += w.read
		if now.Add(sum / time.Duration(engines)).After(w.aim) {
			longest := 0
			for i, other := range f.inTime {
				if cmp.Or(cmp.Compare(other.rank, f.inTime[longest].rank), cmp.Compare(other.read, f.inTime[longest].read)) > 0 {
					longest = i
				}
			}
			q.late = q.late || f.inTime[longest] == own
			sum -= f.inTime[longest].read
			f.inTime = slices.Delete(f.inTime, longest, longest+1)
		}
	}
	if q.late {
		for _, w := range f.order {
			if slices.Contains(f.inTime, w) || w.read < own.read {
				q.add(w)
			}
		}
		return q
	}
	for _, w := range f.inTime {
		if w == own {
			break
		}
		q.add(w)
	}
	return q
}

func (q *queue) add(w *waiter) {
	q.count++
	q.read += w.read
}

// widest returns the number of engines of the largest set that n allow.
func widest(n int) int { return max(min(n, partCounts[len(partCounts)-1]), 1) }

// hold lets a request wait for its turn and tells the other entries of it, once.
func (f *Fleet) hold(now time.Time, request *Request) WorkID {
	if _, waits := f.waiters[request.Turn]; waits {
		return request.Turn
	}
	w := &waiter{}
	*w = f.search.self
	w.id, w.over = f.idOf(request), now.Add(request.Left+forgetSlack)
	f.waiters[w.id] = w
	f.tell(w.waiting(now))
	return w.id
}

// turn tells a request that is held when to ask again. Only who goes first is woken by each
// change: with many that wait, waking all of them would take the entry's processor for
// nothing.
func (f *Fleet) turn(p plan) Turn {
	t := Turn{After: p.hold}
	if p.next {
		t.Changed = f.changed
	}
	return t
}

// Withdraw ends the wait of a request that is given up.
func (f *Fleet) Withdraw(id WorkID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.withdraw(id)
}

func (f *Fleet) withdraw(id WorkID) {
	if f.drop(id) {
		f.tell(Event{Kind: Ended, Number: id.Number})
	}
}

// drop forgets a waiter; it reports whether there was one.
func (f *Fleet) drop(id WorkID) bool {
	if _, waits := f.waiters[id]; !waits {
		return false
	}
	delete(f.waiters, id)
	f.wakeWaiters()
	return true
}

// wakeWaiters wakes the requests that wait here: one's turn may have come.
func (f *Fleet) wakeWaiters() {
	if len(f.waiters) == 0 {
		return
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

const (
	// heldFrom is the reading time on one engine from which a prompt waits for its turn: what
	// is shorter delays others by a few hundredths of a second when several engines read it.
	heldFrom = time.Second
	// lead is how long before its engines are expected to be free a prompt is sent: its way
	// to them.
	lead = 4 * time.Millisecond
	// lookAgain bounds the time after which a waiting prompt looks again.
	lookAgain = 100 * time.Millisecond
)

// waiter is the request in hand as one of those that wait.
func (s *search) waiter() *waiter {
	own := &s.self
	*own = waiter{id: s.request.Turn, rank: s.request.Rank, read: s.whole, aim: s.now.Add(s.request.Aim)}
	if own.id == (WorkID{}) {
		own.id = WorkID{Origin: s.fleet.settings.Origin, Number: s.fleet.next + 1}
	}
	return own
}

// held tells whether the request in hand takes turns.
func (s *search) held() bool { return s.whole >= heldFrom && !s.request.Committed }

// free tells whether an engine has no part of another prompt to read, or nearly none: what
// is sent there now overtakes nothing.
func (u *unit) free() bool { return u.ahead <= lead }

// turn is what a long prompt is told that is not placed now.
type turn struct {
	// hold is how long it should wait; zero to place it now.
	hold time.Duration
	// next says that it goes first of those that wait.
	next bool
	// first is when its first event is expected.
	first time.Duration
	// tooLate says that it can't meet its aim and engines have others to read: it is better
	// off coming back.
	tooLate bool
}

func (t turn) asNext() turn {
	t.next = true
	return t
}

// turn decides whether the request takes the plan, whose first event is expected after
// first, or waits for its turn.
func (s *search) turn(best *plan, first time.Duration) turn {
	if !s.held() {
		return turn{first: first}
	}
	start, finish := s.soonest()
	finish = max(finish, (s.backlog+s.queued.read+s.whole)/time.Duration(len(s.units)))
	wait := turn{hold: min(max(start, s.queued.read/time.Duration(len(s.units)), lead), lookAgain), first: finish}
	others := max(s.least-s.own(first), 0)
	if s.passedOver(best) {
		s.queued.count = 0
	}
	switch {
	case s.queued.late && (s.queued.count > 0 || best.first == nil || s.idle*2 < s.usable):
		return turn{first: finish, tooLate: true}
	case s.queued.count > 0:
		return wait
	case best.first == nil:
		return wait.asNext()
	case s.queued.late && others > s.brings(first):
		return wait.asNext()
	case !s.queued.late && others+s.lost(first) > s.bearable():
		return wait.asNext()
	default:
		return turn{first: first}
	}
}

// idleFor is how long engines stay idle before those that wait pass by who goes first: some
// times what its word takes from entry to entry, and a small part of the aims that wait.
const idleFor = 150 * time.Millisecond

// passedOver tells whether engines have been idle for long while others go before the request.
//
// What goes wrong without it: an entry that is frozen or cut off keeps its place for as long as
// its request has time, and no long prompt is read meanwhile.
func (s *search) passedOver(best *plan) bool {
	own := s.fleet.waiters[s.request.Turn]
	if own == nil || s.queued.count == 0 || best.first == nil || s.idle*2 < s.usable {
		if own != nil {
			own.passed = time.Time{}
		}
		return false
	}
	if own.passed.IsZero() {
		own.passed = s.now
	}
	return s.now.Sub(own.passed) > idleFor
}

// tooLittle is the worth for which it is not worth waiting.
const tooLittle = 0.5

// bearable is the worth that a request that can still meet its aim may cost now, itself
// included: the less time it has left the more, up to all that being late would cost it.
func (s *search) bearable() float64 {
	need := s.whole / time.Duration(widest(len(s.units)))
	hurry := min(need.Seconds()/max(s.request.Aim.Seconds(), need.Seconds()), 1)
	return tooLittle + hurry*lateLoss*weight(s.request.PromptTokens)
}

// brings is what a request is worth if its first event comes after first.
func (s *search) brings(first time.Duration) float64 {
	return weight(s.request.PromptTokens) - s.lost(first)
}

// survey counts the engines that a part of the prompt would not make pause for too long, and
// those of them that are free.
func (s *search) survey() {
	s.usable, s.idle = 0, 0
	for _, u := range s.units {
		if !s.bears(u) {
			continue
		}
		s.usable++
		if u.free() {
			s.idle++
		}
	}
	s.usable = max(s.usable, 1)
}

// bears tells whether the streams of an engine bear the pause that the smallest part of the
// prompt makes.
func (s *search) bears(u *unit) bool {
	part := s.whole / time.Duration(widest(len(s.units)))
	return u.streams == 0 || part <= u.gap-s.spec.Pause(u.streams, u.context)
}

// patienceShare is the part of a caller's patience within which a first event is expected
// with some certainty; beyond it the wait is hopeless.
const patienceShare = 0.9

// hopeless tells whether a request's caller will be gone before its first event.
func (s *search) hopeless(first time.Duration) bool {
	patience := s.request.Left
	if s.request.Patience > 0 {
		patience = min(patience, s.request.Patience)
	}
	return first.Seconds() > patienceShare*patience.Seconds()
}

// soonest returns when the set of engines that would have read the prompt first, if it
// waits until they are free, begins and ends.
func (s *search) soonest() (start, finish time.Duration) {
	s.freed = s.freed[:0]
	for _, u := range s.units {
		s.freed = keepLeast(s.freed, u.ahead, cap(s.freed), cmp.Compare)
	}
	for _, parts := range partCounts {
		if parts > len(s.freed) {
			break
		}
		begin := s.freed[parts-1]
		if end := begin + networkDelay + s.whole/time.Duration(parts); finish == 0 || end < finish {
			start, finish = begin, end
		}
	}
	return start, finish
}

// clear returns when the engines will have read what is placed and what waits now.
func (s *search) clear() time.Duration {
	sum := s.backlog
	for _, w := range s.fleet.waiters {
		sum += w.read
	}
	return sum / time.Duration(len(s.units))
}

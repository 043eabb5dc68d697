package dispatch

import (
	"slices"
	"time"

	"acaciacleat.example/core/enginemodel"
)

// WorkID names a placed request among all entries.
type WorkID struct {
	Origin uint64
	Number uint64
}

// work is a placed request.
type work struct {
	id      WorkID
	service string
	prompt  int
	output  int
	aim     time.Time
	gapAim  time.Duration
	begun   bool
	// over is when the work counts as ended though nobody has said so.
	over  time.Time
	loads []*load
}

// load is what a work puts on one unit.
type load struct {
	work *work
	unit *unit
	// helper says that the unit only reads a part of the prompt.
	helper bool
	// left is the reading time still to be worked off.
	left time.Duration
}

// plan is where a request is placed. left is the reading time of each part.
type plan struct {
	first   *unit
	helpers []*unit
	left    time.Duration
	urgency int
}

func (p *plan) choice(*Request) Choice {
	choice := Choice{Upstream: p.first.Upstream, Urgency: p.urgency}
	for _, u := range p.helpers {
		choice.Helpers = append(choice.Helpers, Helper{Upstream: u.Upstream})
	}
	return choice
}

// forgetSlack is added to a work's deadline before it is forgotten without a word.
const forgetSlack = time.Second

func (f *Fleet) book(now time.Time, request *Request, _ *enginemodel.Spec, p plan) *work {
	f.next++
	w := &work{
		id:      WorkID{Origin: f.settings.Origin, Number: f.next},
		service: request.Service,
		prompt:  request.PromptTokens,
		output:  request.OutputTokens,
		aim:     now.Add(request.Aim),
		gapAim:  request.GapAim,
		over:    now.Add(request.Left + forgetSlack),
	}
	f.place(now, w, p)
	f.tell(placedEvent(w, p, request))
	return w
}

// place puts a work's loads on its units.
func (f *Fleet) place(now time.Time, w *work, p plan) {
	f.works[w.id] = w
	w.add(now, p.first, false, p.left)
	for _, u := range p.helpers {
		w.add(now, u, true, p.left)
	}
}

func (w *work) add(now time.Time, u *unit, helper bool, left time.Duration) {
	u.drain(now)
	l := &load{work: w, unit: u, helper: helper, left: left}
	w.loads = append(w.loads, l)
	u.loads = append(u.loads, l)
}

// Begun reports the first event of a placed request: its prompt was read.
func (f *Fleet) Begun(now time.Time, id WorkID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.begin(now, id) {
		f.tell(Event{Kind: Begun, ID: id})
	}
}

func (f *Fleet) begin(now time.Time, id WorkID) bool {
	w := f.works[id]
	if w == nil || w.begun {
		return false
	}
	w.begun = true
	for _, l := range w.loads {
		l.unit.drain(now)
		l.left = 0
		if l.helper {
			l.unit.drop(l)
		}
	}
	return true
}

// Ended reports the end of a placed request at its upstream.
func (f *Fleet) Ended(now time.Time, id WorkID, outcome Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.works[id]
	if w == nil {
		return
	}
	w.loads[0].unit.health.record(now, outcome)
	f.end(now, w)
	f.tell(Event{Kind: Ended, ID: id})
}

func (f *Fleet) end(now time.Time, w *work) {
	delete(f.works, w.id)
	for _, l := range w.loads {
		l.unit.drain(now)
		l.unit.drop(l)
	}
}

func (u *unit) drop(l *load) {
	if i := slices.Index(u.loads, l); i >= 0 {
		u.loads = slices.Delete(u.loads, i, i+1)
	}
}

// drain works off the reading on a unit up to now: parts of long prompts first, as
// engines do, then in order of arrival.
func (u *unit) drain(now time.Time) {
	spent := now.Sub(u.drained)
	u.drained = now
	for pass := 0; pass < 2 && spent > 0; pass++ {
		for _, l := range u.loads {
			if l.ahead() != (pass == 0) || l.left == 0 {
				continue
			}
			step := min(l.left, spent)
			l.left -= step
			spent -= step
		}
	}
}

// ahead reports whether the load is read before others: a part of a prompt that several
// engines read.
func (l *load) ahead() bool { return len(l.work.loads) > 1 }

// backlog returns the reading time ahead of a new request.
func (u *unit) backlog() time.Duration {
	var sum time.Duration
	for _, l := range u.loads {
		sum += l.left
	}
	return sum
}

// streams returns the number of streams that the unit writes or will write, and the
// tokens of their context.
func (u *unit) streams() (n, context int) {
	for _, l := range u.loads {
		if !l.helper {
			n++
			context += l.work.prompt
		}
	}
	return n, context
}

// memory returns the tokens that the unit's requests will fill at the most.
func (u *unit) memory() int {
	sum := 0
	for _, l := range u.loads {
		if !l.helper {
			sum += l.work.prompt + l.work.output
		}
	}
	return sum
}

// Forget ends the works that were over without a word, of entries that are gone.
func (f *Fleet) Forget(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.works {
		if now.After(w.over) {
			f.end(now, w)
		}
	}
	f.expire(now)
	f.index()
}

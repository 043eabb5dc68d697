package dispatch

import (
	"slices"
	"strconv"
	"time"
)

// WorkID names a placed request among all entries.
type WorkID struct {
	Origin uint64
	Number uint64
}

// work is a placed request.
type work struct {
	id     WorkID
	prompt int
	output int
	aim    time.Time
	gapAim time.Duration
	// placed is when it was placed here; zero for other entries' works.
	placed time.Time
	begun  bool
	// begunAt is when its first event came; set where begun.
	begunAt time.Time
	// over is when the work counts as ended though nobody has said so.
	over  time.Time
	loads []*load
	// done is when its prompt will be read, as foreseen at the choice in hand, and trial
	// when with the set that is weighed.
	done  time.Duration
	trial time.Duration
}

// load is what a work puts on one unit.
type load struct {
	work *work
	unit *unit
	// helper says that the unit only reads a part of the prompt.
	helper bool
	// left is the reading time still to be worked off.
	left time.Duration
	// memory is the number of tokens that it takes up.
	memory int
	// done is when it will be read, and end when its stream will end, zero where that isn't
	// known, as foreseen at the choice in hand; timeLeft is that to its deadline then.
	done     time.Duration
	end      time.Duration
	timeLeft time.Duration
}

// plan is where a request is placed.
type plan struct {
	first *unit
	// helpers read parts of the prompt for first; tickets are the tokens of it that each
	// holds, in the same order, zero for none.
	helpers []*unit
	tickets []int
	// left is the reading time of each part.
	left    time.Duration
	urgency int
	why     Why
	// refused says that the request is not worth the time that it takes from others.
	refused bool
	// hold is how long the request should wait for its turn, zero to place it now; next says
	// that it goes first of those that wait.
	hold time.Duration
	next bool
}

// ticket returns the tokens that helper i holds.
func (p *plan) ticket(i int) int {
	if i < len(p.tickets) {
		return p.tickets[i]
	}
	return 0
}

// held returns the tokens that all helpers hold.
func (p *plan) held() int {
	sum := 0
	for _, tokens := range p.tickets {
		sum += tokens
	}
	return sum
}

func (p *plan) choice(id WorkID) Choice {
	choice := Choice{Upstream: p.first.Upstream, Urgency: p.urgency, Why: p.why}
	for i, u := range p.helpers {
		helper := Helper{Upstream: u.Upstream, Tokens: p.ticket(i)}
		if helper.Tokens > 0 {
			helper.Ticket = id.ticket()
		}
		choice.Helpers = append(choice.Helpers, helper)
	}
	return choice
}

// ticket names the memory that is reserved for a work; it is never used twice.
func (id WorkID) ticket() string {
	return strconv.FormatUint(id.Origin, 36) + "-" + strconv.FormatUint(id.Number, 36)
}

// forgetSlack is added to a work's deadline before it is forgotten without a word.
const forgetSlack = time.Second

func (f *Fleet) book(now time.Time, request *Request, p plan) *work {
	w := &work{
		id:     f.idOf(request),
		placed: now,
		prompt: request.PromptTokens,
		output: request.OutputTokens,
		aim:    now.Add(request.Aim),
		gapAim: request.GapAim,
		over:   now.Add(request.Left + forgetSlack),
	}
	delete(f.waiters, w.id)
	f.place(now, w, p)
	f.tell(w.placedAt(now))
	f.wakeWaiters()
	return w
}

// idOf returns the id of a request's work: a new one where it has not waited for its turn.
func (f *Fleet) idOf(request *Request) WorkID {
	if request.Turn != (WorkID{}) {
		return request.Turn
	}
	f.next++
	return WorkID{Origin: f.settings.Origin, Number: f.next}
}

// place puts a work's loads on its units.
func (f *Fleet) place(now time.Time, w *work, p plan) {
	f.works[w.id] = w
	if whole := p.left * time.Duration(1+len(p.helpers)); whole >= heldFrom {
		f.longReading.Add(now, whole.Seconds(), demandOver)
	}
	w.loads = make([]*load, 0, 1+len(p.helpers))
	w.add(now, load{unit: p.first, left: p.left, memory: max(w.prompt+w.output-p.held(), 0)})
	for i, u := range p.helpers {
		w.add(now, load{unit: u, helper: true, left: p.left, memory: p.ticket(i)})
	}
}

func (w *work) add(now time.Time, l load) {
	u := l.unit
	u.drain(now)
	l.work = w
	w.loads = append(w.loads, &l)
	u.loads = append(u.loads, &l)
	u.backlog += l.left
	u.memory += l.memory
	if !l.helper {
		u.streams++
		u.context += w.prompt
	}
}

// Begun reports the first event of a placed request: its prompt was read.
func (f *Fleet) Begun(now time.Time, id WorkID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.begin(now, id) {
		f.tell(Event{Kind: Begun, Number: id.Number})
	}
}

func (f *Fleet) begin(now time.Time, id WorkID) bool {
	w := f.works[id]
	if w == nil || w.begun {
		return false
	}
	w.begun = true
	w.begunAt = now
	for _, l := range w.loads {
		l.unit.drain(now)
		l.unit.backlog -= l.left
		l.left = 0
	}
	f.wakeWaiters()
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
	f.record(now, w.loads[0].unit, outcome, w.placed)
	f.end(now, w)
	f.tell(Event{Kind: Ended, Number: id.Number})
}

func (f *Fleet) end(now time.Time, w *work) {
	delete(f.works, w.id)
	for _, l := range w.loads {
		l.unit.drain(now)
		l.unit.drop(l)
	}
	f.wakeWaiters()
}

func (u *unit) drop(l *load) {
	i := slices.Index(u.loads, l)
	if i < 0 {
		return
	}
	u.loads = slices.Delete(u.loads, i, i+1)
	u.backlog -= l.left
	u.memory -= l.memory
	if !l.helper {
		u.streams--
		u.context -= l.work.prompt
	}
}

// busyOver is the time over which it counts how much of its time an engine reads: some passes,
// so that one long part alone says little.
const busyOver = time.Second

// drain works off the reading on a unit up to now.
func (u *unit) drain(now time.Time) {
	spent := now.Sub(u.drained)
	u.drained = now
	if spent <= 0 {
		return
	}
	before := u.backlog
	u.workOff(spent)
	weight := spent.Seconds() / (spent + busyOver).Seconds()
	u.busy += weight * ((before-u.backlog).Seconds()/spent.Seconds() - u.busy)
}

// workOff reads for a time, in the order in which engines read: parts of long prompts first,
// the newest of them in front, then the others as they came.
func (u *unit) workOff(spent time.Duration) {
	if u.backlog == 0 {
		return
	}
	for i := len(u.loads) - 1; i >= 0 && spent > 0; i-- {
		if l := u.loads[i]; l.ahead() {
			spent = u.read(l, spent)
		}
	}
	for _, l := range u.loads {
		if spent > 0 && !l.ahead() {
			spent = u.read(l, spent)
		}
	}
}

// read works off one load and returns the time that is left.
func (u *unit) read(l *load, spent time.Duration) time.Duration {
	step := min(l.left, spent)
	l.left -= step
	u.backlog -= step
	return spent - step
}

// foresee predicts when each load on a unit will be read, from now on.
func (u *unit) foresee() {
	var sum time.Duration
	for i := len(u.loads) - 1; i >= 0; i-- {
		if l := u.loads[i]; l.ahead() {
			sum += l.left
			l.done = sum
		}
	}
	u.ahead = sum
	u.gap = 0
	for _, l := range u.loads {
		if !l.ahead() {
			sum += l.left
			l.done = sum
		}
	}
	for _, l := range u.loads {
		l.work.done = max(l.work.done, l.done)
		if !l.helper && (u.gap == 0 || l.work.gapAim < u.gap) {
			u.gap = l.work.gapAim
		}
	}
}

// ahead reports whether the load is read before others: a part of a prompt that several
// engines read.
func (l *load) ahead() bool { return len(l.work.loads) > 1 }

// Forget ends the works that were over without a word, of entries that are gone.
func (f *Fleet) Forget(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.works {
		if now.After(w.over) {
			f.end(now, w)
		}
	}
	for id, w := range f.waiters {
		if now.After(w.over) {
			delete(f.waiters, id)
		}
	}
	f.expire(now)
	f.index()
}

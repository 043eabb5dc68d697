package dispatch

import (
	"time"
)

// EventKind says what happened to a placed request.
type EventKind uint8

// The kinds of event.
const (
	Placed EventKind = iota + 1
	Begun
	Ended
)

// Event is what entries tell each other of the work that they have placed.
type Event struct {
	Kind EventKind
	ID   WorkID
	// The rest is set for Placed.
	Service  string
	First    string
	Helpers  []string
	Tickets  []int
	Prompt   int
	Output   int
	PartRead time.Duration
	Aim      time.Duration
	GapAim   time.Duration
	Left     time.Duration
}

func placedEvent(w *work, p plan, request *Request) Event {
	e := Event{
		Kind:     Placed,
		ID:       w.id,
		Service:  request.Service,
		First:    p.first.ID,
		Prompt:   w.prompt,
		Output:   w.output,
		PartRead: p.left,
		Aim:      request.Aim,
		GapAim:   request.GapAim,
		Left:     request.Left,
	}
	for i, u := range p.helpers {
		e.Helpers = append(e.Helpers, u.ID)
		e.Tickets = append(e.Tickets, p.ticket(i))
	}
	return e
}

// maxNews bounds the events that wait to be told. While nobody takes them, the oldest
// are dropped: others forget a work by its deadline.
const maxNews = 512

func (f *Fleet) tell(e Event) {
	if f.settings.Rule == LeastOutstanding {
		return
	}
	if len(f.news) >= maxNews {
		f.news = f.news[1:]
	}
	f.news = append(f.news, e)
	select {
	case f.told <- struct{}{}:
	default: // Whoever takes the news has been told already.
	}
}

// Told has a value when there may be news.
func (f *Fleet) Told() <-chan struct{} { return f.told }

// News returns the events since the last call.
func (f *Fleet) News() []Event {
	f.mu.Lock()
	defer f.mu.Unlock()
	news := f.news
	f.news = nil
	return news
}

// Heard takes another entry's events.
func (f *Fleet) Heard(now time.Time, events []Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range events {
		f.heard(now, &events[i])
	}
}

func (f *Fleet) heard(now time.Time, e *Event) {
	switch e.Kind {
	case Placed:
		first := f.units[e.First]
		if first == nil || f.works[e.ID] != nil {
			return
		}
		p := plan{first: first, left: e.PartRead}
		for i, id := range e.Helpers {
			if u := f.units[id]; u != nil && i < len(e.Tickets) {
				p.helpers = append(p.helpers, u)
				p.tickets = append(p.tickets, e.Tickets[i])
			}
		}
		f.place(now, &work{
			id:      e.ID,
			service: e.Service,
			prompt:  e.Prompt,
			output:  e.Output,
			aim:     now.Add(e.Aim),
			gapAim:  e.GapAim,
			over:    now.Add(e.Left + forgetSlack),
		}, p)
	case Begun:
		f.begin(now, e.ID)
	case Ended:
		if w := f.works[e.ID]; w != nil {
			f.end(now, w)
		}
	}
}

// Current returns Placed and Begun events of this entry's work in hand, for an entry that
// has just come into touch.
func (f *Fleet) Current(now time.Time) []Event {
	f.mu.Lock()
	defer f.mu.Unlock()
	var events []Event
	for _, w := range f.works {
		if w.id.Origin != f.settings.Origin {
			continue
		}
		events = append(events, w.placedAt(now))
		if w.begun {
			events = append(events, Event{Kind: Begun, ID: w.id})
		}
	}
	return events
}

func (w *work) placedAt(now time.Time) Event {
	e := Event{
		Kind: Placed, ID: w.id, Service: w.service, First: w.loads[0].unit.ID,
		Prompt: w.prompt, Output: w.output, PartRead: w.loads[0].left,
		Aim: w.aim.Sub(now), GapAim: w.gapAim, Left: w.over.Sub(now) - forgetSlack,
	}
	for _, l := range w.loads[1:] {
		e.Helpers = append(e.Helpers, l.unit.ID)
		e.Tickets = append(e.Tickets, l.memory)
	}
	return e
}

// ForgetOrigin ends the works of an entry that is gone, as far as it is known.
func (f *Fleet) ForgetOrigin(now time.Time, origin uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, w := range f.works {
		if id.Origin == origin {
			f.end(now, w)
		}
	}
}

package dispatch

import (
	"hash/fnv"
	"time"
)

// EventKind says what happened to a placed request.
type EventKind uint8

// The kinds of event.
const (
	Placed EventKind = iota + 1
	Begun
	Ended
	// Waiting says that a request waits at its entry for engines' time: PartMs is the reading
	// time of its whole prompt. It ends with Placed or Ended.
	Waiting
)

// Tag stands for an upstream's incarnation in events, to keep them small: what was placed on
// an earlier life is none of the next one's work. Two incarnations with one tag would only
// count work at the wrong upstream.
type Tag uint32

// TagOf returns the tag of an incarnation.
func TagOf(incarnation string) Tag {
	h := fnv.New32a()
	h.Write([]byte(incarnation))
	return Tag(h.Sum32())
}

// Event is what entries tell each other of the work that they have placed. Times are in
// milliseconds.
type Event struct {
	Kind   EventKind
	Number uint64
	// The rest is set for Placed. Tickets are the tokens that each helper holds.
	First   Tag
	Helpers []Tag
	Tickets []int
	Prompt  int
	Output  int
	PartMs  int64
	AimMs   int64
	GapMs   int64
	LeftMs  int64
	// Rank is set for Waiting.
	Rank int
}

// placedAt returns the event that tells of a work as it stands.
func (w *work) placedAt(now time.Time) Event {
	first := w.loads[0]
	e := Event{
		Kind:   Placed,
		Number: w.id.Number,
		First:  first.unit.tag,
		Prompt: w.prompt,
		Output: w.output,
		PartMs: first.left.Milliseconds(),
		AimMs:  w.aim.Sub(now).Milliseconds(),
		GapMs:  w.gapAim.Milliseconds(),
		LeftMs: (w.over.Sub(now) - forgetSlack).Milliseconds(),
	}
	for _, l := range w.loads[1:] {
		e.Helpers = append(e.Helpers, l.unit.tag)
		e.Tickets = append(e.Tickets, l.memory)
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
	f.wakeTeller()
}

// wakeTeller tells that there may be something to tell the other entries.
func (f *Fleet) wakeTeller() {
	select {
	case f.told <- struct{}{}:
	default: // Whoever takes the news has been told already.
	}
}

// Told has a value when there may be news or reports.
func (f *Fleet) Told() <-chan struct{} { return f.told }

// News returns the events since the last call.
func (f *Fleet) News() []Event {
	f.mu.Lock()
	defer f.mu.Unlock()
	news := f.news
	f.news = nil
	return news
}

// Heard takes the events of the entry with the given origin.
func (f *Fleet) Heard(now time.Time, origin uint64, events []Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range events {
		f.heard(now, origin, &events[i])
	}
}

func (f *Fleet) heard(now time.Time, origin uint64, e *Event) {
	id := WorkID{Origin: origin, Number: e.Number}
	switch e.Kind {
	case Placed:
		f.hearPlaced(now, id, e)
	case Begun:
		f.begin(now, id)
	case Ended:
		if w := f.works[id]; w != nil {
			f.end(now, w)
		}
		f.drop(id)
	case Waiting:
		f.waiters[id] = &waiter{
			id:   id,
			rank: e.Rank,
			read: milliseconds(e.PartMs),
			aim:  now.Add(milliseconds(e.AimMs)),
			over: now.Add(milliseconds(e.LeftMs) + forgetSlack),
		}
	}
}

func (f *Fleet) hearPlaced(now time.Time, id WorkID, e *Event) {
	f.drop(id)
	first := f.tags[e.First]
	if first == nil || f.works[id] != nil {
		return
	}
	if len(e.Helpers) == 0 {
		f.placements.Add(now, 1, placementsOver)
	}
	p := plan{first: first, left: milliseconds(e.PartMs)}
	for i, tag := range e.Helpers {
		if u := f.tags[tag]; u != nil && i < len(e.Tickets) {
			p.helpers = append(p.helpers, u)
			p.tickets = append(p.tickets, e.Tickets[i])
		}
	}
	f.place(now, &work{
		id:     id,
		prompt: e.Prompt,
		output: e.Output,
		aim:    now.Add(milliseconds(e.AimMs)),
		gapAim: milliseconds(e.GapMs),
		over:   now.Add(milliseconds(e.LeftMs) + forgetSlack),
	}, p)
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

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
			events = append(events, Event{Kind: Begun, Number: w.id.Number})
		}
	}
	for _, w := range f.waiters {
		if w.id.Origin == f.settings.Origin {
			events = append(events, w.waiting(now))
		}
	}
	return events
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
	for id := range f.waiters {
		if id.Origin == origin {
			f.drop(id)
		}
	}
}

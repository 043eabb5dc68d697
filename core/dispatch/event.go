package dispatch

import (
	"hash/fnv"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/fairshare"
)

// EventKind says what happened to a request.
type EventKind uint8

const (
	// Placed, FirstEvent and Ended report the placement of a request, the first event of its
	// answer, and its end or withdrawal from the queue.
	Placed EventKind = iota + 1
	FirstEvent
	Ended
	// Waiting means that a request waits in the queue at its entry; PartMs is the prefill time
	// of its whole prompt. The wait ends with Placed or Ended.
	Waiting
	// WaitingForSlot means that a short prompt waits for a free slot at its entry. First is the tag of
	// the service, Prompt its ticket, Rank its priority, PartMs the prefill time, and Output the
	// rank of its organisation by its share.
	WaitingForSlot
)

// Tag is a short hash that stands for an upstream's incarnation in events. Load placed on an
// earlier incarnation has another tag and does not count for the next one. A collision of two
// tags would only count load at the wrong upstream.
type Tag uint32

// TagOf returns the tag of an incarnation.
func TagOf(incarnation string) Tag {
	h := fnv.New32a()
	h.Write([]byte(incarnation))
	return Tag(h.Sum32())
}

// Event tells other entries of a change to this entry's placements or queue. Times are in
// milliseconds.
type Event struct {
	Kind   EventKind
	Number uint64
	// The fields up to LeftMs are set for Placed, and of them PartMs, AimMs and LeftMs for
	// Waiting. First is the tag of the primary, Helpers are the tags of the helpers, and Tickets
	// the tokens that each of them holds. Prompt and Output are the numbers of prompt and output
	// tokens. PartMs is the prefill time of each part, AimMs the time left to the target for the
	// first event, GapMs the gap target and LeftMs the time left to the deadline.
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

// placedEvent returns the event for the present state of a placement.
func (pl *placement) placedEvent(now time.Time) Event {
	primary := pl.loads[0]
	e := Event{
		Kind:   Placed,
		Number: pl.id.Number,
		First:  primary.upstream.tag,
		Prompt: pl.promptTokens,
		Output: pl.outputTokens,
		PartMs: primary.remaining.Milliseconds(),
		AimMs:  pl.target.Sub(now).Milliseconds(),
		GapMs:  pl.gapTarget.Milliseconds(),
		LeftMs: (pl.expiresAt.Sub(now) - expiryMargin).Milliseconds(),
	}
	for _, l := range pl.loads[1:] {
		e.Helpers = append(e.Helpers, l.upstream.tag)
		e.Tickets = append(e.Tickets, l.memoryTokens)
	}
	return e
}

// maxPendingEvents bounds the events waiting to be sent. If they are not taken, the oldest are
// dropped; other entries remove a placement whose end they missed when it expires.
const maxPendingEvents = 512

// publish queues an event for the other entries. The least-outstanding rule uses no events.
func (f *Fleet) publish(e Event) {
	if f.settings.Rule == LeastOutstanding {
		return
	}
	if len(f.pendingEvents) >= maxPendingEvents {
		f.pendingEvents = f.pendingEvents[1:]
	}
	f.pendingEvents = append(f.pendingEvents, e)
	f.signalPending()
}

// signalPending signals that there may be events or reports to send.
func (f *Fleet) signalPending() {
	select {
	case f.pendingSignal <- struct{}{}:
	default: // A signal is pending already.
	}
}

// Pending receives a value when there may be events or reports to send.
func (f *Fleet) Pending() <-chan struct{} { return f.pendingSignal }

// TakeEvents returns the events since the last call.
func (f *Fleet) TakeEvents() []Event {
	f.mu.Lock()
	defer f.mu.Unlock()
	events := f.pendingEvents
	f.pendingEvents = nil
	return events
}

// ApplyEvents applies the events of the entry with the given origin.
func (f *Fleet) ApplyEvents(now time.Time, origin uint64, events []Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range events {
		f.applyEvent(now, origin, &events[i])
	}
}

func (f *Fleet) applyEvent(now time.Time, origin uint64, e *Event) {
	id := PlacementID{Origin: origin, Number: e.Number}
	switch e.Kind {
	case Placed:
		f.applyPlaced(now, id, e)
	case FirstEvent:
		f.markStreaming(now, id)
	case Ended:
		if pl := f.placements[id]; pl != nil {
			f.removePlacement(now, pl)
		}
		f.removeWaiter(id)
	case WaitingForSlot:
		f.applyWaitingForSlot(now, id, e)
	case Waiting:
		f.waiters[id] = &waiter{
			id:          id,
			priority:    e.Rank,
			prefillTime: milliseconds(e.PartMs),
			target:      now.Add(milliseconds(e.AimMs)),
			expiresAt:   now.Add(milliseconds(e.LeftMs) + expiryMargin),
		}
	}
}

func (f *Fleet) applyPlaced(now time.Time, id PlacementID, e *Event) {
	f.removeWaiter(id)
	primary := f.tags[e.First]
	if primary == nil || f.placements[id] != nil {
		return
	}
	if len(e.Helpers) == 0 {
		f.remoteSingles.Add(now, 1, placementWindow)
	}
	p := plan{primary: primary, partTime: milliseconds(e.PartMs)}
	for i, tag := range e.Helpers {
		if u := f.tags[tag]; u != nil && i < len(e.Tickets) {
			p.helpers = append(p.helpers, u)
			p.reservations = append(p.reservations, e.Tickets[i])
		}
	}
	f.place(now, &placement{
		id:           id,
		promptTokens: e.Prompt,
		outputTokens: e.Output,
		target:       now.Add(milliseconds(e.AimMs)),
		gapTarget:    milliseconds(e.GapMs),
		expiresAt:    now.Add(milliseconds(e.LeftMs) + expiryMargin),
	}, p)
}

// applyWaitingForSlot adds a short prompt of another entry to the queue for slots. An implausible
// ticket is ignored, as it would put all later requests of this entry behind.
func (f *Fleet) applyWaitingForSlot(now time.Time, id PlacementID, e *Event) {
	if e.First == 0 || e.Prompt <= 0 || e.Prompt > f.lastTicket+maxTicketStep || e.AimMs > maxSlotWait.Milliseconds() {
		f.droppedTurns++
		return
	}
	f.lastTicket = max(f.lastTicket, e.Prompt)
	target := now.Add(milliseconds(e.AimMs))
	f.waiters[id] = &waiter{
		id: id, service: e.First, ticket: e.Prompt, priority: e.Rank, shareRank: min(max(e.Output, 0), fairshare.MaxRank), prefillTime: milliseconds(e.PartMs),
		target: target, since: now, expiresAt: target.Add(expiryMargin),
	}
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Snapshot returns the events that bring a newly connected entry up to date with this entry's
// placements and queue.
func (f *Fleet) Snapshot(now time.Time) []Event {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshots(now, func(origin uint64) bool { return origin == f.settings.Origin })[call.Incarnation(f.settings.Origin)]
}

// Snapshots is Snapshot for the placements and queues of all entries, by origin.
func (f *Fleet) Snapshots(now time.Time) map[call.Incarnation][]Event {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshots(now, func(uint64) bool { return true })
}

// snapshots is called with mu held.
func (f *Fleet) snapshots(now time.Time, include func(origin uint64) bool) map[call.Incarnation][]Event {
	all := make(map[call.Incarnation][]Event)
	for _, pl := range f.placements {
		if !include(pl.id.Origin) {
			continue
		}
		origin := call.Incarnation(pl.id.Origin)
		all[origin] = append(all[origin], pl.placedEvent(now))
		if pl.streaming {
			all[origin] = append(all[origin], Event{Kind: FirstEvent, Number: pl.id.Number})
		}
	}
	for _, w := range f.waiters {
		if include(w.id.Origin) {
			origin := call.Incarnation(w.id.Origin)
			all[origin] = append(all[origin], w.waitingEvent(now))
		}
	}
	return all
}

// RemoveOrigin removes the placements and waiters of an entry that is gone.
func (f *Fleet) RemoveOrigin(now time.Time, origin uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, q := range f.slotQueues {
		q.shares.Forget(origin)
	}
	for id, pl := range f.placements {
		if id.Origin == origin {
			f.removePlacement(now, pl)
		}
	}
	for id := range f.waiters {
		if id.Origin == origin {
			f.removeWaiter(id)
		}
	}
}

package policytest

import (
	"container/heap"
	"slices"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/enginemodel"
)

// prompt is a request to the engines and its state.
type prompt struct {
	class      *requestClass
	at         time.Duration
	tokens     int
	eventCount int
	entry      int
	// organisation is empty unless the deployment has several.
	organisation string

	// attempts counts the attempts of the caller, the last one made at attemptAt; queueID
	// identifies that attempt while it waits in the queue.
	attempts  int
	attemptAt time.Duration
	// waitsSince is when its entry takes it to have come: at its first attempt, if the entry knows it.
	waitsSince time.Duration
	queueID    dispatch.PlacementID

	placementID     dispatch.PlacementID
	urgency         int
	pendingParts    int // not yet prefilled
	remainingEvents int // not yet written
	lastEventAt     time.Duration
	late            bool
	refused         bool
	endedAt         time.Duration
}

// part is the part of a prompt that one engine prefills.
type part struct {
	prompt          *prompt
	remainingTokens float64
	isHelper        bool
	order           int
}

// passEngine simulates an engine that works in passes, with the figures of its spec. A pass runs
// Stride steps if the engine decodes streams and one step otherwise; each step may prefill a
// chunk. Helper parts, whose prompts other engines decode, go first, then parts of a lower
// urgency value, then the newest.
type passEngine struct {
	id         string
	spec       *enginemodel.Spec
	prefilling []*part
	decoding   []*prompt
	// usedSlots counts the occupied slots; queue holds the parts that wait for a slot.
	usedSlots int
	queue     []*part
	busy      bool
	// worked is the time of all its passes.
	worked time.Duration
	// pace returns how many times as long as published the engine takes; nil for as published.
	pace func(now time.Duration) float64
}

// admit occupies a slot for a part and starts it, or queues the part if no slot is free. A
// helper part needs no slot.
func (e *passEngine) admit(p *part) {
	switch {
	case p.isHelper:
	case e.usedSlots >= e.spec.Slots:
		e.queue = append(e.queue, p)
		return
	default:
		e.usedSlots++
	}
	e.enqueue(p)
}

// releaseSlot frees a slot and admits the part that has waited longest.
func (e *passEngine) releaseSlot() {
	e.usedSlots--
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.admit(next)
	}
}

// enqueue inserts a part in prefill order.
func (e *passEngine) enqueue(p *part) {
	e.prefilling = append(e.prefilling, p)
	slices.SortStableFunc(e.prefilling, func(a, b *part) int {
		switch {
		case a.isHelper != b.isHelper && a.isHelper:
			return -1
		case a.isHelper != b.isHelper:
			return 1
		case a.prompt.urgency != b.prompt.urgency:
			return a.prompt.urgency - b.prompt.urgency
		default:
			return b.order - a.order
		}
	})
}

// runPass simulates one pass and returns its duration and the parts whose prefill ended.
func (e *passEngine) runPass(now time.Duration) (duration time.Duration, prefilled []*part) {
	context := 0
	for _, p := range e.decoding {
		context += p.tokens
	}
	steps := 1
	if len(e.decoding) > 0 {
		steps = e.spec.Stride
	}
	for range steps {
		duration += e.spec.PassTime(len(e.decoding), context) / time.Duration(e.spec.Stride)
		duration += e.prefillStep(&prefilled)
	}
	if e.pace != nil {
		duration = time.Duration(float64(duration) * e.pace(now))
	}
	e.worked += duration
	return duration, prefilled
}

// prefillStep prefills at most one chunk and returns the time that it takes.
func (e *passEngine) prefillStep(prefilled *[]*part) (duration time.Duration) {
	budget := float64(e.spec.Chunk)
	for budget > 0 && len(e.prefilling) > 0 {
		p := e.prefilling[0]
		tokens := min(budget, p.remainingTokens)
		budget -= tokens
		p.remainingTokens -= tokens
		perToken := float64(time.Second)/e.spec.PrefillRate + float64(p.prompt.tokens)/2*e.spec.PerPair
		duration += time.Duration(tokens * perToken)
		if p.remainingTokens <= 0 {
			e.prefilling = e.prefilling[1:]
			*prefilled = append(*prefilled, p)
		}
	}
	return duration
}

// timedEvent is an action at a time. Actions at the same time run in the order of their
// creation.
type timedEvent struct {
	at     time.Duration
	order  int
	action func(now time.Duration)
}

type timedEvents []timedEvent

func (e timedEvents) Len() int { return len(e) }
func (e timedEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e timedEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *timedEvents) Push(x any)   { *e = append(*e, x.(timedEvent)) }
func (e *timedEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// eventLoop runs events in the order of their times.
type eventLoop struct {
	queue     timedEvents
	lastOrder int
}

func (l *eventLoop) schedule(t time.Duration, action func(now time.Duration)) {
	l.lastOrder++
	heap.Push(&l.queue, timedEvent{t, l.lastOrder, action})
}

func (l *eventLoop) run() {
	for len(l.queue) > 0 {
		event := heap.Pop(&l.queue).(timedEvent)
		event.action(event.at)
	}
}

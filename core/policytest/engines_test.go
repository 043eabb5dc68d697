package policytest

import (
	"container/heap"
	"slices"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/enginemodel"
)

// prompt is a request for an engine, with what became of it.
type prompt struct {
	kind   *kind
	at     time.Duration
	tokens int
	events int
	entry  int

	// attempts counts the times that its caller asked, the last one at arrived; turn names the
	// wait of that attempt.
	attempts int
	arrived  time.Duration
	turn     dispatch.PlacementID

	id      dispatch.PlacementID
	urgency int
	parts   int // still to be read
	left    int // events to write
	last    time.Duration
	late    bool
	refused bool
	ended   time.Duration
}

// part is what one engine reads of a prompt.
type part struct {
	of     *prompt
	tokens float64
	helps  bool
	order  int
}

// passEngine is an engine that works in passes as its figures are published: a pass with
// streams runs Stride steps, each step may read a chunk; parts for others go first, then
// the more urgent, then the newest.
type passEngine struct {
	id      string
	spec    *enginemodel.Spec
	reading []*part
	writing []*prompt
	// held counts the slots taken; who finds none waits.
	held    int
	waiting []*part
	busy    bool
}

// admit takes a slot for a part, or lets it wait for one. Parts read for others need none.
func (e *passEngine) admit(p *part) {
	switch {
	case p.helps:
	case e.held >= e.spec.Slots:
		e.waiting = append(e.waiting, p)
		return
	default:
		e.held++
	}
	e.add(p)
}

// leave frees a slot for the one that has waited longest.
func (e *passEngine) leave() {
	e.held--
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.admit(next)
	}
}

// add puts a part where it is read in its turn.
func (e *passEngine) add(p *part) {
	e.reading = append(e.reading, p)
	slices.SortStableFunc(e.reading, func(a, b *part) int {
		switch {
		case a.helps != b.helps && a.helps:
			return -1
		case a.helps != b.helps:
			return 1
		case a.of.urgency != b.of.urgency:
			return a.of.urgency - b.of.urgency
		default:
			return b.order - a.order
		}
	})
}

// pass works for one pass and returns what it took and the parts that were read.
func (e *passEngine) pass() (took time.Duration, read []*part) {
	context := 0
	for _, p := range e.writing {
		context += p.tokens
	}
	steps := 1
	if len(e.writing) > 0 {
		steps = e.spec.Stride
	}
	for range steps {
		took += e.spec.PassTime(len(e.writing), context) / time.Duration(e.spec.Stride)
		took += e.read(&read)
	}
	return took, read
}

// read reads at most one chunk and returns the time that it takes.
func (e *passEngine) read(read *[]*part) (took time.Duration) {
	room := float64(e.spec.Chunk)
	for room > 0 && len(e.reading) > 0 {
		p := e.reading[0]
		tokens := min(room, p.tokens)
		room -= tokens
		p.tokens -= tokens
		perToken := float64(time.Second)/e.spec.PrefillRate + float64(p.of.tokens)/2*e.spec.PerPair
		took += time.Duration(tokens * perToken)
		if p.tokens <= 0 {
			e.reading = e.reading[1:]
			*read = append(*read, p)
		}
	}
	return took
}

// happening is something that happens at a time; ties happen in the order they were made.
type happening struct {
	at    time.Duration
	order int
	do    func(now time.Duration)
}

type happenings []happening

func (h happenings) Len() int { return len(h) }
func (h happenings) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *happenings) Push(x any)   { *h = append(*h, x.(happening)) }
func (h *happenings) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// clock runs happenings in the order of their times.
type clock struct {
	queue happenings
	next  int
}

func (c *clock) at(t time.Duration, do func(now time.Duration)) {
	c.next++
	heap.Push(&c.queue, happening{t, c.next, do})
}

func (c *clock) run() {
	for len(c.queue) > 0 {
		h := heap.Pop(&c.queue).(happening)
		h.do(h.at)
	}
}

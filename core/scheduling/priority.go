package scheduling

import (
	"time"

	"acaciacleat.example/core/call"
)

// never is the latest start of an item without a deadline: a century after the origin.
const never = 100 * 365 * 24 * time.Hour

// Priority is the queue of an agent: short before long, with a bound on a long one's
// wait; fair among organisations by tokens; a share of the memory kept for short ones.
//
// An item that has waited MaxWait, or must start to meet its deadline, goes before items
// of shorter classes. Then short items have their turn (ShortTurn) before the next aged
// one does. While an aged item waits for memory nothing but short items within their
// share may start, so that the memory it needs comes together.
type Priority struct {
	settings Settings
	origin   time.Time
	lanes    [numLanes]*lane
	byID     map[call.ID]*node
	expiry   heap[*node]
	order    uint64
	owed     int64 // short tokens that go before the next aged item
	queued   [call.NumClasses]int64
	spare    []*node

	shortRunning int64
	knowsRunning bool
}

// NewPriority returns an empty queue. Its memory grows with use up to Settings.Limit items.
func NewPriority(settings Settings) *Priority {
	q := &Priority{settings: settings, byID: make(map[call.ID]*node)}
	for i := range q.lanes {
		q.lanes[i] = newLane(quantum[i], agedSlack[i])
	}
	q.expiry.less = func(a, b *node) bool { return a.latest < b.latest }
	q.expiry.place = func(n *node, i int) { n.expiry = i }
	return q
}

// Configure changes the settings. Items already queued keep the times computed at Push.
func (q *Priority) Configure(settings Settings) { q.settings = settings }

// SetShortRunning tells the memory in tokens that started short items hold now. Without
// it short items count as holding none.
func (q *Priority) SetShortRunning(tokens int64) {
	q.shortRunning = tokens
	q.knowsRunning = true
}

// Push implements Queue. It also refuses an ID that is queued already.
func (q *Priority) Push(item Item) bool {
	if len(q.byID) >= q.settings.Limit || q.byID[item.ID] != nil {
		return false
	}
	if q.origin.IsZero() {
		q.origin = item.Enqueued
	}
	n := q.node()
	q.order++
	prefill := q.settings.prefill(&item)
	class := call.ClassOf(item.Work.PromptTokens)
	enqueued := q.at(item.Enqueued)
	latest := int64(never)
	if !item.Deadline.IsZero() {
		latest = q.at(item.Deadline) - int64(prefill)
	}
	aged := min(enqueued+int64(q.settings.MaxWait[class]), latest-int64(startMargin*float64(prefill)))
	*n = node{
		item:   item,
		class:  class,
		need:   q.settings.need(&item),
		cost:   uncached(&item) + int64(item.Work.MaxTokens),
		order:  q.order,
		aged:   max(enqueued, aged),
		latest: latest,
	}
	q.byID[item.ID] = n
	q.queued[class] += uncached(&item)
	q.expiry.push(n)
	q.lanes[laneOf(class)].push(n)
	return true
}

func (q *Priority) node() *node {
	last := len(q.spare) - 1
	if last < 0 {
		return new(node)
	}
	n := q.spare[last]
	q.spare = q.spare[:last]
	return n
}

func (q *Priority) at(t time.Time) int64 { return int64(t.Sub(q.origin)) }

// Pop implements Queue. It may return an item that can't meet its deadline any more;
// take those out by Expire first.
func (q *Priority) Pop(now time.Time, freeTokens int64) (Item, bool) {
	n := q.next(q.at(now), freeTokens)
	if n == nil {
		return Item{}, false
	}
	l := laneOf(n.class)
	q.settle(l, n.cost)
	if l == laneShort && q.knowsRunning {
		q.shortRunning += n.need
	}
	q.lanes[l].start(n)
	return q.forget(n), true
}

// next chooses the item to start; nil when none may.
func (q *Priority) next(now, free int64) *node {
	short := q.lanes[laneShort].next(now)
	if aged := q.aged(now, short != nil); aged != nil {
		if q.fits(aged, free) {
			return aged
		}
		return q.withinShare(short, free)
	}
	if short != nil {
		// A longer item never takes the memory that the first short one waits for.
		return q.ifFits(short, free)
	}
	for _, l := range q.lanes[laneMedium:] {
		if n := l.next(now); n != nil {
			return q.ifFits(n, free)
		}
	}
	return nil
}

// aged returns the item that has aged and goes first; nil when there is none or when
// short items have their turn. Of two lanes the one goes first whose item aged earlier.
func (q *Priority) aged(now int64, shortWaits bool) *node {
	if shortWaits && q.owed > 0 {
		return nil
	}
	var first *lane
	for _, l := range q.lanes[laneMedium:] {
		if l.overdue(now) && (first == nil || earlier(l.aged.items[0].head(), first.aged.items[0].head())) {
			first = l
		}
	}
	if first == nil {
		return nil
	}
	return first.next(now)
}

// settle keeps account of the short items' turn.
func (q *Priority) settle(lane int, cost int64) {
	if lane == laneShort {
		q.owed = max(0, q.owed-cost)
		return
	}
	if len(q.lanes[laneShort].fair.items) > 0 {
		q.owed += int64(q.settings.ShortTurn * float64(cost))
	}
}

func (q *Priority) fits(n *node, free int64) bool {
	return n.need+q.settings.reserve(n.class, n.need) <= free
}

func (q *Priority) ifFits(n *node, free int64) *node {
	if !q.fits(n, free) {
		return nil
	}
	return n
}

// withinShare returns the short item if it fits into the share kept for short ones.
//
// What goes wrong: while a long item waits for memory, short ones take each bit that
// comes free and the long one never starts. It shows as long items that expire on an
// engine that is never empty. Held to their share, short items can't do that.
func (q *Priority) withinShare(short *node, free int64) *node {
	if short == nil {
		return nil
	}
	if q.settings.CapacityTokens <= 0 {
		return q.ifFits(short, free)
	}
	share := int64(q.settings.ShortShare * float64(q.settings.CapacityTokens))
	if q.shortRunning+short.need > share {
		return nil
	}
	return q.ifFits(short, free)
}

// Remove implements Queue.
func (q *Priority) Remove(id call.ID) bool {
	n := q.byID[id]
	if n == nil {
		return false
	}
	q.lanes[laneOf(n.class)].remove(n)
	q.forget(n)
	return true
}

// Expire takes out and returns the items that can't meet their deadline any more, even
// if they started at once on an idle engine.
func (q *Priority) Expire(now time.Time) []Item {
	var expired []Item
	at := q.at(now)
	for len(q.expiry.items) > 0 && q.expiry.items[0].latest < at {
		n := q.expiry.items[0]
		q.lanes[laneOf(n.class)].remove(n)
		expired = append(expired, q.forget(n))
	}
	return expired
}

// forget drops a node that has left its lane.
func (q *Priority) forget(n *node) Item {
	q.expiry.remove(n.expiry)
	delete(q.byID, n.item.ID)
	q.queued[n.class] -= uncached(&n.item)
	item := n.item
	*n = node{}
	q.spare = append(q.spare, n)
	return item
}

// Len implements Queue.
func (q *Priority) Len() int { return len(q.byID) }

// Queued is the sum of uncached prompt tokens queued, by class, as an agent's load digest
// tells them.
func (q *Priority) Queued() [call.NumClasses]int64 { return q.queued }

// Engine priorities: lower goes first. The steps leave room for an operator's own.
const (
	PriorityShort  = 0
	PriorityAged   = 50
	PriorityMedium = 100
	PriorityLong   = 200
)

// EnginePriority returns the priority that the engine should give an item started at now.
func (q *Priority) EnginePriority(item *Item, now time.Time) int {
	class := call.ClassOf(item.Work.PromptTokens)
	if class == call.Short {
		return PriorityShort
	}
	prefill := q.settings.prefill(item)
	urgent := item.Deadline.Add(-time.Duration((1 + startMargin) * float64(prefill)))
	if now.Sub(item.Enqueued) >= q.settings.MaxWait[class] || !now.Before(urgent) {
		return PriorityAged
	}
	if class == call.Medium {
		return PriorityMedium
	}
	return PriorityLong
}

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

	dominance    dominance
	running      Running
	knowsRunning bool
}

// Running is what started items hold at the engine, in tokens.
type Running struct {
	// ShortMemory is the memory of started short items, without PriorityFlood's.
	ShortMemory int64
	// Prefill is the uncached prompt tokens not yet prefilled, by class, without those of
	// items that were started with PriorityFlood.
	Prefill [call.NumClasses]int64
	// FloodPrefill is the same of items that were started with PriorityFlood.
	FloodPrefill int64
}

// NewPriority returns an empty queue. Its memory grows with use up to Settings.Limit items.
func NewPriority(settings Settings) *Priority {
	q := &Priority{settings: settings, byID: make(map[call.ID]*node), dominance: newDominance()}
	for i := range q.lanes {
		q.lanes[i] = newLane(quantum[i], agedSlack[i])
	}
	q.expiry.less = func(a, b *node) bool { return a.latest < b.latest }
	q.expiry.place = func(n *node, i int) { n.expiry = i }
	return q
}

// Configure changes the settings. Items already queued keep the times computed at Push.
func (q *Priority) Configure(settings Settings) { q.settings = settings }

// SetRunning tells what started items hold now. Pop adds to it what it starts. An agent
// that never calls it gives up two bounds: the memory of short items while an aged one
// waits, and the work that waits inside the engine.
//
// What goes wrong: all that fits into memory is started at once and waits inside the
// engine, in the order of its start. It shows as a flooding organisation that delays all
// others although the queue is fair. So no item is started while the engine has
// Settings.PrefillAhead tokens to prefill that would go before it.
func (q *Priority) SetRunning(running Running) {
	q.running = running
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
	at := q.at(now)
	n := q.next(at, freeTokens)
	if n == nil {
		return Item{}, false
	}
	l := laneOf(n.class)
	flood := q.floods(n)
	if l == laneShort {
		q.dominance.add(n.item.Organisation, n.cost, at)
	}
	q.settle(l, n.cost)
	if q.knowsRunning {
		q.count(n, flood)
	}
	q.lanes[l].start(n)
	return q.forget(n), true
}

func (q *Priority) count(n *node, flood bool) {
	if flood {
		q.running.FloodPrefill += uncached(&n.item)
		return
	}
	q.running.Prefill[n.class] += uncached(&n.item)
	if n.class == call.Short {
		q.running.ShortMemory += n.need
	}
}

// next chooses the item to start; nil when none may.
func (q *Priority) next(now, free int64) *node {
	short := q.short(free, now)
	// A flooding organisation's short items have no turn before aged ones, nor a share.
	modest := short
	if short != nil && q.floods(short) {
		modest = nil
	}
	if aged := q.aged(now, modest != nil); aged != nil && q.running.Prefill[aged.class] < q.settings.PrefillAhead {
		if q.fits(aged, free) {
			return aged
		}
		return q.withinShare(modest, free)
	}
	// A longer item never takes the memory that a shorter one waits for.
	if short != nil && !q.floods(short) {
		return q.ifFits(short, free)
	}
	for _, l := range q.lanes[laneMedium:] {
		if n := l.next(now); n != nil {
			return q.ifFits(n, free)
		}
	}
	if short == nil {
		return nil
	}
	return q.ifFits(short, free)
}

// floods reports whether n is a short item of the organisation that floods. Its short
// items go last, or all longer ones would wait for the flood.
func (q *Priority) floods(n *node) bool {
	return n.class == call.Short && q.isFlooder(n.item.Organisation)
}

func (q *Priority) isFlooder(organisation string) bool {
	return q.dominance.floods(organisation, q.settings.PrefillRate)
}

// short returns the short item whose turn it is. One of a flooding organisation that
// must leave its room to others does not hold these up.
func (q *Priority) short(free, now int64) *node {
	l := q.lanes[laneShort]
	first := l.next(now)
	if first == nil || q.ifFits(first, free) != nil || !q.floods(first) {
		return first
	}
	if second := l.second(); second != nil {
		return second
	}
	return first
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
	if q.modestWaits() {
		q.owed += int64(q.settings.ShortTurn * float64(cost))
	}
}

// modestWaits reports whether an organisation that does not flood has short items queued.
func (q *Priority) modestWaits() bool {
	items := q.lanes[laneShort].fair.items
	return len(items) > 1 || len(items) == 1 && !q.floods(items[0].head())
}

func (q *Priority) fits(n *node, free int64) bool {
	reserve := q.settings.reserve(n.class, n.need)
	if q.floods(n) {
		reserve = q.settings.othersReserve()
	}
	return n.need+reserve <= free
}

func (q *Priority) ifFits(n *node, free int64) *node {
	ahead := q.ahead(n.class)
	if q.floods(n) {
		ahead = q.running.FloodPrefill
	}
	if !q.fits(n, free) || ahead >= q.settings.PrefillAhead {
		return nil
	}
	return n
}

// ahead is what the engine has still to prefill of the class and shorter ones.
func (q *Priority) ahead(class call.Class) int64 {
	sum := int64(0)
	for _, tokens := range q.running.Prefill[:class+1] {
		sum += tokens
	}
	return sum
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
	if q.running.ShortMemory+short.need > share {
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
// tells them: without the short items of an organisation that floods.
//
// What goes wrong when these are told: other organisations' requests don't wait for them,
// but routing believes so and spreads by the flood instead of by what counts. In the
// evaluator the others' short p95 rose by a third under a flood, and not at all without.
func (q *Priority) Queued() [call.NumClasses]int64 {
	queued := q.queued
	if t := q.lanes[laneShort].tenants[q.dominance.leader]; t != nil && q.isFlooder(t.name) {
		queued[call.Short] -= t.prompt
	}
	return queued
}

// Ahead is the uncached prompt tokens queued that an item pushed now would wait for, for
// the agent's own admission: for one that floods its own too. It is an upper
// estimate: fairness between organisations may let the item start sooner.
func (q *Priority) Ahead(item *Item) int64 {
	class := call.ClassOf(item.Work.PromptTokens)
	queued := q.Queued()
	if class == call.Short && q.isFlooder(item.Organisation) {
		queued = q.queued
	}
	sum := int64(0)
	for _, tokens := range queued[:class+1] {
		sum += tokens
	}
	return sum
}

// Engine priorities: lower goes first. The steps leave room for an operator's own.
const (
	PriorityShort  = 0
	PriorityAged   = 50
	PriorityMedium = 100
	PriorityFlood  = 150 // a short item of an organisation that floods
	PriorityLong   = 200
)

// EnginePriority returns the priority that the engine should give an item started at now.
func (q *Priority) EnginePriority(item *Item, now time.Time) int {
	class := call.ClassOf(item.Work.PromptTokens)
	if class == call.Short && q.isFlooder(item.Organisation) {
		return PriorityFlood
	}
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

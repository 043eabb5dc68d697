package scheduling

import (
	"time"

	"acaciacleat.example/core/call"
)

// noLatestStart is the latest start of an item without a deadline, counted from the origin.
const noLatestStart = 100 * 365 * 24 * time.Hour

// Priority is the queue of an agent. It starts short items before long ones, bounds the
// wait of long ones, shares tokens fairly among organisations and reserves a share of the
// memory for short items.
//
// An item ages when it has waited MaxWait or must start soon to meet its deadline. An aged
// item goes ahead of items of shorter classes. After it, short items may start up to a
// quota (ShortPerAgedToken) before the next aged item. While an aged item waits for memory,
// only short items within their share may start, so that enough memory becomes free.
type Priority struct {
	settings      Settings
	origin        time.Time
	lanes         [numLanes]*lane
	byID          map[call.ID]*node
	byLatestStart heap[*node]
	lastSequence  uint64
	shortQuota    int64 // short tokens that may start before the next aged item
	queued        [call.NumClasses]int64
	freeNodes     []*node

	dominance    dominanceTracker
	running      Running
	runningKnown bool
}

// Running describes the started items at the engine, in tokens.
type Running struct {
	// ShortMemory is the memory of started short items, except those with PriorityFlood.
	ShortMemory int64
	// Prefill is the number of uncached prompt tokens not yet prefilled, by class, except
	// those of items with PriorityFlood.
	Prefill [call.NumClasses]int64
	// FloodPrefill is the number of uncached prompt tokens not yet prefilled of items with
	// PriorityFlood.
	FloodPrefill int64
}

// NewPriority returns an empty queue. It allocates as items are pushed, up to
// Settings.Limit items.
func NewPriority(settings Settings) *Priority {
	q := &Priority{settings: settings, byID: make(map[call.ID]*node), dominance: newDominanceTracker()}
	for i := range q.lanes {
		q.lanes[i] = newLane(quantum[i], agedSlackQuanta[i])
	}
	q.byLatestStart.less = func(a, b *node) bool { return a.latestStart < b.latestStart }
	q.byLatestStart.setIndex = func(n *node, i int) { n.latestStartIndex = i }
	return q
}

// Configure changes the settings. Queued items keep the times computed by Push.
func (q *Priority) Configure(settings Settings) { q.settings = settings }

// SetRunning sets what started items hold now; Pop then adds the items that it starts.
// Without a call of SetRunning two bounds do not apply: the memory of short items while an
// aged item waits, and the prompt tokens that wait inside the engine.
//
// If everything that fits into memory started at once, it would wait inside the engine in
// start order, and a flooding organisation would delay all others in spite of the fair
// queue. No item is therefore started while the engine has Settings.MaxPrefillAhead tokens
// to prefill ahead of it.
func (q *Priority) SetRunning(running Running) {
	q.running = running
	q.runningKnown = true
}

// Push implements Queue. It also returns false for an ID that is already queued.
func (q *Priority) Push(item Item) bool {
	if len(q.byID) >= q.settings.Limit || q.byID[item.ID] != nil {
		return false
	}
	if q.origin.IsZero() {
		q.origin = item.Enqueued
	}
	n := q.newNode()
	q.lastSequence++
	prefill := q.settings.prefillTime(&item)
	class := call.ClassOf(item.Work.PromptTokens)
	enqueued := q.sinceOrigin(item.Enqueued)
	latestStart := int64(noLatestStart)
	if at, bounded := latestStartOf(&item, prefill); bounded {
		latestStart = q.sinceOrigin(at)
	}
	agesAt := min(enqueued+int64(q.settings.MaxWait[class]), latestStart-int64(startMarginFactor*float64(prefill)))
	*n = node{
		item:        item,
		class:       class,
		memory:      q.settings.memory(&item),
		cost:        uncachedTokens(&item) + int64(item.Work.MaxTokens),
		sequence:    q.lastSequence,
		agesAt:      max(enqueued, agesAt),
		latestStart: latestStart,
	}
	q.byID[item.ID] = n
	q.queued[class] += uncachedTokens(&item)
	q.byLatestStart.push(n)
	q.lanes[laneOf(class)].push(n)
	return true
}

// latestStartOf returns the latest start at which an item meets its deadline; bounded is false for an item
// without a deadline, which is never urgent.
func latestStartOf(item *Item, prefill time.Duration) (at time.Time, bounded bool) {
	return item.Deadline.Add(-prefill), !item.Deadline.IsZero()
}

func (q *Priority) newNode() *node {
	last := len(q.freeNodes) - 1
	if last < 0 {
		return new(node)
	}
	n := q.freeNodes[last]
	q.freeNodes = q.freeNodes[:last]
	return n
}

func (q *Priority) sinceOrigin(t time.Time) int64 { return int64(t.Sub(q.origin)) }

// Pop implements Queue. It may return an item that can no longer meet its deadline; call
// Expire first to remove these.
func (q *Priority) Pop(now time.Time, freeTokens int64) (Item, bool) {
	at := q.sinceOrigin(now)
	n := q.chooseNext(at, freeTokens)
	if n == nil {
		return Item{}, false
	}
	l := laneOf(n.class)
	flood := q.isFlooding(n)
	if l == laneShort {
		q.dominance.add(n.item.Organisation, n.cost, at)
	}
	q.updateShortQuota(l, n.cost)
	if q.runningKnown {
		q.addRunning(n, flood)
	}
	q.lanes[l].start(n)
	return q.discard(n), true
}

// addRunning adds an item that Pop starts to the running ones.
func (q *Priority) addRunning(n *node, flood bool) {
	if flood {
		q.running.FloodPrefill += uncachedTokens(&n.item)
		return
	}
	q.running.Prefill[n.class] += uncachedTokens(&n.item)
	if n.class == call.Short {
		q.running.ShortMemory += n.memory
	}
}

// chooseNext returns the item to start, or nil when none may start.
func (q *Priority) chooseNext(now, free int64) *node {
	short := q.nextShort(free, now)
	// Short items of a flooding organisation may use neither the quota ahead of aged items nor
	// the memory share of short items.
	shortWithQuota := short
	if short != nil && q.isFlooding(short) {
		shortWithQuota = nil
	}
	// An aged item goes ahead of shorter ones, so only the prefill of its own class counts.
	if aged := q.nextOfAgedLane(now, shortWithQuota != nil); aged != nil && q.running.Prefill[aged.class] < q.settings.MaxPrefillAhead {
		if q.fits(aged, free) {
			return aged
		}
		return q.ifWithinShortShare(shortWithQuota, free)
	}
	// A longer item must not take the memory that a shorter one waits for.
	if short != nil && !q.isFlooding(short) {
		return q.ifStartable(short, free)
	}
	for _, l := range q.lanes[laneMedium:] {
		if n := l.next(now); n != nil {
			return q.ifStartable(n, free)
		}
	}
	if short == nil {
		return nil
	}
	return q.ifStartable(short, free)
}

// isFlooding reports whether n is a short item of a flooding organisation. These items go
// last; otherwise all longer items would wait for the flood.
func (q *Priority) isFlooding(n *node) bool {
	return n.class == call.Short && q.isOrganisationFlooding(n.item.Organisation)
}

func (q *Priority) isOrganisationFlooding(organisation string) bool {
	return q.dominance.isFlooding(organisation, q.settings.PrefillRate)
}

// nextShort returns the short item to consider next. An item of a flooding organisation that
// can't start does not block other organisations' items.
func (q *Priority) nextShort(free, now int64) *node {
	l := q.lanes[laneShort]
	first := l.next(now)
	if first == nil || q.ifStartable(first, free) != nil || !q.isFlooding(first) {
		return first
	}
	if second := l.secondOrganisationHead(); second != nil {
		return second
	}
	return first
}

// nextOfAgedLane returns the next item of the lane whose oldest aged item aged first. Fairness
// may make it an item that has not aged itself. It returns nil when no item has aged, or when
// short items wait and have quota left.
func (q *Priority) nextOfAgedLane(now int64, shortWaits bool) *node {
	if shortWaits && q.shortQuota > 0 {
		return nil
	}
	var first *lane
	for _, l := range q.lanes[laneMedium:] {
		if l.hasAged(now) && (first == nil || earlier(l.byAge.items[0].head(), first.byAge.items[0].head())) {
			first = l
		}
	}
	if first == nil {
		return nil
	}
	return first.next(now)
}

// updateShortQuota charges a started short item to the quota, or adds the quota that a
// started longer item gives to waiting short ones.
func (q *Priority) updateShortQuota(lane int, cost int64) {
	if lane == laneShort {
		q.shortQuota = max(0, q.shortQuota-cost)
		return
	}
	if q.othersShortQueued() {
		q.shortQuota += int64(q.settings.ShortPerAgedToken * float64(cost))
	}
}

// othersShortQueued reports whether an organisation that is not flooding has queued short
// items.
func (q *Priority) othersShortQueued() bool {
	items := q.lanes[laneShort].byUse.items
	return len(items) > 1 || len(items) == 1 && !q.isFlooding(items[0].head())
}

// fits reports whether the free memory suffices for the item and for the memory that it must leave
// to others.
func (q *Priority) fits(n *node, free int64) bool {
	reserve := q.settings.reservedMemory(n.class, n.memory)
	if q.isFlooding(n) {
		reserve = q.settings.othersReservedMemory()
	}
	return n.memory+reserve <= free
}

// ifStartable returns the item if it fits into the free memory and the engine has fewer than
// Settings.MaxPrefillAhead tokens to prefill ahead of it, otherwise nil.
func (q *Priority) ifStartable(n *node, free int64) *node {
	ahead := q.runningPrefill(n.class)
	if q.isFlooding(n) {
		ahead = q.running.FloodPrefill
	}
	if !q.fits(n, free) || ahead >= q.settings.MaxPrefillAhead {
		return nil
	}
	return n
}

// runningPrefill returns the number of tokens of the class and shorter ones that the engine
// still has to prefill.
func (q *Priority) runningPrefill(class call.Class) int64 {
	sum := int64(0)
	for _, tokens := range q.running.Prefill[:class+1] {
		sum += tokens
	}
	return sum
}

// ifWithinShortShare returns the short item if it fits into the memory share of short items,
// otherwise nil.
//
// It applies while a longer item waits for memory. Without the bound, short items would take
// all memory as it becomes free, and the longer item would expire without ever starting.
func (q *Priority) ifWithinShortShare(short *node, free int64) *node {
	if short == nil {
		return nil
	}
	if q.settings.CapacityTokens <= 0 {
		return q.ifStartable(short, free)
	}
	share := int64(q.settings.ShortMemoryShare * float64(q.settings.CapacityTokens))
	if q.running.ShortMemory+short.memory > share {
		return nil
	}
	return q.ifStartable(short, free)
}

// Remove implements Queue.
func (q *Priority) Remove(id call.ID) bool {
	n := q.byID[id]
	if n == nil {
		return false
	}
	q.lanes[laneOf(n.class)].remove(n)
	q.discard(n)
	return true
}

// Expire removes and returns the items that could not meet their deadline even if they
// started now on an idle engine.
func (q *Priority) Expire(now time.Time) []Item {
	var expired []Item
	at := q.sinceOrigin(now)
	for len(q.byLatestStart.items) > 0 && q.byLatestStart.items[0].latestStart < at {
		n := q.byLatestStart.items[0]
		q.lanes[laneOf(n.class)].remove(n)
		expired = append(expired, q.discard(n))
	}
	return expired
}

// discard drops a node that has been removed from its lane and returns its item.
func (q *Priority) discard(n *node) Item {
	q.byLatestStart.remove(n.latestStartIndex)
	delete(q.byID, n.item.ID)
	q.queued[n.class] -= uncachedTokens(&n.item)
	item := n.item
	*n = node{}
	q.freeNodes = append(q.freeNodes, n)
	return item
}

// Len implements Queue.
func (q *Priority) Len() int { return len(q.byID) }

// QueuedTokens returns the number of queued uncached prompt tokens, by class, for the agent's
// load digest. It leaves out the short items of a flooding organisation: requests of other
// organisations do not wait for these, but routing would balance load by them. Including
// them raises the short p95 of the other organisations by a third during a flood.
func (q *Priority) QueuedTokens() [call.NumClasses]int64 {
	queued := q.queued
	if t := q.lanes[laneShort].organisations[q.dominance.dominant]; t != nil && q.isOrganisationFlooding(t.name) {
		queued[call.Short] -= t.promptTokens
	}
	return queued
}

// TokensAhead returns the number of queued uncached prompt tokens that an item pushed now would
// wait for. The agent uses it for admission. For a flooding organisation the result includes
// its own short items. It is an upper estimate, since fairness between organisations may let
// the item start sooner.
func (q *Priority) TokensAhead(item *Item) int64 {
	class := call.ClassOf(item.Work.PromptTokens)
	queued := q.QueuedTokens()
	if class == call.Short && q.isOrganisationFlooding(item.Organisation) {
		queued = q.queued
	}
	sum := int64(0)
	for _, tokens := range queued[:class+1] {
		sum += tokens
	}
	return sum
}

// Engine priorities; the lowest value runs first. The gaps leave values for an operator's
// own priorities.
const (
	PriorityShort  = 0
	PriorityAged   = 50
	PriorityMedium = 100
	PriorityFlood  = 150 // a short item of a flooding organisation
	PriorityLong   = 200
)

// EnginePriority returns the engine priority of an item that starts now.
func (q *Priority) EnginePriority(item *Item, now time.Time) int {
	class := call.ClassOf(item.Work.PromptTokens)
	if class == call.Short && q.isOrganisationFlooding(item.Organisation) {
		return PriorityFlood
	}
	if class == call.Short {
		return PriorityShort
	}
	prefill := q.settings.prefillTime(item)
	latest, bounded := latestStartOf(item, prefill)
	urgent := bounded && !now.Before(latest.Add(-time.Duration(startMarginFactor*float64(prefill))))
	if now.Sub(item.Enqueued) >= q.settings.MaxWait[class] || urgent {
		return PriorityAged
	}
	if class == call.Medium {
		return PriorityMedium
	}
	return PriorityLong
}

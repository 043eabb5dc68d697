package scheduling

import (
	"acaciacleat.example/core/call"
)

// quantum is the difference in used tokens up to which two organisations count as equal
// and the earlier item goes first. For longer items it is the size of a common item. For
// short items it is 1, since a request of another organisation would wait for a whole
// quantum of a flooding organisation's requests.
var quantum = [numLanes]int64{1, call.MediumMax, call.LongMax}

// agedSlackQuanta is the number of quanta by which an organisation may exceed the least
// use while its aged items still go first. Short items do not age: they are ordered by
// fairness alone.
var agedSlackQuanta = [numLanes]int64{0, 1, 1}

// The lanes, highest priority first.
const (
	laneShort = iota
	laneMedium
	laneLong // the classes Long and Huge
	numLanes
)

func laneOf(class call.Class) int { return min(int(class), laneLong) }

// node is a queued item. Times are nanoseconds since the queue's origin.
type node struct {
	item              Item
	class             call.Class
	memory            int64
	cost              int64 // tokens charged to the organisation
	sequence          uint64
	agesAt            int64 // from then on the item goes ahead of shorter ones
	latestStart       int64 // the latest start that meets the deadline
	organisation      *organisationQueue
	organisationIndex int // index in organisationQueue.items
	latestStartIndex  int // index in Priority.byLatestStart
}

// earlier orders nodes by the time at which they age, then by arrival.
func earlier(a, b *node) bool {
	if a.agesAt != b.agesAt {
		return a.agesAt < b.agesAt
	}
	return a.sequence < b.sequence
}

// organisationQueue holds the items of one organisation in one lane, ordered by age. It exists only
// while it has items or its use is ahead of the lane's virtual time.
type organisationQueue struct {
	name         string
	used         int64 // virtual time: tokens started, raised to the lane's after an idle period
	promptTokens int64 // uncached prompt tokens of the queued items
	items        heap[*node]
	byUseIndex   int // index in lane.byUse
	byAgeIndex   int // index in lane.byAge
	idleIndex    int // index in lane.idle; -1 when not in it
}

func (t *organisationQueue) head() *node { return t.items.items[0] }

// lane holds the items of one length class. It shares tokens fairly among organisations by
// start-time fair queueing, which orders starts by virtual time.
type lane struct {
	quantum           int64
	agedSlack         int64
	virtualTime       int64 // of the last start
	organisations     map[string]*organisationQueue
	byUse             heap[*organisationQueue] // organisations with items, by use
	byAge             heap[*organisationQueue] // organisations with items, by age of the first item
	idle              heap[*organisationQueue] // organisations without items and ahead of virtualTime, by use
	freeOrganisations []*organisationQueue
}

func newLane(quantum, agedSlack int64) *lane {
	l := &lane{quantum: quantum, agedSlack: agedSlack, organisations: make(map[string]*organisationQueue)}
	l.byUse.less = func(a, b *organisationQueue) bool {
		x, y := a.used/l.quantum, b.used/l.quantum
		if x != y {
			return x < y
		}
		return earlier(a.head(), b.head())
	}
	l.byUse.setIndex = func(t *organisationQueue, i int) { t.byUseIndex = i }
	l.byAge.less = func(a, b *organisationQueue) bool { return earlier(a.head(), b.head()) }
	l.byAge.setIndex = func(t *organisationQueue, i int) { t.byAgeIndex = i }
	l.idle.less = func(a, b *organisationQueue) bool { return a.used < b.used }
	l.idle.setIndex = func(t *organisationQueue, i int) { t.idleIndex = i }
	return l
}

func (l *lane) push(n *node) {
	t := l.organisation(n.item.Organisation)
	n.organisation = t
	t.promptTokens += uncachedTokens(&n.item)
	t.items.push(n)
	if len(t.items.items) == 1 {
		t.used = max(t.used, l.virtualTime)
		l.byUse.push(t)
		l.byAge.push(t)
		return
	}
	if n.organisationIndex == 0 {
		l.byUse.fix(t.byUseIndex)
		l.byAge.fix(t.byAgeIndex)
	}
}

// organisation returns the queue of an organisation, new if there is none. It is no longer idle.
func (l *lane) organisation(name string) *organisationQueue {
	if t := l.organisations[name]; t != nil {
		if t.idleIndex >= 0 {
			l.idle.remove(t.idleIndex)
		}
		return t
	}
	var t *organisationQueue
	if last := len(l.freeOrganisations) - 1; last >= 0 {
		t = l.freeOrganisations[last]
		l.freeOrganisations = l.freeOrganisations[:last]
	} else {
		t = &organisationQueue{items: heap[*node]{less: earlier, setIndex: func(n *node, i int) { n.organisationIndex = i }}}
	}
	t.name = name
	t.used = l.virtualTime
	t.idleIndex = -1
	l.organisations[name] = t
	return t
}

// remove removes a node without charging its organisation.
func (l *lane) remove(n *node) {
	t := n.organisation
	t.promptTokens -= uncachedTokens(&n.item)
	wasHead := n.organisationIndex == 0
	if len(t.items.items) == 1 {
		l.byUse.remove(t.byUseIndex)
		l.byAge.remove(t.byAgeIndex)
		t.items.remove(0)
		l.retireIdle(t)
		return
	}
	t.items.remove(n.organisationIndex)
	if wasHead {
		l.byUse.fix(t.byUseIndex)
		l.byAge.fix(t.byAgeIndex)
	}
}

// start removes a node and charges its organisation.
func (l *lane) start(n *node) {
	t := n.organisation
	l.virtualTime = max(l.virtualTime, min(t.used, l.byUse.items[0].used))
	t.used += n.cost
	l.remove(n)
}

// retireIdle adds an organisation without items to the idle ones. It drops the idle organisations
// whose use is no longer ahead of the lane's virtual time, or all of them if the lane is empty.
// Dropping them earlier would let an organisation reset its use by pausing for a moment.
func (l *lane) retireIdle(t *organisationQueue) {
	l.idle.push(t)
	for len(l.idle.items) > 0 {
		least := l.idle.items[0]
		if least.used > l.virtualTime && len(l.byUse.items) > 0 {
			return
		}
		l.idle.remove(0)
		delete(l.organisations, least.name)
		l.freeOrganisations = append(l.freeOrganisations, least)
	}
}

// next returns the item to start. This is the item that aged first, as long as its
// organisation is at most agedSlack quanta ahead of the organisation with the least use;
// otherwise it is the first item of the latter.
func (l *lane) next(now int64) *node {
	if len(l.byUse.items) == 0 {
		return nil
	}
	least := l.byUse.items[0]
	oldest := l.byAge.items[0]
	if oldest.head().agesAt <= now && oldest.used/l.quantum <= least.used/l.quantum+l.agedSlack {
		return oldest.head()
	}
	return least.head()
}

// secondOrganisationHead returns the first item of the organisation with the second least use,
// or nil when there is only one organisation.
func (l *lane) secondOrganisationHead() *node {
	items := l.byUse.items
	switch {
	case len(items) < 2:
		return nil
	case len(items) == 2 || l.byUse.less(items[1], items[2]):
		return items[1].head()
	default:
		return items[2].head()
	}
}

// hasAged reports whether any item has aged.
func (l *lane) hasAged(now int64) bool {
	return len(l.byAge.items) > 0 && l.byAge.items[0].head().agesAt <= now
}

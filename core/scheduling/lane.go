package scheduling

import (
	"acaciacleat.example/core/call"
)

// quantum is the tokens by which organisations' use may differ before fairness decides;
// within it the earlier item goes first. It is the size of a common item, but for short
// ones: a request of another organisation would wait for that much of a flooding one's.
var quantum = [numLanes]int64{1, call.MediumMax, call.LongMax}

// agedSlack is the lead in quanta with which an organisation's aged item still goes first.
// Short items don't age: there, fairness alone decides.
var agedSlack = [numLanes]int64{0, 1, 1}

// The lanes, from first to last.
const (
	laneShort = iota
	laneMedium
	laneLong // the classes Long and Huge
	numLanes
)

func laneOf(class call.Class) int { return min(int(class), laneLong) }

// node is a queued item. Times are nanoseconds since the queue's origin.
type node struct {
	item   Item
	class  call.Class
	need   int64
	cost   int64 // tokens charged to the organisation
	order  uint64
	aged   int64 // when the item goes before shorter ones
	latest int64 // the latest start that meets the deadline
	tenant *tenant
	place  int // in its tenant's heap
	expiry int // in the queue's heap by latest start
}

func earlier(a, b *node) bool {
	if a.aged != b.aged {
		return a.aged < b.aged
	}
	return a.order < b.order
}

// tenant is one organisation in one lane, with its items by age. It exists only while it
// has items, or has used more than the others.
type tenant struct {
	name   string
	used   int64 // virtual time: tokens started, raised to the lane's when it was idle
	prompt int64 // uncached prompt tokens of its items
	items  heap[*node]
	fair   int // place in lane.fair
	aged   int // place in lane.aged
	idle   int // place in lane.idle; -1 when not there
}

func (t *tenant) head() *node { return t.items.items[0] }

// lane holds the items of one length, fair among organisations by tokens: start-time
// fair queueing over virtual time.
type lane struct {
	quantum int64
	slack   int64
	clock   int64 // virtual time of the last start
	tenants map[string]*tenant
	fair    heap[*tenant] // by use
	aged    heap[*tenant] // by their head's age
	idle    heap[*tenant] // without items but ahead of the clock, by use
	spare   []*tenant
}

func newLane(quantum, slack int64) *lane {
	l := &lane{quantum: quantum, slack: slack, tenants: make(map[string]*tenant)}
	l.fair.less = func(a, b *tenant) bool {
		x, y := a.used/l.quantum, b.used/l.quantum
		if x != y {
			return x < y
		}
		return earlier(a.head(), b.head())
	}
	l.fair.place = func(t *tenant, i int) { t.fair = i }
	l.aged.less = func(a, b *tenant) bool { return earlier(a.head(), b.head()) }
	l.aged.place = func(t *tenant, i int) { t.aged = i }
	l.idle.less = func(a, b *tenant) bool { return a.used < b.used }
	l.idle.place = func(t *tenant, i int) { t.idle = i }
	return l
}

func (l *lane) push(n *node) {
	t := l.tenant(n.item.Organisation)
	n.tenant = t
	t.prompt += uncached(&n.item)
	t.items.push(n)
	if len(t.items.items) == 1 {
		t.used = max(t.used, l.clock)
		l.fair.push(t)
		l.aged.push(t)
		return
	}
	if n.place == 0 {
		l.fair.fix(t.fair)
		l.aged.fix(t.aged)
	}
}

func (l *lane) tenant(name string) *tenant {
	if t := l.tenants[name]; t != nil {
		if t.idle >= 0 {
			l.idle.remove(t.idle)
		}
		return t
	}
	var t *tenant
	if last := len(l.spare) - 1; last >= 0 {
		t = l.spare[last]
		l.spare = l.spare[:last]
	} else {
		t = &tenant{items: heap[*node]{less: earlier, place: func(n *node, i int) { n.place = i }}}
	}
	t.name = name
	t.used = l.clock
	t.idle = -1
	l.tenants[name] = t
	return t
}

// remove takes a node out without charging its organisation.
func (l *lane) remove(n *node) {
	t := n.tenant
	t.prompt -= uncached(&n.item)
	wasHead := n.place == 0
	if len(t.items.items) == 1 {
		l.fair.remove(t.fair)
		l.aged.remove(t.aged)
		t.items.remove(0)
		l.retire(t)
		return
	}
	t.items.remove(n.place)
	if wasHead {
		l.fair.fix(t.fair)
		l.aged.fix(t.aged)
	}
}

// start takes a node out and charges its organisation.
func (l *lane) start(n *node) {
	t := n.tenant
	l.clock = max(l.clock, min(t.used, l.fair.items[0].used))
	t.used += n.cost
	l.remove(n)
}

// retire forgets organisations without items once they are not ahead of the others. Until
// then they are remembered, or one could shed its use by leaving for a moment.
func (l *lane) retire(t *tenant) {
	l.idle.push(t)
	for len(l.idle.items) > 0 {
		least := l.idle.items[0]
		if least.used > l.clock && len(l.fair.items) > 0 {
			return
		}
		l.idle.remove(0)
		delete(l.tenants, least.name)
		l.spare = append(l.spare, least)
	}
}

// next returns the item to start: the most aged one while its organisation is at most
// slack quanta beyond the one that has used the least, else that organisation's head.
func (l *lane) next(now int64) *node {
	if len(l.fair.items) == 0 {
		return nil
	}
	least := l.fair.items[0]
	oldest := l.aged.items[0]
	if oldest.head().aged <= now && oldest.used/l.quantum <= least.used/l.quantum+l.slack {
		return oldest.head()
	}
	return least.head()
}

// second returns the head of the organisation that has used the least but one; nil when
// there is only one.
func (l *lane) second() *node {
	items := l.fair.items
	switch {
	case len(items) < 2:
		return nil
	case len(items) == 2 || l.fair.less(items[1], items[2]):
		return items[1].head()
	default:
		return items[2].head()
	}
}

// overdue reports whether an item has aged.
func (l *lane) overdue(now int64) bool {
	return len(l.aged.items) > 0 && l.aged.items[0].head().aged <= now
}

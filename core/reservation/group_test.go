package reservation

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"acaciacleat.example/core/call"
	"github.com/stretchr/testify/require"
)

// message is a message in flight: a request to a member, or an answer to the group's leader.
type message struct {
	group      int
	answer     bool
	operation  Operation
	agent      string
	ok         bool
	memberLost bool // tells the leader that the agent has crashed
}

// cluster is the state of two groups, the pools of their engines and the messages in flight.
type cluster struct {
	groups   [2]*Group
	crashed  string // "0" or "1" for a leader, an agent's name, or "" if no process has crashed
	timedOut [2]bool
	pools    map[string]*Pool
	inFlight []message
}

// clone returns a copy that shares groups and pools with c. They are copied before they
// change, by mutableGroup and mutablePool.
func (c *cluster) clone() *cluster {
	copied := *c
	copied.pools = maps.Clone(c.pools)
	copied.inFlight = slices.Clone(c.inFlight)
	return &copied
}

func (c *cluster) mutableGroup(n int) *Group {
	copied := *c.groups[n]
	copied.confirmed = slices.Clone(copied.confirmed)
	c.groups[n] = &copied
	return &copied
}

func (c *cluster) mutablePool(name string) *Pool {
	copied := *c.pools[name]
	copied.reservations = make(map[call.ID]*Reservation)
	for id, r := range c.pools[name].reservations {
		r := *r
		copied.reservations[id] = &r
	}
	copied.owners = make(map[call.Incarnation]*owner)
	for incarnation, o := range c.pools[name].owners {
		o := *o
		copied.owners[incarnation] = &o
	}
	copied.tombstones = maps.Clone(copied.tombstones)
	c.pools[name] = &copied
	return &copied
}

// key identifies the state. It leaves out times, since the clock stands still while
// messages are in flight.
func (c *cluster) key() string {
	bit := func(set bool) byte {
		if set {
			return 1
		}
		return 0
	}
	key := append([]byte(c.crashed), '/')
	for n, g := range c.groups {
		key = append(key, bit(c.timedOut[n]), byte(g.phase), byte(g.nextMember))
		for _, done := range g.confirmed {
			key = append(key, bit(done))
		}
	}
	for _, name := range agents {
		for n := range c.groups {
			r, held := c.pools[name].Get(id(n + 1))
			_, released := c.pools[name].tombstones[id(n+1)]
			key = append(key, bit(held), byte(r.State), bit(released))
		}
	}
	messages := make([]string, len(c.inFlight))
	for i, m := range c.inFlight {
		messages[i] = string([]byte{byte(m.group), bit(m.answer), byte(m.operation), bit(m.ok), bit(m.memberLost)}) + m.agent
	}
	sort.Strings(messages)
	return string(key) + strings.Join(messages, "")
}

var agents = []string{"a", "b", "c", "d"}

func leader(n int) string { return fmt.Sprint(n) }

func (c *cluster) send(group int, actions []Action) {
	for _, a := range actions {
		c.inFlight = append(c.inFlight, message{group: group, operation: a.Operation, agent: a.Agent})
	}
}

// deliver delivers the message at index i.
func (c *cluster) deliver(i int) {
	m := c.inFlight[i]
	c.inFlight = slices.Delete(c.inFlight, i, i+1)
	switch {
	case m.answer:
		c.send(m.group, c.mutableGroup(m.group).HandleAnswer(m.operation, m.agent, m.ok))
	case m.memberLost:
		c.send(m.group, c.mutableGroup(m.group).MemberLost(m.agent))
	default:
		c.handle(m)
	}
	c.dropIneffective()
}

// dropIneffective drops messages without effect: those to crashed processes, and answers to
// a group that is no longer in the phase in which it waited for them.
func (c *cluster) dropIneffective() {
	c.inFlight = slices.DeleteFunc(c.inFlight, func(m message) bool {
		if !m.answer && !m.memberLost {
			return c.crashed == m.agent
		}
		g := c.groups[m.group]
		if c.crashed == leader(m.group) || g.phase == Failed || g.phase == Released {
			return true
		}
		if m.memberLost {
			return g.index(m.agent) < 0
		}
		return (m.operation == DoReserve) != (g.phase == Reserving)
	})
}

func (c *cluster) handle(m message) {
	p := c.mutablePool(m.agent)
	owner := call.Incarnation(m.group + 1)
	switch m.operation {
	case DoReserve:
		m.ok = p.Reserve(newReservation(m.group+1, owner, 100), start) == nil
	case DoConfirm:
		m.ok = p.Confirm(id(m.group+1), 1, owner, start) == nil
	case DoRelease:
		p.Release(id(m.group+1), 1, start)
		return
	}
	m.answer = true
	c.inFlight = append(c.inFlight, m)
}

func (c *cluster) crash(name string) {
	c.crashed = name
	if p := c.pools[name]; p != nil {
		c.pools[name] = NewPool(p.capacity, p.options)
		for n := range c.groups {
			c.inFlight = append(c.inFlight, message{group: n, memberLost: true, agent: name})
		}
	}
	c.dropIneffective()
}

// commutes reports whether the message at index i is a release that leads to the same states
// whenever it is delivered, so that one delivery order represents all others. This holds if
// no other message of its group to the agent is in flight and the other group can no longer
// reserve there.
func (c *cluster) commutes(i int) bool {
	m := c.inFlight[i]
	if m.answer || m.memberLost || m.operation != DoRelease {
		return false
	}
	other := c.groups[1-m.group]
	if other.phase == Reserving && other.index(m.agent) >= 0 && c.crashed != leader(1-m.group) {
		return false
	}
	for j, f := range c.inFlight {
		if j != i && !f.answer && !f.memberLost && f.agent == m.agent && (f.group == m.group || f.operation == DoReserve) {
			return false
		}
	}
	return true
}

type modelChecker struct {
	t               *testing.T
	seen            map[string]bool
	quiescentStates int
}

// explore visits every state that any order of deliveries, timeouts and one crash reaches.
func (e *modelChecker) explore(c *cluster) {
	key := c.key()
	if e.seen[key] {
		return
	}
	e.seen[key] = true
	e.checkHeldGroups(c)
	if len(c.inFlight) == 0 {
		e.checkQuiescent(c.clone())
	}
	branch := func(step func(*cluster)) {
		next := c.clone()
		step(next)
		e.explore(next)
	}
	for i := range c.inFlight {
		if c.commutes(i) {
			branch(func(next *cluster) { next.deliver(i) })
			return
		}
	}
	for i := range c.inFlight {
		branch(func(next *cluster) { next.deliver(i) })
	}
	for n, g := range c.groups {
		if g.phase < Held && !c.timedOut[n] && c.crashed != leader(n) {
			branch(func(next *cluster) {
				next.timedOut[n] = true
				next.send(n, next.mutableGroup(n).Tick(start.Add(time.Second)))
				next.dropIneffective()
			})
		}
	}
	if c.crashed == "" && len(c.inFlight) > 0 {
		for _, name := range append([]string{"0", "1"}, agents...) {
			branch(func(next *cluster) { next.crash(name) })
		}
	}
}

// checkHeldGroups checks that a group in phase Held has all its memory confirmed, unless a
// member has crashed.
func (e *modelChecker) checkHeldGroups(c *cluster) {
	for n, g := range c.groups {
		if g.phase != Held || c.pools[c.crashed] != nil {
			continue
		}
		for _, m := range g.members {
			r, held := c.pools[m.Agent].Get(id(n + 1))
			require.True(e.t, held && r.State == Confirmed, "group %d lacks %s", n, m.Agent)
		}
	}
}

// checkQuiescent checks a state without messages in flight.
func (e *modelChecker) checkQuiescent(c *cluster) {
	e.quiescentStates++
	faultless := c.crashed == "" && c.timedOut == [2]bool{}
	shared := slices.ContainsFunc(c.groups[1].members, func(m Member) bool { return c.groups[0].index(m.Agent) >= 0 })
	if faultless && !shared {
		require.True(e.t, c.groups[0].phase == Held && c.groups[1].phase == Held, "no engine in common")
	}
	if faultless {
		require.True(e.t, c.groups[0].phase == Held || c.groups[1].phase == Held, "both groups failed")
	}
	for n, g := range c.groups {
		if c.crashed == leader(n) {
			continue
		}
		require.True(e.t, g.phase >= Held || !c.timedOut[n] && c.crashed != "", "group stays in phase %d", g.phase)
		g = c.mutableGroup(n)
		c.send(n, g.Tick(start.Add(time.Second)))
		c.send(n, g.Release())
		c.dropIneffective()
	}
	for len(c.inFlight) > 0 {
		c.deliver(0)
	}
	for name := range c.pools {
		p := c.mutablePool(name)
		for n := range c.groups {
			_, held := p.Get(id(n + 1))
			require.False(e.t, held && c.crashed != leader(n), "live leader %d leaked memory at %s", n, name)
		}
		p.Expire(start.Add(p.options.OwnerTimeout))
		require.Equal(e.t, p.capacity, p.Free(), "memory leaked at %s", name)
	}
}

// Explores every interleaving of two groups' messages on four engines, with timeouts and the
// crash of a leader or an engine at any step. Without a global order, a deadline and an
// owner of each reservation, two long prompts could wait for each other forever, or memory
// could stay reserved for good.
func TestTwoGroupsNeitherDeadlockNorLeakMemory(t *testing.T) {
	for _, sets := range [][2]string{{"abcd", "dcba"}, {"abc", "dcb"}, {"ab", "dc"}} {
		t.Run(sets[0]+" "+sets[1], func(t *testing.T) {
			c := &cluster{pools: make(map[string]*Pool)}
			for _, name := range agents {
				c.pools[name] = NewPool(100, DefaultOptions())
			}
			for n, set := range sets {
				var members []Member
				for _, name := range strings.Split(set, "") {
					members = append(members, Member{Agent: name, Tokens: 100})
				}
				g, actions := NewGroup(members, start.Add(time.Second))
				c.groups[n] = g
				c.send(n, actions)
			}
			e := &modelChecker{t: t, seen: make(map[string]bool)}
			e.explore(c)
			t.Logf("%d states, %d of them without messages in flight", len(e.seen), e.quiescentStates)
		})
	}
}

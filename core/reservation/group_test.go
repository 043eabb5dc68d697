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

// message is in flight: a request to a member, or an answer to its group's leader.
type message struct {
	group  int
	answer bool
	verb   Verb
	agent  string
	ok     bool
	lost   bool // the leader learns that the agent is gone
}

// world is two groups, the books of their engines and the messages in flight.
type world struct {
	groups  [2]*Group
	dead    string // "0" or "1" for a leader, an agent's name, or "" while all live
	ticked  [2]bool
	books   map[string]*Book
	flights []message
}

// clone copies what is shared between states lazily: books and groups when they change.
func (w *world) clone() *world {
	c := *w
	c.books = maps.Clone(w.books)
	c.flights = slices.Clone(w.flights)
	return &c
}

func (w *world) ownGroup(n int) *Group {
	copied := *w.groups[n]
	copied.confirmed = slices.Clone(copied.confirmed)
	w.groups[n] = &copied
	return &copied
}

func (w *world) ownBook(name string) *Book {
	copied := *w.books[name]
	copied.held = make(map[call.ID]*Reservation)
	for id, r := range w.books[name].held {
		r := *r
		copied.held[id] = &r
	}
	copied.owners = make(map[call.Incarnation]*owner)
	for incarnation, o := range w.books[name].owners {
		o := *o
		copied.owners[incarnation] = &o
	}
	copied.released = maps.Clone(copied.released)
	w.books[name] = &copied
	return &copied
}

// key tells states apart; times don't matter, for they stand still while messages fly.
func (w *world) key() string {
	bit := func(set bool) byte {
		if set {
			return 1
		}
		return 0
	}
	key := append([]byte(w.dead), '/')
	for n, g := range w.groups {
		key = append(key, bit(w.ticked[n]), byte(g.phase), byte(g.next))
		for _, done := range g.confirmed {
			key = append(key, bit(done))
		}
	}
	for _, name := range agents {
		for n := range w.groups {
			r, held := w.books[name].Get(id(n + 1))
			_, over := w.books[name].released[id(n+1)]
			key = append(key, bit(held), byte(r.State), bit(over))
		}
	}
	flights := make([]string, len(w.flights))
	for i, m := range w.flights {
		flights[i] = string([]byte{byte(m.group), bit(m.answer), byte(m.verb), bit(m.ok), bit(m.lost)}) + m.agent
	}
	sort.Strings(flights)
	return string(key) + strings.Join(flights, "")
}

var agents = []string{"a", "b", "c", "d"}

func leader(n int) string { return fmt.Sprint(n) }

func (w *world) send(group int, actions []Action) {
	for _, a := range actions {
		w.flights = append(w.flights, message{group: group, verb: a.Verb, agent: a.Agent})
	}
}

// deliver hands over the message at i.
func (w *world) deliver(i int) {
	m := w.flights[i]
	w.flights = slices.Delete(w.flights, i, i+1)
	switch {
	case m.answer:
		w.send(m.group, w.ownGroup(m.group).Answered(m.verb, m.agent, m.ok))
	case m.lost:
		w.send(m.group, w.ownGroup(m.group).MemberLost(m.agent))
	default:
		w.handle(m)
	}
	w.prune()
}

// prune drops messages that reach nobody or change nothing: those to the dead, and
// answers to a group whose phase has passed.
func (w *world) prune() {
	w.flights = slices.DeleteFunc(w.flights, func(m message) bool {
		if !m.answer && !m.lost {
			return w.dead == m.agent
		}
		g := w.groups[m.group]
		if w.dead == leader(m.group) || g.phase == Failed || g.phase == Over {
			return true
		}
		if m.lost {
			return g.index(m.agent) < 0
		}
		return (m.verb == DoReserve) != (g.phase == Reserving)
	})
}

func (w *world) handle(m message) {
	b := w.ownBook(m.agent)
	owner := call.Incarnation(m.group + 1)
	switch m.verb {
	case DoReserve:
		m.ok = b.Reserve(reserve(m.group+1, owner, 100), start) == nil
	case DoConfirm:
		m.ok = b.Confirm(id(m.group+1), 1, owner, start) == nil
	case DoRelease:
		b.Release(id(m.group+1), 1, start)
		return
	}
	m.answer = true
	w.flights = append(w.flights, m)
}

func (w *world) kill(name string) {
	w.dead = name
	if b := w.books[name]; b != nil {
		w.books[name] = NewBook(b.capacity, b.options)
		for n := range w.groups {
			w.flights = append(w.flights, message{group: n, lost: true, agent: name})
		}
	}
	w.prune()
}

// commutes reports whether the message at i is a release that leads to the same states
// whenever it arrives, so that one order stands for all: no other message of its group is
// under way to the agent, and the other group can't reserve there any more.
func (w *world) commutes(i int) bool {
	m := w.flights[i]
	if m.answer || m.lost || m.verb != DoRelease {
		return false
	}
	other := w.groups[1-m.group]
	if other.phase == Reserving && other.index(m.agent) >= 0 && w.dead != leader(1-m.group) {
		return false
	}
	for j, f := range w.flights {
		if j != i && !f.answer && !f.lost && f.agent == m.agent && (f.group == m.group || f.verb == DoReserve) {
			return false
		}
	}
	return true
}

type explorer struct {
	t    *testing.T
	seen map[string]bool
	ends int
}

// explore visits every state that any order of deliveries, time-outs and one death reaches.
func (e *explorer) explore(w *world) {
	key := w.key()
	if e.seen[key] {
		return
	}
	e.seen[key] = true
	e.invariant(w)
	if len(w.flights) == 0 {
		e.end(w.clone())
	}
	branch := func(step func(*world)) {
		next := w.clone()
		step(next)
		e.explore(next)
	}
	for i := range w.flights {
		if w.commutes(i) {
			branch(func(next *world) { next.deliver(i) })
			return
		}
	}
	for i := range w.flights {
		branch(func(next *world) { next.deliver(i) })
	}
	for n, g := range w.groups {
		if g.phase < Held && !w.ticked[n] && w.dead != leader(n) {
			branch(func(next *world) {
				next.ticked[n] = true
				next.send(n, next.ownGroup(n).Tick(start.Add(time.Second)))
				next.prune()
			})
		}
	}
	if w.dead == "" && len(w.flights) > 0 {
		for _, name := range append([]string{"0", "1"}, agents...) {
			branch(func(next *world) { next.kill(name) })
		}
	}
}

// invariant: a group that its leader calls held has all its memory, confirmed, unless a
// member has died.
func (e *explorer) invariant(w *world) {
	for n, g := range w.groups {
		if g.phase != Held || w.books[w.dead] != nil {
			continue
		}
		for _, m := range g.members {
			r, held := w.books[m.Agent].Get(id(n + 1))
			require.True(e.t, held && r.State == Confirmed, "group %d lacks %s", n, m.Agent)
		}
	}
}

// end checks a state with nothing in flight.
func (e *explorer) end(w *world) {
	e.ends++
	undisturbed := w.dead == "" && w.ticked == [2]bool{}
	shared := slices.ContainsFunc(w.groups[1].members, func(m Member) bool { return w.groups[0].index(m.Agent) >= 0 })
	if undisturbed && !shared {
		require.True(e.t, w.groups[0].phase == Held && w.groups[1].phase == Held, "no engine in common")
	}
	if undisturbed {
		require.True(e.t, w.groups[0].phase == Held || w.groups[1].phase == Held, "both failed")
	}
	for n, g := range w.groups {
		if w.dead == leader(n) {
			continue
		}
		require.True(e.t, g.phase >= Held || !w.ticked[n] && w.dead != "", "stuck in %d", g.phase)
		g = w.ownGroup(n)
		w.send(n, g.Tick(start.Add(time.Second)))
		w.send(n, g.Release())
		w.prune()
	}
	for len(w.flights) > 0 {
		w.deliver(0)
	}
	for name := range w.books {
		b := w.ownBook(name)
		for n := range w.groups {
			_, held := b.Get(id(n + 1))
			require.False(e.t, held && w.dead != leader(n), "live leader %d stranded memory at %s", n, name)
		}
		b.Expire(start.Add(b.options.SilenceGrace))
		require.Equal(e.t, b.capacity, b.Free(), "stranded at %s", name)
	}
}

// Symptom: engines idle while two long prompts wait for ever, or memory stays taken.
// Sequence: any interleaving of two groups' messages on four engines, with time-outs and
// the death of a leader or an engine at any step.
// Cause: taking memory piecemeal without a global order, a bound in time and an owner.
func TestTwoGroupsOnFourEnginesNeitherBlockNorStrand(t *testing.T) {
	for _, sets := range [][2]string{{"abcd", "dcba"}, {"abc", "dcb"}, {"ab", "dc"}} {
		t.Run(sets[0]+" "+sets[1], func(t *testing.T) {
			w := &world{books: make(map[string]*Book)}
			for _, name := range agents {
				w.books[name] = NewBook(100, DefaultOptions())
			}
			for n, set := range sets {
				var members []Member
				for _, name := range strings.Split(set, "") {
					members = append(members, Member{Agent: name, Tokens: 100})
				}
				g, actions := NewGroup(members, start.Add(time.Second))
				w.groups[n] = g
				w.send(n, actions)
			}
			e := &explorer{t: t, seen: make(map[string]bool)}
			e.explore(w)
			t.Logf("%d states, %d of them with nothing in flight", len(e.seen), e.ends)
		})
	}
}

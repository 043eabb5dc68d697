package reservation

import (
	"slices"
	"strings"
	"time"
)

// Phase is where a Group stands.
type Phase uint8

// The phases of a Group, in order. Failed and Over are final.
const (
	// Reserving asks one member after the other.
	Reserving Phase = iota
	// Confirming has all reservations and asks all members to confirm.
	Confirming
	// Held has all the memory.
	Held
	// Failed has got nothing, and has asked every member that may hold memory to release it.
	Failed
	// Over was held and has been released.
	Over
)

// Verb is what an Action asks of a member's agent.
type Verb uint8

// The verbs, each a call of Book.
const (
	DoReserve Verb = iota
	DoConfirm
	DoRelease
)

// Member is one agent of a group and the memory asked of its engine.
type Member struct {
	Agent  string
	Tokens int64
}

// Action is a message that the shell sends to the agent of a member.
type Action struct {
	Verb   Verb
	Agent  string
	Tokens int64
}

// Group takes memory at several engines, all or nothing, for a prompt larger than one
// engine's memory. The agent that will run the request leads it.
//
// What goes wrong without it: two groups each hold a part of the engines and wait for the
// rest for ever, or a leader dies between two reservations and strands the first. Here
// members are asked one at a time in the order of their names, which is the same for all
// groups; a refusal gives up the whole group, so nothing held waits; and each Book ends
// by the clock what was not confirmed or whose owner is silent. Two groups on the same
// engines can't both fail on each other: the one that got the first common member is
// refused by none of the rest. A new try of a failed group is a new Group with a higher
// Attempt in its reservations, so that late messages of the old one can't touch it.
type Group struct {
	members   []Member
	phase     Phase
	next      int // the member that is being asked to reserve
	confirmed []bool
	deadline  time.Time
}

// NewGroup returns a group and its first actions. Members must have different agents;
// deadline bounds the taking of all the memory, and should be under the books'
// ConfirmWithin.
func NewGroup(members []Member, deadline time.Time) (*Group, []Action) {
	g := &Group{
		members:   slices.Clone(members),
		confirmed: make([]bool, len(members)),
		deadline:  deadline,
	}
	slices.SortFunc(g.members, func(a, b Member) int { return strings.Compare(a.Agent, b.Agent) })
	if len(members) == 0 {
		g.phase = Held
		return g, nil
	}
	return g, []Action{g.ask(DoReserve, 0)}
}

// Phase returns where the group stands.
func (g *Group) Phase() Phase { return g.phase }

func (g *Group) ask(verb Verb, i int) Action {
	return Action{Verb: verb, Agent: g.members[i].Agent, Tokens: g.members[i].Tokens}
}

// Answered takes the answer of an agent to DoReserve or DoConfirm; answers to DoRelease
// need not be told. Answers that are late, repeated or of other agents change nothing.
func (g *Group) Answered(verb Verb, agent string, ok bool) []Action {
	i := g.index(agent)
	if i < 0 {
		return nil
	}
	switch {
	case verb == DoReserve && g.phase == Reserving && i == g.next:
		return g.reserved(ok)
	case verb == DoConfirm && g.phase == Confirming:
		return g.confirm(i, ok)
	default:
		return nil
	}
}

func (g *Group) index(agent string) int {
	return slices.IndexFunc(g.members, func(m Member) bool { return m.Agent == agent })
}

func (g *Group) reserved(ok bool) []Action {
	if !ok {
		return g.fail(g.next)
	}
	g.next++
	if g.next < len(g.members) {
		return []Action{g.ask(DoReserve, g.next)}
	}
	g.phase = Confirming
	return g.all(DoConfirm, len(g.members))
}

func (g *Group) confirm(i int, ok bool) []Action {
	if !ok {
		return g.fail(len(g.members))
	}
	g.confirmed[i] = true
	if !slices.Contains(g.confirmed, false) {
		g.phase = Held
	}
	return nil
}

// fail gives up the group; the first count members may hold memory.
func (g *Group) fail(count int) []Action {
	g.phase = Failed
	return g.all(DoRelease, count)
}

func (g *Group) all(verb Verb, count int) []Action {
	actions := make([]Action, 0, count)
	for i := range count {
		actions = append(actions, g.ask(verb, i))
	}
	return actions
}

// Tick gives up a group that is not held by its deadline. The member being asked may have
// reserved and its answer be lost, so it is told to release too.
func (g *Group) Tick(now time.Time) []Action {
	if g.phase >= Held || now.Before(g.deadline) {
		return nil
	}
	return g.fail(min(g.next+1, len(g.members)))
}

// MemberLost tells that an agent or its engine is gone: the rest is released together.
func (g *Group) MemberLost(agent string) []Action {
	if g.index(agent) < 0 || g.phase == Failed || g.phase == Over {
		return nil
	}
	if g.phase == Held {
		return g.Release()
	}
	return g.fail(min(g.next+1, len(g.members)))
}

// Release gives up all the memory of the group, whatever its phase.
func (g *Group) Release() []Action {
	switch g.phase {
	case Failed, Over:
		return nil
	case Held:
		g.phase = Over
		return g.all(DoRelease, len(g.members))
	default:
		return g.fail(min(g.next+1, len(g.members)))
	}
}

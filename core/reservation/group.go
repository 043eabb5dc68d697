package reservation

import (
	"slices"
	"strings"
	"time"
)

// Phase is the phase of a Group.
type Phase uint8

// The phases of a Group, in order. Failed and Released are final.
const (
	// Reserving means that the members are asked to reserve, one after the other.
	Reserving Phase = iota
	// Confirming means that all members have reserved and are asked to confirm.
	Confirming
	// Held means that the group holds all its memory.
	Held
	// Failed means that the group did not get its memory, and that every member that may
	// hold some has been asked to release it.
	Failed
	// Released means that the group held its memory and has released it.
	Released
)

// Operation is the operation that an Action requests of a member's agent.
type Operation uint8

// The operations, each a call of Pool.
const (
	DoReserve Operation = iota
	DoConfirm
	DoRelease
)

// Member is one agent of a group and the memory requested at its engine.
type Member struct {
	Agent  string
	Tokens int64
}

// Action is a message that the caller sends to a member's agent.
type Action struct {
	Operation Operation
	Agent     string
	Tokens    int64
}

// Group reserves memory at several engines, all or nothing, for a prompt larger than one
// engine's memory. The agent that will run the request leads the group.
//
// Two groups must not deadlock by each holding a part of the engines, and a leader that
// crashes between two reservations must not leak the first. Members are therefore asked one
// at a time in the order of their names, which is the same for all groups; a refusal fails
// the whole group, so that no memory is held while waiting; and each Pool expires what was
// not confirmed in time or whose owner is silent. Two groups on the same engines can't
// both fail because of each other: the one that reserves the first common member is not
// refused by the other common members. A failed group is retried as a new Group with a higher
// Attempt in its reservations, so that late messages of the old one have no effect on it.
type Group struct {
	members    []Member
	phase      Phase
	nextMember int // index of the member that is being asked to reserve
	confirmed  []bool
	deadline   time.Time
}

// NewGroup returns a group and its first actions. Members must have different agents.
// deadline is the time by which all memory must be held; it should be less than the pools'
// ConfirmTimeout away.
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
	return g, []Action{g.actionFor(DoReserve, 0)}
}

// Phase returns the group's phase.
func (g *Group) Phase() Phase { return g.phase }

func (g *Group) actionFor(operation Operation, i int) Action {
	return Action{Operation: operation, Agent: g.members[i].Agent, Tokens: g.members[i].Tokens}
}

// HandleAnswer handles an agent's answer to DoReserve or DoConfirm; answers to DoRelease need
// not be passed in. Late or repeated answers and those of other agents have no effect.
func (g *Group) HandleAnswer(operation Operation, agent string, ok bool) []Action {
	i := g.index(agent)
	if i < 0 {
		return nil
	}
	switch {
	case operation == DoReserve && g.phase == Reserving && i == g.nextMember:
		return g.handleReserveAnswer(ok)
	case operation == DoConfirm && g.phase == Confirming:
		return g.handleConfirmAnswer(i, ok)
	default:
		return nil
	}
}

func (g *Group) index(agent string) int {
	return slices.IndexFunc(g.members, func(m Member) bool { return m.Agent == agent })
}

func (g *Group) handleReserveAnswer(ok bool) []Action {
	if !ok {
		return g.fail(g.nextMember)
	}
	g.nextMember++
	if g.nextMember < len(g.members) {
		return []Action{g.actionFor(DoReserve, g.nextMember)}
	}
	g.phase = Confirming
	return g.actionsForFirst(DoConfirm, len(g.members))
}

func (g *Group) handleConfirmAnswer(i int, ok bool) []Action {
	if !ok {
		return g.fail(len(g.members))
	}
	g.confirmed[i] = true
	if !slices.Contains(g.confirmed, false) {
		g.phase = Held
	}
	return nil
}

// fail fails the group and releases the memory of the first count members, which may hold
// some.
func (g *Group) fail(count int) []Action {
	g.phase = Failed
	return g.actionsForFirst(DoRelease, count)
}

// actionsForFirst returns an action of the given kind for each of the first count members.
func (g *Group) actionsForFirst(operation Operation, count int) []Action {
	actions := make([]Action, 0, count)
	for i := range count {
		actions = append(actions, g.actionFor(operation, i))
	}
	return actions
}

// Tick fails a group that does not hold its memory by the deadline. The member being asked
// may have reserved although its answer was lost, so it is asked to release too.
func (g *Group) Tick(now time.Time) []Action {
	if g.phase >= Held || now.Before(g.deadline) {
		return nil
	}
	return g.fail(min(g.nextMember+1, len(g.members)))
}

// MemberLost handles the loss of a member's agent or engine: the group releases the memory
// at all members.
func (g *Group) MemberLost(agent string) []Action {
	if g.index(agent) < 0 || g.phase == Failed || g.phase == Released {
		return nil
	}
	if g.phase == Held {
		return g.Release()
	}
	return g.fail(min(g.nextMember+1, len(g.members)))
}

// Release releases all memory of the group, whatever its phase.
func (g *Group) Release() []Action {
	switch g.phase {
	case Failed, Released:
		return nil
	case Held:
		g.phase = Released
		return g.actionsForFirst(DoRelease, len(g.members))
	default:
		return g.fail(min(g.nextMember+1, len(g.members)))
	}
}

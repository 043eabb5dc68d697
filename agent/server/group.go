package server

import (
	"context"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/reservation"
	"acaciacleat.example/core/result"
	"acaciacleat.example/peers/link"
)

const (
	// groupFill is the part of an engine's memory that a group asks of it: the rest stays
	// for short requests.
	groupFill = 0.9
	// groupTry bounds one try to bring a group together, under holdFor.
	groupTry = 45 * time.Second
	// groupAlive is how often a leader tells the members that it lives, well under the
	// grace of core/reservation.
	groupAlive = 3 * time.Second
	// groupTick is how often a group's clock moves on.
	groupTick = 100 * time.Millisecond
)

// membersNeeded is the number of engines that a request needs; 1 for most.
func (s *Server) membersNeeded(work call.TokenDemand) int {
	if s.config.Engine == nil || int64(work.Tokens()) <= s.memory.Capacity() {
		return 1
	}
	share := int64(groupFill * float64(s.memory.Capacity()))
	return int((int64(work.Tokens()) + share - 1) / share)
}

// groupCall is a request that this agent leads a group for.
type groupCall struct {
	server *Server
	call   *liveCall
	// attempt counts the tries to bring a group together, over all offers of the call.
	attempt   call.Attempt
	addresses map[string]string
	upstreams map[string]string
	events    chan groupEvent
}

// groupEvent is an answer of a member, or its loss.
type groupEvent struct {
	agent    string
	verb     reservation.Operation
	attempt  call.Attempt
	ok       bool
	upstream string
	lost     bool
}

// groupEvents bounds the answers that wait for the leader; a group has few members and
// asks each one thing at a time.
const groupEvents = 64

// runGroup brings the engines together, runs the call on them and releases them.
func (s *Server) runGroup(l *liveCall) {
	g := &groupCall{
		server:    s,
		call:      l,
		attempt:   l.offer.Attempt * attemptStride,
		addresses: make(map[string]string),
		upstreams: make(map[string]string),
		events:    make(chan groupEvent, groupEvents),
	}
	s.mu.Lock()
	s.groups[l.offer.ID] = g
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.groups, l.offer.ID)
		s.mu.Unlock()
	}()
	for l.ctx.Err() == nil {
		group := g.gather()
		if group.Phase() == reservation.Held {
			g.run(group)
			return
		}
		if !g.again() {
			return
		}
	}
}

// attemptStride leaves room for the tries of one offer between the attempts of two.
const attemptStride = 1000

// again waits a moment before the next try; without time for one the call is refused.
func (g *groupCall) again() bool {
	s, l := g.server, g.call
	g.attempt++
	if time.Until(l.deadline) > groupTick && l.ctx.Err() == nil {
		timer := time.NewTimer(groupTick)
		defer timer.Stop()
		select {
		case <-timer.C:
			return true
		case <-l.ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.live[l.offer.ID] == l && l.phase == phaseQueued {
		err := result.New(result.GroupUnavailable, result.NotRun, "")
		err.RetryAfter = retryAfter
		s.withdraw(l, err)
	}
	return false
}

// gather asks for the memory of all members, all or nothing.
func (g *groupCall) gather() *reservation.Group {
	deadline := time.Now().Add(groupTry)
	if g.call.deadline.Before(deadline) {
		deadline = g.call.deadline
	}
	group, actions := reservation.NewGroup(g.members(), deadline)
	g.perform(actions)
	ticker := time.NewTicker(groupTick)
	defer ticker.Stop()
	for group.Phase() < reservation.Held {
		select {
		case e := <-g.events:
			g.perform(g.hand(group, e))
		case now := <-ticker.C:
			g.perform(group.Tick(now))
		case <-g.call.ctx.Done():
			g.perform(group.Release())
		}
	}
	return group
}

func (g *groupCall) hand(group *reservation.Group, e groupEvent) []reservation.Action {
	if e.lost {
		return group.MemberLost(e.agent)
	}
	if e.attempt != g.attempt {
		return nil
	}
	if e.upstream != "" {
		g.upstreams[e.agent] = e.upstream
	}
	return group.HandleAnswer(e.verb, e.agent, e.ok)
}

// members picks this agent and the first candidates of the offer. Each try starts one
// further on, so that an engine that stays busy does not fail all of them.
func (g *groupCall) members() []reservation.Member {
	s, l := g.server, g.call
	s.mu.Lock()
	count := s.membersNeeded(l.work)
	s.mu.Unlock()
	tokens := (int64(l.work.Tokens()) + int64(count) - 1) / int64(count)
	members := []reservation.Member{{Agent: s.config.VM, Tokens: tokens}}
	candidates := l.offer.Group
	first := int(g.attempt-l.offer.Attempt*attemptStride) % max(len(candidates), 1)
	for i := range candidates {
		if len(members) == count {
			break
		}
		candidate := candidates[(first+i)%len(candidates)]
		g.addresses[candidate.Agent] = candidate.Link
		members = append(members, reservation.Member{Agent: candidate.Agent, Tokens: tokens})
	}
	return members
}

func (g *groupCall) perform(actions []reservation.Action) {
	for _, action := range actions {
		if action.Agent == g.server.config.VM {
			g.performHere(action)
			continue
		}
		go g.performThere(action, g.attempt)
	}
}

// performHere carries out an action at this agent's own book.
func (g *groupCall) performHere(action reservation.Action) {
	s, l := g.server, g.call
	attempt := g.attempt
	now := time.Now()
	answer := func(ok bool) {
		g.post(groupEvent{agent: action.Agent, verb: action.Operation, attempt: attempt, ok: ok})
	}
	switch action.Operation {
	case reservation.DoReserve:
		s.mu.Lock()
		s.enqueueHold(&hold{
			id:       l.offer.ID,
			attempt:  attempt,
			owner:    s.config.Incarnation,
			tokens:   action.Tokens,
			deadline: l.deadline,
			answer:   answer,
		}, l.offer.Organisation, l.work.PromptTokens, now)
		s.mu.Unlock()
		s.pump()
	case reservation.DoConfirm:
		s.mu.Lock()
		err := s.memory.Confirm(l.offer.ID, attempt, s.config.Incarnation, now)
		s.mu.Unlock()
		answer(err == nil)
	case reservation.DoRelease:
		s.free(l.offer.ID, attempt)
	}
}

// performThere sends an action to another agent. One that can not be reached is lost to
// the group; its book ends the reservation by the clock.
func (g *groupCall) performThere(action reservation.Action, attempt call.Attempt) {
	s, l := g.server, g.call
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	c, err := s.node.Dial(ctx, action.Agent, g.addresses[action.Agent])
	if err == nil {
		err = c.Send(g.message(action, attempt))
	}
	if err != nil && action.Operation != reservation.DoRelease {
		s.log.Info().Err(err).Stringer("request", l.offer.ID).Str("peer", action.Agent).Msg("a group member can not be reached")
		g.post(groupEvent{agent: action.Agent, lost: true})
	}
}

func (g *groupCall) message(action reservation.Action, attempt call.Attempt) link.Message {
	l := g.call
	if action.Operation == reservation.DoRelease {
		return &link.Release{ID: l.offer.ID, Attempt: attempt}
	}
	return &link.Hold{
		ID:           l.offer.ID,
		Attempt:      attempt,
		Tokens:       action.Tokens,
		Confirm:      action.Operation == reservation.DoConfirm,
		Organisation: l.offer.Organisation,
		PromptTokens: l.work.PromptTokens,
		TimeLeftMs:   call.Remaining(l.deadline, time.Now()).Milliseconds(),
	}
}

// post never blocks an event loop: a full channel means that the leader has stopped.
func (g *groupCall) post(e groupEvent) {
	select {
	case g.events <- e:
	default:
	}
}

// onHeld takes a member's answer.
func (s *Server) onHeld(c *link.Conn, m *link.Held) {
	s.mu.Lock()
	g := s.groups[m.ID]
	s.mu.Unlock()
	if g == nil {
		return
	}
	verb := reservation.DoReserve
	if m.Confirm {
		verb = reservation.DoConfirm
	}
	g.post(groupEvent{agent: c.Peer().VM, verb: verb, attempt: m.Attempt, ok: m.OK, upstream: m.Upstream})
}

// memberLost tells the groups that this agent leads of a lost link.
func (s *Server) memberLost(vm string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		g.post(groupEvent{agent: vm, lost: true})
	}
}

// run runs the call on a complete group and releases the members together.
func (g *groupCall) run(group *reservation.Group) {
	s, l := g.server, g.call
	var members []string
	for agent, upstream := range g.upstreams {
		if agent != s.config.VM {
			l.group = append(l.group, upstream)
			members = append(members, agent)
		}
	}
	now := time.Now()
	s.mu.Lock()
	begin := s.live[l.offer.ID] == l && l.phase == phaseQueued && s.begin(l, now)
	s.mu.Unlock()
	if begin {
		done := make(chan struct{})
		go g.stayAlive(members, done)
		s.run(l)
		close(done)
	}
	g.perform(group.Release())
}

// stayAlive tells the members that the leader lives until the call has ended. The members
// of a leader that died release their memory by themselves.
func (g *groupCall) stayAlive(members []string, done <-chan struct{}) {
	ticker := time.NewTicker(groupAlive)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			for _, agent := range members {
				g.performThere(reservation.Action{Operation: reservation.DoConfirm, Agent: agent}, g.attempt)
			}
		}
	}
}

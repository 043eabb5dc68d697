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
	// groupMemoryShare is the fraction of an engine's memory that a group may use. The rest is
	// left for short requests.
	groupMemoryShare = 0.9
	// gatherTimeout bounds one attempt to reserve memory at all members. It is below
	// groupConfirmTimeout, so that no member's reservation expires while others are being asked.
	gatherTimeout = 45 * time.Second
	// groupHeartbeatInterval is how often a leader sends heartbeats to the members. It is well
	// below OwnerTimeout of core/reservation.
	groupHeartbeatInterval = 3 * time.Second
	// groupTickInterval is how often a group's timeouts are checked, and the pause between two
	// attempts.
	groupTickInterval = 100 * time.Millisecond
)

// membersNeeded returns the number of engines whose memory a request needs, which is 1 for
// most requests.
func (s *Server) membersNeeded(demand call.TokenDemand) int {
	if s.config.Engine == nil || int64(demand.Tokens()) <= s.memory.Capacity() {
		return 1
	}
	share := int64(groupMemoryShare * float64(s.memory.Capacity()))
	return int((int64(demand.Tokens()) + share - 1) / share)
}

// groupCall is a call for which this agent leads a group of engines.
type groupCall struct {
	server *Server
	call   *liveCall
	// reservationAttempt is the number of the current attempt to reserve memory. It is unique
	// across all offers of the call; see attemptStride.
	reservationAttempt call.Attempt
	// addresses and upstreams map an agent to its address for links and to the base URL of its
	// engine.
	addresses map[string]string
	upstreams map[string]string
	events    chan groupEvent
}

// groupEvent is an answer of a member, or the loss of its link.
type groupEvent struct {
	agent     string
	operation reservation.Operation
	attempt   call.Attempt
	ok        bool
	upstream  string
	lost      bool
}

// groupEventBuffer is the capacity of a leader's event channel. A group has few members, and
// each has one request outstanding at a time.
const groupEventBuffer = 64

// runGroup reserves memory at a group of engines, runs the call and releases the memory. It
// repeats a failed reservation until the call's deadline.
func (s *Server) runGroup(l *liveCall) {
	g := &groupCall{
		server:             s,
		call:               l,
		reservationAttempt: l.offer.Attempt * attemptStride,
		addresses:          make(map[string]string),
		upstreams:          make(map[string]string),
		events:             make(chan groupEvent, groupEventBuffer),
	}
	s.mu.Lock()
	s.groupCalls[l.offer.ID] = g
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.groupCalls, l.offer.ID)
		s.mu.Unlock()
	}()
	for l.ctx.Err() == nil {
		group := g.gather()
		if group.Phase() == reservation.Held {
			g.run(group)
			return
		}
		if !g.awaitRetry() {
			return
		}
	}
}

// attemptStride is the distance between the first reservation attempts of two successive offers
// of a call. It keeps the numbers of one offer's attempts apart from those of the next offer.
const attemptStride = 1000

// awaitRetry waits before the next attempt. If there is no time left for one, it refuses the
// call and returns false. It also returns false if the call was cancelled.
func (g *groupCall) awaitRetry() bool {
	s, l := g.server, g.call
	g.reservationAttempt++
	if time.Until(l.deadline) > groupTickInterval && l.ctx.Err() == nil {
		timer := time.NewTimer(groupTickInterval)
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
		s.refuseUnstarted(l, err)
	}
	return false
}

// gather makes one attempt to reserve memory at all members. If one of them fails, none keeps its
// reservation.
func (g *groupCall) gather() *reservation.Group {
	deadline := time.Now().Add(gatherTimeout)
	if g.call.deadline.Before(deadline) {
		deadline = g.call.deadline
	}
	group, actions := reservation.NewGroup(g.members(), deadline)
	g.perform(actions)
	ticker := time.NewTicker(groupTickInterval)
	defer ticker.Stop()
	for group.Phase() < reservation.Held {
		select {
		case e := <-g.events:
			g.perform(g.handleEvent(group, e))
		case now := <-ticker.C:
			g.perform(group.Tick(now))
		case <-g.call.ctx.Done():
			g.perform(group.Release())
		}
	}
	return group
}

// handleEvent passes an event to the group and returns the group's next actions. It ignores
// answers to earlier attempts.
func (g *groupCall) handleEvent(group *reservation.Group, e groupEvent) []reservation.Action {
	if e.lost {
		return group.MemberLost(e.agent)
	}
	if e.attempt != g.reservationAttempt {
		return nil
	}
	if e.upstream != "" {
		g.upstreams[e.agent] = e.upstream
	}
	return group.HandleAnswer(e.operation, e.agent, e.ok)
}

// members returns this agent and as many candidates of the offer as needed. Each attempt
// starts at the next candidate, so that one busy engine does not fail all attempts.
func (g *groupCall) members() []reservation.Member {
	s, l := g.server, g.call
	s.mu.Lock()
	count := s.membersNeeded(l.demand)
	s.mu.Unlock()
	tokens := (int64(l.demand.Tokens()) + int64(count) - 1) / int64(count)
	members := []reservation.Member{{Agent: s.config.VM, Tokens: tokens}}
	candidates := l.offer.Group
	clear(g.upstreams) // An earlier attempt may have had other members.
	first := int(g.reservationAttempt-l.offer.Attempt*attemptStride) % max(len(candidates), 1)
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

// perform performs actions at this agent and starts to perform those at other agents.
func (g *groupCall) perform(actions []reservation.Action) {
	for _, action := range actions {
		if action.Agent == g.server.config.VM {
			g.performLocal(action)
			continue
		}
		go g.performRemote(action, g.reservationAttempt)
	}
}

// performLocal performs an action in this agent's own memory.
func (g *groupCall) performLocal(action reservation.Action) {
	s, l := g.server, g.call
	attempt := g.reservationAttempt
	now := time.Now()
	answer := func(ok bool) {
		g.post(groupEvent{agent: action.Agent, operation: action.Operation, attempt: attempt, ok: ok})
	}
	switch action.Operation {
	case reservation.DoReserve:
		s.mu.Lock()
		s.enqueueReservation(&pendingReservation{
			id:       l.offer.ID,
			attempt:  attempt,
			owner:    s.config.Incarnation,
			tokens:   action.Tokens,
			deadline: l.deadline,
			answer:   answer,
		}, l.offer.Organisation, l.demand.PromptTokens, now)
		s.mu.Unlock()
		s.startQueued()
	case reservation.DoConfirm:
		s.mu.Lock()
		err := s.memory.Confirm(l.offer.ID, attempt, s.config.Incarnation, now)
		s.mu.Unlock()
		answer(err == nil)
	case reservation.DoRelease:
		s.releaseReservation(l.offer.ID, attempt)
	}
}

// performRemote sends an action to another agent. An agent that cannot be reached counts as
// lost, and its reservation expires by itself.
func (g *groupCall) performRemote(action reservation.Action, attempt call.Attempt) {
	s, l := g.server, g.call
	ctx, cancel := context.WithTimeout(context.Background(), memoryRequestTimeout)
	defer cancel()
	c, err := s.node.Dial(ctx, action.Agent, g.addresses[action.Agent])
	if err == nil {
		err = c.Send(g.message(action, attempt))
	}
	if err != nil && action.Operation != reservation.DoRelease {
		s.log.Info().Err(err).Stringer("request", l.offer.ID).Str("peer", action.Agent).Msg("cannot reach a group member")
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
		PromptTokens: l.demand.PromptTokens,
		TimeLeftMs:   call.Remaining(l.deadline, time.Now()).Milliseconds(),
	}
}

// post sends an event to the leader without blocking. It drops the event if the channel is
// full, which means that the leader has stopped.
func (g *groupCall) post(e groupEvent) {
	select {
	case g.events <- e:
	default:
	}
}

// onHeld handles a member's answer.
func (s *Server) onHeld(c *link.Conn, m *link.Held) {
	s.mu.Lock()
	g := s.groupCalls[m.ID]
	s.mu.Unlock()
	if g == nil {
		return
	}
	operation := reservation.DoReserve
	if m.Confirm {
		operation = reservation.DoConfirm
	}
	g.post(groupEvent{agent: c.Peer().VM, operation: operation, attempt: m.Attempt, ok: m.OK, upstream: m.Upstream})
}

// memberLost reports a lost link to the groups that this agent leads.
func (s *Server) memberLost(vm string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groupCalls {
		g.post(groupEvent{agent: vm, lost: true})
	}
}

// run executes the call on a complete group and then releases the memory at all members.
func (g *groupCall) run(group *reservation.Group) {
	s, l := g.server, g.call
	var members []string
	for agent, upstream := range g.upstreams {
		if agent != s.config.VM {
			l.memberURLs = append(l.memberURLs, upstream)
			members = append(members, agent)
		}
	}
	now := time.Now()
	s.mu.Lock()
	begin := s.live[l.offer.ID] == l && l.phase == phaseQueued && s.startCall(l, now)
	s.mu.Unlock()
	if begin {
		done := make(chan struct{})
		go g.sendHeartbeats(members, done)
		s.run(l)
		close(done)
	}
	g.perform(group.Release())
}

// sendHeartbeats sends repeated confirmations to the members until the call has ended. If the
// leader dies, the members' reservations expire by themselves.
func (g *groupCall) sendHeartbeats(members []string, done <-chan struct{}) {
	ticker := time.NewTicker(groupHeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			for _, agent := range members {
				g.performRemote(reservation.Action{Operation: reservation.DoConfirm, Agent: agent}, g.reservationAttempt)
			}
		}
	}
}

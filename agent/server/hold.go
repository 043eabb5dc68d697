package server

import (
	"context"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/reservation"
	"acaciacleat.example/core/scheduling"
	"acaciacleat.example/peers/link"
)

// pendingReservation is a request for memory at this engine, for a group that this or
// another agent leads. It waits in the queue like a call, so that a group does not block
// other calls.
type pendingReservation struct {
	id       call.ID
	attempt  call.Attempt
	owner    call.Incarnation
	tokens   int64
	deadline time.Time
	// remote is set if another agent leads the group. The engine must then reserve the memory
	// as well.
	remote bool
	// answer sends the outcome to the leader. It does not block.
	answer func(ok bool)
}

// onHold handles a leader's request for memory, or its confirmation that the group is
// complete.
func (s *Server) onHold(c *link.Conn, m *link.Hold) {
	now := time.Now()
	owner := c.Peer().Incarnation
	answer := func(ok bool) {
		_ = c.Send(&link.Held{ID: m.ID, Attempt: m.Attempt, Confirm: m.Confirm, OK: ok, Upstream: s.config.Upstream})
	}
	s.mu.Lock()
	s.memory.RefreshOwner(owner, now)
	if m.Confirm {
		err := s.memory.Confirm(m.ID, m.Attempt, owner, now)
		s.mu.Unlock()
		answer(err == nil)
		return
	}
	s.enqueueReservation(&pendingReservation{
		id:       m.ID,
		attempt:  m.Attempt,
		owner:    owner,
		tokens:   m.Tokens,
		deadline: now.Add(time.Duration(m.TimeLeftMs) * time.Millisecond),
		remote:   true,
		answer:   answer,
	}, m.Organisation, m.PromptTokens, now)
	s.mu.Unlock()
	s.startQueued()
}

// enqueueReservation queues a group reservation and replaces an earlier one of the same call. It
// answers false if the agent is leaving, the engine's whole memory is too small or the queue is
// full. It is called with mu held.
func (s *Server) enqueueReservation(p *pendingReservation, organisation string, promptTokens int, now time.Time) {
	if s.leaving || p.tokens > s.memory.Capacity() {
		p.answer(false)
		return
	}
	if s.pendingReservations[p.id] != nil {
		s.queue.Remove(p.id)
		delete(s.pendingReservations, p.id) // The next one may not find room in the queue.
	}
	ok := s.queue.Push(scheduling.Item{
		ID:           p.id,
		Organisation: organisation,
		Work:         call.TokenDemand{PromptTokens: promptTokens},
		MemoryTokens: p.tokens,
		Enqueued:     now,
		Deadline:     p.deadline,
	})
	if !ok {
		p.answer(false)
		return
	}
	s.pendingReservations[p.id] = p
}

// grantReservation reserves memory for a group reservation that has left the queue. It is
// called with mu held.
func (s *Server) grantReservation(p *pendingReservation, now time.Time) {
	delete(s.pendingReservations, p.id)
	// The queue counts the prompts of the items that it pops as outstanding prefill in this
	// engine. The prompt of a group is prefilled by the leader's engine, so setRunningInQueue
	// discards that count. If the count stayed, no item behind this one would ever start.
	s.setRunningInQueue()
	err := s.memory.Reserve(reservation.Reservation{
		ID:       p.id,
		Attempt:  p.attempt,
		Owner:    p.owner,
		Tokens:   p.tokens,
		Deadline: p.deadline.Add(reservationSlack),
	}, now)
	if err != nil {
		s.log.Info().Err(err).Stringer("request", p.id).Msg("could not reserve memory for a group")
		p.answer(false)
		return
	}
	if !p.remote {
		p.answer(true)
		return
	}
	go s.reserveAtEngine(p)
}

// reserveAtEngine reserves the memory at the engine as well, at most until shortly after the
// request's deadline, and answers the leader.
func (s *Server) reserveAtEngine(p *pendingReservation) {
	ctx, cancel := context.WithTimeout(context.Background(), memoryRequestTimeout)
	defer cancel()
	err := s.config.Engine.Reserve(ctx, p.id, p.tokens, time.Until(p.deadline)+reservationSlack)
	if err != nil {
		s.log.Warn().Err(err).Stringer("request", p.id).Msg("the engine did not reserve a group's share")
		s.releaseReservation(p.id, p.attempt)
	}
	p.answer(err == nil)
}

// onRelease releases a group's reservation.
func (s *Server) onRelease(m *link.Release) { s.releaseReservation(m.ID, m.Attempt) }

// releaseReservation removes a group reservation of the given or an earlier attempt from the
// queue or, if it was granted, from this agent's memory and the engine.
func (s *Server) releaseReservation(id call.ID, attempt call.Attempt) {
	s.mu.Lock()
	if p := s.pendingReservations[id]; p != nil && p.attempt <= attempt {
		delete(s.pendingReservations, id)
		s.queue.Remove(id)
	}
	released := s.memory.Release(id, attempt, time.Now())
	s.mu.Unlock()
	if released {
		s.cancelAtEngine(id)
		s.startQueued()
	}
}

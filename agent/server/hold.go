package server

import (
	"context"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/reservation"
	"acaciacleat.example/core/scheduling"
	"acaciacleat.example/peers/link"
)

// hold is a wish for memory here by a group that another agent, or this one, leads. It
// waits in the queue like a request: a group must not stop everything else.
type hold struct {
	id       call.ID
	attempt  call.Attempt
	owner    call.Incarnation
	tokens   int64
	deadline time.Time
	// remote is set when another agent leads; the engine must then know the reservation.
	remote bool
	// answer tells the leader; it does not block.
	answer func(ok bool)
}

// onHold takes a leader's wish for memory, or its sign that the group is complete.
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
	s.enqueueHold(&hold{
		id:       m.ID,
		attempt:  m.Attempt,
		owner:    owner,
		tokens:   m.Tokens,
		deadline: now.Add(time.Duration(m.TimeLeftMs) * time.Millisecond),
		remote:   true,
		answer:   answer,
	}, m.Organisation, m.PromptTokens, now)
	s.mu.Unlock()
	s.pump()
}

// enqueueHold is called with mu held.
func (s *Server) enqueueHold(h *hold, organisation string, promptTokens int, now time.Time) {
	if s.leaving || h.tokens > s.memory.Capacity() {
		h.answer(false)
		return
	}
	if old := s.holds[h.id]; old != nil {
		s.queue.Remove(h.id)
	}
	ok := s.queue.Push(scheduling.Item{
		ID:           h.id,
		Organisation: organisation,
		Work:         call.TokenDemand{PromptTokens: promptTokens},
		MemoryTokens: h.tokens,
		Enqueued:     now,
		Deadline:     h.deadline,
	})
	if !ok {
		h.answer(false)
		return
	}
	s.holds[h.id] = h
}

// grant reserves memory for a hold whose turn has come. It is called with mu held.
func (s *Server) grant(h *hold, now time.Time) {
	delete(s.holds, h.id)
	// The queue counts what it hands out as work inside this engine. A share of a group is
	// not: its prompt is prefilled by the leader's. Counted, it would keep everything
	// behind it from starting for good.
	s.tellQueue()
	err := s.memory.Reserve(reservation.Reservation{
		ID:       h.id,
		Attempt:  h.attempt,
		Owner:    h.owner,
		Tokens:   h.tokens,
		Deadline: h.deadline.Add(reservationSlack),
	}, now)
	if err != nil {
		s.log.Info().Err(err).Stringer("request", h.id).Msg("a group's share could not be reserved")
		h.answer(false)
		return
	}
	if !h.remote {
		h.answer(true)
		return
	}
	go s.reserveAtEngine(h)
}

// reserveAtEngine makes the engine keep the memory too, until the request's deadline at
// the longest.
func (s *Server) reserveAtEngine(h *hold) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	err := s.config.Engine.Reserve(ctx, h.id, h.tokens, time.Until(h.deadline)+reservationSlack)
	if err != nil {
		s.log.Warn().Err(err).Stringer("request", h.id).Msg("the engine did not reserve a group's share")
		s.free(h.id, h.attempt)
	}
	h.answer(err == nil)
}

// onRelease gives a group's share back.
func (s *Server) onRelease(m *link.Release) { s.free(m.ID, m.Attempt) }

// free takes a hold out of the queue or the book, whichever it has reached.
func (s *Server) free(id call.ID, attempt call.Attempt) {
	s.mu.Lock()
	if h := s.holds[id]; h != nil && h.attempt <= attempt {
		delete(s.holds, id)
		s.queue.Remove(id)
	}
	released := s.memory.Release(id, attempt, time.Now())
	s.mu.Unlock()
	if released {
		s.cancelAtEngine(id)
		s.pump()
	}
}

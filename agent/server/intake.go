package server

import (
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/idempotency"
	"acaciacleat.example/core/result"
	"acaciacleat.example/core/scheduling"
	"acaciacleat.example/peers/collector"
	"acaciacleat.example/peers/link"
)

// onOffer decides about an offer: run, attach to a run, replay a result, or refuse.
func (s *Server) onOffer(c *link.Conn, offer *link.Offer) {
	now := time.Now()
	if err := s.precheck(offer); err != nil {
		s.refuse(c, offer.ID, offer.Attempt, err)
		return
	}
	s.mu.Lock()
	s.learn(offer)
	err := s.decide(c, offer, now)
	s.mu.Unlock()
	if err != nil {
		s.refuse(c, offer.ID, offer.Attempt, err)
		return
	}
	s.pump()
}

// decide carries out the ledger's verdict, or returns why the offer is refused. It is
// called with mu held, and the entry is attached to its call before mu is released: from
// then on the pump of any other request may start the call. An engine that answers at
// once would have its first frame out before the entry is there to get it; a repeatable
// call keeps no frames, so the entry would be refused a call that runs.
func (s *Server) decide(c *link.Conn, offer *link.Offer, now time.Time) *result.Error {
	verdict := s.ledger.Offer(now, idempotency.Offer{
		ID:         offer.ID,
		Attempt:    offer.Attempt,
		BoundTo:    offer.BoundTo,
		Stamp:      time.Duration(offer.Stamp),
		Repeatable: offer.Repeatable,
	})
	switch verdict.Kind {
	case idempotency.Run:
		return s.admit(c, offer, now)
	case idempotency.AttachRunning:
		return s.join(c, s.live[offer.ID])
	case idempotency.Replay:
		l, _ := verdict.Result.(*liveCall)
		return s.replay(c, offer, l, now)
	default:
		return result.New(verdict.Code, verdict.Execution, "")
	}
}

// join attaches an entry to a call that was offered before. It is called with mu held.
func (s *Server) join(c *link.Conn, l *liveCall) *result.Error {
	if l == nil {
		return result.New(result.Internal, result.Unknown, "the call's state was lost")
	}
	if !l.attach(c, s.config.Limits.StreamBytes, s.greeting(l)) {
		return result.New(result.FirstRunLost, result.Ran, "the first answer was not kept")
	}
	return nil
}

// replay gives the answer of a call that has ended. It is called with mu held.
//
// What goes wrong without the timer: an entry that dies before its ack, or that is refused
// because the answer was not kept, leaves the call among the live ones for good, and a
// drain waits for it until its limit. So only a call that was joined becomes live, and it
// is retired like one that has just ended.
func (s *Server) replay(c *link.Conn, offer *link.Offer, l *liveCall, now time.Time) *result.Error {
	if err := s.join(c, l); err != nil {
		return err
	}
	l.keepUntil = now.Add(time.Duration(offer.TimeLeftMs) * time.Millisecond)
	if s.live[offer.ID] != l {
		s.live[offer.ID] = l
		s.retireLater(l)
	}
	return nil
}

// precheck refuses what no copy of the offer can have run: the body's announced size and
// the service are the same in every copy, so it says not-run without asking the ledger and
// needs no tombstone.
func (s *Server) precheck(offer *link.Offer) *result.Error {
	if offer.BodyBytes > s.config.Limits.BodyBytes {
		return result.New(result.BodyTooLarge, result.NotRun, "%d bytes, at most %d", offer.BodyBytes, s.config.Limits.BodyBytes)
	}
	if offer.Service != s.config.Service {
		return result.New(result.NoReplica, result.NotRun, "this agent serves %s", s.config.Service)
	}
	return nil
}

// admit makes a new call of an offer that the ledger lets run, or refuses it there and
// returns why. It is called with mu held.
func (s *Server) admit(c *link.Conn, offer *link.Offer, now time.Time) *result.Error {
	l := newCall(offer, now)
	if err := s.admissible(l); err != nil {
		s.ledger.Refuse(now, offer.ID)
		return err
	}
	l.span = s.config.Tracer.StartAt(offer.TraceParent, collector.HopAgent, now)
	s.live[offer.ID] = l
	l.body = append(make([]byte, 0, offer.BodyBytes), offer.Body...)
	l.got = len(l.body)
	l.offer.Body = nil
	l.timer = time.AfterFunc(time.Until(l.deadline), func() { s.onDeadline(l) })
	l.attach(c, s.config.Limits.StreamBytes, nil)
	if l.got == offer.BodyBytes {
		s.enqueue(l, now)
	}
	if l.phase == phaseEnded {
		// The queue took no more; the refusal is on its way to the outlet.
		return nil
	}
	greet(c, s.greeting(l))
	return nil
}

func (s *Server) admissible(l *liveCall) *result.Error {
	switch {
	case s.leaving:
		return result.New(result.Draining, result.NotRun, "")
	case s.engineDown():
		return errEngineDown()
	case len(s.live) >= s.config.Limits.Queue:
		return result.New(result.QueueFull, result.NotRun, "%d calls", len(s.live))
	}
	if members := s.membersNeeded(l.work); members > 1+len(l.offer.Group) {
		return result.New(result.GroupUnavailable, result.NotRun, "%d engines are needed for %d tokens", members, l.work.Tokens())
	}
	return nil
}

// enqueue is called with mu held.
func (s *Server) enqueue(l *liveCall, now time.Time) {
	l.phase = phaseQueued
	if s.membersNeeded(l.work) > 1 {
		s.load.queued(l.work, 1)
		go s.runGroup(l)
		return
	}
	item := scheduling.Item{
		ID:           l.offer.ID,
		Organisation: l.offer.Organisation,
		Work:         l.work,
		Enqueued:     now,
		Deadline:     l.deadline,
	}
	if !s.queue.Push(item) {
		l.phase = phaseBody
		s.withdraw(l, result.New(result.QueueFull, result.NotRun, ""))
		return
	}
	s.load.queued(l.work, 1)
}

// greeting is what an entry gets before anything of its call's answer. It is called with
// mu held.
func (s *Server) greeting(l *liveCall) []link.Message {
	messages := []link.Message{&link.Accepted{
		ID:      l.offer.ID,
		Attempt: l.offer.Attempt,
		Queued:  s.queue.Len(),
		Load:    s.report(),
	}}
	if peers := s.peerLoads(time.Now()); peers != nil {
		messages = append(messages, peers)
	}
	return messages
}

// betterMargin is how much less a replica must have in hand, in prompt tokens, to be
// named in a refusal: the work of a tenth of a second.
const betterMargin = 4000

// refuse tells an entry why its offer does not run.
func (s *Server) refuse(c *link.Conn, id call.ID, attempt call.Attempt, err *result.Error) {
	now := time.Now()
	s.mu.Lock()
	if err.Better == "" {
		err.Better = s.group.LessLoadedPeer(now, &s.load.load, 0, betterMargin)
	}
	message := &link.Refused{
		ID:           id,
		Attempt:      attempt,
		Code:         err.Code,
		Execution:    err.Execution,
		Detail:       err.Detail,
		Better:       err.Better,
		RetryAfterMs: err.RetryAfter.Milliseconds(),
		Stamp:        int64(s.ledger.Stamp(now)),
		Load:         s.report(),
	}
	s.mu.Unlock()
	_ = c.Send(message)
}

// onBody adds a part of a body.
func (s *Server) onBody(m *link.Body) {
	s.mu.Lock()
	l := s.live[m.ID]
	if l == nil || l.phase != phaseBody || m.Offset != l.got || l.got+len(m.Data) > l.offer.BodyBytes {
		s.mu.Unlock()
		return
	}
	l.body = append(l.body, m.Data...)
	l.got = len(l.body)
	whole := l.got == l.offer.BodyBytes
	if whole {
		s.enqueue(l, time.Now())
	}
	s.mu.Unlock()
	if whole {
		s.pump()
	}
}

// onAck frees frames, and forgets the call once its entry has all of it.
func (s *Server) onAck(c *link.Conn, m *link.Ack) {
	l := s.find(m.ID)
	if l == nil || !l.ack(c, m.Seq) {
		return
	}
	if l.dropOutlets(false) == 0 {
		s.forget(l)
	}
}

// forget takes an ended call out of the live ones. The ledger still knows its id, and
// the answer of a non-repeatable one.
func (s *Server) forget(l *liveCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.live[l.offer.ID] == l && l.phase == phaseEnded {
		delete(s.live, l.offer.ID)
	}
	s.signalIdle()
}

// onCancel takes a call back. Another entry may wait for the same run, so a running
// call is stopped only when nobody else does.
func (s *Server) onCancel(c *link.Conn, m *link.Cancel) {
	now := time.Now()
	s.mu.Lock()
	answer := s.ledger.Cancel(now, idempotency.CancelRequest{
		ID:      m.ID,
		BoundTo: s.config.Incarnation,
		Stamp:   time.Duration(m.Stamp),
	})
	l := s.live[m.ID]
	if answer.Dequeued && l != nil {
		s.queue.Remove(m.ID)
		s.unqueue(l)
	}
	stamp := int64(s.ledger.Stamp(now))
	s.mu.Unlock()
	_ = c.Send(&link.Cancelled{ID: m.ID, Attempt: m.Attempt, Execution: answer.Execution, Stamp: stamp})
	if l == nil {
		return
	}
	left := l.leave(c)
	switch {
	case answer.Dequeued:
		// Other tries of the same key may wait for this call; it will never run here.
		s.tellRefused(l, result.New(result.Tombstoned, result.NotRun, ""))
	case answer.Running && left == 0 && l.offer.Repeatable:
		l.cancel(result.New(result.Cancelled, answer.Execution, ""))
	}
}

// leave drops the outlet of one entry and returns how many are left.
func (l *liveCall) leave(c *link.Conn) int {
	l.mu.Lock()
	if o := l.outletOf(c); o != nil {
		o.done = true
	}
	l.mu.Unlock()
	return l.dropOutlets(false)
}

// onResume goes on with an answer over a new link.
func (s *Server) onResume(c *link.Conn, m *link.Resume) {
	l := s.find(m.ID)
	if l == nil || l.offer.Attempt != m.Attempt || !l.resume(c, m.NextSeq) {
		_ = c.Send(&link.UnknownCall{ID: m.ID, Attempt: m.Attempt})
	}
}

// onDeadline ends a call whose time is over: a waiting one is proved not to have run.
func (s *Server) onDeadline(l *liveCall) {
	s.mu.Lock()
	waiting := l.phase < phaseRunning
	if waiting {
		s.queue.Remove(l.offer.ID)
		s.withdraw(l, result.New(result.DeadlinePassed, result.NotRun, "it was still waiting"))
	}
	s.mu.Unlock()
	if !waiting {
		l.cancel(result.New(result.DeadlinePassed, result.Ran, ""))
	}
}

// withdraw takes a call that never began out of the books and tells its entries. It is
// called with mu held.
func (s *Server) withdraw(l *liveCall, err *result.Error) {
	s.ledger.Refuse(time.Now(), l.offer.ID)
	s.unqueue(l)
	go s.tellRefused(l, err)
}

// unqueue is called with mu held.
func (s *Server) unqueue(l *liveCall) {
	if l.phase == phaseQueued {
		s.load.queued(l.work, -1)
	}
	l.phase = phaseEnded
	l.timer.Stop()
	l.span.End(l.offer.ID.String(), result.Cancelled)
	delete(s.live, l.offer.ID)
	s.signalIdle()
}

func (s *Server) tellRefused(l *liveCall, err *result.Error) {
	l.cancel(err)
	for _, c := range l.takeOutlets() {
		s.refuse(c, l.offer.ID, l.offer.Attempt, err)
		c.Release()
	}
}

// takeOutlets removes all outlets and returns their links.
func (l *liveCall) takeOutlets() []*link.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var conns []*link.Conn
	for _, o := range l.outlets {
		conns = append(conns, o.conn)
	}
	l.outlets = nil
	return conns
}

// dropDetached gives up on entries that did not come back in time. Repeatable work that
// nobody waits for is cancelled, so that its memory is free; other work runs to its end,
// because its key may be asked for again.
func (s *Server) dropDetached(l *liveCall) {
	if l.dropOutlets(true) == 0 && l.offer.Repeatable {
		s.abandon(l)
	}
}

func (s *Server) abandon(l *liveCall) {
	err := result.New(result.CallerGone, result.Unknown, "its entry did not come back")
	s.mu.Lock()
	if l.phase < phaseRunning {
		s.queue.Remove(l.offer.ID)
		s.withdraw(l, err)
	}
	s.mu.Unlock()
	l.cancel(err)
}

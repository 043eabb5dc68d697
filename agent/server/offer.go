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

// onOffer handles an offer: it queues a new call, attaches the entry to a call in flight,
// replays a stored answer or refuses the offer.
func (s *Server) onOffer(c *link.Conn, offer *link.Offer) {
	now := time.Now()
	if err := s.precheck(offer); err != nil {
		s.refuse(c, offer.ID, offer.Attempt, err)
		return
	}
	s.mu.Lock()
	s.updateObjective(offer)
	err := s.applyVerdict(c, offer, now)
	s.mu.Unlock()
	if err != nil {
		s.refuse(c, offer.ID, offer.Attempt, err)
		return
	}
	s.startQueued()
}

// applyVerdict applies the ledger's verdict, or returns why the offer is refused. It is
// called with mu held.
//
// The entry is attached to its call before mu is released, because the handler of any other
// message may start the call once mu is free. If the engine then answered at once, the first
// frame would be emitted before the entry was attached. As a repeatable call stores no frames,
// the entry's offer would be refused although the call runs.
func (s *Server) applyVerdict(c *link.Conn, offer *link.Offer, now time.Time) *result.Error {
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
		return s.attachRepeat(c, s.live[offer.ID])
	case idempotency.Replay:
		l, _ := verdict.Result.(*liveCall)
		return s.replay(c, offer, l, now)
	default:
		return result.New(verdict.Code, verdict.Execution, "")
	}
}

// attachRepeat attaches an entry to a call that was offered before. It is called with mu
// held.
func (s *Server) attachRepeat(c *link.Conn, l *liveCall) *result.Error {
	if l == nil {
		return result.New(result.Internal, result.Unknown, "the call's state was lost")
	}
	if !l.attach(c, s.config.Limits.StreamBytes, s.acceptanceMessages(l)) {
		return result.New(result.FirstRunLost, result.Ran, "the first answer was not kept")
	}
	return nil
}

// replay sends the stored answer of a call that has ended. It is called with mu held.
//
// The call becomes live again only after the entry was attached, and its removal is scheduled as
// for a call that has just ended. If the answer was not kept, or the entry died before it
// acknowledged the answer, the call would otherwise stay live and delay a drain until the drain's
// limit.
func (s *Server) replay(c *link.Conn, offer *link.Offer, l *liveCall, now time.Time) *result.Error {
	if err := s.attachRepeat(c, l); err != nil {
		return err
	}
	l.retainUntil = now.Add(time.Duration(offer.TimeLeftMs) * time.Millisecond)
	if s.live[offer.ID] != l {
		s.live[offer.ID] = l
		s.scheduleRemoval(l)
	}
	return nil
}

// precheck refuses offers with a body that is too large or for another service. Both properties
// are the same in all repeats of an offer, so none of them can have run: the refusal states
// not-run without asking the ledger and needs no tombstone.
func (s *Server) precheck(offer *link.Offer) *result.Error {
	if offer.BodyBytes > s.config.Limits.BodyBytes {
		return result.New(result.BodyTooLarge, result.NotRun, "%d bytes, at most %d", offer.BodyBytes, s.config.Limits.BodyBytes)
	}
	if offer.Service != s.config.Service {
		return result.New(result.NoReplica, result.NotRun, "this agent serves %s", s.config.Service)
	}
	return nil
}

// admit creates the call of an offer that the ledger permits, or records its refusal in the
// ledger and returns the reason. It is called with mu held.
func (s *Server) admit(c *link.Conn, offer *link.Offer, now time.Time) *result.Error {
	l := newCall(offer, now)
	if err := s.admissible(l); err != nil {
		s.ledger.Refuse(now, offer.ID)
		return err
	}
	l.span = s.config.Tracer.StartAt(offer.TraceParent, collector.HopAgent, now)
	s.live[offer.ID] = l
	l.body = append(make([]byte, 0, offer.BodyBytes), offer.Body...)
	l.bodyReceived = len(l.body)
	l.offer.Body = nil
	l.timer = time.AfterFunc(time.Until(l.deadline), func() { s.onDeadline(l) })
	l.attach(c, s.config.Limits.StreamBytes, nil)
	if l.bodyReceived == offer.BodyBytes {
		s.enqueue(l, now)
	}
	if l.phase == phaseEnded {
		// The queue was full, and the refusal is being sent to the subscriber.
		return nil
	}
	sendAll(c, s.acceptanceMessages(l))
	return nil
}

// admissible returns why a new call is refused, or nil if it is accepted. It is called with mu
// held.
func (s *Server) admissible(l *liveCall) *result.Error {
	switch {
	case s.leaving:
		return result.New(result.Draining, result.NotRun, "")
	case s.engineDown():
		return errEngineDown()
	case len(s.live) >= s.config.Limits.Queue:
		return result.New(result.QueueFull, result.NotRun, "%d calls", len(s.live))
	}
	if members := s.membersNeeded(l.demand); members > 1+len(l.offer.Group) {
		return result.New(result.GroupUnavailable, result.NotRun, "%d engines are needed for %d tokens", members, l.demand.Tokens())
	}
	return nil
}

// enqueue adds a call to the queue, or refuses it if the queue is full. For a call that needs a
// group it starts runGroup instead. It is called with mu held.
func (s *Server) enqueue(l *liveCall, now time.Time) {
	l.phase = phaseQueued
	if s.membersNeeded(l.demand) > 1 {
		s.loadCounters.addQueued(l.demand, 1)
		go s.runGroup(l)
		return
	}
	item := scheduling.Item{
		ID:           l.offer.ID,
		Organisation: l.offer.Organisation,
		Work:         l.demand,
		Enqueued:     now,
		Deadline:     l.deadline,
	}
	if !s.queue.Push(item) {
		// removeUnstarted must not subtract the call from the queued load, to which it was not added.
		l.phase = phaseBody
		s.refuseUnstarted(l, result.New(result.QueueFull, result.NotRun, ""))
		return
	}
	s.loadCounters.addQueued(l.demand, 1)
}

// acceptanceMessages returns the messages that an entry receives before its call's answer.
// It is called with mu held.
func (s *Server) acceptanceMessages(l *liveCall) []link.Message {
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

// betterReplicaMargin is the smallest difference in outstanding prompt tokens that counts: a
// refusal names another replica only if it has that many fewer than this agent. It corresponds
// to a tenth of a second of prefill.
const betterReplicaMargin = 4000

// refuse sends a refusal of an offer to its entry.
func (s *Server) refuse(c *link.Conn, id call.ID, attempt call.Attempt, err *result.Error) {
	now := time.Now()
	s.mu.Lock()
	if err.Better == "" {
		err.Better = s.peers.LessLoadedPeer(now, &s.loadCounters.load, 0, betterReplicaMargin)
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

// onBody appends a part of a body, and queues the call once the body is complete. It ignores a
// part that does not continue the body or exceeds the body's announced size.
func (s *Server) onBody(m *link.Body) {
	s.mu.Lock()
	l := s.live[m.ID]
	if l == nil || l.phase != phaseBody || m.Offset != l.bodyReceived || l.bodyReceived+len(m.Data) > l.offer.BodyBytes {
		s.mu.Unlock()
		return
	}
	l.body = append(l.body, m.Data...)
	l.bodyReceived = len(l.body)
	whole := l.bodyReceived == l.offer.BodyBytes
	if whole {
		s.enqueue(l, time.Now())
	}
	s.mu.Unlock()
	if whole {
		s.startQueued()
	}
}

// onAck releases acknowledged frames, and removes the call once all its subscribers have the
// whole answer.
func (s *Server) onAck(c *link.Conn, m *link.Ack) {
	l := s.findCall(m.ID)
	if l == nil || !l.ack(c, m.Seq) {
		return
	}
	if l.removeSubscribers(false) == 0 {
		s.removeEnded(l)
	}
}

// removeEnded removes a call from the live calls if it has ended. The ledger still holds its
// id, and the answer of a non-repeatable call.
func (s *Server) removeEnded(l *liveCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.live[l.offer.ID] == l && l.phase == phaseEnded {
		delete(s.live, l.offer.ID)
	}
	s.signalIdle()
}

// onCancel cancels an entry's call. Other entries may wait for the same run, so a running call
// is stopped only if no subscriber is left. A non-repeatable call runs to its end.
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
		s.removeUnstarted(l)
	}
	stamp := int64(s.ledger.Stamp(now))
	s.mu.Unlock()
	_ = c.Send(&link.Cancelled{ID: m.ID, Attempt: m.Attempt, Execution: answer.Execution, Stamp: stamp})
	if l == nil {
		return
	}
	left := l.unsubscribe(c)
	switch {
	case answer.Dequeued:
		// Other requests with the same key may wait for this call, which will never run here.
		s.sendRefusal(l, result.New(result.Tombstoned, result.NotRun, ""))
	case answer.Running && left == 0 && l.offer.Repeatable:
		l.cancel(result.New(result.Cancelled, answer.Execution, ""))
	}
}

// unsubscribe removes the subscriber of one entry and returns how many are left.
func (l *liveCall) unsubscribe(c *link.Conn) int {
	l.mu.Lock()
	if sub := l.subscriberFor(c); sub != nil {
		sub.done = true
	}
	l.mu.Unlock()
	return l.removeSubscribers(false)
}

// onResume continues an answer over a new link.
func (s *Server) onResume(c *link.Conn, m *link.Resume) {
	l := s.findCall(m.ID)
	if l == nil || l.offer.Attempt != m.Attempt || !l.resume(c, m.NextSeq) {
		_ = c.Send(&link.UnknownCall{ID: m.ID, Attempt: m.Attempt})
	}
}

// onDeadline ends a call whose deadline has passed. If the call has not started, it is
// refused as not-run.
func (s *Server) onDeadline(l *liveCall) {
	s.mu.Lock()
	waiting := l.phase < phaseRunning
	if waiting {
		s.queue.Remove(l.offer.ID)
		s.refuseUnstarted(l, result.New(result.DeadlinePassed, result.NotRun, "it was still waiting"))
	}
	s.mu.Unlock()
	if !waiting {
		l.cancel(result.New(result.DeadlinePassed, result.Ran, ""))
	}
}

// refuseUnstarted removes a call that has not started and sends a refusal to its entries. It
// is called with mu held.
func (s *Server) refuseUnstarted(l *liveCall, err *result.Error) {
	s.ledger.Refuse(time.Now(), l.offer.ID)
	s.removeUnstarted(l)
	go s.sendRefusal(l, err)
}

// removeUnstarted removes a call that has not started from the live calls and the load counters.
// It does not remove the call from the queue. It is called with mu held.
func (s *Server) removeUnstarted(l *liveCall) {
	if l.phase == phaseQueued {
		s.loadCounters.addQueued(l.demand, -1)
	}
	l.phase = phaseEnded
	l.timer.Stop()
	l.span.End(l.offer.ID.String(), result.Cancelled)
	delete(s.live, l.offer.ID)
	s.signalIdle()
}

// sendRefusal cancels a call, refuses it to all its entries and releases their links.
func (s *Server) sendRefusal(l *liveCall, err *result.Error) {
	l.cancel(err)
	for _, c := range l.removeAllSubscribers() {
		s.refuse(c, l.offer.ID, l.offer.Attempt, err)
		c.Release()
	}
}

// removeAllSubscribers removes all subscribers and returns their links. The caller releases
// the links.
func (l *liveCall) removeAllSubscribers() []*link.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var conns []*link.Conn
	for _, sub := range l.subscribers {
		conns = append(conns, sub.conn)
	}
	l.subscribers = nil
	return conns
}

// dropDetached removes the subscribers whose entries have not resumed in time. A repeatable
// call without subscribers is cancelled, so that its memory becomes free. A non-repeatable
// call runs to its end, because another request with the same key may ask for the answer.
func (s *Server) dropDetached(l *liveCall) {
	if l.removeSubscribers(true) == 0 && l.offer.Repeatable {
		s.abandon(l)
	}
}

// abandon ends a repeatable call that has no subscriber left.
func (s *Server) abandon(l *liveCall) {
	// Unknown is correct for a waiting and for a running call. Usually no subscriber is left to
	// receive the error.
	err := result.New(result.CallerGone, result.Unknown, "its entry did not come back")
	s.mu.Lock()
	if l.phase < phaseRunning {
		s.queue.Remove(l.offer.ID)
		s.refuseUnstarted(l, err)
	}
	s.mu.Unlock()
	l.cancel(err)
}

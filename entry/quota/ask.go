package quota

import (
	"context"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/core/limits"
	"acaciacleat.example/peers/link"
)

// pendingRequest is a grant request that the owner has not answered yet. The shard's lock guards
// decision until done is closed; the other fields do not change.
type pendingRequest struct {
	request   limits.GrantRequest
	owner     string
	orgLimits *document.Limits
	// decision is the decision on the request for which the grant was requested. It is made
	// under the same lock under which the grant is handled; otherwise another request could use
	// the grant.
	decision limits.Decision
	done     chan struct{}
}

// requestUntilDecided sends grant requests to the owner, or waits for pending ones, until the
// request is decided. After pendingTimeout it refuses the request.
func (e *Enforcer) requestUntilDecided(s *shard, key limits.Key, orgLimits *document.Limits, tokens int) limits.Decision {
	timer := time.NewTimer(pendingTimeout)
	defer timer.Stop()
	for {
		decision, q, created := s.decideOrRequest(key, orgLimits, tokens)
		switch {
		case q == nil:
			return decision
		case created:
			e.awaitGrant(s, q)
			if q.decision.Outcome != limits.AskOwner {
				return q.decision
			}
		}
		select {
		case <-q.done:
		case <-timer.C:
			return limits.Decision{Outcome: limits.Refused, RetryAfter: pendingRetryAfter}
		}
	}
}

// decideOrRequest decides again or returns the organisation's pending grant request; created is
// set if it was created for this request.
func (s *shard) decideOrRequest(key limits.Key, orgLimits *document.Limits, tokens int) (decision limits.Decision, q *pendingRequest, created bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	decision = s.entry.Decide(now, key, orgLimits, tokens)
	if decision.Outcome != limits.AskOwner {
		return decision, nil, false
	}
	if q := s.pending[key]; q != nil {
		return decision, q, false
	}
	q = &pendingRequest{
		request:   s.entry.NewGrantRequest(now, key, tokens),
		owner:     decision.Owner,
		orgLimits: orgLimits,
		done:      make(chan struct{}),
	}
	s.pending[key] = q
	return decision, q, true
}

// awaitGrant sends a grant request and returns once it is answered or has timed out.
func (e *Enforcer) awaitGrant(s *shard, q *pendingRequest) {
	e.Counters.Asked.Add(1)
	go e.sendRequest(s, q)
	timer := time.NewTimer(grantTimeout)
	defer timer.Stop()
	select {
	case <-q.done:
	case <-timer.C:
		e.ownerTimedOut(s, q)
	}
}

// sendRequest sends a grant request. If the peer of a link no longer responds, TCP keeps the link
// open for a long time, and every grant request over it times out. After a timeout, sendRequest
// therefore checks the link and closes it if the peer does not answer, so that the next grant
// request dials a new one.
func (e *Enforcer) sendRequest(s *shard, q *pendingRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), link.DefaultTiming.Silence)
	defer cancel()
	c, err := e.connect(ctx, q.owner)
	if err == nil {
		err = c.Send(requestMessage(&q.request))
	}
	if err != nil {
		e.ownerTimedOut(s, q)
		return
	}
	timer := time.NewTimer(grantTimeout)
	defer timer.Stop()
	select {
	case <-q.done:
		return
	case <-timer.C:
	}
	if err := c.Refresh(ctx, 0); err != nil {
		c.Close(link.ErrSilent)
	}
}

// ownerTimedOut ends a grant request without an answer. All organisations of its owner use
// local shares for a while.
func (e *Enforcer) ownerTimedOut(s *shard, q *pendingRequest) {
	s.mu.Lock()
	pending := s.isPending(q)
	s.mu.Unlock()
	if !pending {
		return
	}
	now := time.Now()
	for i := range e.shards {
		e.shards[i].ownerTimedOut(now, q.owner)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isPending(q) {
		e.Counters.Silent.Add(1)
		s.complete(now, q)
	}
}

func (s *shard) ownerTimedOut(now time.Time, owner string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry.OwnerTimedOut(now, owner)
}

// isPending reports whether q has no answer yet. It is called with mu held.
func (s *shard) isPending(q *pendingRequest) bool { return s.pending[q.request.Key] == q }

// complete decides on the request for which q was created, and wakes the requests that wait
// for q. It is called with mu held.
func (s *shard) complete(now time.Time, q *pendingRequest) {
	q.decision = s.entry.Decide(now, q.request.Key, q.orgLimits, int(q.request.Tokens))
	delete(s.pending, q.request.Key)
	close(q.done)
}

// OnMessage handles the messages about limits. It returns false for all other messages. It runs
// on event loops and does not block.
func (e *Enforcer) OnMessage(from string, c Link, message link.Message) bool {
	switch m := message.(type) {
	case *link.LimitRequest:
		e.handleGrantRequest(from, c, m)
	case *link.LimitGrant:
		e.handleGrant(m)
	case *link.LimitRenew:
		e.handleRenewal(from, m)
	default:
		return false
	}
	return true
}

func (e *Enforcer) handleGrantRequest(from string, c Link, m *link.LimitRequest) {
	request := requestOf(m)
	e.Counters.AnswersSent.Add(1)
	grant := e.grant(from, &request)
	_ = c.Send(grantMessage(&grant))
}

func (e *Enforcer) grant(from string, request *limits.GrantRequest) limits.Grant {
	orgLimits := e.config.Limits(request.Key)
	s := e.shard(request.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry.HandleGrantRequest(time.Now(), from, request, orgLimits)
}

func (e *Enforcer) handleGrant(m *link.LimitGrant) {
	grant := grantOf(m)
	e.Counters.AnswersReceived.Add(1)
	now := time.Now()
	s := e.shard(grant.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry.HandleGrant(now, &grant)
	if q := s.pending[grant.Key]; q != nil && q.request.Sequence == grant.Sequence {
		s.complete(now, q)
	}
}

// handleRenewal records the concurrency that another entry still holds. Its holds are handled as
// grant requests that need no answer.
func (e *Enforcer) handleRenewal(from string, m *link.LimitRenew) {
	for i := range m.Holds {
		h := &m.Holds[i]
		e.grant(from, &limits.GrantRequest{
			Key:      limits.Key{Service: h.Service, Organisation: h.Organisation},
			Sequence: h.Sequence,
			Held:     h.Held,
			Renewal:  true,
		})
	}
}

package quota

import (
	"context"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/core/limits"
	"acaciacleat.example/peers/link"
)

// question is one that an owner has not answered yet. Its fields but done belong to the
// shard's lock until done is closed.
type question struct {
	want   limits.GrantRequest
	owner  string
	bounds *document.Limits
	// verdict is on the request that asked. It is made under the lock that takes the
	// grant: another request would otherwise use up what was granted for this one.
	verdict limits.Decision
	done    chan struct{}
}

// askUntilDecided asks the owner for a request and waits.
func (e *Enforcer) askUntilDecided(s *shard, key limits.Key, bounds *document.Limits, tokens int) limits.Decision {
	line := time.NewTimer(lineTimeout)
	defer line.Stop()
	for {
		verdict, q, mine := s.decideOrAsk(key, bounds, tokens)
		switch {
		case q == nil:
			return verdict
		case mine:
			e.ask(s, q)
			if q.verdict.Outcome != limits.AskOwner {
				return q.verdict
			}
		}
		select {
		case <-q.done:
		case <-line.C:
			return limits.Decision{Outcome: limits.Refused, RetryAfter: lineRetry}
		}
	}
}

// decideOrAsk decides again, or returns the organisation's open question; mine tells that
// it was opened for this request.
func (s *shard) decideOrAsk(key limits.Key, bounds *document.Limits, tokens int) (verdict limits.Decision, q *question, mine bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict = s.entry.Decide(now, key, bounds, tokens)
	if verdict.Outcome != limits.AskOwner {
		return verdict, nil, false
	}
	if q := s.questions[key]; q != nil {
		return verdict, q, false
	}
	q = &question{
		want:   s.entry.NewGrantRequest(now, key, tokens),
		owner:  verdict.Owner,
		bounds: bounds,
		done:   make(chan struct{}),
	}
	s.questions[key] = q
	return verdict, q, true
}

// ask sends a question and returns once it is answered or given up.
func (e *Enforcer) ask(s *shard, q *question) {
	e.Counters.Asked.Add(1)
	go e.send(s, q)
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	select {
	case <-q.done:
	case <-timer.C:
		e.silent(s, q)
	}
}

// send sends a question. A link whose peer has gone silent takes questions and never
// answers them, as long as TCP allows: one notices it by every question timing out. So
// after a time-out the link must prove that it lives, or it is closed and the next
// question dials anew.
func (e *Enforcer) send(s *shard, q *question) {
	ctx, cancel := context.WithTimeout(context.Background(), link.DefaultTiming.Silence)
	defer cancel()
	c, err := e.connect(ctx, q.owner)
	if err == nil {
		err = c.Send(askMessage(&q.want))
	}
	if err != nil {
		e.silent(s, q)
		return
	}
	timer := time.NewTimer(askTimeout)
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

// silent gives a question up: all organisations of its owner go on with shares for a while.
func (e *Enforcer) silent(s *shard, q *question) {
	s.mu.Lock()
	open := s.open(q)
	s.mu.Unlock()
	if !open {
		return
	}
	now := time.Now()
	for i := range e.shards {
		e.shards[i].ownerSilent(now, q.owner)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open(q) {
		e.Counters.Silent.Add(1)
		s.settle(now, q)
	}
}

func (s *shard) ownerSilent(now time.Time, owner string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry.OwnerTimedOut(now, owner)
}

// open is called with mu held.
func (s *shard) open(q *question) bool { return s.questions[q.want.Key] == q }

// settle decides on the request that asked and lets those behind it go on. It is called
// with mu held.
func (s *shard) settle(now time.Time, q *question) {
	q.verdict = s.entry.Decide(now, q.want.Key, q.bounds, int(q.want.Tokens))
	delete(s.questions, q.want.Key)
	close(q.done)
}

// OnMessage takes the messages of this package's concern; false when it is another's. It
// runs on event loops and doesn't block.
func (e *Enforcer) OnMessage(from string, c Link, message link.Message) bool {
	switch m := message.(type) {
	case *link.LimitRequest:
		e.onAsk(from, c, m)
	case *link.LimitGrant:
		e.onGrant(m)
	case *link.LimitRenew:
		e.onRenew(from, m)
	default:
		return false
	}
	return true
}

func (e *Enforcer) onAsk(from string, c Link, m *link.LimitRequest) {
	want := wantOf(m)
	e.Counters.Answered.Add(1)
	grant := e.answer(from, &want)
	_ = c.Send(grantMessage(&grant))
}

func (e *Enforcer) answer(from string, want *limits.GrantRequest) limits.Grant {
	bounds := e.config.Limits(want.Key)
	s := e.shard(want.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry.HandleGrantRequest(time.Now(), from, want, bounds)
}

func (e *Enforcer) onGrant(m *link.LimitGrant) {
	grant := grantOf(m)
	e.Counters.Granted.Add(1)
	now := time.Now()
	s := e.shard(grant.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry.HandleGrant(now, &grant)
	if q := s.questions[grant.Key]; q != nil && q.want.Sequence == grant.Sequence {
		s.settle(now, q)
	}
}

func (e *Enforcer) onRenew(from string, m *link.LimitRenew) {
	for i := range m.Holds {
		h := &m.Holds[i]
		e.answer(from, &limits.GrantRequest{
			Key:      limits.Key{Service: h.Service, Organisation: h.Organisation},
			Sequence: h.Sequence,
			Held:     h.Held,
			Renewal:  true,
		})
	}
}

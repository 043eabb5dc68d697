package server

import (
	"context"
	"math"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/document"
	"acaciacleat.example/core/reservation"
	"acaciacleat.example/core/result"
	"acaciacleat.example/core/scheduling"
	"acaciacleat.example/peers/engine"
	"acaciacleat.example/peers/link"
)

const (
	// assumedCapacity stands until the engine's first report, in tokens; it lets requests
	// of ordinary length through.
	assumedCapacity = call.MediumMax
	// unbounded is the memory of an upstream that has no KV cache.
	unbounded = math.MaxInt64 / 2
	// holdFor is how long a reservation for a group waits for the rest of the group,
	// which may stand in the queues of busy engines.
	holdFor = 60 * time.Second
	// cancelTimeout bounds one order to the engine to free memory.
	cancelTimeout = 2 * time.Second
	// reservationSlack is how long after its deadline a running call's reservation ends by
	// itself. The call's own deadline cancels it before; this covers a fault in that path.
	reservationSlack = 5 * time.Second
)

func (s *Server) initialCapacity() int64 {
	if s.config.Engine == nil {
		return unbounded
	}
	return assumedCapacity
}

func reservationOptions() reservation.Options {
	options := reservation.DefaultOptions()
	options.ConfirmTimeout = holdFor
	return options
}

// reserve books a call's memory before it starts; false puts the call off to a refusal.
// It is called with mu held.
func (s *Server) reserve(l *liveCall, now time.Time) bool {
	if s.config.Engine == nil {
		return true
	}
	err := s.memory.Reserve(reservation.Reservation{
		ID:       l.offer.ID,
		Attempt:  l.offer.Attempt,
		Owner:    s.config.Incarnation,
		Tokens:   int64(l.work.Tokens()),
		Deadline: l.deadline.Add(reservationSlack),
	}, now)
	if err == nil {
		err = s.memory.Confirm(l.offer.ID, l.offer.Attempt, s.config.Incarnation, now)
	}
	if err != nil {
		s.withdraw(l, asResult(err))
		return false
	}
	return true
}

// asResult returns the *result.Error that core packages return as error.
func asResult(err error) *result.Error {
	if r, ok := err.(*result.Error); ok {
		return r
	}
	return result.New(result.Internal, result.Unknown, "%v", err)
}

// learn takes what an offer tells of the documents: agents keep none of their own. It is
// called with mu held.
func (s *Server) learn(offer *link.Offer) {
	if offer.Revision < s.revision || offer.Objective == "" {
		return
	}
	s.revision = offer.Revision
	if offer.Objective != s.objective {
		s.objective = offer.Objective
		s.configureQueue()
	}
}

// configureQueue is called with mu held.
func (s *Server) configureQueue() {
	if s.priority == nil {
		return
	}
	settings := scheduling.SettingsFor(document.Objective(s.objective), s.memory.Capacity())
	if s.load.load.PrefillRate > 0 {
		settings.PrefillRate = s.load.load.PrefillRate
	}
	settings.Limit = s.config.Limits.Queue
	s.priority.Configure(settings)
}

func (s *Server) enginePriority(item *scheduling.Item, now time.Time) int {
	if s.priority == nil {
		return 0
	}
	return s.priority.EnginePriority(item, now)
}

// countRunning keeps the queue informed of the memory that short calls hold. It is called
// with mu held.
func (s *Server) countRunning(l *liveCall, sign int64) {
	if call.ClassOf(l.work.PromptTokens) == call.Short {
		s.running.ShortMemory += sign * int64(l.work.Tokens())
	}
	s.tellQueue()
}

// countPrefill counts a call's prompt as work inside the engine from its start to its first
// token. It is called with mu held.
func (s *Server) countPrefill(l *liveCall, sign int64) {
	s.load.running(l.work, sign)
	if l.priority == scheduling.PriorityFlood {
		s.running.FloodPrefill += sign * int64(l.work.PromptTokens)
	} else {
		s.running.Prefill[call.ClassOf(l.work.PromptTokens)] += sign * int64(l.work.PromptTokens)
	}
	l.prefilling = sign > 0
	s.tellQueue()
}

func (s *Server) tellQueue() {
	if s.priority != nil {
		s.priority.SetRunning(s.running)
	}
}

// Watch reads the engine's reports until ctx ends.
func (s *Server) Watch(ctx context.Context, every time.Duration) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		s.readReport(ctx, every)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) readReport(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	report, err := s.config.Engine.Report(ctx)
	if s.config.Placement != nil {
		s.config.Placement.Reported(time.Now(), report, err)
	}
	s.engineAnswered(err == nil)
	if err != nil {
		s.log.Warn().Err(err).Msg("the engine gave no report")
		return
	}
	now := time.Now()
	s.mu.Lock()
	s.model = report.Model
	if s.memory.Capacity() != report.CapacityTokens {
		s.memory.SetCapacity(report.CapacityTokens)
		s.configureQueue()
	}
	difference := s.memory.Reconcile(toReport(&report, now))
	lost := s.releaseLost(difference.Missing, now)
	s.orphans += int64(len(difference.Orphans))
	s.mu.Unlock()
	for _, id := range lost {
		s.log.Warn().Stringer("request", id).Msg("the engine lost memory that was reserved; it is released")
	}
	for _, id := range difference.Orphans {
		s.log.Warn().Stringer("request", id).Msg("the engine holds memory that nobody owns; cancelling")
		go s.cancelAtEngine(id)
	}
	s.pump()
}

// releaseLost gives back what the engine does not hold, unless its call is in hand here,
// and returns it. It is called with mu held.
//
// What goes wrong without it: an engine restarts and loses a group's share, while the
// leader's sign of life keeps it in the book. It shows as calls that wait beside an empty
// engine, until the reservation's deadline. A call in hand is left alone: while it waits
// for its group its own share is in no engine yet, and once it runs, its stream's end
// frees its memory.
func (s *Server) releaseLost(missing []call.ID, now time.Time) []call.ID {
	var lost []call.ID
	for _, id := range missing {
		if l := s.live[id]; l != nil && l.phase != phaseEnded {
			continue
		}
		booked, _ := s.memory.Get(id)
		if s.memory.Release(id, booked.Attempt, now) {
			lost = append(lost, id)
		}
	}
	return lost
}

// downAfter is the number of reports in a row that an engine misses before it counts as
// down. One may be lost to a busy moment.
const downAfter = 2

func (s *Server) engineDown() bool { return s.missedReports >= downAfter }

// engineAnswered counts missed reports. When the engine goes down, the calls that wait
// for it are refused, so that they go elsewhere at once.
func (s *Server) engineAnswered(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.missedReports = 0
		return
	}
	s.missedReports++
	if s.missedReports != downAfter {
		return
	}
	s.log.Warn().Msg("the engine is down; waiting calls are refused")
	for _, l := range s.live {
		if l.phase == phaseQueued {
			s.queue.Remove(l.offer.ID)
			s.withdraw(l, errEngineDown())
		}
	}
}

func errEngineDown() *result.Error {
	return result.New(result.UpstreamFailed, result.NotRun, "the engine gives no report")
}

// toReport translates an engine's report; what has no id of ours is foreign.
func toReport(report *engine.Report, now time.Time) reservation.Report {
	r := reservation.Report{TakenAt: now.Add(-time.Duration(report.AgeMs) * time.Millisecond)}
	for _, held := range report.Allocations {
		id, err := call.ParseID(held.ID)
		if err != nil {
			r.ForeignTokens += held.Tokens
			continue
		}
		r.Held = append(r.Held, reservation.Holding{ID: id, Tokens: held.Tokens})
	}
	return r
}

func (s *Server) cancelAtEngine(id call.ID) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := s.config.Engine.Cancel(ctx, id); err != nil {
		s.log.Warn().Err(err).Stringer("request", id).Msg("the engine did not confirm a cancellation; its next report will tell")
	}
}

// expire ends what the clock ends: calls that can not meet their deadline any more, and
// reservations whose owner is silent.
func (s *Server) expire(now time.Time) {
	s.mu.Lock()
	s.memory.RefreshOwner(s.config.Incarnation, now)
	expired := s.memory.Expire(now)
	s.expired += int64(len(expired))
	if s.priority != nil {
		s.giveUp(s.priority.Expire(now))
	}
	s.mu.Unlock()
	for _, r := range expired {
		s.log.Warn().Stringer("request", r.ID).Int64("tokens", r.Tokens).Msg("a reservation ended by the clock")
		go s.cancelAtEngine(r.ID)
	}
	if len(expired) > 0 {
		s.pump()
	}
}

// retryAfter is told to callers whose request could not start in time: by then the queue
// that it stood in has moved on.
const retryAfter = 5 * time.Second

// giveUp answers calls that can not meet their deadline any more at once. It is called
// with mu held.
func (s *Server) giveUp(items []scheduling.Item) {
	for _, item := range items {
		if h := s.holds[item.ID]; h != nil {
			delete(s.holds, item.ID)
			h.answer(false)
			continue
		}
		if l := s.live[item.ID]; l != nil {
			err := result.New(result.CannotStartInTime, result.NotRun, "it waited %s", time.Since(l.arrived).Round(time.Millisecond))
			err.RetryAfter = retryAfter
			s.withdraw(l, err)
		}
	}
}

// Free reports whether nothing holds memory in the agent's book.
func (s *Server) Free() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memory.Len() == 0 && len(s.holds) == 0
}

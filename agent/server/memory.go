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
	// assumedCapacity is the capacity in tokens until the engine's first report. It admits
	// requests of ordinary length.
	assumedCapacity = call.MediumMax
	// unboundedCapacity is the capacity of an upstream without a KV cache, in tokens.
	unboundedCapacity = math.MaxInt64 / 2
	// groupConfirmTimeout is how long a reservation for a group waits for the other members,
	// whose reservations may be queued at busy engines.
	groupConfirmTimeout = 60 * time.Second
	// memoryRequestTimeout bounds one request to the engine or to another agent that reserves
	// or frees memory.
	memoryRequestTimeout = 2 * time.Second
	// reservationSlack is how long after a call's deadline its reservation expires. The call
	// is cancelled at its deadline, so the expiry takes effect only if that cancellation
	// fails.
	reservationSlack = 5 * time.Second
)

func (s *Server) initialCapacity() int64 {
	if s.config.Engine == nil {
		return unboundedCapacity
	}
	return assumedCapacity
}

func reservationOptions() reservation.Options {
	options := reservation.DefaultOptions()
	options.ConfirmTimeout = groupConfirmTimeout
	return options
}

// reserveOrRefuse reserves a call's memory before the call starts. If that fails, it refuses the
// call and returns false. It is called with mu held.
func (s *Server) reserveOrRefuse(l *liveCall, now time.Time) bool {
	if s.config.Engine == nil {
		return true
	}
	err := s.memory.Reserve(reservation.Reservation{
		ID:       l.offer.ID,
		Attempt:  l.offer.Attempt,
		Owner:    s.config.Incarnation,
		Tokens:   int64(l.demand.Tokens()),
		Deadline: l.deadline.Add(reservationSlack),
	}, now)
	if err == nil {
		err = s.memory.Confirm(l.offer.ID, l.offer.Attempt, s.config.Incarnation, now)
	}
	if err != nil {
		s.refuseUnstarted(l, asResult(err))
		return false
	}
	return true
}

// asResult converts an error of a core package to a *result.Error.
func asResult(err error) *result.Error {
	if r, ok := err.(*result.Error); ok {
		return r
	}
	return result.New(result.Internal, result.Unknown, "%v", err)
}

// updateObjective takes the service's objective and the documents' revision from an offer,
// since agents hold no documents. It ignores an offer that has an older revision or no
// objective. It is called with mu held.
func (s *Server) updateObjective(offer *link.Offer) {
	if offer.Revision < s.revision || offer.Objective == "" {
		return
	}
	s.revision = offer.Revision
	if offer.Objective != s.objective {
		s.objective = offer.Objective
		s.configureQueue()
	}
}

// configureQueue adapts the queue's settings to the objective, the memory and the prefill
// rate. It is called with mu held.
func (s *Server) configureQueue() {
	if s.priority == nil {
		return
	}
	settings := scheduling.SettingsFor(document.Objective(s.objective), s.memory.Capacity())
	if s.loadCounters.load.PrefillRate > 0 {
		settings.PrefillRate = s.loadCounters.load.PrefillRate
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

// countRunning updates the memory held by short calls, which the queue takes into account.
// sign is 1 when a call starts and -1 when it ends. It is called with mu held.
func (s *Server) countRunning(l *liveCall, sign int64) {
	if call.ClassOf(l.demand.PromptTokens) == call.Short {
		s.running.ShortMemory += sign * int64(l.demand.Tokens())
	}
	s.setRunningInQueue()
}

// countPrefill counts a call's prompt as outstanding prefill in the engine. sign is 1 when the
// call starts, and -1 at its first token or, if it ends without one, at its end. It is called
// with mu held.
func (s *Server) countPrefill(l *liveCall, sign int64) {
	s.loadCounters.addRunning(l.demand, sign)
	if l.priority == scheduling.PriorityFlood {
		s.running.FloodPrefill += sign * int64(l.demand.PromptTokens)
	} else {
		s.running.Prefill[call.ClassOf(l.demand.PromptTokens)] += sign * int64(l.demand.PromptTokens)
	}
	l.prefilling = sign > 0
	s.setRunningInQueue()
}

// setRunningInQueue passes the counts of running calls to the queue. It is called with mu held.
func (s *Server) setRunningInQueue() {
	if s.priority != nil {
		s.priority.SetRunning(s.running)
	}
}

// PollReports reads the engine's report at once and then at the given interval until ctx is
// done.
func (s *Server) PollReports(ctx context.Context, every time.Duration) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		s.pollReport(ctx, every)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pollReport reads the engine's report, adopts its capacity, and compares the memory that the
// engine holds with the reservations. It releases reservations that the engine has lost and
// cancels memory without a reservation at the engine.
func (s *Server) pollReport(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	report, err := s.config.Engine.Report(ctx)
	if s.config.Placement != nil {
		s.config.Placement.RecordReport(time.Now(), report, err)
	}
	s.recordReportOutcome(err == nil)
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
	s.orphansCancelled += int64(len(difference.Orphans))
	s.mu.Unlock()
	for _, id := range lost {
		s.log.Warn().Stringer("request", id).Msg("the engine lost memory that was reserved; it is released")
	}
	for _, id := range difference.Orphans {
		s.log.Warn().Stringer("request", id).Msg("the engine holds memory that nobody owns; cancelling")
		go s.cancelAtEngine(id)
	}
	s.startQueued()
}

// releaseLost releases the reservations that the engine does not hold, except those of calls
// in flight here, and returns them. It is called with mu held.
//
// When an engine restarts, it loses its share of a group's memory, but the leader's
// heartbeats keep the reservation alive. Without the release, calls would wait beside an
// empty engine until the reservation's deadline. Calls in flight are excluded: while a call
// waits for its group, no engine holds its own share yet, and once it runs, the end of its
// stream frees its memory.
func (s *Server) releaseLost(missing []call.ID, now time.Time) []call.ID {
	var lost []call.ID
	for _, id := range missing {
		if l := s.live[id]; l != nil && l.phase != phaseEnded {
			continue
		}
		reserved, _ := s.memory.Get(id)
		if s.memory.Release(id, reserved.Attempt, now) {
			lost = append(lost, id)
		}
	}
	return lost
}

// missedReportsUntilDown is the number of consecutive missed reports after which an engine
// counts as down. A busy engine may miss a single one.
const missedReportsUntilDown = 2

func (s *Server) engineDown() bool { return s.missedReports >= missedReportsUntilDown }

// recordReportOutcome counts consecutive missed reports. When the engine goes down, it
// refuses the queued calls, so that entries can send them elsewhere at once.
func (s *Server) recordReportOutcome(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.missedReports = 0
		return
	}
	s.missedReports++
	if s.missedReports != missedReportsUntilDown {
		return
	}
	s.log.Warn().Msg("the engine is down; waiting calls are refused")
	for _, l := range s.live {
		if l.phase == phaseQueued {
			s.queue.Remove(l.offer.ID)
			s.refuseUnstarted(l, errEngineDown())
		}
	}
}

func errEngineDown() *result.Error {
	return result.New(result.UpstreamFailed, result.NotRun, "the engine gives no report")
}

// toReport converts an engine's report. Memory held under a name that is not a call.ID is
// foreign.
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
	ctx, cancel := context.WithTimeout(context.Background(), memoryRequestTimeout)
	defer cancel()
	if err := s.config.Engine.Cancel(ctx, id); err != nil {
		s.log.Warn().Err(err).Stringer("request", id).Msg("the engine did not confirm a cancellation; its next report will tell")
	}
}

// expire renews this agent's own reservations, releases expired ones here and at the engine,
// and refuses the items of a priority queue that can no longer meet their deadline.
func (s *Server) expire(now time.Time) {
	s.mu.Lock()
	s.memory.RefreshOwner(s.config.Incarnation, now)
	expired := s.memory.Expire(now)
	s.reservationsExpired += int64(len(expired))
	if s.priority != nil {
		s.refuseExpired(s.priority.Expire(now))
	}
	s.mu.Unlock()
	for _, r := range expired {
		s.log.Warn().Stringer("request", r.ID).Int64("tokens", r.Tokens).Msg("a reservation ended by the clock")
		go s.cancelAtEngine(r.ID)
	}
	if len(expired) > 0 {
		s.startQueued()
	}
}

// retryAfter is the time after which a caller whose request could not start in time may
// retry. The queue should be shorter by then.
const retryAfter = 5 * time.Second

// refuseExpired refuses calls and group reservations that can no longer meet their deadline.
// It is called with mu held.
func (s *Server) refuseExpired(items []scheduling.Item) {
	for _, item := range items {
		if p := s.pendingReservations[item.ID]; p != nil {
			delete(s.pendingReservations, item.ID)
			p.answer(false)
			continue
		}
		if l := s.live[item.ID]; l != nil {
			err := result.New(result.CannotStartInTime, result.NotRun, "it waited %s", time.Since(l.arrived).Round(time.Millisecond))
			err.RetryAfter = retryAfter
			s.refuseUnstarted(l, err)
		}
	}
}

// HoldsNoMemory reports whether no memory is reserved and no reservation is queued.
func (s *Server) HoldsNoMemory() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memory.Len() == 0 && len(s.pendingReservations) == 0
}

package server

import (
	"context"
	"io"
	"net/http"
	"time"

	"acaciacleat.example/core/result"
	"acaciacleat.example/peers/collector"
	"acaciacleat.example/peers/engine"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/service"
	"github.com/pkg/errors"
)

// startQueued starts queued calls while the upstream has capacity.
func (s *Server) startQueued() {
	for {
		l := s.nextCall()
		if l == nil {
			return
		}
		go s.run(l)
	}
}

// nextCall removes the next call to start from the queue and returns it, or nil if none can
// start. It also grants the group reservations that it finds at the head of the queue.
func (s *Server) nextCall() *liveCall {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.runningCalls < s.config.Limits.Running {
		item, ok := s.queue.Pop(now, s.memory.Free())
		if !ok {
			return nil
		}
		if p := s.pendingReservations[item.ID]; p != nil {
			s.grantReservation(p, now)
			continue
		}
		l := s.live[item.ID]
		if l == nil || !s.reserveOrRefuse(l, now) {
			s.setRunningInQueue()
			continue
		}
		l.priority = s.enginePriority(&item, now)
		if s.startCall(l, now) {
			return l
		}
	}
	return nil
}

// startCall marks a call as running. If the call was cancelled before, it releases the call's
// memory and returns false. It is called with mu held.
func (s *Server) startCall(l *liveCall, now time.Time) bool {
	if !s.ledger.Begin(l.offer.ID) {
		s.memory.Release(l.offer.ID, l.offer.Attempt, now)
		return false
	}
	s.loadCounters.addQueued(l.demand, -1)
	s.runningCalls++
	s.loadCounters.load.RunningCalls++
	s.countRunning(l, 1)
	s.countPrefill(l, 1)
	l.phase = phaseRunning
	l.started = now
	return true
}

// run executes one call at the upstream.
func (s *Server) run(l *liveCall) {
	ctx, cancel := context.WithDeadline(l.ctx, l.deadline)
	defer cancel()
	id := l.offer.ID.String()
	s.config.Tracer.StartAt(l.span.TraceParent(), collector.HopQueue, l.arrived).End(id, result.OK)
	upstream := s.config.Tracer.Start(l.span.TraceParent(), collector.HopUpstream)
	var end *link.End
	if s.config.Engine != nil {
		end = s.generate(ctx, l, upstream.TraceParent())
	} else {
		end = s.serve(ctx, l, upstream.TraceParent())
	}
	upstream.End(id, end.Code)
	l.span.End(id, end.Code)
	end.QueueMs = milliseconds(l.started.Sub(l.arrived))
	s.completeCall(l, end)
	s.startQueued()
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// completeCall updates the counters for a call that has run, records its end and sends it. It
// releases the call's memory, except for a group's, which groupCall.run releases.
func (s *Server) completeCall(l *liveCall, end *link.End) {
	now := time.Now()
	s.mu.Lock()
	if len(l.memberURLs) == 0 {
		s.memory.Release(l.offer.ID, l.offer.Attempt, now)
	}
	s.runningCalls--
	s.countRunning(l, -1)
	if l.prefilling {
		s.countPrefill(l, -1)
	}
	s.loadCounters.load.RunningCalls--
	l.phase = phaseEnded
	l.retainUntil = l.deadline
	l.timer.Stop()
	end.Load = s.report()
	s.ledger.Finish(now, l.offer.ID, l, l.replayBytes())
	s.mu.Unlock()
	if s.config.Placement != nil {
		s.config.Placement.RecordEnd(now, end)
	}
	l.finish(end)
	l.body = nil
	s.log.Debug().Stringer("request", l.offer.ID).Int("code", int(end.Code)).Msg("call ended")
	s.scheduleRemoval(l)
}

// scheduleRemoval removes an ended call once its entries have had time to resume.
func (s *Server) scheduleRemoval(l *liveCall) {
	time.AfterFunc(s.config.Limits.Detached, func() { s.removeAfterRetention(l) })
}

// removeAfterRetention removes a call some time after its end. Attached entries that read
// slowly keep the call until retainUntil.
func (s *Server) removeAfterRetention(l *liveCall) {
	left := l.removeSubscribers(true)
	s.mu.Lock()
	wait := left > 0 && time.Now().Before(l.retainUntil)
	s.mu.Unlock()
	if wait {
		s.scheduleRemoval(l)
		return
	}
	// Each remaining subscriber retains a link, which must be released with the call.
	for _, c := range l.removeAllSubscribers() {
		c.Release()
	}
	s.removeEnded(l)
}

// replayBytes returns the number of bytes that the call holds for repeats.
func (l *liveCall) replayBytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.replay.overflowed {
		return 0
	}
	return l.replay.bytes
}

// generate executes a call at the engine.
func (s *Server) generate(ctx context.Context, l *liveCall, traceParent string) *link.End {
	answer, err := s.config.Engine.Generate(ctx, engine.Generate{
		ID:              l.offer.ID,
		Body:            l.body,
		Chat:            l.offer.Chat,
		Delivered:       l.offer.Delivered,
		DeliveredTokens: l.offer.DeliveredTokens,
		Priority:        l.priority,
		Group:           l.memberURLs,
		TimeLeft:        time.Until(l.deadline),
		TraceParent:     traceParent,
	})
	if err != nil {
		return s.failureEnd(l, engineError(err, false))
	}
	defer answer.Close()
	var first time.Time
	for {
		delta, ok, err := answer.Next()
		if err != nil {
			return s.failureEnd(l, engineError(err, true))
		}
		if !ok {
			return successEnd(l, answer.Final(), first)
		}
		if first.IsZero() {
			first = time.Now()
			s.onFirstToken(l)
		}
		if !l.emit(uint32(delta.Tokens), []byte(delta.Text), s.config.Limits.KeptBytes) {
			return s.failureEnd(l, result.New(result.Cancelled, result.Ran, ""))
		}
	}
}

// onFirstToken records the prefill time and ends the count of the call's prompt as outstanding.
func (s *Server) onFirstToken(l *liveCall) {
	s.mu.Lock()
	s.loadCounters.recordPrefill(l.demand, time.Since(l.started))
	s.countPrefill(l, -1)
	loads := &link.Loads{Reports: []link.LoadReport{s.report()}}
	s.mu.Unlock()
	// Without a new report now, the entry would count the prompt as outstanding until the answer's
	// end.
	l.notify(loads)
	// The engine can prefill the next prompt.
	s.startQueued()
}

func successEnd(l *liveCall, final engine.Final, first time.Time) *link.End {
	return &link.End{
		Execution:        result.Ran,
		FinishReason:     final.FinishReason,
		PromptTokens:     final.Usage.PromptTokens,
		CachedTokens:     final.Usage.CachedTokens,
		CompletionTokens: final.Usage.CompletionTokens,
		FirstTokenMs:     milliseconds(first.Sub(l.started)),
	}
}

// failureEnd returns the End message of a call that failed. The reason for a cancellation, and
// next a deadline that has passed, take precedence over the failure that they caused at the
// upstream. Any other failure may turn out to be a crash of the upstream.
func (s *Server) failureEnd(l *liveCall, err *result.Error) *link.End {
	if reason := l.cancelReason(); reason != nil {
		err = &result.Error{Code: reason.Code, Execution: err.Execution, Detail: reason.Detail}
	} else if !time.Now().Before(l.deadline) {
		err = &result.Error{Code: result.DeadlinePassed, Execution: err.Execution}
	} else {
		err = s.classifyCrash(l.started, err)
	}
	return &link.End{Code: err.Code, Execution: err.Execution, Detail: err.Detail}
}

// engineError converts a failure of the engine; begun means that its stream had begun.
func engineError(err error, begun bool) *result.Error {
	return result.New(engineCode(err), engineExecution(err, begun), "%v", err)
}

func engineCode(err error) result.Code {
	switch {
	case errors.Is(err, engine.ErrRejected):
		return result.UpstreamRejected
	case errors.Is(err, engine.ErrOutOfMemory):
		return result.MemoryFull
	default:
		return result.UpstreamFailed
	}
}

// engineExecution returns what a failure proves about the execution of the call. Before the
// stream has begun, a refusal for lack of memory may come in the middle of the prefill, and a
// connection that broke without an answer may have delivered the request. Neither proves that
// the call ran or that it did not, so both are Unknown.
func engineExecution(err error, begun bool) result.Execution {
	switch {
	case begun:
		return result.Ran
	case errors.Is(err, engine.ErrRejected), errors.Is(err, engine.ErrNotStarted):
		return result.NotRun
	default:
		return result.Unknown
	}
}

// answerChunkBytes is the maximum size of one chunk of a plain service's answer.
const answerChunkBytes = 16 << 10

// serve executes a call at the plain service.
func (s *Server) serve(ctx context.Context, l *liveCall, traceParent string) *link.End {
	header := make(http.Header, len(l.offer.Header)+1)
	for _, field := range l.offer.Header {
		header.Add(field.Name, field.Value)
	}
	header.Set("X-Request-Id", l.offer.ID.String())
	if traceParent != "" {
		header.Set("Traceparent", traceParent)
	}
	answer, err := s.config.Plain.Do(ctx, service.Call{
		Method:   l.offer.Method,
		Path:     l.offer.Path,
		Header:   header,
		Body:     l.body,
		TimeLeft: time.Until(l.deadline),
	})
	if err != nil {
		return s.failureEnd(l, serviceError(err))
	}
	defer answer.Body.Close()
	l.setHead(&link.Head{ID: l.offer.ID, Attempt: l.offer.Attempt, Status: answer.Status, Header: fields(answer.Header)})
	for {
		part := make([]byte, answerChunkBytes)
		n, err := answer.Body.Read(part)
		if n > 0 && !l.emit(0, part[:n], s.config.Limits.KeptBytes) {
			return s.failureEnd(l, result.New(result.Cancelled, result.Ran, ""))
		}
		if err == io.EOF {
			return &link.End{Execution: result.Ran}
		}
		if err != nil {
			return s.failureEnd(l, result.New(result.UpstreamFailed, result.Ran, "%v", err))
		}
	}
}

func serviceError(err error) *result.Error {
	if errors.Is(err, service.ErrNotSent) {
		return result.New(result.UpstreamFailed, result.NotRun, "%v", err)
	}
	return result.New(result.UpstreamFailed, result.Unknown, "%v", err)
}

func fields(header http.Header) []link.HeaderField {
	var all []link.HeaderField
	for name, values := range header {
		for _, value := range values {
			all = append(all, link.HeaderField{Name: name, Value: value})
		}
	}
	return all
}

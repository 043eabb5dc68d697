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

// pump starts queued calls while the upstream has room.
func (s *Server) pump() {
	for {
		l := s.next()
		if l == nil {
			return
		}
		go s.run(l)
	}
}

// next takes the next call to start out of the queue, or returns nil.
func (s *Server) next() *liveCall {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.started < s.config.Limits.Running {
		item, ok := s.queue.Pop(now, s.memory.Free())
		if !ok {
			return nil
		}
		if h := s.holds[item.ID]; h != nil {
			s.grant(h, now)
			continue
		}
		l := s.live[item.ID]
		if l == nil || !s.reserve(l, now) {
			s.tellQueue()
			continue
		}
		l.priority = s.enginePriority(&item, now)
		if s.begin(l, now) {
			return l
		}
	}
	return nil
}

// begin is called with mu held. It returns false when the call must not run after all.
func (s *Server) begin(l *liveCall, now time.Time) bool {
	if !s.ledger.Begin(l.offer.ID) {
		s.memory.Release(l.offer.ID, l.offer.Attempt, now)
		return false
	}
	s.load.queued(l.work, -1)
	s.started++
	s.load.load.RunningCalls++
	s.countRunning(l, 1)
	s.countPrefill(l, 1)
	l.phase = phaseRunning
	l.started = now
	return true
}

// run carries one call through the upstream.
func (s *Server) run(l *liveCall) {
	ctx, cancel := context.WithDeadline(l.ctx, l.deadline)
	defer cancel()
	id := l.offer.ID.String()
	s.config.Tracer.StartAt(l.span.Parent(), collector.HopQueue, l.arrived).End(id, result.OK)
	upstream := s.config.Tracer.Start(l.span.Parent(), collector.HopUpstream)
	var end *link.End
	if s.config.Engine != nil {
		end = s.generate(ctx, l, upstream.Parent())
	} else {
		end = s.serve(ctx, l, upstream.Parent())
	}
	upstream.End(id, end.Code)
	l.span.End(id, end.Code)
	end.QueueMs = milliseconds(l.started.Sub(l.arrived))
	s.finished(l, end)
	s.pump()
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// finished closes the books of a call that ran.
func (s *Server) finished(l *liveCall, end *link.End) {
	now := time.Now()
	s.mu.Lock()
	if len(l.group) == 0 {
		s.memory.Release(l.offer.ID, l.offer.Attempt, now)
	}
	s.started--
	s.countRunning(l, -1)
	if l.prefilling {
		s.countPrefill(l, -1)
	}
	s.load.load.RunningCalls--
	l.phase = phaseEnded
	l.keepUntil = l.deadline
	l.timer.Stop()
	end.Load = s.report()
	s.ledger.Finish(now, l.offer.ID, l, l.keptSize())
	s.mu.Unlock()
	if s.config.Placement != nil {
		s.config.Placement.Ended(now, end)
	}
	l.finish(end)
	l.body = nil
	s.log.Debug().Stringer("request", l.offer.ID).Int("code", int(end.Code)).Msg("call ended")
	s.retireLater(l)
}

func (s *Server) retireLater(l *liveCall) {
	time.AfterFunc(s.config.Limits.Detached, func() { s.retire(l) })
}

// retire forgets a call some time after its end; entries that read slowly keep it alive
// as long as they have a link and their time lasts.
func (s *Server) retire(l *liveCall) {
	left := l.dropOutlets(true)
	s.mu.Lock()
	wait := left > 0 && time.Now().Before(l.keepUntil)
	s.mu.Unlock()
	if wait {
		s.retireLater(l)
		return
	}
	// An outlet holds its link busy, so it must not outlive the call.
	for _, c := range l.takeOutlets() {
		c.Release()
	}
	s.forget(l)
}

// keptSize is the number of bytes that the call holds for repeats.
func (l *liveCall) keptSize() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.kept.lost {
		return 0
	}
	return l.kept.bytes
}

// generate runs a call at the engine.
func (s *Server) generate(ctx context.Context, l *liveCall, traceParent string) *link.End {
	answer, err := s.config.Engine.Generate(ctx, engine.Generate{
		ID:              l.offer.ID,
		Body:            l.body,
		Chat:            l.offer.Chat,
		Delivered:       l.offer.Delivered,
		DeliveredTokens: l.offer.DeliveredTokens,
		Priority:        l.priority,
		Group:           l.group,
		TimeLeft:        time.Until(l.deadline),
		TraceParent:     traceParent,
	})
	if err != nil {
		return s.failed(l, engineError(err, false))
	}
	defer answer.Close()
	var first time.Time
	for {
		delta, ok, err := answer.Next()
		if err != nil {
			return s.failed(l, engineError(err, true))
		}
		if !ok {
			return generated(l, answer.Final(), first)
		}
		if first.IsZero() {
			first = time.Now()
			s.prefilled(l)
		}
		if !l.emit(uint32(delta.Tokens), []byte(delta.Text), s.config.Limits.KeptBytes) {
			return s.failed(l, result.New(result.Cancelled, result.Ran, ""))
		}
	}
}

func (s *Server) prefilled(l *liveCall) {
	s.mu.Lock()
	s.load.prefilled(l.work, time.Since(l.started))
	s.countPrefill(l, -1)
	loads := &link.Loads{Reports: []link.LoadReport{s.report()}}
	s.mu.Unlock()
	// The entry would otherwise count the prompt as work ahead until the answer's end.
	l.tell(loads)
	// The engine has room for the next prompt.
	s.pump()
}

func generated(l *liveCall, final engine.Final, first time.Time) *link.End {
	return &link.End{
		Execution:        result.Ran,
		FinishReason:     final.FinishReason,
		PromptTokens:     final.Usage.PromptTokens,
		CachedTokens:     final.Usage.CachedTokens,
		CompletionTokens: final.Usage.CompletionTokens,
		FirstTokenMs:     milliseconds(first.Sub(l.started)),
	}
}

// failed makes the end of a call that did not finish; a cancellation's own reason goes
// before what it caused at the upstream.
func (s *Server) failed(l *liveCall, err *result.Error) *link.End {
	if reason := l.reason(); reason != nil {
		err = &result.Error{Code: reason.Code, Execution: err.Execution, Detail: reason.Detail}
	} else if !time.Now().Before(l.deadline) {
		err = &result.Error{Code: result.DeadlinePassed, Execution: err.Execution}
	} else {
		err = s.crashed(l.started, err)
	}
	return &link.End{Code: err.Code, Execution: err.Execution, Detail: err.Detail}
}

// engineError translates a failure of the engine; begun says that its stream had begun.
func engineError(err error, begun bool) *result.Error {
	return result.New(engineCode(err), engineExecution(err, begun), "%v", err)
}

func engineCode(err error) result.Code {
	switch {
	case errors.Is(err, engine.ErrRejected):
		return result.UpstreamRejected
	case errors.Is(err, engine.ErrMemory):
		return result.MemoryFull
	default:
		return result.UpstreamFailed
	}
}

// engineExecution says what a failure proves. A refusal for lack of memory may come in the
// middle of a run, and a connection that broke without an answer may have carried the
// request: taken as not-run or ran, the caller would be told what nobody knows.
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

// answerPart is the size of the pieces in which a plain service's answer travels.
const answerPart = 16 << 10

// serve runs a call at the plain service.
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
		return s.failed(l, serviceError(err))
	}
	defer answer.Body.Close()
	l.setHead(&link.Head{ID: l.offer.ID, Attempt: l.offer.Attempt, Status: answer.Status, Header: fields(answer.Header)})
	for {
		part := make([]byte, answerPart)
		n, err := answer.Body.Read(part)
		if n > 0 && !l.emit(0, part[:n], s.config.Limits.KeptBytes) {
			return s.failed(l, result.New(result.Cancelled, result.Ran, ""))
		}
		if err == io.EOF {
			return &link.End{Execution: result.Ran}
		}
		if err != nil {
			return s.failed(l, result.New(result.UpstreamFailed, result.Ran, "%v", err))
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

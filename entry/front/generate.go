package front

import (
	"net/http"
	"sync"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/deadline"
	"acaciacleat.example/core/document"
	"acaciacleat.example/core/prefix"
	"acaciacleat.example/core/result"
	"acaciacleat.example/core/routing"
	"acaciacleat.example/entry/flight"
	"acaciacleat.example/entry/record"
	"acaciacleat.example/peers/caller"
	"acaciacleat.example/peers/link"
)

// defaultMaxTokens is reserved for an answer if the caller sets no maximum length.
const defaultMaxTokens = 1024

// maxRetries bounds the agents that are tried after the first for one request.
const maxRetries = 4

// generate serves a completion or chat completion.
func (f *Front) generate(w http.ResponseWriter, r *http.Request, chat bool) {
	q := f.begin(w, r, true)
	if q == nil {
		return
	}
	if err := q.readBody(parsedCopies); err != nil {
		q.fail(err)
		return
	}
	g, err := caller.Parse(q.body, chat)
	if err != nil {
		q.fail(err)
		return
	}
	ref := q.snapshot.Model(g.Model)
	if ref == nil || q.principal.OrganisationIn(ref.Service.Name) == nil {
		q.fail(result.New(result.UnknownModel, result.NotRun, "model %q", g.Model))
		return
	}
	spec, err := q.generationSpec(g, ref)
	if err != nil {
		q.fail(err)
		return
	}
	if err := q.admit(ref.Service, &spec); err != nil {
		q.fail(err)
		return
	}
	defer q.releaseQuota()
	q.runGeneration(g, ref, spec)
}

// generationSpec returns the flight.Spec of a parsed request.
func (q *request) generationSpec(g *caller.Generation, ref *document.ModelRef) (flight.Spec, *result.Error) {
	demand := call.TokenDemand{
		PromptTokens: q.front.estimates.tokens(g.Model, len(g.Prompt)),
		MaxTokens:    g.MaxTokens,
	}
	if demand.MaxTokens == 0 {
		demand.MaxTokens = min(defaultMaxTokens, ref.Model.ContextTokens)
	}
	if demand.Tokens() > ref.Model.ContextTokens {
		return flight.Spec{}, result.New(result.PromptTooLong, result.NotRun,
			"about %d prompt tokens and %d for the answer, at most %d in all", demand.PromptTokens, demand.MaxTokens, ref.Model.ContextTokens)
	}
	// The deadline's bounds and the record use the class of the estimate. The admission and the
	// metrics use the class of its upper bound; see runGeneration.
	class := call.ClassOf(demand.PromptTokens)
	// The engine's own count of the prompt may be higher than the estimate. An engine refuses a
	// prompt for which a group of engines has reserved even one token too little, so memory is
	// requested for the upper bound of the estimate.
	demand.PromptTokens = q.front.estimates.upperBound(g.Model, len(g.Prompt))
	timeLeft, err := deadline.Parse(q.http.Header.Get(deadline.Header), deadline.BoundsFor(ref.Service, class))
	if err != nil {
		return flight.Spec{}, err
	}
	q.record.Update(func(r *record.Request) {
		r.Service = ref.Service.Name
		r.Model = g.Model
		r.PromptTokens = demand.PromptTokens
		r.Class = class.String()
		r.Deadline = timeLeft.String()
	})
	digests := prefix.Digests(g.Model, g.Prompt, nil)
	return flight.Spec{
		ID:       q.id,
		Body:     g.Body,
		Deadline: q.started.Add(timeLeft),
		Offer: link.Offer{
			Service:      ref.Service.Name,
			Model:        g.Model,
			Organisation: q.principal.Organisation,
			Chat:         g.Chat,
			Repeatable:   true,
			PromptTokens: demand.PromptTokens,
			MaxTokens:    demand.MaxTokens,
			Prefix:       digests,
			Objective:    string(ref.Service.Objective),
			Revision:     uint64(q.snapshot.Revision),
			TraceParent:  q.span.TraceParent(),
		},
		Route: routing.Request{
			Service:      ref.Service.Name,
			Model:        g.Model,
			Organisation: q.principal.Organisation,
			Demand:       demand,
			Zone:         q.front.config.Zone,
			Objective:    ref.Service.Objective,
			Prefix:       digests,
			PromptBytes:  len(g.Prompt),
		},
		MaxRetries:  maxRetries,
		Fingerprint: sync.OnceValue(q.fingerprint),
		Observe:     q.observe,
	}, nil
}

// runGeneration runs the request and sends the answer, streamed or whole.
func (q *request) runGeneration(g *caller.Generation, ref *document.ModelRef, spec flight.Spec) {
	encoder := caller.NewAnswerEncoder(g, q.id.String(), q.started.Unix())
	sink := &generationSink{request: q, encoder: encoder, stream: g.Stream, maxBytes: q.front.config.Limits.WholeAnswerBytes}
	sink.class = call.ClassOf(spec.Route.Demand.PromptTokens)
	sink.service = ref.Service.Name
	spec.Admit = func(predicted time.Duration) *result.Error {
		q.predicted = predicted
		return q.front.admission.admit(ref.Service.Name, spec.Route.Demand, predicted, spec.Deadline)
	}
	outcome := flight.New(q.front.config.Registry, spec, sink).Run(q.http.Context())
	if outcome.Err == nil && sink.tooLarge {
		outcome.Err = result.New(result.AnswerTooLarge, result.Ran, "over %d bytes", sink.maxBytes)
	}
	if outcome.Err != nil {
		sink.fail(outcome.Err)
		return
	}
	end := outcome.End
	q.front.estimates.observe(g.Model, len(g.Prompt), end.PromptTokens)
	q.record.Update(func(r *record.Request) {
		r.QueueMs = end.QueueMs
		r.CachedTokens = end.CachedTokens
	})
	completion := max(outcome.Delivered, end.CompletionTokens)
	sink.finish(end.FinishReason, caller.NewUsage(end.PromptTokens, end.CachedTokens, completion), g.IncludeUsage)
	q.finish(nil)
}

// generationSink writes an answer to the caller. It implements flight.Sink.
type generationSink struct {
	request  *request
	encoder  *caller.AnswerEncoder
	stream   bool
	service  string
	class    call.Class
	maxBytes int
	// buf holds the part of a streamed answer that is still to be written, or the whole text of
	// one that is not streamed.
	buf           []byte
	answerStarted bool
	// tooLarge reports whether an answer that is not streamed exceeds maxBytes.
	tooLarge bool
}

// Head implements flight.Sink. The answer of a generation has no head.
func (s *generationSink) Head(*link.Head) error { return nil }

// Data implements flight.Sink.
func (s *generationSink) Data(_ uint32, data []byte) error {
	if !s.answerStarted {
		s.onFirstToken()
	}
	if s.stream {
		s.buf = s.encoder.AppendChunk(s.buf, data)
		return nil
	}
	if len(s.buf)+len(data) > s.maxBytes {
		s.tooLarge = true
		return nil
	}
	s.buf = append(s.buf, data...)
	return nil
}

// onFirstToken records the time to first token and, for a streamed answer, opens the stream.
func (s *generationSink) onFirstToken() {
	s.answerStarted = true
	took := time.Since(s.request.started)
	s.request.front.metrics.recordFirstToken(s.class, took)
	s.request.front.admission.observe(s.service, s.class, s.request.predicted, took)
	s.request.record.Update(func(r *record.Request) { r.FirstMs = float64(took.Microseconds()) / 1000 })
	s.openStream()
}

// openStream writes the head of a streamed answer.
func (s *generationSink) openStream() {
	if !s.stream {
		return
	}
	h := s.request.writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	s.request.writer.WriteHeader(http.StatusOK)
	s.buf = s.encoder.AppendFirst(s.buf)
}

// Flush implements flight.Sink.
func (s *generationSink) Flush() error {
	if !s.stream || len(s.buf) == 0 {
		return nil
	}
	_, err := s.request.writer.Write(s.buf)
	s.buf = s.buf[:0]
	if err != nil {
		return err
	}
	return http.NewResponseController(s.request.writer).Flush()
}

// finish writes the end of a successful streamed answer, or the whole of one that is not streamed.
func (s *generationSink) finish(finishReason string, usage *caller.Usage, includeUsage bool) {
	if !s.stream {
		h := s.request.writer.Header()
		h.Set("Content-Type", "application/json")
		_, _ = s.request.writer.Write(s.encoder.EncodeWhole(s.buf, finishReason, usage))
		return
	}
	if !s.answerStarted {
		s.answerStarted = true
		s.openStream()
	}
	if !includeUsage {
		usage = nil
	}
	s.buf = s.encoder.AppendLast(s.buf, finishReason, usage)
	_ = s.Flush()
}

// fail answers with an error, within the stream if it has started.
func (s *generationSink) fail(err *result.Error) {
	if !s.answerStarted && err.Code == result.DeadlinePassed {
		// If requests without a first token were left out, the observed times would be too short.
		s.request.front.admission.observe(s.service, s.class, s.request.predicted, time.Since(s.request.started))
	}
	if !s.answerStarted || !s.stream {
		s.request.fail(err)
		return
	}
	s.request.finish(err)
	s.buf = caller.AppendErrorEvent(s.buf, err, s.request.id.String())
	_ = s.Flush()
}

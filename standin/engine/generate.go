package engine

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	peer "acaciacleat.example/peers/engine"
	"acaciacleat.example/standin/engine/httpfaults"
	"acaciacleat.example/standin/faults"
)

// maxBody bounds a request's body in bytes; a prompt of a million tokens is about 4 MB.
const maxBody = 64 << 20

// refusal is why a request was not taken; nothing of it ran.
type refusal struct {
	status  int
	kind    string
	message string
}

// Error implements error.
func (r *refusal) Error() string { return r.message }

func invalid(format string, args ...any) *refusal {
	return &refusal{http.StatusBadRequest, peer.TypeInvalid, fmt.Sprintf(format, args...)}
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request, chat bool) {
	seq, err := e.read(w, r, chat)
	if err != nil {
		e.refuse(w, err)
		return
	}
	held, err := e.holdGroup(r.Context(), seq, members(r))
	defer held.leave()
	if err != nil {
		e.refuse(w, err)
		return
	}
	if err := e.submit(seq); err != nil {
		e.refuse(w, err)
		return
	}
	// The run ends with the connection, however this handler is left.
	defer e.end(seq, cancelled)
	defer e.endAfter(seq, r.Header.Get(peer.HeaderTimeLeft))()
	held.watch(func() { e.end(seq, memberLost) })
	fault, _ := e.streams.next()
	out := newSSE(w, seq.id, seq.model, chat)
	out.begin(seq.run)
	e.relay(r, out, seq, fault)
}

func (e *Engine) refuse(w http.ResponseWriter, r *refusal) {
	e.mu.Lock()
	e.stats.Refused++
	e.mu.Unlock()
	refuse(w, r.status, r.kind, r.message)
}

// read makes a sequence of a request. The prompt's text is not kept.
func (e *Engine) read(w http.ResponseWriter, r *http.Request, chat bool) (*sequence, *refusal) {
	var body bytes.Buffer
	body.Grow(int(min(max(r.ContentLength, 0), maxBody)) + bytes.MinRead)
	if _, err := body.ReadFrom(http.MaxBytesReader(w, r.Body, maxBody)); err != nil {
		return nil, invalid("body: %v", err)
	}
	prompt, err := peer.ParsePrompt(body.Bytes(), chat)
	if err != nil {
		return nil, invalid("%v", err)
	}
	if !prompt.Stream {
		return nil, invalid("only streamed answers are served")
	}
	priority, err := strconv.Atoi(or(r.Header.Get(peer.HeaderPriority), "0"))
	if err != nil {
		return nil, invalid("%s is not a number", peer.HeaderPriority)
	}
	seq := e.newSequence(prompt, 1+len(members(r)))
	seq.id = r.Header.Get(peer.HeaderRequestID)
	seq.priority = priority
	return seq, checkContinuation(seq, prompt.Continue)
}

func (e *Engine) newSequence(prompt peer.Prompt, share int) *sequence {
	model := or(prompt.Model, e.servedModel())
	seq := &sequence{
		answer: newAnswer(model, prompt.Text),
		model:  model,
		blocks: peer.PrefixBlocks(model, prompt.Text),
		prompt: prompt.Tokens(),
		start:  prompt.Continue.Tokens,
		reason: "stop",
		share:  share,
		wake:   make(chan struct{}, 1),
	}
	most := or(prompt.MaxTokens, e.config.AnswerTokens)
	seq.limit = seq.answer.length(e.config.AnswerTokens)
	if most <= seq.limit {
		seq.limit = most
		seq.reason = "length"
	}
	seq.need = divideUp(int64(seq.prompt+most), int64(share))
	return seq
}

// checkContinuation refuses a continuation of some other answer. A real engine would go on
// from any text, so a mix-up of two requests' streams would show only as a wrong answer.
func checkContinuation(seq *sequence, given peer.Continuation) *refusal {
	if given.Tokens < 0 || given.Tokens > seq.limit {
		return invalid("continue_from.tokens is outside the answer")
	}
	if seq.answer.text(0, given.Tokens) != given.Text {
		return invalid("continue_from.text is not the beginning of this answer")
	}
	seq.produced.Store(int64(given.Tokens))
	return nil
}

func divideUp(n, by int64) int64 { return (n + by - 1) / by }

func members(r *http.Request) []string {
	list := r.Header.Get(peer.HeaderGroup)
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

// submit queues a sequence.
func (e *Engine) submit(seq *sequence) *refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.refusalFor(seq); err != nil {
		return err
	}
	e.arrivals++
	seq.arrival = e.arrivals
	seq.run = strconv.FormatUint(e.arrivals, 10)
	e.sequences[seq.run] = seq
	if seq.start == seq.limit {
		// The caller has the whole answer but for its end.
		e.waiting = insert(e.waiting, seq)
		e.finish(seq, outcome{usage: seq.usage()})
		return nil
	}
	e.waiting = insert(e.waiting, seq)
	e.kick()
	e.touch()
	return nil
}

func (e *Engine) refusalFor(seq *sequence) *refusal {
	_, adapter := e.adapters[seq.model]
	switch {
	case e.closed || e.loading:
		return &refusal{http.StatusServiceUnavailable, peer.TypeBusy, "the engine takes no requests now"}
	case seq.model != e.model && !adapter:
		return &refusal{http.StatusNotFound, peer.TypeInvalid, "model " + strconv.Quote(seq.model) + " is not loaded"}
	case seq.need > e.config.EngineTokens:
		return &refusal{http.StatusInsufficientStorage, peer.TypeMemory, "the request exceeds the engine's memory"}
	case len(e.waiting) >= e.config.MaxQueue:
		return &refusal{http.StatusServiceUnavailable, peer.TypeBusy, "the engine's queue is full"}
	}
	return nil
}

// relay sends tokens as they come. Tokens of several steps that pile up while a write
// blocks go out in one event.
func (e *Engine) relay(r *http.Request, out *sse, seq *sequence, fault Fault) {
	keepAlive := time.NewTicker(e.config.KeepAlive)
	defer keepAlive.Stop()
	sent := seq.start
	for {
		select {
		case <-seq.wake:
		case <-keepAlive.C:
			if out.comment() != nil {
				return
			}
			continue
		case <-r.Context().Done():
			return
		}
		// The end is read before the tokens: after it there are no more.
		ended := seq.ended.Load()
		produced := int(seq.produced.Load())
		if !sendTokens(r, out, seq, sent, produced, fault) {
			return
		}
		sent = produced
		if ended != nil {
			sendEnd(out, seq, *ended)
			return
		}
	}
}

// sendTokens sends the tokens from sent to produced; false means that the stream is over.
func sendTokens(r *http.Request, out *sse, seq *sequence, sent, produced int, fault Fault) bool {
	breaks := seq.start + fault.AfterTokens
	hit := fault.Kind != "" && produced >= breaks
	if hit && fault.Kind == faults.Slow {
		if httpfaults.Sleep(r.Context(), fault.Delay) != nil {
			return false
		}
		hit = false
	}
	if hit {
		produced = breaks
	}
	if produced > sent && out.text(seq.answer.text(sent, produced), produced-sent) != nil {
		return false
	}
	if !hit {
		return true
	}
	if fault.Kind == faults.Silent {
		httpfaults.Silence(r)
	}
	panic(http.ErrAbortHandler)
}

func sendEnd(out *sse, seq *sequence, o outcome) {
	if o.kind != "" {
		_ = out.fail(o)
		return
	}
	_ = out.end(seq.reason, o.usage)
}

// endAfter stops the run after the given number of milliseconds, if any, also when its
// connection has gone silent. The returned function ends the wait.
func (e *Engine) endAfter(seq *sequence, ms string) func() {
	n, err := strconv.ParseInt(ms, 10, 64)
	if err != nil {
		return func() {}
	}
	timer := time.AfterFunc(time.Duration(n)*time.Millisecond, func() { e.end(seq, deadlinePast) })
	return func() { timer.Stop() }
}

func (e *Engine) servedModel() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model
}

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

// maxBodyBytes bounds a request's body in bytes; a prompt of a million tokens is about 4 MB.
const maxBodyBytes = 64 << 20

// refusal is the reason why a request was not accepted; no part of it ran.
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
	seq, err := e.parseRequest(w, r, chat)
	if err != nil {
		e.refuse(w, err)
		return
	}
	group, err := e.checkGroup(r.Context(), seq, groupMembers(r))
	defer group.release()
	if err != nil {
		e.refuse(w, err)
		return
	}
	if err := e.submit(seq); err != nil {
		e.refuse(w, err)
		return
	}
	// The run ends with the connection, whichever way this handler returns.
	defer e.stopSequence(seq, cancelled)
	defer e.stopAfter(seq, r.Header.Get(peer.HeaderTimeLeft))()
	group.watch(func() { e.stopSequence(seq, memberLost) })
	fault, _ := e.streams.next()
	out := newSSE(w, seq.id, seq.model, chat)
	out.begin(seq.runID)
	e.streamTokens(r, out, seq, fault)
}

func (e *Engine) refuse(w http.ResponseWriter, r *refusal) {
	e.mu.Lock()
	e.stats.Refused++
	e.mu.Unlock()
	refuse(w, r.status, r.kind, r.message)
}

// parseRequest returns the sequence of a request. It does not keep the prompt's text.
func (e *Engine) parseRequest(w http.ResponseWriter, r *http.Request, chat bool) (*sequence, *refusal) {
	var body bytes.Buffer
	body.Grow(int(min(max(r.ContentLength, 0), maxBodyBytes)) + bytes.MinRead)
	if _, err := body.ReadFrom(http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		return nil, invalid("body: %v", err)
	}
	prompt, err := peer.ParsePrompt(body.Bytes(), chat)
	if err != nil {
		return nil, invalid("%v", err)
	}
	if !prompt.Stream {
		return nil, invalid("only streamed answers are served")
	}
	priority, err := strconv.Atoi(orDefault(r.Header.Get(peer.HeaderPriority), "0"))
	if err != nil {
		return nil, invalid("%s is not a number", peer.HeaderPriority)
	}
	seq := e.newSequence(prompt, 1+len(groupMembers(r)))
	seq.id = r.Header.Get(peer.HeaderRequestID)
	seq.priority = priority
	return seq, checkContinuation(seq, prompt.Continue)
}

func (e *Engine) newSequence(prompt peer.Prompt, groupSize int) *sequence {
	model := orDefault(prompt.Model, e.servedModel())
	seq := &sequence{
		answer:          newAnswer(model, prompt.Text),
		model:           model,
		blocks:          peer.PrefixBlocks(model, prompt.Text),
		promptTokens:    prompt.Tokens(),
		deliveredTokens: prompt.Continue.Tokens,
		finishReason:    "stop",
		groupSize:       groupSize,
		wake:            make(chan struct{}, 1),
	}
	maxTokens := orDefault(prompt.MaxTokens, e.config.AnswerTokens)
	seq.answerTokens = seq.answer.length(e.config.AnswerTokens)
	if maxTokens <= seq.answerTokens {
		seq.answerTokens = maxTokens
		seq.finishReason = "length"
	}
	seq.memoryTokens = divideUp(int64(seq.promptTokens+maxTokens), int64(groupSize))
	return seq
}

// checkContinuation refuses a continuation of a different answer, and otherwise counts the tokens that
// were already delivered as produced. A real engine continues from any text, so that a gateway which
// mixes up two requests would be noticed only by a wrong answer.
func checkContinuation(seq *sequence, continuation peer.Continuation) *refusal {
	if continuation.Tokens < 0 || continuation.Tokens > seq.answerTokens {
		return invalid("continue_from.tokens is outside the answer")
	}
	if seq.answer.text(0, continuation.Tokens) != continuation.Text {
		return invalid("continue_from.text is not the beginning of this answer")
	}
	seq.produced.Store(int64(continuation.Tokens))
	return nil
}

func divideUp(n, by int64) int64 { return (n + by - 1) / by }

func groupMembers(r *http.Request) []string {
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
	seq.runID = strconv.FormatUint(e.arrivals, 10)
	e.sequences[seq.runID] = seq
	if seq.deliveredTokens == seq.answerTokens {
		// Only the end of the answer is missing.
		e.waiting = insert(e.waiting, seq)
		e.finish(seq, outcome{usage: seq.usage()})
		return nil
	}
	e.waiting = insert(e.waiting, seq)
	e.startStepLoop()
	e.recordState()
	return nil
}

func (e *Engine) refusalFor(seq *sequence) *refusal {
	_, adapter := e.adapters[seq.model]
	switch {
	case e.closed || e.loading:
		return &refusal{http.StatusServiceUnavailable, peer.TypeBusy, "the engine takes no requests now"}
	case seq.model != e.model && !adapter:
		return &refusal{http.StatusNotFound, peer.TypeInvalid, "model " + strconv.Quote(seq.model) + " is not loaded"}
	case seq.memoryTokens > e.config.EngineTokens:
		return &refusal{http.StatusInsufficientStorage, peer.TypeMemory, "the request exceeds the engine's memory"}
	case len(e.waiting) >= e.config.MaxQueue:
		return &refusal{http.StatusServiceUnavailable, peer.TypeBusy, "the engine's queue is full"}
	}
	return nil
}

// streamTokens sends tokens as they are produced. Tokens of several steps that accumulate while a
// write blocks are sent in one event.
func (e *Engine) streamTokens(r *http.Request, out *sse, seq *sequence, fault Fault) {
	keepAlive := time.NewTicker(e.config.KeepAlive)
	defer keepAlive.Stop()
	sent := seq.deliveredTokens
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
		// ended is read before produced: no token is produced after the end, so once ended is set,
		// produced is final.
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

// sendTokens sends the tokens from sent to produced, and applies the fault once the stream has sent the
// fault's AfterTokens. It returns false if the connection has ended.
func sendTokens(r *http.Request, out *sse, seq *sequence, sent, produced int, fault Fault) bool {
	breakAt := seq.deliveredTokens + fault.AfterTokens
	hit := fault.Kind != "" && produced >= breakAt
	if hit && fault.Kind == faults.Slow {
		if httpfaults.Sleep(r.Context(), fault.Delay) != nil {
			return false
		}
		hit = false
	}
	if hit {
		produced = breakAt
	}
	if produced > sent && out.text(seq.answer.text(sent, produced), produced-sent) != nil {
		return false
	}
	if !hit {
		return true
	}
	if fault.Kind == faults.Silent {
		httpfaults.Hang(r)
	}
	panic(http.ErrAbortHandler)
}

func sendEnd(out *sse, seq *sequence, o outcome) {
	if o.kind != "" {
		_ = out.fail(o)
		return
	}
	_ = out.end(seq.finishReason, o.usage)
}

// stopAfter stops the run after the given number of milliseconds, if any, even if its connection is
// silent. The returned function stops the timer.
func (e *Engine) stopAfter(seq *sequence, ms string) func() {
	n, err := strconv.ParseInt(ms, 10, 64)
	if err != nil {
		return func() {}
	}
	timer := time.AfterFunc(time.Duration(n)*time.Millisecond, func() { e.stopSequence(seq, deadlineExceeded) })
	return func() { timer.Stop() }
}

func (e *Engine) servedModel() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model
}

package gateway

import (
	"io"
	"net/http"
	"time"

	"acaciacleat.example/core/attempt"
	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/result"
	"acaciacleat.example/peers/httpserver"
	"acaciacleat.example/peers/service"
)

// maxWholeBytes bounds an answer that is read whole before its head is sent. A longer answer is
// relayed as it arrives.
const maxWholeBytes = 256 << 10

// relayWhole reads the answer to its end, or as much as readWhole does, before it sends the head. A
// broken answer can then still be retried at another upstream or reported as a failure. From the head on it
// can't, so the answer isn't given up for silence any more.
func (e *exchange) relayWhole(answer *service.Answer) attempt.Action {
	body, more, err := e.readWhole(&watchedReader{answer.Body, e})
	now := e.now()
	if err != nil {
		return e.handleBrokenAnswer(now, err)
	}
	if action := e.machine.Head(now, e.attemptNumber()); action.Kind != attempt.None {
		// The deadline passed while the answer was read.
		e.recordOutcome(now, dispatch.Abandoned)
		return action
	}
	e.stall.stop()
	e.sendHead(answer)
	e.wholeBegun = true
	var readErr error
	_, writeErr := e.w.Write(body)
	if writeErr == nil && more {
		readErr, writeErr = e.copyRest(answer.Body)
	}
	now = e.now()
	if readErr != nil {
		return e.handleBrokenAnswer(now, readErr)
	}
	if writeErr != nil {
		e.recordOutcome(now, e.unfinishedOutcome(now))
		return e.machine.CallerGone(now)
	}
	if answer.Status < http.StatusInternalServerError {
		answered := e.quarantineRequest()
		if answer.Status != http.StatusOK {
			answered.Segments = nil // The upstream has judged the request without answering its prompt.
		}
		e.g.config.Quarantine.RecordAnswer(answered)
	}
	e.answerEnded(endWhole)
	e.limitConfirmed(now)
	e.recordOutcome(now, statusOutcome(answer.Status))
	return e.machine.Ended(now, e.attemptNumber(), attempt.Outcome{Code: result.OK, Execution: result.Ran})
}

const (
	// firstAnswerBytes is the size of the first buffer for an answer, answerGrowth the factor by which further ones
	// are larger. Those up to freeAnswerBytes are part of what each connection is charged with.
	firstAnswerBytes = 512
	answerGrowth     = 4
	freeAnswerBytes  = 8 << 10
)

// readWhole reads an answer to its end, to maxWholeBytes or to what there is memory for. more reports whether there may
// be more of it.
func (e *exchange) readWhole(answer io.Reader) (body []byte, more bool, err error) {
	body = make([]byte, 0, firstAnswerBytes)
	for {
		if len(body) == cap(body) {
			size := min(answerGrowth*cap(body), maxWholeBytes)
			if size == len(body) || !e.acquireAnswer(cap(body), size) {
				return body, true, nil
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := answer.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch err {
		case nil:
		case io.EOF:
			return body, false, nil
		default:
			return nil, false, err
		}
	}
}

// acquireAnswer charges the caller with a larger buffer for its answer, and with what the kernel may hold of an answer
// that doesn't fit into the first ones.
func (e *exchange) acquireAnswer(held, size int) bool {
	switch {
	case size <= freeAnswerBytes:
		return true
	case held <= freeAnswerBytes:
		size += 2 * receiveBuffer
	}
	return httpserver.Acquire(e.r, size-held)
}

// copyRest relays the answer beyond maxWholeBytes. readErr is set if the answer breaks off there, after
// which the request can no longer be retried, and writeErr if the caller has left.
func (e *exchange) copyRest(body io.Reader) (readErr, writeErr error) {
	source := &errorReader{reader: body}
	_, err := io.Copy(e.w, source)
	if source.err != nil {
		return source.err, nil
	}
	return nil, err
}

// watchedReader reads an answer and reports what it receives to the stall watch: an answer that keeps coming
// isn't silent. It fails once a hedge has taken the call's place.
type watchedReader struct {
	body io.Reader
	e    *exchange
}

// Read implements io.Reader.
func (r *watchedReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if n > 0 && !r.e.stall.received(r.e.now()) {
		return 0, errStalled
	}
	return n, err
}

// errorReader keeps the error of a reader, except for its end.
type errorReader struct {
	reader io.Reader
	err    error
}

// Read implements io.Reader.
func (r *errorReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}

// statusOutcome returns the outcome of an attempt that got a whole answer.
func statusOutcome(status int) dispatch.Outcome {
	if status >= http.StatusInternalServerError {
		return dispatch.Failed
	}
	return dispatch.Served
}

// handleBrokenAnswer handles an answer that broke off.
func (e *exchange) handleBrokenAnswer(now time.Time, err error) attempt.Action {
	switch {
	case ended(e.r.Context()):
		e.recordOutcome(now, e.unfinishedOutcome(now))
		return e.cancelled(now)
	case !now.Before(e.deadline):
		e.recordOutcome(now, dispatch.Failed)
		return e.machine.Timer(now)
	default:
		e.answerEnded(endOf(err))
		e.g.config.Metrics.answerFailed(err)
		e.reportBrokenAnswer()
		return e.failAttempt(now, dispatch.Lost, attempt.Outcome{Code: result.StreamBroken, Execution: result.Ran, Detail: e.stall.explain(err).Error()})
	}
}

// sendHead sends the head of the upstream's answer to the caller, unless a head has been sent.
func (e *exchange) sendHead(answer *service.Answer) {
	if e.headSent {
		return
	}
	e.headSent = true
	header := e.w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	if _, ok := answer.Header["Content-Type"]; !ok {
		header["Content-Type"] = nil // Keeps net/http from detecting one.
	}
	if _, ok := answer.Header["Date"]; !ok {
		header["Date"] = nil
	}
	e.w.WriteHeader(answer.Status)
}

// relayStream relays the events of a stream as they arrive. It sends only whole events, so that a
// broken stream can be resumed at another upstream.
func (e *exchange) relayStream(answer *service.Answer) attempt.Action {
	answer.Header.Del("Content-Length")
	events := e.events
	if events == nil {
		events = newEventReader(answer.Body)
	}
	flusher := http.NewResponseController(e.w)
	var delivered uint64
	for {
		piece, id, err := events.next()
		now := e.now()
		if len(piece) > 0 {
			if !e.stall.received(now) {
				return e.handleBrokenAnswer(now, errStalled)
			}
			e.stall.pause()
			if e.firstEventAt.IsZero() {
				e.firstEventAt = now
			}
			if delivered > 0 {
				e.longestGap = max(e.longestGap, now.Sub(e.lastEventAt))
			}
			e.observePause(now, delivered, piece)
			e.lastEventAt = now
			if delivered == 0 {
				e.attempts[len(e.attempts)-1].firstEvent = now.Sub(e.arrived)
				e.g.config.Fleet.RecordFirstEvent(now, e.placementID)
			}
			e.sendHead(answer)
			delivered++
			if _, writeErr := e.w.Write(piece); writeErr != nil || flusher.Flush() != nil {
				e.recordOutcome(now, dispatch.Abandoned)
				return e.machine.CallerGone(now)
			}
			if id != "" {
				e.lastEventID = id
			}
			e.stall.resume(e.now(), e.lastEventID)
			if action := e.machine.Delivered(now, e.attemptNumber(), delivered); action.Kind != attempt.None {
				// The deadline passed while events arrived.
				e.recordOutcome(now, dispatch.Abandoned)
				return action
			}
		}
		switch {
		case err == nil:
		case err == io.EOF:
			e.sendHead(answer)
			e.answerEnded(endWhole)
			e.g.config.Quarantine.RecordAnswer(e.quarantineRequest())
			e.limitConfirmed(now)
			e.recordOutcome(now, dispatch.Served)
			return e.machine.Ended(now, e.attemptNumber(), attempt.Outcome{Code: result.OK, Execution: result.Ran})
		default:
			return e.handleBrokenAnswer(now, err)
		}
	}
}

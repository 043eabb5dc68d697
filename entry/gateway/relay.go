package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"acaciacleat.example/core/attempt"
	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/result"
	"acaciacleat.example/peers/service"
)

// wholeBytes bounds an answer that is read whole before its head goes out. A longer one is
// relayed as it comes.
const wholeBytes = 256 << 10

// relayWhole reads an answer to its end before the caller gets its head, so that one that
// breaks off can still be had from another upstream or be told as a failure.
func (e *exchange) relayWhole(answer *service.Answer) attempt.Action {
	body, err := io.ReadAll(io.LimitReader(answer.Body, wholeBytes))
	now := e.now()
	if err != nil {
		return e.broken(now, err)
	}
	if action := e.machine.Head(now, e.attempt()); action.Kind != attempt.None {
		// The deadline passed with the last byte.
		e.end(now, dispatch.Abandoned)
		return action
	}
	e.sendHead(answer)
	_, writeErr := e.w.Write(body)
	if writeErr == nil && len(body) == wholeBytes {
		writeErr = e.copyRest(answer.Body)
	}
	now = e.now()
	if writeErr != nil {
		e.end(now, dispatch.Abandoned)
		return e.machine.CallerGone(now)
	}
	if answer.Status < http.StatusInternalServerError {
		e.g.config.Quarantine.Answered(e.fingerprint)
	}
	e.end(now, outcomeOf(answer.Status))
	return e.machine.Ended(now, e.attempt(), attempt.Outcome{Code: result.OK, Execution: result.Ran})
}

// copyRest relays what follows wholeBytes. A break can't be mended any more.
func (e *exchange) copyRest(body io.Reader) error {
	_, err := io.Copy(e.w, body)
	return err
}

func outcomeOf(status int) dispatch.Outcome {
	if status >= http.StatusInternalServerError {
		return dispatch.Failed
	}
	return dispatch.Served
}

// broken reports an answer that broke off.
func (e *exchange) broken(now time.Time, err error) attempt.Action {
	switch {
	case isGone(e.r.Context()):
		e.end(now, dispatch.Abandoned)
		return e.machine.CallerGone(now)
	case !now.Before(e.deadline):
		e.end(now, dispatch.Failed)
		return e.machine.Timer(now)
	default:
		e.suspected()
		return e.leave(now, dispatch.Lost, attempt.Outcome{Code: result.StreamBroken, Execution: result.Ran, Detail: e.watch.reason(err).Error()})
	}
}

// sendHead sends the head of the upstream's answer, once.
func (e *exchange) sendHead(answer *service.Answer) {
	if e.headed {
		return
	}
	e.headed = true
	header := e.w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	if _, ok := answer.Header["Content-Type"]; !ok {
		header["Content-Type"] = nil // Keeps net/http from guessing one.
	}
	if _, ok := answer.Header["Date"]; !ok {
		header["Date"] = nil
	}
	e.w.WriteHeader(answer.Status)
}

// relayStream hands a stream's events on as they come, each whole.
func (e *exchange) relayStream(answer *service.Answer) attempt.Action {
	answer.Header.Del("Content-Length")
	events := newEventReader(answer.Body)
	flusher := http.NewResponseController(e.w)
	var delivered uint64
	for {
		piece, id, err := events.next()
		now := e.now()
		if len(piece) > 0 {
			e.watch.heard(now)
			if e.first.IsZero() {
				e.first = now
			}
			if delivered > 0 {
				e.pause = max(e.pause, now.Sub(e.lastAt))
			}
			e.lastAt = now
			if delivered == 0 {
				e.tries[len(e.tries)-1].first = now.Sub(e.arrived)
				e.g.config.Fleet.RecordFirstEvent(now, e.work)
			}
			e.sendHead(answer)
			delivered++
			if _, writeErr := e.w.Write(piece); writeErr != nil || flusher.Flush() != nil {
				e.end(now, dispatch.Abandoned)
				return e.machine.CallerGone(now)
			}
			if id != "" {
				e.lastEvent = id
			}
			if action := e.machine.Delivered(now, e.attempt(), delivered); action.Kind != attempt.None {
				// The deadline passed while events came.
				e.end(now, dispatch.Abandoned)
				return action
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			e.sendHead(answer)
			e.g.config.Quarantine.Answered(e.fingerprint)
			e.end(now, dispatch.Served)
			return e.machine.Ended(now, e.attempt(), attempt.Outcome{Code: result.OK, Execution: result.Ran})
		default:
			return e.broken(now, err)
		}
	}
}

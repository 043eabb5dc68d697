package gateway

import (
	"errors"

	"acaciacleat.example/peers/framing"
	"acaciacleat.example/peers/service"
)

// answerEnd is how an upstream's answer ended.
type answerEnd string

// The values of answerEnd.
const (
	endWhole answerEnd = "whole"
	// endTruncated is an orderly end of the body before that of the event stream in it.
	endTruncated answerEnd = "truncated"
	// endError is a body whose rest could not be read.
	endError answerEnd = "error"
)

// endOf returns how an answer has ended whose body returned err.
func endOf(err error) answerEnd {
	if errors.Is(err, service.ErrTruncated) {
		return endTruncated
	}
	return endError
}

// answerEnded records the end of the current attempt's answer for the log and the metrics.
func (e *exchange) answerEnded(end answerEnd) {
	last := &e.attempts[len(e.attempts)-1]
	last.end = end
	e.g.config.Metrics.answerEnded(last.framing, end)
}

// answerFailed counts an answer that could not be read if that is because it isn't well-formed.
func (m *Metrics) answerFailed(err error) {
	if errors.Is(err, framing.ErrMalformed) {
		m.malformedAnswers.Inc()
	}
}

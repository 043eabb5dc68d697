package gateway

// answerEnd is how an upstream's answer ended.
type answerEnd string

// The values of answerEnd.
const (
	endWhole answerEnd = "whole"
	// endInsideEvent is an orderly end of the body in the midst of an event.
	endInsideEvent answerEnd = "inside_event"
	// endError is a body whose rest could not be read.
	endError answerEnd = "error"
)

// answerEnded records the end of the current attempt's answer for the log and the metrics.
func (e *exchange) answerEnded(end answerEnd) {
	last := &e.attempts[len(e.attempts)-1]
	last.end = end
	e.g.config.Metrics.answerEnded(last.framing, end)
}

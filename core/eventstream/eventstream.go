// Package eventstream finds the ends of events in a stream of server-sent events (text/event-stream).
package eventstream

// ContentType is the media type of event streams.
const ContentType = "text/event-stream"

// Position is a position in an event stream. The zero value is the start of a stream.
type Position struct {
	// insideLine reports whether the current line has begun.
	insideLine bool
	// afterCR reports whether the last byte was a carriage return. A line feed that follows it ends the same line.
	afterCR bool
	// blank reports whether the last line was blank.
	blank bool
	// fields reports whether the current event has a line that is no comment.
	fields bool
	begun  bool
}

// Advance moves the position past p. It returns the number of bytes of p up to the last blank line in it, zero if
// there is none, and the number of events that end in p.
func (s *Position) Advance(p []byte) (end, events int) {
	for i, c := range p {
		switch {
		case c == '\n' && s.afterCR:
			s.afterCR = false
			if s.blank {
				end = i + 1
			}
		case c == '\n', c == '\r':
			s.afterCR = c == '\r'
			s.blank = !s.insideLine
			if s.blank {
				end = i + 1
				if s.fields {
					events++
				}
				s.fields = false
			}
			s.insideLine = false
		default:
			s.afterCR = false
			if !s.insideLine {
				s.insideLine = true
				s.fields = s.fields || c != ':'
			}
		}
	}
	s.begun = s.begun || events > 0
	return end, events
}

// InsideEvent reports whether an event or a comment has begun and not ended. A stream that ends there has been
// broken off.
func (s *Position) InsideEvent() bool { return s.fields || s.insideLine }

// HasEvents reports whether an event has ended before the position.
func (s *Position) HasEvents() bool { return s.begun }

package gateway

import (
	"bytes"
	"io"

	"acaciacleat.example/core/eventstream"
	"github.com/pkg/errors"
)

// maxEventBytes bounds what a stream may hold from one event's end to the next.
const maxEventBytes = 256 << 10

// errNoEvent is the error of a stream in which no event has ended for maxEventBytes.
var errNoEvent = errors.Errorf("no event has ended in %d bytes of the stream", maxEventBytes)

// eventReader splits an event stream into whole events, so that a stream that breaks off within
// an event can be resumed after the last whole one.
type eventReader struct {
	body     io.Reader
	position eventstream.Position
	buffer   []byte
	// end is the number of bytes of buffer up to the end of the last whole event.
	end int
	// sinceEvent is the number of bytes since the end of the last event.
	sinceEvent int
	err        error
	chunk      [8 << 10]byte
	// ahead is what next returns first; set by peek.
	ahead *readAhead
}

// readAhead is a result of next.
type readAhead struct {
	piece []byte
	id    string
	err   error
}

func newEventReader(body io.Reader) *eventReader { return &eventReader{body: body} }

// next returns the next bytes that end with a whole event, and the id of the last event in
// them; behind the first event they may also end with a comment. At the end of the stream it returns the
// remaining bytes, such as comments, with io.EOF. An incomplete event before any other error is dropped.
func (r *eventReader) next() (piece []byte, id string, err error) {
	if ahead := r.ahead; ahead != nil {
		r.ahead = nil
		return ahead.piece, ahead.id, ahead.err
	}
	for {
		if r.end > 0 {
			piece, r.buffer, r.end = r.buffer[:r.end], r.buffer[r.end:], 0
			return piece, lastID(piece), nil
		}
		if r.err == io.EOF {
			piece, r.buffer = r.buffer, nil
			return piece, "", io.EOF
		}
		if r.err != nil {
			return nil, "", r.err
		}
		n, err := r.body.Read(r.chunk[:])
		end, events := r.position.Advance(r.chunk[:n])
		if end > 0 && r.position.HasEvents() {
			r.end = len(r.buffer) + end
		}
		r.buffer = append(r.buffer[:len(r.buffer):len(r.buffer)], r.chunk[:n]...)
		r.err = err
		r.sinceEvent += n
		if events > 0 {
			r.sinceEvent = n - end
		}
		if r.sinceEvent > maxEventBytes {
			r.end, r.err = 0, errNoEvent
		}
	}
}

// peek waits for what next then returns. It returns an error if the stream is broken off before.
func (r *eventReader) peek() error {
	piece, id, err := r.next()
	r.ahead = &readAhead{piece, id, err}
	if err == io.EOF {
		return nil
	}
	return err
}

// lastID returns the value of the last id field in events, or "".
func lastID(events []byte) string {
	id := ""
	for line := range bytes.Lines(events) {
		name, value, ok := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if ok && string(name) == "id" {
			id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
	return id
}

// countEvents returns the number of whole events in a piece.
func countEvents(piece []byte) int {
	var start eventstream.Position
	_, n := start.Advance(piece)
	return n
}

package gateway

import (
	"bytes"
	"io"
)

// eventReader cuts an event stream into whole events, so that a stream that breaks off in
// the middle of one can be continued behind the last whole one.
type eventReader struct {
	body io.Reader
	held []byte
	// seen counts the bytes of held in which no event ends.
	seen int
	err  error
	page [8 << 10]byte
}

func newEventReader(body io.Reader) *eventReader { return &eventReader{body: body} }

// next returns the next bytes that end with a whole event, and the id of the last event in
// them. At the end of the stream it returns what is left with io.EOF. What was held of an
// event that broke off is not returned.
func (r *eventReader) next() (piece []byte, id string, err error) {
	for {
		if end := r.lastEnd(); end > 0 {
			piece = r.held[:end]
			r.held = r.held[end:]
			r.seen = 0
			return piece, lastID(piece), nil
		}
		if r.err == io.EOF {
			piece, r.held = r.held, nil
			return piece, "", io.EOF
		}
		if r.err != nil {
			return nil, "", r.err
		}
		n, err := r.body.Read(r.page[:])
		r.held = append(r.held[:len(r.held):len(r.held)], r.page[:n]...)
		r.err = err
	}
}

// lastEnd returns the length of the held bytes up to the end of the last whole event.
func (r *eventReader) lastEnd() int {
	from := max(r.seen-3, 0)
	r.seen = len(r.held)
	tail := r.held[from:]
	end := 0
	for _, mark := range eventEnds {
		if i := bytes.LastIndex(tail, mark); i >= 0 {
			end = max(end, from+i+len(mark))
		}
	}
	return end
}

// eventEnds are the empty lines that end an event.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}

// lastID returns the value of the last line that gives an event's id, or "".
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

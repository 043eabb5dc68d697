package gateway

import (
	"bytes"
	"io"
)

// eventReader splits an event stream into whole events, so that a stream that breaks off within
// an event can be resumed after the last whole one.
type eventReader struct {
	body   io.Reader
	buffer []byte
	// scanned is the number of bytes of buffer that are known to contain no end of an event.
	scanned int
	err     error
	chunk   [8 << 10]byte
}

func newEventReader(body io.Reader) *eventReader { return &eventReader{body: body} }

// next returns the next bytes that end with a whole event, and the id of the last event in
// them. At the end of the stream it returns the remaining bytes with io.EOF. An incomplete
// event before any other error is dropped.
func (r *eventReader) next() (piece []byte, id string, err error) {
	for {
		if end := r.lastEnd(); end > 0 {
			piece = r.buffer[:end]
			r.buffer = r.buffer[end:]
			r.scanned = 0
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
		r.buffer = append(r.buffer[:len(r.buffer):len(r.buffer)], r.chunk[:n]...)
		r.err = err
	}
}

// lastEnd returns the length of buffer up to the end of the last whole event, or 0 if there is none.
func (r *eventReader) lastEnd() int {
	// The end of an event has at most four bytes, three of which may have been scanned already.
	from := max(r.scanned-3, 0)
	r.scanned = len(r.buffer)
	tail := r.buffer[from:]
	end := 0
	for _, mark := range eventEnds {
		if i := bytes.LastIndex(tail, mark); i >= 0 {
			end = max(end, from+i+len(mark))
		}
	}
	return end
}

// eventEnds are the blank lines that end an event.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}

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
	n := 0
	for _, mark := range eventEnds {
		n += bytes.Count(piece, mark)
	}
	return n
}

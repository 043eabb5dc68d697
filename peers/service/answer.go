package service

import (
	"context"
	"io"
	"mime"
	"net"
	"net/http"
	"strings"

	"acaciacleat.example/core/eventstream"
	"acaciacleat.example/peers/framing"
)

// kindError is an error that wraps a kind, such as ErrOutcomeUnknown, and its cause.
type kindError struct {
	kind  error
	cause error
}

// Error implements error.
func (e *kindError) Error() string { return e.kind.Error() + ": " + e.cause.Error() }

// Unwrap lets errors.Is and errors.As find the kind and the cause.
func (e *kindError) Unwrap() []error { return []error{e.kind, e.cause} }

func newFailure(kind, cause error) error { return &kindError{kind: kind, cause: cause} }

// answerBody returns ErrOutcomeUnknown when an answer breaks off, so that no reader takes a part of
// the answer for the whole.
type answerBody struct {
	io.ReadCloser
	answer *Answer
	// position is that in the event stream, if the answer is one.
	position eventstream.Position
	// used is the connection over which the answer arrives.
	used   net.Conn
	ctx    context.Context
	cancel context.CancelFunc
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.answer.Events {
		b.position.Advance(p[:n])
	}
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF && !b.truncated():
		return n, io.EOF
	case err == io.EOF:
		err = ErrTruncated
	}
	if cause := b.ctx.Err(); cause != nil {
		err = cause
	}
	return n, newFailure(ErrOutcomeUnknown, framing.Explain(b.used, err))
}

// truncated reports whether the body, which has ended, lacks the end of its event stream.
func (b *answerBody) truncated() bool {
	return b.answer.Events && (b.position.InsideEvent() || b.answer.Framing == framing.Close && !b.position.HasEvents())
}

// Close implements io.Closer. It ends a call whose answer was not read to its end.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// isEventStream reports whether the response to a call is an event stream.
func isEventStream(response *http.Response, call Call) bool {
	kind := response.Header.Get("Content-Type")
	if kind == "" {
		return call.EventStream && response.StatusCode == http.StatusOK
	}
	media, _, _ := mime.ParseMediaType(kind)
	return media == eventstream.ContentType
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHopHeaders removes the headers that apply to a single connection, including those
// that the Connection header names.
func RemoveHopByHopHeaders(header http.Header) {
	for _, line := range header["Connection"] {
		for _, name := range strings.Split(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

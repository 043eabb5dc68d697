package service

import (
	"context"
	"io"
	"net/http"
	"strings"
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
	ctx    context.Context
	cancel context.CancelFunc
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || err == io.EOF {
		return n, err
	}
	if cause := b.ctx.Err(); cause != nil {
		err = cause
	}
	return n, newFailure(ErrOutcomeUnknown, err)
}

// Close implements io.Closer. It ends a call whose answer was not read to its end.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

func framingOf(response *http.Response) Framing {
	switch {
	case len(response.TransferEncoding) > 0:
		return FramedByChunks
	case response.ContentLength >= 0, response.Body == http.NoBody:
		return FramedByLength
	default:
		return FramedByClose
	}
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

package service

import (
	"context"
	"io"
	"net/http"
	"strings"
)

// joined is a failure that matches its kind and its cause.
type joined struct {
	kind  error
	cause error
}

// Error implements error.
func (j *joined) Error() string { return j.kind.Error() + ": " + j.cause.Error() }

// Unwrap lets errors.Is and errors.As find the kind and the cause.
func (j *joined) Unwrap() []error { return []error{j.kind, j.cause} }

func failure(kind, cause error) error { return &joined{kind: kind, cause: cause} }

// answerBody tells a broken answer from a whole one: a reader that took the break for the
// end would pass on half an answer as the whole.
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
	return n, failure(ErrOutcome, err)
}

// Close implements io.Closer and ends a call whose answer was not read to its end.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopHeaders takes out what concerns one connection only.
func RemoveHopHeaders(header http.Header) {
	for _, line := range header["Connection"] {
		for _, name := range strings.Split(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

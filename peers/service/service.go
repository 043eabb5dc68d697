// Package service is the system's view of a plain service. Only the agent beside it
// talks to it. The client never sends a call twice by itself.
package service

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Failures of a Service.
var (
	// ErrNotSent means that it is proved that no byte of the call reached the service.
	ErrNotSent = errors.New("service: call not sent")
	// ErrOutcome means that the call was sent and no whole answer came: it may have run.
	ErrOutcome = errors.New("service: outcome unknown")
)

// Call is one call of a plain service.
type Call struct {
	Method string
	// Path is the path below the service with its query, starting with '/'.
	Path   string
	Header http.Header
	Body   []byte
	// TimeLeft is how long the answer may take.
	TimeLeft time.Duration
}

// Answer is the service's answer; the reader of Body closes it.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Service is one plain service. Implementations are safe for concurrent use.
type Service interface {
	Do(ctx context.Context, call Call) (*Answer, error)
	// Healthy reports whether the service answers its health check.
	Healthy(ctx context.Context) error
}

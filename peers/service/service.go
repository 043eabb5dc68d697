// Package service is the system's view of an upstream that answers HTTP requests as they
// come. The agent beside a plain service talks to it, and entries to upstreams without an
// agent. The client never sends a call twice by itself.
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
	Path string
	// Host is the name that the service is asked for; empty means its address.
	Host   string
	Header http.Header
	Body   []byte
	// Reuse says whether the call may use a kept connection.
	Reuse Reuse
	// TimeLeft is how long the answer may take.
	TimeLeft time.Duration
}

// Reuse says whether a call may use a connection that has served another.
type Reuse uint8

// The ways of reuse.
const (
	// ReuseByMethod lets GET and HEAD use kept connections.
	ReuseByMethod Reuse = iota
	// ReuseAlways is for calls that may be repeated whatever their method.
	ReuseAlways
	// ReuseNever is for calls that may not be repeated whatever their method.
	ReuseNever
)

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

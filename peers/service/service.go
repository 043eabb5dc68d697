// Package service defines the interface of a plain service, an upstream that answers HTTP
// requests, and implements a client over HTTP. The agent beside a plain service uses it, and
// entries use it for upstreams without an agent. The client resends no call that may not be
// repeated; see HTTP.
package service

import (
	"context"
	"io"
	"net/http"
	"time"

	"acaciacleat.example/peers/framing"
	"github.com/pkg/errors"
)

// Failures of a Service.
var (
	// ErrNotSent means that certainly no byte of the call reached the service.
	ErrNotSent = errors.New("service: call not sent")
	// ErrOutcomeUnknown means that the call may have been sent but no complete answer arrived: it
	// may have run.
	ErrOutcomeUnknown = errors.New("service: outcome unknown")
	// ErrTruncated means that the body of an event stream came to an orderly end before the stream did: inside an
	// event, or with the connection before any event. It comes together with ErrOutcomeUnknown.
	ErrTruncated = errors.New("service: event stream truncated")
)

// Call is one call of a plain service.
type Call struct {
	Method string
	// Path is the path on the service, beginning with '/', and the query.
	Path string
	// Host is the Host header; if empty, the service's address is used.
	Host string
	// Header is changed by the call and belongs to it.
	Header http.Header
	Body   []byte
	// Reuse selects whether the call may use a pooled connection.
	Reuse Reuse
	// TimeLeft is the time to the deadline of the answer.
	TimeLeft time.Duration
	// EventStream reports whether an answer without a content type is an event stream.
	EventStream bool
}

// Reuse selects whether a call may use a connection that has served another call.
type Reuse uint8

// The values of Reuse.
const (
	// ReuseByMethod lets GET and HEAD use pooled connections.
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
	// Body returns io.EOF only at the end of a complete answer.
	Body    io.ReadCloser
	Framing framing.Framing
	// Events reports whether the body is an event stream.
	Events bool
}

// Service is one plain service. Implementations are safe for concurrent use.
type Service interface {
	Do(ctx context.Context, call Call) (*Answer, error)
	// Healthy reports whether the service answers its health check.
	Healthy(ctx context.Context) error
}

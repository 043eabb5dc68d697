// Package engine defines the interface of a model engine and implements a client over HTTP.
// Only the agent on the engine's VM calls it.
package engine

import (
	"context"
	"time"

	"acaciacleat.example/core/call"
	"github.com/pkg/errors"
)

// Failures of an Engine.
var (
	// ErrNotStarted means that the engine certainly did not accept the request.
	ErrNotStarted = errors.New("engine: request not taken")
	// ErrBroken means that the engine accepted the request, or may have, and the request
	// failed.
	ErrBroken = errors.New("engine: stream broken")
	// ErrRejected means that the engine rejected the request as invalid.
	ErrRejected = errors.New("engine: request rejected")
	// ErrFenced means that an order had an outdated fencing number.
	ErrFenced = errors.New("engine: fencing number too old")
	// ErrOutOfMemory means that the engine's KV cache is full.
	ErrOutOfMemory = errors.New("engine: out of memory")
)

// Generate is a request to an engine.
type Generate struct {
	ID call.ID
	// Body is the caller's JSON object in OpenAI's format: a chat completion if Chat is set,
	// a completion otherwise.
	Body []byte
	Chat bool
	// Delivered is the text of the answer that the caller has already received; generation
	// continues after it. DeliveredTokens is its length in tokens.
	Delivered       string
	DeliveredTokens int
	// Priority orders the requests inside the engine, lower numbers first.
	Priority int
	// TimeLeft is the time to the deadline, after which the engine stops by itself.
	TimeLeft time.Duration
	// Group lists the base URLs of further engines on which memory is reserved under ID,
	// at least an equal share on each. The request fails with ErrBroken if one of these
	// reservations ends before the answer does, so their TTL must cover TimeLeft.
	Group []string
	// TraceParent is the W3C trace context to send to the engine.
	TraceParent string
}

// Usage holds the token counts of a whole answer. CompletionTokens includes the tokens that
// were delivered before a continuation.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Delta is the next part of a streamed answer.
type Delta struct {
	Text   string
	Tokens int
}

// Final describes a completed answer.
type Final struct {
	// FinishReason is "stop" or "length".
	FinishReason string
	Usage        Usage
}

// Stream is an answer in progress. One goroutine uses it; any goroutine may call Close.
type Stream interface {
	// Next returns the next delta; ok is false at the end of the answer and on an error.
	Next() (delta Delta, ok bool, err error)
	// Final is valid after Next has returned ok == false and no error.
	Final() Final
	// Close ends the stream and cancels the generation if it has not completed.
	Close() error
}

// Report is the state that an engine reports, which lags behind the actual state.
type Report struct {
	Model          string   `json:"model"`
	Version        string   `json:"version"`
	Adapters       []string `json:"adapters"`
	Role           string   `json:"role"`
	CapacityTokens int64    `json:"capacity_tokens"`
	UsedTokens     int64    `json:"used_tokens"`
	CachedTokens   int64    `json:"cached_tokens"`
	// Allocations lists the owners of memory: running requests and group reservations.
	Allocations []Allocation `json:"held"`
	// Fence is the highest fencing number seen; 0 if the engine ignores fencing numbers.
	Fence uint64 `json:"fence"`
	// AgeMs is the age of the report in milliseconds, as known to the engine.
	AgeMs int64 `json:"age_ms"`
}

// Allocation is the memory that one request or reservation holds.
type Allocation struct {
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
	// Reserved is true for a group reservation and false for a running request.
	Reserved bool `json:"reserved"`
}

// CacheEvent reports that a prefix block was added to or evicted from the engine's cache.
// Events are delayed; a gap in Seq means that events were lost and the cache must be read
// again.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Block   uint64 `json:"block"`
	Evicted bool   `json:"evicted"`
}

// OrderKind is the kind of change that an order requests.
type OrderKind string

// The kinds of order.
const (
	OrderLoadModel   OrderKind = "load-model"
	OrderLoadAdapter OrderKind = "load-adapter"
	OrderRole        OrderKind = "role"
)

// Order asks an engine to change what it serves.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Name    string    `json:"name"`
	Version string    `json:"version,omitempty"`
	// Fence is the fencing number of the lease under which the order was issued.
	Fence uint64 `json:"fence"`
}

// Engine is one model engine. Implementations are safe for concurrent use.
type Engine interface {
	// Generate starts a request. An error wraps ErrNotStarted only if the engine certainly
	// did not accept the request.
	Generate(ctx context.Context, request Generate) (Stream, error)
	// Cancel ends the request or reservation with this id and frees its memory. It is
	// idempotent.
	Cancel(ctx context.Context, id call.ID) error
	// Reserve reserves memory for a group request until ttl passes or Cancel is called. A
	// call with the same id renews the reservation. A Generate with this id on the same
	// engine takes over the memory.
	Reserve(ctx context.Context, id call.ID, tokens int64, ttl time.Duration) error
	Report(ctx context.Context) (Report, error)
	// CacheEvents returns the events with a Seq greater than after, oldest first.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	Order(ctx context.Context, order Order) error
	// ExportKV and ImportKV copy the KV cache of a prompt prefix between engines.
	ExportKV(ctx context.Context, block uint64) ([]byte, error)
	ImportKV(ctx context.Context, data []byte) error
}

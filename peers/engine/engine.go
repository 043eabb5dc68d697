// Package engine is the system's view of a model engine. Only the agent beside an
// engine talks to it.
package engine

import (
	"context"
	"time"

	"acaciacleat.example/core/call"
	"github.com/pkg/errors"
)

// Failures of an Engine.
var (
	// ErrNotStarted means that it is proved that the engine did not take the request.
	ErrNotStarted = errors.New("engine: request not taken")
	// ErrBroken means that the engine took the request, or may have, and failed.
	ErrBroken = errors.New("engine: stream broken")
	// ErrRejected means that the engine refused the request as invalid.
	ErrRejected = errors.New("engine: request rejected")
	// ErrFenced means that an order carried an old fencing number.
	ErrFenced = errors.New("engine: fencing number too old")
	// ErrMemory means that the engine's KV cache has no room.
	ErrMemory = errors.New("engine: out of memory")
)

// Generate is a request to an engine.
type Generate struct {
	ID call.ID
	// Body is the caller's JSON object in the OpenAI shape; Chat tells which one.
	Body []byte
	Chat bool
	// Delivered is the answer's text that the caller already has; generation goes on
	// after it. DeliveredTokens is its length in tokens.
	Delivered       string
	DeliveredTokens int
	// Priority orders work inside the engine: lower first.
	Priority int
	// TimeLeft is how long the answer may take; the engine stops by itself after it.
	TimeLeft time.Duration
	// Group lists the base URLs of further engines whose memory was reserved under ID,
	// each at least its equal share. The request fails with ErrBroken when one of these
	// reservations ends before the answer does, so their ttl must cover TimeLeft.
	Group []string
	// TraceParent is the W3C trace context to pass on.
	TraceParent string
}

// Usage counts tokens of the whole answer. After a continuation CompletionTokens includes
// the tokens that were delivered before it.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Delta is one step of an answer.
type Delta struct {
	Text   string
	Tokens int
}

// Final ends an answer.
type Final struct {
	// FinishReason is "stop" or "length".
	FinishReason string
	Usage        Usage
}

// Stream is an answer under way. It is used by one goroutine; Close may be called by any.
type Stream interface {
	// Next returns the next delta; ok is false at the regular end.
	Next() (delta Delta, ok bool, err error)
	// Final is valid after Next returned ok == false and no error.
	Final() Final
	// Close ends the stream and cancels the engine's work if it is not over.
	Close() error
}

// Report is an engine's own report, which lags behind its true state.
type Report struct {
	Model          string   `json:"model"`
	Version        string   `json:"version"`
	Adapters       []string `json:"adapters"`
	Role           string   `json:"role"`
	CapacityTokens int64    `json:"capacity_tokens"`
	UsedTokens     int64    `json:"used_tokens"`
	CachedTokens   int64    `json:"cached_tokens"`
	// Held lists what holds memory: running requests and group reservations.
	Held []Held `json:"held"`
	// Fence is the highest fencing number seen; 0 when the engine ignores numbers.
	Fence uint64 `json:"fence"`
	// Age is how old the report is, as far as the engine knows.
	AgeMs int64 `json:"age_ms"`
}

// Held is one holder of memory.
type Held struct {
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
	// Reserved is set for a group reservation and clear for a running request.
	Reserved bool `json:"reserved"`
}

// CacheEvent tells that a prefix block came into or left the engine's cache. Events come
// late; a gap in Seq means that some were lost and the cache must be read anew.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Block   uint64 `json:"block"`
	Evicted bool   `json:"evicted"`
}

// OrderKind is what an order asks for.
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
	// Fence is the fencing number of the lease under which the order was given.
	Fence uint64 `json:"fence"`
}

// Engine is one model engine. Implementations are safe for concurrent use.
type Engine interface {
	// Generate starts a request. An error wraps ErrNotStarted only where that is proved.
	Generate(ctx context.Context, request Generate) (Stream, error)
	// Cancel ends the request or reservation with this id and frees its memory; idempotent.
	Cancel(ctx context.Context, id call.ID) error
	// Reserve holds memory for a group request until ttl passes or Cancel; the same id
	// again renews it. A Generate of this id on the same engine takes the memory over.
	Reserve(ctx context.Context, id call.ID, tokens int64, ttl time.Duration) error
	Report(ctx context.Context) (Report, error)
	// CacheEvents returns the events after seq, oldest first.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	Order(ctx context.Context, order Order) error
	// ExportKV and ImportKV move the KV cache of a prompt prefix between engines.
	ExportKV(ctx context.Context, block uint64) ([]byte, error)
	ImportKV(ctx context.Context, data []byte) error
}

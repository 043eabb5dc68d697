// Package document holds the service documents that operators edit: their schema,
// validation, and the compiled snapshot that a request reads.
package document

import (
	"crypto/sha256"
	"encoding/hex"
)

// Kind is the type of upstream that serves a service.
type Kind string

// The kinds of service.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Objective is the metric that routing and scheduling optimise.
type Objective string

// The objectives.
const (
	// ShortSlowdown minimises the slowdown of short requests by long ones.
	ShortSlowdown Objective = "short-slowdown"
	// TimeToFirstToken minimises the time to first token of requests of all lengths.
	TimeToFirstToken Objective = "time-to-first-token"
)

// Service is the document of one service. Without Organisations it is the service's header;
// agents hold only headers. Split and Assemble convert between the two.
type Service struct {
	// Name is the service's name in paths and rows: 1 to 63 of a-z, 0-9 and '-'.
	Name string `json:"name" validate:"servicename"`
	// Kind is "model" for engines and "plain" for plain services.
	Kind Kind `json:"kind" validate:"oneof=model plain"`
	// Objective is "short-slowdown" or "time-to-first-token"; model services only.
	Objective Objective `json:"objective,omitempty" validate:"omitempty,oneof=short-slowdown time-to-first-token"`
	// Models are the models served; model services only.
	Models []Model `json:"models,omitempty" validate:"max=1000,dive"`
	// NonRepeatable lists the calls that must run at most once.
	NonRepeatable []CallPattern `json:"nonRepeatable,omitempty" validate:"max=1000,dive"`
	// Deadlines bounds the time of requests, by length class; a plain service uses the class
	// "short".
	Deadlines []Deadline `json:"deadlines,omitempty" validate:"dive"`
	// UpstreamsCheckFencing is set if the upstreams refuse placement orders with an outdated fencing token.
	UpstreamsCheckFencing bool `json:"upstreamsCheckFencing"`
	// RetryRatio is the number of retries allowed per first attempt, above 0 and up to
	// 0.1. Zero and absent both mean DefaultRetryRatio.
	RetryRatio float64 `json:"retryRatio,omitempty" validate:"gte=0,lte=0.1"`
	// Organisations lists the organisations that may call the service. Each is stored as a
	// row of its own.
	Organisations []Organisation `json:"organisations" validate:"dive"`
}

// Model is one model of a model service.
type Model struct {
	// Name is the value that callers send in the field "model".
	Name string `json:"name" validate:"label"`
	// Version is the version that replicas should serve.
	Version string `json:"version" validate:"label"`
	// Canary is the version under canary testing; empty if there is none.
	Canary string `json:"canary,omitempty" validate:"omitempty,label"`
	// CanaryShare is the share of replicas on the canary version, 0 to 0.5.
	CanaryShare float64 `json:"canaryShare,omitempty" validate:"gte=0,lte=0.5"`
	// Adapters are the adapters to load with the model.
	Adapters []string `json:"adapters,omitempty" validate:"max=1000,dive,label"`
	// Replicas is the number of engines that should serve the model.
	Replicas int `json:"replicas" validate:"gte=0,lte=100000"`
	// ContextTokens is the largest sum of prompt and generated tokens.
	ContextTokens int `json:"contextTokens" validate:"gte=1,lte=10000000"`
	// EngineTokens is the KV cache memory of one engine, in tokens.
	EngineTokens int `json:"engineTokens" validate:"gte=1,lte=1000000000"`
}

// CallPattern matches calls of a plain service by method and path.
type CallPattern struct {
	// Method is an HTTP method in capitals, or "*".
	Method string `json:"method" validate:"oneof=* GET HEAD POST PUT PATCH DELETE OPTIONS"`
	// Path is the path below the service. A segment "*" matches one segment, and a last
	// segment "**" matches all remaining segments, if any.
	Path string `json:"path" validate:"callpath"`
}

// Deadline bounds the time of requests of one length class, in milliseconds.
type Deadline struct {
	// Class is short, medium, long or huge.
	Class string `json:"class" validate:"oneof=short medium long huge"`
	// DefaultMs applies if the caller sets no deadline.
	DefaultMs int `json:"defaultMs" validate:"gte=1,lte=86400000"`
	// MaxMs is the longest deadline that a caller may set.
	MaxMs int `json:"maxMs" validate:"gte=1,lte=86400000"`
}

// Organisation is one organisation that may call a service.
type Organisation struct {
	// Name identifies the organisation across all services.
	Name string `json:"name" validate:"label"`
	// KeyHashes are the SHA-256 hashes of its bearer keys, 64 hexadecimal digits each.
	KeyHashes []string `json:"keyHashes" validate:"min=1,max=100,dive,keyhash"`
	// Limits bounds the organisation's usage across the whole fleet.
	Limits Limits `json:"limits"`
}

// Limits are fleet-wide bounds; zero means no bound.
type Limits struct {
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty" validate:"gte=0"`
	TokensPerSecond   float64 `json:"tokensPerSecond,omitempty" validate:"gte=0"`
	Concurrency       int     `json:"concurrency,omitempty" validate:"gte=0"`
}

// KeyHash is the SHA-256 hash of a bearer key. Keys are never stored in plain text.
type KeyHash [sha256.Size]byte

// HashKey hashes a bearer key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// String returns the hash in the format of documents.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

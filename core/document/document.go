// Package document holds the service documents that operators edit: their schema,
// validation, and the compiled snapshot that a request reads.
package document

import (
	"crypto/sha256"
	"encoding/hex"
)

// Kind says what stands behind a service.
type Kind string

// The kinds of service.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Objective chooses what routing and scheduling weigh most.
type Objective string

// The objectives.
const (
	// ShortSlowdown weighs how little long requests slow short ones.
	ShortSlowdown Objective = "short-slowdown"
	// TimeToFirstToken weighs time to first token over all lengths.
	TimeToFirstToken Objective = "time-to-first-token"
)

// Service is the document of one service.
type Service struct {
	// Name is the service's name in paths and rows: 1 to 63 of a-z, 0-9 and '-'.
	Name string `json:"name"`
	// Kind is "model" for engines and "plain" for plain services.
	Kind Kind `json:"kind"`
	// Objective is "short-slowdown" or "time-to-first-token"; model services only.
	Objective Objective `json:"objective,omitempty"`
	// Models are the models served; model services only.
	Models []Model `json:"models,omitempty"`
	// NonRepeatable lists the calls that must run at most once.
	NonRepeatable []CallPattern `json:"nonRepeatable,omitempty"`
	// Deadlines bounds the time that requests may take, by length class; a plain
	// service uses the class "short".
	Deadlines []Deadline `json:"deadlines,omitempty"`
	// UpstreamsCheckFencing says whether the upstreams refuse orders with an old fencing number.
	UpstreamsCheckFencing bool `json:"upstreamsCheckFencing"`
	// RetryRatio is the number of retries allowed per first attempt, 0 to 0.1. Default 0.1.
	RetryRatio float64 `json:"retryRatio,omitempty"`
	// Organisations lists who may call the service. Each is stored as a row of its own.
	Organisations []Organisation `json:"organisations"`
}

// Model is one model of a model service.
type Model struct {
	// Name is what callers send in "model".
	Name string `json:"name"`
	// Version is the version that replicas should serve.
	Version string `json:"version"`
	// Canary is a second version under trial; empty when there is none.
	Canary string `json:"canary,omitempty"`
	// CanaryShare is the share of replicas on the canary version, 0 to 0.5.
	CanaryShare float64 `json:"canaryShare,omitempty"`
	// Adapters are the adapters to load beside the model.
	Adapters []string `json:"adapters,omitempty"`
	// Replicas is the number of engines that should serve the model.
	Replicas int `json:"replicas"`
	// ContextTokens is the largest sum of prompt and generated tokens.
	ContextTokens int `json:"contextTokens"`
	// EngineTokens is the KV cache memory of one engine, in tokens.
	EngineTokens int `json:"engineTokens"`
}

// CallPattern matches calls of a plain service by method and path.
type CallPattern struct {
	// Method is an HTTP method in capitals, or "*".
	Method string `json:"method"`
	// Path is the path below the service; a segment "*" matches one segment and a
	// last segment "**" the rest.
	Path string `json:"path"`
}

// Deadline bounds the time of requests of one length class, in milliseconds.
type Deadline struct {
	// Class is short, medium, long or huge.
	Class string `json:"class"`
	// DefaultMs applies when the caller asks for no time.
	DefaultMs int `json:"defaultMs"`
	// MaxMs is the most that a caller may ask for.
	MaxMs int `json:"maxMs"`
}

// Organisation is one organisation that may call a service.
type Organisation struct {
	// Name identifies the organisation over all services.
	Name string `json:"name"`
	// KeyHashes are the SHA-256 hashes of its bearer keys, 64 hexadecimal digits each.
	KeyHashes []string `json:"keyHashes"`
	// Limits bounds what the organisation may use, over the whole fleet.
	Limits Limits `json:"limits"`
}

// Limits are fleet-wide bounds; zero means no bound.
type Limits struct {
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	TokensPerSecond   float64 `json:"tokensPerSecond,omitempty"`
	Concurrency       int     `json:"concurrency,omitempty"`
}

// KeyHash is the SHA-256 hash of a bearer key. Keys are never stored in clear.
type KeyHash [sha256.Size]byte

// HashKey hashes a bearer key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// String returns the hash as documents spell it.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// Package weights is the system's view of the platform's rate-limited weight store.
package weights

import (
	"context"

	"github.com/pkg/errors"
)

// Failures of a Store.
var (
	ErrUnavailable = errors.New("weights: store unavailable")
	// ErrRateLimited means that the store's rate is spent; ask again later.
	ErrRateLimited = errors.New("weights: rate limit reached")
	ErrNotFound    = errors.New("weights: no such artifact")
)

// Artifact is a model version or an adapter in the store.
type Artifact struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
}

// Store tells what can be loaded and how fast. Engines fetch the bytes themselves.
type Store interface {
	Describe(ctx context.Context, name, version string) (Artifact, error)
	// RateBytesPerSecond is the rate that all engines share.
	RateBytesPerSecond(ctx context.Context) (float64, error)
}

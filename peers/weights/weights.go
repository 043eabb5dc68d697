// Package weights defines the interface of the platform's rate-limited weight store and
// implements a client over HTTP.
package weights

import (
	"context"

	"github.com/pkg/errors"
)

// Failures of a Store.
var (
	ErrUnavailable = errors.New("weights: store unavailable")
	// ErrRateLimited means that the store's rate limit is exhausted; retry later.
	ErrRateLimited = errors.New("weights: rate limit reached")
	ErrNotFound    = errors.New("weights: no such artifact")
)

// Artifact is a model version or an adapter in the store.
type Artifact struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
}

// Store describes the available artifacts and the transfer rate. Engines fetch the artifacts
// themselves.
type Store interface {
	Describe(ctx context.Context, name, version string) (Artifact, error)
	// RateBytesPerSecond returns the transfer rate that all engines share.
	RateBytesPerSecond(ctx context.Context) (float64, error)
}

package platform

import (
	"context"
	"sync"
	"time"

	"acaciacleat.example/peers/weights"
	"acaciacleat.example/standin/faults"
)

// MaxBacklog is the longest queue of fetches in the weight store, in time at its full rate.
const MaxBacklog = time.Minute

var weightFailures = failures{refused: weights.ErrUnavailable, lost: weights.ErrUnavailable}

// Weights is the weight store in memory. It executes all fetches one after another at its rate.
type Weights struct {
	// faults holds the injected faults of all operations.
	faults *faults.Table
	rate   float64

	mu        sync.Mutex
	artifacts map[weightKey]weights.Artifact
	// freeAt is the time at which the fetches reserved so far end.
	freeAt time.Time
}

var _ weights.Store = (*Weights)(nil)

type weightKey struct{ name, version string }

// NewWeights returns an empty weight store with the given rate, which must be above 0.
func NewWeights(f *faults.Table, bytesPerSecond float64) *Weights {
	return &Weights{faults: f, rate: bytesPerSecond, artifacts: make(map[weightKey]weights.Artifact)}
}

// Add adds an artifact to the store.
func (w *Weights) Add(artifact weights.Artifact) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.artifacts[weightKey{artifact.Name, artifact.Version}] = artifact
}

// Reserve queues the fetch of an artifact and returns how long it takes, including the fetches
// queued before it. While the queue is longer than MaxBacklog, it returns weights.ErrRateLimited.
func (w *Weights) Reserve(name, version string) (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.overloaded(now) {
		return 0, weights.ErrRateLimited
	}
	artifact, ok := w.artifacts[weightKey{name, version}]
	if !ok {
		return 0, weights.ErrNotFound
	}
	if w.freeAt.Before(now) {
		w.freeAt = now
	}
	seconds := float64(artifact.Bytes) / w.rate
	w.freeAt = w.freeAt.Add(time.Duration(seconds * float64(time.Second)))
	return w.freeAt.Sub(now), nil
}

// Describe implements weights.Store. It is rate-limited like Reserve.
func (w *Weights) Describe(ctx context.Context, name, version string) (weights.Artifact, error) {
	return inject(ctx, w.faults, OpWeightsDescribe, weightFailures, func() (weights.Artifact, error) {
		return w.describe(name, version)
	})
}

// RateBytesPerSecond implements weights.Store.
func (w *Weights) RateBytesPerSecond(ctx context.Context) (float64, error) {
	return inject(ctx, w.faults, OpWeightsRate, weightFailures, func() (float64, error) {
		return w.rate, nil
	})
}

func (w *Weights) describe(name, version string) (weights.Artifact, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.overloaded(time.Now()) {
		return weights.Artifact{}, weights.ErrRateLimited
	}
	artifact, ok := w.artifacts[weightKey{name, version}]
	if !ok {
		return weights.Artifact{}, weights.ErrNotFound
	}
	return artifact, nil
}

func (w *Weights) overloaded(now time.Time) bool { return w.freeAt.Sub(now) > MaxBacklog }

package table

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"acaciacleat.example/core/breaker"
)

// BreakerStore is a Store with two circuit breakers: one for reads and one for commits, because the
// service may serve reads while it accepts no writes. A call that a breaker rejects fails with
// ErrUnavailable, as nothing was sent. Wrap a BreakerStore in a ResolvingStore and not the reverse,
// so that retries also pass through the breakers.
type BreakerStore struct {
	store  Store
	reads  guardedBreaker
	writes guardedBreaker
}

var _ Store = (*BreakerStore)(nil)

// NewBreakerStore wraps store.
func NewBreakerStore(store Store, settings breaker.Settings) *BreakerStore {
	return &BreakerStore{
		store:  store,
		reads:  guardedBreaker{breaker: breaker.New(settings)},
		writes: guardedBreaker{breaker: breaker.New(settings)},
	}
}

// Get implements Store.
func (b *BreakerStore) Get(ctx context.Context, key Key, consistency Consistency) (Row, error) {
	return callGuarded(ctx, &b.reads, func() (Row, error) { return b.store.Get(ctx, key, consistency) })
}

// Scan implements Store.
func (b *BreakerStore) Scan(ctx context.Context, table, prefix, after string, limit int, consistency Consistency) ([]Row, error) {
	return callGuarded(ctx, &b.reads, func() ([]Row, error) {
		return b.store.Scan(ctx, table, prefix, after, limit, consistency)
	})
}

// Commit implements Store.
func (b *BreakerStore) Commit(ctx context.Context, tx Tx) ([]uint64, error) {
	return callGuarded(ctx, &b.writes, func() ([]uint64, error) { return b.store.Commit(ctx, tx) })
}

// guardedBreaker is a circuit breaker that is safe for concurrent use.
type guardedBreaker struct {
	mu      sync.Mutex
	breaker *breaker.Breaker
}

func (g *guardedBreaker) allow() (breaker.Permit, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	permit, ok := g.breaker.Allow(now)
	if !ok {
		return permit, errors.WithMessagef(ErrUnavailable, "circuit breaker %s for %s",
			g.breaker.State(now), g.breaker.RetryAfter(now))
	}
	return permit, nil
}

func (g *guardedBreaker) done(permit breaker.Permit, outcome breaker.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.breaker.Done(permit, time.Now(), outcome)
}

func callGuarded[T any](ctx context.Context, g *guardedBreaker, call func() (T, error)) (T, error) {
	permit, err := g.allow()
	if err != nil {
		var none T
		return none, err
	}
	value, err := call()
	g.done(permit, breakerOutcome(ctx, err))
	return value, err
}

// breakerOutcome returns the outcome that a call's error counts as. An exceeded deadline is a
// failure, because a service that does not respond causes no other error. A cancellation says
// nothing about the service. Any other error, such as a conflict, is an answer of the service and
// counts as a success.
func breakerOutcome(ctx context.Context, err error) breaker.Outcome {
	if !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrUnknownOutcome) {
		return breaker.Success
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return breaker.Neutral
	}
	return breaker.Failure
}

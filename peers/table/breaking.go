package table

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"acaciacleat.example/core/breaker"
)

// Breaking is a Store behind circuit breakers: one for reads and one for commits, since
// the service may serve reads while it takes no writes. A call that a breaker refuses
// fails with ErrUnavailable, as nothing was sent. Put it inside Settled, so that the
// repeats of Settled pass through it too.
type Breaking struct {
	store  Store
	reads  gate
	writes gate
}

var _ Store = (*Breaking)(nil)

// NewBreaking wraps store.
func NewBreaking(store Store, settings breaker.Settings) *Breaking {
	return &Breaking{
		store:  store,
		reads:  gate{breaker: breaker.New(settings)},
		writes: gate{breaker: breaker.New(settings)},
	}
}

// Get implements Store.
func (b *Breaking) Get(ctx context.Context, key Key, consistency Consistency) (Row, error) {
	return through(ctx, &b.reads, func() (Row, error) { return b.store.Get(ctx, key, consistency) })
}

// Scan implements Store.
func (b *Breaking) Scan(ctx context.Context, table, prefix, after string, limit int, consistency Consistency) ([]Row, error) {
	return through(ctx, &b.reads, func() ([]Row, error) {
		return b.store.Scan(ctx, table, prefix, after, limit, consistency)
	})
}

// Commit implements Store.
func (b *Breaking) Commit(ctx context.Context, tx Tx) ([]uint64, error) {
	return through(ctx, &b.writes, func() ([]uint64, error) { return b.store.Commit(ctx, tx) })
}

// gate guards a breaker against concurrent use.
type gate struct {
	mu      sync.Mutex
	breaker *breaker.Breaker
}

func (g *gate) allow() (breaker.Permit, error) {
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

func (g *gate) done(permit breaker.Permit, outcome breaker.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.breaker.Done(permit, time.Now(), outcome)
}

func through[T any](ctx context.Context, g *gate, call func() (T, error)) (T, error) {
	permit, err := g.allow()
	if err != nil {
		var none T
		return none, err
	}
	value, err := call()
	g.done(permit, outcomeOf(ctx, err))
	return value, err
}

// outcomeOf counts a passed deadline as a failure, because a silent service shows in no
// other way. A cancellation says nothing about the service.
func outcomeOf(ctx context.Context, err error) breaker.Outcome {
	if !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrUnknownOutcome) {
		return breaker.Success
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return breaker.Neutral
	}
	return breaker.Failure
}

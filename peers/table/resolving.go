package table

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
)

// Limits of the retries of a ResolvingStore.
const (
	resolveInitialInterval = 50 * time.Millisecond
	resolveMaxInterval     = 2 * time.Second
	// resolveWindow ends well before the service may drop a token. A later retry would be a new
	// transaction, and its conflict would not prove that the first commit was not applied.
	resolveWindow = TokenMemory / 2
)

// ResolvingStore is a Store whose Commit resolves unknown outcomes. If the response to a commit is
// lost, the writer cannot know whether the commit was applied; to guess would lose a write or
// apply it twice. ResolvingStore retries the transaction with the same token, which returns the
// first commit's result. It also reads the written rows back, which can prove success while the
// service accepts no writes. Retries use exponential backoff with jitter, so that many writers don't
// retry in step.
type ResolvingStore struct {
	Store
}

// NewResolvingStore wraps store.
func NewResolvingStore(store Store) *ResolvingStore { return &ResolvingStore{Store: store} }

// Commit implements Store. It fails with ErrUnknownOutcome if ctx ends or half of TokenMemory passes
// before the outcome is known. ErrUnavailable means that no attempt can have been applied; Commit
// does not retry after it, because the caller decides whether to wait.
func (s *ResolvingStore) Commit(ctx context.Context, tx Tx) ([]uint64, error) {
	attempt := resolution{ctx: ctx, store: s.Store, tx: tx}
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = resolveInitialInterval
	waits.MaxInterval = resolveMaxInterval
	versions, err := backoff.Retry(ctx, attempt.try,
		backoff.WithBackOff(waits), backoff.WithMaxElapsedTime(resolveWindow))
	if err != nil && attempt.maybeApplied {
		return nil, errors.WithMessage(ErrUnknownOutcome, err.Error())
	}
	return versions, err
}

// resolution is the state of one Commit until its outcome is known.
type resolution struct {
	ctx   context.Context
	store Store
	tx    Tx
	// maybeApplied is set if an earlier attempt may have been applied. ErrUnavailable from a later
	// attempt doesn't clear it. ErrConflict does, because it is the result of all attempts with this
	// token.
	maybeApplied bool
}

func (s *resolution) try() ([]uint64, error) {
	versions, err := s.store.Commit(s.ctx, s.tx)
	switch {
	case err == nil:
		return versions, nil
	case errors.Is(err, ErrConflict):
		s.maybeApplied = false
		return nil, backoff.Permanent(err)
	case errors.Is(err, ErrUnknownOutcome):
		s.maybeApplied = true
	case !s.maybeApplied:
		return nil, backoff.Permanent(err)
	}
	if versions, ok := s.readBack(); ok {
		return versions, nil
	}
	return nil, err
}

// readBack returns the versions of the written rows if all of them carry the transaction's token.
// Otherwise nothing is proved: the commit may still be in flight, or a later write may have replaced
// its rows.
func (s *resolution) readBack() ([]uint64, bool) {
	versions := make([]uint64, 0, len(s.tx.Writes))
	for _, write := range s.tx.Writes {
		row, err := s.store.Get(s.ctx, write.Key, Latest)
		if err != nil || row.Token != s.tx.Token {
			return nil, false
		}
		versions = append(versions, row.Version)
	}
	return versions, len(versions) > 0
}

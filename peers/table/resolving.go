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
// before the outcome is known. If the first attempt fails with ErrUnavailable, nothing can have been
// applied; Commit then returns the error without a retry, because the caller decides whether to wait.
func (s *ResolvingStore) Commit(ctx context.Context, tx Tx) ([]uint64, error) {
	r := resolution{ctx: ctx, store: s.Store, tx: tx}
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = resolveInitialInterval
	waits.MaxInterval = resolveMaxInterval
	versions, err := backoff.Retry(ctx, r.commitOnce,
		backoff.WithBackOff(waits), backoff.WithMaxElapsedTime(resolveWindow))
	if err != nil && r.maybeApplied {
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

// commitOnce makes one attempt and, if its outcome is unknown, reads the written rows back.
func (r *resolution) commitOnce() ([]uint64, error) {
	versions, err := r.store.Commit(r.ctx, r.tx)
	switch {
	case err == nil:
		return versions, nil
	case errors.Is(err, ErrConflict):
		r.maybeApplied = false
		return nil, backoff.Permanent(err)
	case errors.Is(err, ErrUnknownOutcome):
		r.maybeApplied = true
	case !r.maybeApplied:
		return nil, backoff.Permanent(err)
	}
	if versions, ok := r.readBack(); ok {
		return versions, nil
	}
	return nil, err
}

// readBack returns the versions of the written rows if all of them carry the transaction's token.
// Otherwise nothing is proved: the commit may still be in flight, or a later write may have replaced
// its rows.
func (r *resolution) readBack() ([]uint64, bool) {
	versions := make([]uint64, 0, len(r.tx.Writes))
	for _, write := range r.tx.Writes {
		row, err := r.store.Get(r.ctx, write.Key, Latest)
		if err != nil || row.Token != r.tx.Token {
			return nil, false
		}
		versions = append(versions, row.Version)
	}
	return versions, len(versions) > 0
}

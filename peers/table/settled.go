package table

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
)

// Bounds of a Settled store's retries.
const (
	settleFirstWait   = 50 * time.Millisecond
	settleLongestWait = 2 * time.Second
	// settleWindow ends well before the service may forget a token: a repeat after
	// that would be a new transaction, and its conflict would not prove that the
	// first had no effect.
	settleWindow = TokenMemory / 2
)

// Settled is a Store whose Commit settles unknown outcomes. When the answer to a commit
// is lost, the writer cannot tell whether it took effect; acting on either guess loses
// a write or does one twice. Settled repeats the transaction with its token, which
// gives the first one's answer, and also reads the written rows back, which can prove
// success while the service takes no writes. The waits between grow and are jittered,
// so that many writers do not repeat in step.
type Settled struct {
	Store
}

// NewSettled wraps store.
func NewSettled(store Store) *Settled { return &Settled{Store: store} }

// Commit implements Store. It still fails with ErrUnknownOutcome if ctx or half of
// TokenMemory ends first. ErrUnavailable means that no attempt can have taken effect;
// Settled does not repeat those, because whether to wait is the caller's decision.
func (s *Settled) Commit(ctx context.Context, tx Tx) ([]uint64, error) {
	attempt := settling{ctx: ctx, store: s.Store, tx: tx}
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = settleFirstWait
	waits.MaxInterval = settleLongestWait
	versions, err := backoff.Retry(ctx, attempt.try,
		backoff.WithBackOff(waits), backoff.WithMaxElapsedTime(settleWindow))
	if err != nil && attempt.doubt {
		return nil, errors.WithMessage(ErrUnknownOutcome, err.Error())
	}
	return versions, err
}

// settling is one transaction on its way to a known outcome.
type settling struct {
	ctx   context.Context
	store Store
	tx    Tx
	// doubt is set while an earlier attempt may have taken effect. Then even an
	// attempt that is proved to have done nothing does not end the doubt.
	doubt bool
}

func (s *settling) try() ([]uint64, error) {
	versions, err := s.store.Commit(s.ctx, s.tx)
	switch {
	case err == nil:
		return versions, nil
	case errors.Is(err, ErrConflict):
		s.doubt = false
		return nil, backoff.Permanent(err)
	case errors.Is(err, ErrUnknownOutcome):
		s.doubt = true
	case !s.doubt:
		return nil, backoff.Permanent(err)
	}
	if versions, ok := s.readBack(); ok {
		return versions, nil
	}
	return nil, err
}

// readBack reports the versions if every written row carries the token. The reverse
// proves nothing: the commit may still be on its way, or a later write may cover it.
func (s *settling) readBack() ([]uint64, bool) {
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

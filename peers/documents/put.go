package documents

import (
	"context"

	"acaciacleat.example/core/document"
	"acaciacleat.example/peers/table"
	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
)

// Values of ifMatch besides an ETag.
const (
	// IfAbsent requires that there is no document yet.
	IfAbsent = ""
	// IfAny replaces the stored document unconditionally.
	IfAny = "*"
)

// maxPutAttempts bounds the attempts of a put that conflicts with changes to other services.
// Documents change a few times an hour, so eight conflicts in a row mean that a client writes in a
// loop.
const maxPutAttempts = 8

// Put stores a document and returns the revision of the change. A put of a document that equals the
// stored one succeeds, whatever ifMatch is, and creates no revision, so that an operator may safely
// repeat a put. Otherwise, if the stored document does not match ifMatch, Put returns the conflict
// and writes nothing. The store retains the document, which must not be modified afterwards. The
// context must have a deadline: until it ends, Put retries to resolve an unknown outcome.
//
// Errors: *InvalidError; ErrBusy, ErrReverted, table.ErrUnavailable and *NotWrittenError, which prove that
// nothing was written; table.ErrUnknownOutcome if a response was lost and the outcome could not be resolved before
// the context ended.
func (s *Store) Put(ctx context.Context, service *document.Service, ifMatch string) (document.Revision, *Conflict, error) {
	if faults := document.Validate(service); len(faults) > 0 {
		return 0, nil, &InvalidError{Faults: faults}
	}
	select {
	case s.putSlot <- struct{}{}:
		defer func() { <-s.putSlot }()
	case <-ctx.Done():
		return 0, nil, errors.Wrap(table.ErrUnavailable, "documents: waiting for another put")
	}
	for range maxPutAttempts {
		revision, conflict, err := s.putOnce(ctx, service, ifMatch)
		if !errors.Is(err, table.ErrConflict) {
			return revision, conflict, err
		}
	}
	return 0, nil, ErrBusy
}

// putOnce makes one attempt of a put. It returns table.ErrConflict if another change was written
// first and this one was certainly not written.
func (s *Store) putOnce(ctx context.Context, service *document.Service, ifMatch string) (document.Revision, *Conflict, error) {
	state, headVersion, err := s.advanceFrom(ctx, s.cached)
	if err != nil {
		// No write was sent yet, so nothing was written, whatever the error of the read.
		return 0, nil, notWritten(err)
	}
	s.cached = state
	current := state.Snapshot.Service(service.Name)
	update := document.UpdateBetween(current, service)
	if current != nil && update.Empty() {
		return state.changed[service.Name], nil, nil
	}
	if tag := state.ETag(service.Name); ifMatch != IfAny && ifMatch != tag {
		return 0, &Conflict{Current: tag, Diff: document.Diff(current, service)}, nil
	}
	if faults := state.Snapshot.CheckConflicts(service); len(faults) > 0 {
		return 0, nil, &InvalidError{Faults: faults}
	}
	change := Change{
		Revision: state.Revision() + 1,
		Token:    s.config.Token(),
		Service:  service.Name,
		At:       s.config.Now(),
		Update:   &update,
		Diff:     truncateDiff(document.Diff(current, service)),
	}
	if err := s.commitResolved(ctx, transaction(change, service, headVersion), change); err != nil {
		return 0, nil, err
	}
	if next, err := state.Apply([]Change{change}); err == nil {
		s.cached = next
	}
	return change.Revision, nil, nil
}

func truncateDiff(diff []document.Change) []document.Change {
	return diff[:min(len(diff), maxLoggedDifferences)]
}

// notWritten converts the error of a read that precedes any commit to one that proves that nothing was
// written.
func notWritten(err error) error {
	switch {
	case errors.Is(err, table.ErrUnknownOutcome), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return errors.Wrap(table.ErrUnavailable, err.Error())
	case errors.Is(err, table.ErrUnavailable), errors.Is(err, ErrBusy), errors.Is(err, ErrReverted):
		return err
	}
	return &NotWrittenError{Cause: err}
}

// commitResolved commits a transaction and, if the response is lost, resolves the outcome.
//
// If a commit is applied and its response is lost, a second commit with a new token would conflict
// with the first on the head row, or create a second revision. Therefore all attempts use the same
// token. After a lost response, commitResolved reads the change log's row for the revision, which
// contains the token of the put that created the revision. Once the revision exists, a delayed copy of
// this commit can't be applied any more, because its condition on the head row no longer holds.
func (s *Store) commitResolved(ctx context.Context, tx table.Tx, change Change) error {
	maybeWritten := false
	attempt := func() (struct{}, error) {
		err := s.commit(ctx, tx)
		switch {
		case err == nil:
			return struct{}{}, nil
		case errors.Is(err, table.ErrConflict) && !maybeWritten:
			return struct{}{}, backoff.Permanent(table.ErrConflict)
		case (errors.Is(err, table.ErrUnavailable) || errors.Is(err, table.ErrInvalid)) && !maybeWritten:
			return struct{}{}, backoff.Permanent(err)
		}
		maybeWritten = true
		return struct{}{}, s.checkLoggedToken(ctx, change)
	}
	_, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(s.config.Backoff()), backoff.WithMaxElapsedTime(0))
	switch {
	case err == nil, errors.Is(err, table.ErrConflict), !maybeWritten && errors.Is(err, table.ErrUnavailable):
		return err
	case !maybeWritten && errors.Is(err, table.ErrInvalid):
		return &NotWrittenError{Cause: err}
	}
	return errors.Wrapf(table.ErrUnknownOutcome, "documents: revision %d: %v", change.Revision, err)
}

// checkLoggedToken returns nil if this change created the revision, a permanent ErrConflict if another
// change did, and any other error if that is still unknown.
func (s *Store) checkLoggedToken(ctx context.Context, change Change) error {
	row, err := s.get(ctx, changeRowName(change.Revision))
	if err != nil {
		return err
	}
	var logged Change
	if err := decode(row, &logged); err != nil {
		return backoff.Permanent(err)
	}
	if logged.Token != change.Token {
		return backoff.Permanent(table.ErrConflict)
	}
	return nil
}

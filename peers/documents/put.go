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
	// IfAbsent demands that there is no document yet.
	IfAbsent = ""
	// IfAny replaces whatever stands.
	IfAny = "*"
)

// maxPutAttempts bounds how often a put starts again because another service changed.
// Documents change a few times an hour; eight losses in a row mean that something writes
// in a loop.
const maxPutAttempts = 8

// Put stores a document and returns the revision that made it, or the conflict when the
// document that stands isn't the one that ifMatch names. Putting what already stands is
// accepted and makes no revision, so that an operator may repeat a put without harm. The
// store keeps the document, which may not be changed afterwards. The context needs a
// deadline: until it ends, a lost answer is asked for again.
//
// Errors: *InvalidError; ErrBusy, ErrReverted and table.ErrUnavailable prove that nothing
// was written; table.ErrUnknownOutcome means that the answer was lost and could not be
// settled before the context ended.
func (s *Store) Put(ctx context.Context, service *document.Service, ifMatch string) (document.Revision, *Conflict, error) {
	if faults := document.Validate(service); len(faults) > 0 {
		return 0, nil, &InvalidError{Faults: faults}
	}
	select {
	case s.putting <- struct{}{}:
		defer func() { <-s.putting }()
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

// putOnce returns table.ErrConflict when another change came first and this one is
// proved not to have been written.
func (s *Store) putOnce(ctx context.Context, service *document.Service, ifMatch string) (document.Revision, *Conflict, error) {
	state, headVersion, err := s.newest(ctx, s.known)
	if err != nil {
		// Nothing was sent that could write, whatever a read's own failure was.
		return 0, nil, notWritten(err)
	}
	s.known = state
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
		Diff:     shorten(document.Diff(current, service)),
	}
	if err := s.commitSettled(ctx, transaction(change, service, headVersion), change); err != nil {
		return 0, nil, err
	}
	if next, err := state.Apply([]Change{change}); err == nil {
		s.known = next
	}
	return change.Revision, nil, nil
}

func shorten(diff []document.Change) []document.Change {
	return diff[:min(len(diff), maxLoggedDifferences)]
}

// notWritten turns the failure of a read before any commit into one that says so.
func notWritten(err error) error {
	if errors.Is(err, table.ErrUnknownOutcome) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return errors.Wrap(table.ErrUnavailable, err.Error())
	}
	return err
}

// commitSettled commits and, when the answer is lost, finds out what happened.
//
// What goes wrong: the commit takes effect and its answer is lost. A second commit under
// a new token would fail on the head row and tell the operator of a conflict with
// himself, or make a second revision. So every attempt has the same token, and the log's
// row for the revision is read: it names the token of the put that took the revision.
// Whoever took it, a late copy of this commit can't take effect any more, because the
// head row has gone past its condition.
func (s *Store) commitSettled(ctx context.Context, tx table.Tx, change Change) error {
	maybeWritten := false
	attempt := func() (struct{}, error) {
		err := s.commit(ctx, tx)
		switch {
		case err == nil:
			return struct{}{}, nil
		case errors.Is(err, table.ErrConflict) && !maybeWritten:
			return struct{}{}, backoff.Permanent(table.ErrConflict)
		case errors.Is(err, table.ErrUnavailable) && !maybeWritten:
			return struct{}{}, backoff.Permanent(err)
		}
		maybeWritten = true
		return struct{}{}, s.readToken(ctx, change)
	}
	_, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(s.config.Backoff()), backoff.WithMaxElapsedTime(0))
	switch {
	case err == nil, errors.Is(err, table.ErrConflict):
		return err
	case !maybeWritten && errors.Is(err, table.ErrUnavailable):
		return err
	}
	return errors.Wrapf(table.ErrUnknownOutcome, "documents: revision %d: %v", change.Revision, err)
}

// readToken returns nil when the revision is this change's, a permanent ErrConflict when
// it is another's, and any other error when that is still open.
func (s *Store) readToken(ctx context.Context, change Change) error {
	row, err := s.get(ctx, changeName(change.Revision))
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

// Package documents stores the service documents in the platform's table service.
//
// A single increasing revision numbers the states of the whole store. A change is one transaction on
// the condition that the head row has not changed. It writes the head row, the rows of the changed
// service and one row of the change log. Hence two concurrent changes can't get the same
// revision, and no reader sees a partial change.
package documents

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"maps"
	"strconv"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/peers/objects"
	"acaciacleat.example/peers/table"
	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
)

// Errors in addition to those of package table.
var (
	// ErrCompacted means that the change log does not contain all changes from the requested
	// revision to the newest one, or that the changes to apply do not directly follow a state's
	// revision. The caller can read the whole state with Load.
	ErrCompacted = errors.New("documents: change log doesn't reach back")
	// ErrReverted means that the table has a lower revision than was read from it before, for
	// example after a restore from a backup. Nothing is written in this case.
	ErrReverted = errors.New("documents: table's revision went back")
	// ErrBusy means that each attempt of a put conflicted with a change to another service, or that
	// changes written during each attempt of a load made it fail; see maxLoadAttempts. Nothing was
	// written.
	ErrBusy = errors.New("documents: too many concurrent changes")
	// ErrNoState means that neither the table, the object store nor a peer returned a state.
	ErrNoState = errors.New("documents: no state found")
)

// InvalidError lists the faults of a rejected document.
type InvalidError struct{ Faults []document.Fault }

// Error implements error.
func (e *InvalidError) Error() string {
	return strconv.Itoa(len(e.Faults)) + " faults, first: " + e.Faults[0].String()
}

// NotWrittenError is the failure of a put that could not read the state to change, or whose transaction the
// table rejected as malformed. It proves that nothing was written.
type NotWrittenError struct{ Cause error }

// Error implements error.
func (e *NotWrittenError) Error() string {
	return "documents: nothing was written: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotWrittenError) Unwrap() error { return e.Cause }

// Conflict describes a put that was rejected because the document has changed since it was read.
type Conflict struct {
	// Current is the ETag of the stored document; empty if there is none.
	Current string `json:"current"`
	// Diff lists the changes from the stored document to the one in the put.
	Diff []document.Change `json:"diff"`
}

// State is the state of all documents at one revision. It is immutable.
type State struct {
	Snapshot *document.Snapshot
	// changed maps each service to the last revision that changed it.
	changed map[string]document.Revision
}

// Empty returns the state before the first revision.
func Empty() *State {
	return &State{Snapshot: document.Compile(0, nil), changed: map[string]document.Revision{}}
}

// Revision returns the revision of the state.
func (s *State) Revision() document.Revision { return s.Snapshot.Revision }

// ETag returns the entity tag of a service's document; empty if there is no document.
func (s *State) ETag(service string) string {
	revision, ok := s.changed[service]
	if !ok {
		return ""
	}
	return ETag(revision)
}

// ETag returns the entity tag of a document that was last changed at the given revision.
func ETag(revision document.Revision) string {
	return strconv.Quote(strconv.FormatUint(uint64(revision), 10))
}

// Apply returns the state after the changes, which must directly follow the state's revision.
func (s *State) Apply(changes []Change) (*State, error) {
	if len(changes) == 0 {
		return s, nil
	}
	updates := make([]document.Update, 0, len(changes))
	changed := maps.Clone(s.changed)
	revision := s.Revision()
	for _, change := range changes {
		if change.Revision != revision+1 || change.Update == nil {
			return nil, errors.Wrapf(ErrCompacted, "revision %d after %d", change.Revision, revision)
		}
		revision = change.Revision
		updates = append(updates, *change.Update)
		changed[change.Service] = revision
		if change.Update.Removed {
			delete(changed, change.Service)
		}
	}
	snapshot, err := s.Snapshot.Apply(revision, updates)
	if err != nil {
		return nil, err
	}
	return &State{Snapshot: snapshot, changed: changed}, nil
}

// Config configures a Store.
type Config struct {
	Table   table.Store
	Objects objects.Store
	// Token returns a client token that is unique across all calls and processes.
	Token func() string
	// Now is the wall clock. Its times are only shown in the history.
	Now func() time.Time
	// CallTimeout bounds each call to the table; the default is DefaultCallTimeout.
	CallTimeout time.Duration
	// Backoff returns the delays between attempts to resolve the outcome of a commit whose
	// response was lost. The default is exponential from 50 ms. The context's deadline ends the
	// attempts.
	Backoff func() backoff.BackOff
}

// DefaultCallTimeout bounds one call to the table, because a connection may never respond. A put
// should complete within 2 s, so one call may take half of that and leaves time for a second attempt.
const DefaultCallTimeout = time.Second

// resolveInitialInterval is the default backoff before the first retry of an unknown outcome.
const resolveInitialInterval = 50 * time.Millisecond

// Store is the document store. It is safe for concurrent use.
type Store struct {
	config Config
	// putSlot is a semaphore that holds one element while a put runs. It guards cached.
	putSlot chan struct{}
	// cached is the state that the last put read or wrote. Without it, a put would read 35,000 rows
	// to find the one that changes.
	cached *State
}

// New returns a Store.
func New(config Config) *Store {
	if config.CallTimeout == 0 {
		config.CallTimeout = DefaultCallTimeout
	}
	if config.Backoff == nil {
		config.Backoff = func() backoff.BackOff {
			b := backoff.NewExponentialBackOff()
			b.InitialInterval = resolveInitialInterval
			return b
		}
	}
	return &Store{config: config, putSlot: make(chan struct{}, 1), cached: Empty()}
}

func (s *Store) get(ctx context.Context, row string) (table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	return s.config.Table.Get(ctx, rowKey(row), table.Latest)
}

func (s *Store) scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	return s.config.Table.Scan(ctx, tableName, prefix, after, limit, table.Latest)
}

func (s *Store) commit(ctx context.Context, tx table.Tx) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	_, err := s.config.Table.Commit(ctx, tx)
	return err
}

// tokenBytes is the length of a token, large enough that two random tokens are never equal in
// practice.
const tokenBytes = 16

// NewToken returns a random client token, for Config.
func NewToken() string {
	var b [tokenBytes]byte
	// crypto/rand.Read never fails on the systems that Go supports.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

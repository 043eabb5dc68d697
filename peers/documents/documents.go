// Package documents keeps the service documents in the platform's table service.
//
// One rising revision numbers the states of the whole store. A change is one
// transaction: its condition is the head row, which every change rewrites, and it writes
// the head, the rows of the service that changed and one row of the change log. So two
// operators can't both take a revision, and no reader sees half a change.
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

// Failures besides those of package table.
var (
	// ErrCompacted means that the change log doesn't lead from the revision asked for to
	// the newest one; Load reads the whole state instead.
	ErrCompacted = errors.New("documents: change log doesn't reach back")
	// ErrReverted means that the table holds a lower revision than was read from it
	// before, as after a restore from a backup. Nothing is written over it.
	ErrReverted = errors.New("documents: table's revision went back")
	// ErrBusy means that other services' changes won every attempt; nothing was written.
	ErrBusy = errors.New("documents: too many concurrent changes")
	// ErrNoState means that neither the table, the object store nor a peer had a state.
	ErrNoState = errors.New("documents: no state found")
)

// InvalidError lists the faults of a document that was refused.
type InvalidError struct{ Faults []document.Fault }

// Error implements error.
func (e *InvalidError) Error() string {
	return strconv.Itoa(len(e.Faults)) + " faults, first: " + e.Faults[0].String()
}

// Conflict tells an operator that the document changed since it was read.
type Conflict struct {
	// Current is the ETag of the document that stands; empty when there is none.
	Current string `json:"current"`
	// Diff leads from the document that stands to the one that was put.
	Diff []document.Change `json:"diff"`
}

// State is one revision of all documents. It is immutable.
type State struct {
	Snapshot *document.Snapshot
	// changed maps each service to the revision that changed it last.
	changed map[string]document.Revision
}

// Empty returns the state before the first revision.
func Empty() *State {
	return &State{Snapshot: document.Compile(0, nil), changed: map[string]document.Revision{}}
}

// Revision returns the state's revision.
func (s *State) Revision() document.Revision { return s.Snapshot.Revision }

// ETag returns the entity tag of a service's document; empty when there is none.
func (s *State) ETag(service string) string {
	revision, ok := s.changed[service]
	if !ok {
		return ""
	}
	return ETag(revision)
}

// ETag returns the entity tag of a document that the revision changed last.
func ETag(revision document.Revision) string {
	return strconv.Quote(strconv.FormatUint(uint64(revision), 10))
}

// Apply returns the state after the changes, which must follow on the state's revision.
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

// Config is what a Store needs.
type Config struct {
	Table   table.Store
	Objects objects.Store
	// Token returns a client token that no other call of any process returns.
	Token func() string
	// Now is the wall clock, for the change log's readers only.
	Now func() time.Time
	// CallTimeout bounds each call of the table; default DefaultCallTimeout.
	CallTimeout time.Duration
	// Backoff paces the attempts to settle a lost answer; default exponential from
	// 50 ms. The context's deadline ends them.
	Backoff func() backoff.BackOff
}

// DefaultCallTimeout bounds one call of the table. A connection may be silent for good;
// a put normally ends within 2 s, so that half of it is left for a second attempt.
const DefaultCallTimeout = time.Second

// settleInterval is the first pause before an answer is asked for again.
const settleInterval = 50 * time.Millisecond

// Store is the document store. It is safe for concurrent use.
type Store struct {
	config Config
	// putting holds one element while a put runs and guards known.
	putting chan struct{}
	// known is the state that the last put started from or made. It saves a put from
	// reading 35,000 rows to find the one that changes.
	known *State
}

// New returns a Store.
func New(config Config) *Store {
	if config.CallTimeout == 0 {
		config.CallTimeout = DefaultCallTimeout
	}
	if config.Backoff == nil {
		config.Backoff = func() backoff.BackOff {
			b := backoff.NewExponentialBackOff()
			b.InitialInterval = settleInterval
			return b
		}
	}
	return &Store{config: config, putting: make(chan struct{}, 1), known: Empty()}
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

// tokenBytes makes it impossible in practice that two calls return the same token.
const tokenBytes = 16

// NewToken returns a random client token, for Config.
func NewToken() string {
	var b [tokenBytes]byte
	// crypto/rand.Read never fails on the systems that Go supports.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

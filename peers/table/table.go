// Package table is the system's view of the platform's transactional table service:
// versioned rows, transactions with conditions, and client tokens that make a commit
// recognisable after its answer was lost.
package table

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Failures of a Store. Callers test them with errors.Is.
var (
	// ErrNotFound means that the row does not exist.
	ErrNotFound = errors.New("table: row not found")
	// ErrConflict means that a condition did not hold; nothing was written.
	ErrConflict = errors.New("table: condition failed")
	// ErrUnavailable means that the service could not be asked: it is proved that
	// nothing was written.
	ErrUnavailable = errors.New("table: service unavailable")
	// ErrUnknownOutcome means that the answer was lost: the commit may have taken effect.
	ErrUnknownOutcome = errors.New("table: outcome unknown")
	// ErrInvalid means that the request is malformed; nothing was written, and a
	// repeat will fail in the same way.
	ErrInvalid = errors.New("table: invalid request")
)

// Key names a row.
type Key struct {
	Table string `json:"table"`
	Row   string `json:"row"`
}

// Row is a stored row. Version rises with each write to it and is never zero; a row
// that is deleted and written again goes on from a higher version.
type Row struct {
	Key     Key    `json:"key"`
	Version uint64 `json:"version"`
	// Token is the client token of the transaction that wrote the row last.
	Token string `json:"token"`
	Value []byte `json:"value"`
	// Damaged says that the value could not be decoded; Value is then empty.
	Damaged bool `json:"-"`
}

// Condition demands that a row has the given version; 0 demands that it is absent.
type Condition struct {
	Key     Key    `json:"key"`
	Version uint64 `json:"version"`
}

// Write puts a row, or deletes it.
type Write struct {
	Key    Key    `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Tx is a transaction: all writes happen if all conditions hold, otherwise none.
type Tx struct {
	// Token identifies the transaction and is never empty. A second commit with the
	// same token does nothing and returns the first one's answer, a conflict too, for
	// at least TokenMemory.
	Token      string      `json:"token"`
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// TokenMemory is how long the service remembers a token at least.
const TokenMemory = 10 * time.Minute

// Consistency says how fresh a read must be.
type Consistency string

// The consistencies.
const (
	// Latest reads what the last commit wrote.
	Latest Consistency = "latest"
	// Stale may be answered by a replica that lags.
	Stale Consistency = "stale"
)

// Store is the table service. Implementations are safe for concurrent use and honour
// the context's deadline. Reads never fail with ErrUnknownOutcome.
type Store interface {
	Get(ctx context.Context, key Key, consistency Consistency) (Row, error)
	// Scan returns up to limit rows of a table whose names start with prefix and are
	// greater than after, in ascending order.
	Scan(ctx context.Context, table, prefix, after string, limit int, consistency Consistency) ([]Row, error)
	// Commit returns the versions of the written rows, in the order of tx.Writes.
	Commit(ctx context.Context, tx Tx) ([]uint64, error)
}

// Package table is the interface to the platform's transactional table service. The service offers
// versioned rows, transactions with conditions, and client tokens that identify a commit whose
// response was lost.
package table

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Store. Callers check for them with errors.Is.
var (
	// ErrNotFound means that the row does not exist.
	ErrNotFound = errors.New("table: row not found")
	// ErrConflict means that a condition did not hold; nothing was written.
	ErrConflict = errors.New("table: condition failed")
	// ErrUnavailable means that a read got no result, or that a commit was certainly not applied.
	ErrUnavailable = errors.New("table: service unavailable")
	// ErrUnknownOutcome means that the response was lost: the commit may have been applied.
	ErrUnknownOutcome = errors.New("table: outcome unknown")
	// ErrInvalid means that the request is malformed. Nothing was written, and a retry fails in the
	// same way.
	ErrInvalid = errors.New("table: invalid request")
)

// Key identifies a row.
type Key struct {
	Table string `json:"table"`
	Row   string `json:"row"`
}

// Row is a stored row. Version increases with each write to the row and is never zero. A row that is
// deleted and written again has a higher version than before.
type Row struct {
	Key     Key    `json:"key"`
	Version uint64 `json:"version"`
	// Token is the client token of the last transaction that wrote the row.
	Token string `json:"token"`
	Value []byte `json:"value"`
	// Damaged is set if the value could not be decoded; Value is then empty.
	Damaged bool `json:"-"`
}

// Condition requires that a row has the given version; 0 requires that the row does not exist.
type Condition struct {
	Key     Key    `json:"key"`
	Version uint64 `json:"version"`
}

// Write writes or deletes a row.
type Write struct {
	Key    Key    `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Tx is a transaction: all writes are applied if all conditions hold, otherwise none.
type Tx struct {
	// Token identifies the transaction and must not be empty. For at least TokenMemory, a second
	// commit with the same token does nothing and returns the result of the first one, even if that
	// was a conflict.
	Token      string      `json:"token"`
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// TokenMemory is the minimum time for which the service stores a token.
const TokenMemory = 10 * time.Minute

// Consistency is the required consistency of a read.
type Consistency string

// The consistency levels.
const (
	// Latest reads the result of the last commit.
	Latest Consistency = "latest"
	// Stale may read from a replica that lags.
	Stale Consistency = "stale"
)

// Store is a client of the table service. Implementations are safe for concurrent use and observe
// the context's deadline. Reads never fail with ErrUnknownOutcome.
type Store interface {
	Get(ctx context.Context, key Key, consistency Consistency) (Row, error)
	// Scan returns up to limit rows of a table whose names start with prefix and are
	// greater than after, in ascending order.
	Scan(ctx context.Context, table, prefix, after string, limit int, consistency Consistency) ([]Row, error)
	// Commit returns the versions of the written rows, in the order of tx.Writes.
	Commit(ctx context.Context, tx Tx) ([]uint64, error)
}

package table

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrHistoryTruncated means that the changes after the given version are no longer stored. The caller
// must read the whole table again.
var ErrHistoryTruncated = errors.New("table: history gone")

// Change is a row as of a change. A removed row has only its key and version.
type Change struct {
	Row
	Removed bool
}

// Extent says how far an answer about rows reaches.
type Extent struct {
	// Named is the newest version that the answer names. It says nothing about the rows: changes up to it may be missing.
	Named uint64
	// Rows is the version up to which the rows themselves show that they reach: that of the newest one, of the first page if
	// there are several. It is zero without rows.
	Rows uint64
	// Full says that an answer about changes is about as large as one may be: there may be more after its rows.
	Full bool
}

// Feed is a store that reports the changes of its tables. Implementations are safe for concurrent
// use and observe the context's deadline.
type Feed interface {
	// All returns all rows of a table, those of a page as of one moment.
	All(ctx context.Context, table string) ([]Row, Extent, error)
	// Changes returns the changes of a table after a version, in order. If there are none, it waits for a change for
	// at most wait, and then returns none.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, Extent, error)
	// Insert writes a row that must not exist yet; otherwise it fails with ErrConflict.
	Insert(ctx context.Context, key Key, value []byte) error
	// Replace writes a row that must have the given version; otherwise it fails with ErrConflict.
	Replace(ctx context.Context, key Key, version uint64, value []byte) error
	// Put writes a row unconditionally.
	Put(ctx context.Context, key Key, value []byte) error
	// Remove deletes a row. It is not an error if the row does not exist.
	Remove(ctx context.Context, key Key) error
}

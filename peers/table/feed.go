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

// Feed is a store that reports the changes of its tables. Implementations are safe for concurrent
// use and observe the context's deadline.
type Feed interface {
	// All returns a consistent snapshot of all rows of a table, and the snapshot's version.
	All(ctx context.Context, table string) ([]Row, uint64, error)
	// Changes returns the changes of a table after a version, in order, and the version from which
	// to continue. If there are none, it waits for a change for at most wait, and then returns
	// none.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, uint64, error)
	// Insert writes a row that must not exist yet; otherwise it fails with ErrConflict.
	Insert(ctx context.Context, key Key, value []byte) error
	// Replace writes a row that must have the given version; otherwise it fails with ErrConflict.
	Replace(ctx context.Context, key Key, version uint64, value []byte) error
	// Put writes a row unconditionally.
	Put(ctx context.Context, key Key, value []byte) error
	// Remove deletes a row. It is not an error if the row does not exist.
	Remove(ctx context.Context, key Key) error
}

package table

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrHistoryGone means that the changes after the given version are no longer kept: read
// the whole table again.
var ErrHistoryGone = errors.New("table: history gone")

// Change is a row as it stands after a change. A removed row has its key and version only.
type Change struct {
	Row
	Removed bool
}

// Feed is a store whose tables can be followed. Implementations are safe for concurrent
// use and honour the context's deadline.
type Feed interface {
	// All returns all rows of a table as of one moment, and that moment's version.
	All(ctx context.Context, table string) ([]Row, uint64, error)
	// Changes returns what changed in a table after a version, in order, and the version to
	// go on from. It waits for a change, at the longest for wait, and then returns none.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, uint64, error)
	// Insert writes a row that must not exist yet; otherwise it fails with ErrConflict.
	Insert(ctx context.Context, key Key, value []byte) error
	// Put writes a row, whatever stood there.
	Put(ctx context.Context, key Key, value []byte) error
	// Remove deletes a row; that it is not there is no failure.
	Remove(ctx context.Context, key Key) error
}

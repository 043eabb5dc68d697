package lease

import "github.com/pkg/errors"

// Errors returned by Guard.Check.
var (
	// ErrNotRead means that the lease's row has not been read since the start.
	ErrNotRead = errors.New("lease: row not read since the start")
	// ErrStaleFence means that a higher fencing number has been seen.
	ErrStaleFence = errors.New("lease: stale fencing number")
)

// Guard refuses orders of former holders. A holder that was paused may act as if it still
// held the lease, so that the orders of two holders undo each other. The fencing number
// rises with each change of holder, so an order with a lower number is a former holder's.
//
// A guard that has just started has seen no number and could not recognise a former
// holder. Therefore it refuses all orders until the row has been read. It is not safe for
// concurrent use.
type Guard struct {
	highest uint64
	read    bool
}

// ObserveRow records the fencing number of the lease's latest row; 0 if there is no row.
func (g *Guard) ObserveRow(fence uint64) {
	g.read = true
	g.highest = max(g.highest, fence)
}

// Check returns nil if an order with this fencing number may be executed, and records the
// number. A number above that of the last row read belongs to a newer holder. It is
// recorded even while the row has not been read.
func (g *Guard) Check(fence uint64) error {
	if fence == 0 || fence < g.highest {
		return errors.WithMessagef(ErrStaleFence, "%d is below %d", fence, g.highest)
	}
	g.highest = fence
	if !g.read {
		return ErrNotRead
	}
	return nil
}

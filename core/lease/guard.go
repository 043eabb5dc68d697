package lease

import "github.com/pkg/errors"

// Refusals of a Guard.
var (
	// ErrNotRead means that the lease's row has not been read since the start.
	ErrNotRead = errors.New("lease: row not read since the start")
	// ErrStaleFence means that a higher fencing number has been seen.
	ErrStaleFence = errors.New("lease: stale fencing number")
)

// Guard refuses orders of former holders. A holder that was paused acts as if it still
// held the lease; one notices it by two holders' orders undoing each other. The fencing
// number rises with each change of holder, so the lower number is the former holder's.
//
// A guard that has just started has seen no number and would obey a former holder.
// Therefore it refuses all orders until the row has been read. It is not safe for
// concurrent use.
type Guard struct {
	highest uint64
	read    bool
}

// RowRead reports the fencing number of the lease's latest row; 0 if there is no row.
func (g *Guard) RowRead(fence uint64) {
	g.read = true
	g.highest = max(g.highest, fence)
}

// Check returns nil if an order with this number may be obeyed, and remembers the number.
// A number above the row's last read one stands for a newer holder. It is remembered
// even while the row has not been read.
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

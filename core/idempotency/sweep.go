package idempotency

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Who deletes rows, and when. Every entry can; the one that Sweeper names for a service
// does, each SweepInterval, by scanning the names that start with the service and "/"
// and deleting each Sweepable row on condition of its version, so that a row that was
// rebound meanwhile stays. Two entries with different lists of VMs may both sweep,
// which costs reads and changes nothing.
//
// A row is thus kept for at least its lifetime after its last write, and is deleted at
// most SweepMargin + 2 SweepInterval + the time of one scan after its lifetime, as long
// as some entry lives and the table service answers.
const (
	// SweepInterval is the time between two sweeps of a service. With 24 h of rows it
	// adds a hundredth to their number.
	SweepInterval = 15 * time.Minute
	// SweepMargin is the greatest difference between the wall clocks of two VMs that
	// does no harm. Expiry is by the writer's clock and the sweep by another's; a row
	// deleted early would let a late second try run the call again.
	SweepMargin = time.Hour
)

// Sweepable reports whether a row may be deleted at now, by the sweeper's wall clock.
func Sweepable(row *Row, now time.Time) bool {
	return now.After(row.Expires.Add(SweepMargin))
}

// Sweeper returns the entry that sweeps a service's rows: the one with the highest hash
// of its name and the service's. It returns "" when there are no entries.
func Sweeper(service string, entries []string) string {
	var chosen string
	var highest uint64
	for _, entry := range entries {
		hash := xxhash.Sum64String(service + "/" + entry)
		if chosen == "" || hash > highest || hash == highest && entry < chosen {
			chosen, highest = entry, hash
		}
	}
	return chosen
}

package idempotency

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the deletion of expired rows. The entry that Sweeper names for a service
// sweeps it every SweepInterval: it scans the row names that start with the service and
// "/" and deletes each Sweepable row on condition that its version is unchanged, so that
// a row that was rebound in the meantime stays. Two entries with different lists of VMs
// may both sweep a service, which costs extra reads but is safe.
//
// A row is kept for at least its lifetime after its last write. It is deleted at most
// SweepMargin + 2 SweepInterval + the duration of one scan after its lifetime, as long as
// some entry is alive and the table service answers.
const (
	// SweepInterval is the time between two sweeps of a service. With a row lifetime of
	// 24 h, rows that wait for the next sweep add about 1 % to the table.
	SweepInterval = 15 * time.Minute
	// SweepMargin is the largest tolerated difference between the wall clocks of two VMs.
	// The writer's clock sets the expiry and the sweeper's clock checks it; if a row were
	// deleted too early, a late second try could run the call again.
	SweepMargin = time.Hour
)

// Sweepable reports whether a row may be deleted at now, the sweeper's wall-clock time.
func Sweepable(row *Row, now time.Time) bool {
	return now.After(row.Expires.Add(SweepMargin))
}

// Sweeper returns the entry that sweeps a service's rows, chosen by rendezvous hashing of
// the service's name and the entries' names. It returns "" if there are no entries.
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

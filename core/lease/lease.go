// Package lease implements an exclusive lease as a state machine over one row of the table
// service. The row names the holder, the length of the lease and a fencing number (fencing
// token). The package does no I/O.
//
// Clocks of different processes are never compared. The holder measures the lease from
// just before it sent the write that was applied; any other process measures it from just
// after it first read that version of the row. The second moment is the later one, and the
// other process also waits longer by the bound on the difference of two clocks' rates, so
// the holder has stopped before another process may write. If several processes write at
// once, the conditional write lets only one succeed.
//
// Two processes may still act at once if both clocks of a VM stood still during a pause, so
// that their rates were out of bounds, or if a holder is paused between its call of Held and
// its action. The fencing number then tells their orders apart; see Guard.
package lease

import (
	"time"

	"github.com/pkg/errors"
)

// ErrSettings means that the settings are invalid.
var ErrSettings = errors.New("lease: invalid settings")

// Record is the value of the lease's row. The row is never deleted, because the fencing
// number would start again from 1 and every Guard would refuse the next holders.
type Record struct {
	// Holder is the holder's ID; empty if the lease was released.
	Holder string `json:"holder"`
	// Fence is the fencing number; it rises with each change of holder.
	Fence uint64 `json:"fence"`
	// Length is how long the lease lasts from each write.
	Length time.Duration `json:"length"`
}

// Row is the lease's row as read. Version 0 means that the row does not exist yet.
type Row struct {
	Version uint64
	Token   string
	Record  Record
}

// Reading is a simultaneous reading of a process's own clocks, each as the time since an
// origin of its own.
type Reading struct {
	// Mono is the monotonic clock.
	Mono time.Duration
	// Wall is the wall clock, which can be stepped.
	Wall time.Duration
}

// elapsedSince returns the time since earlier by the clock that has advanced more. The
// monotonic clock may stand still while a VM is suspended; the wall clock is corrected
// afterwards and shows the pause. A wall clock that was set back is ignored; one that was
// set forward ends a lease early, which is safe.
func (r Reading) elapsedSince(earlier Reading) time.Duration {
	return max(r.Mono-earlier.Mono, r.Wall-earlier.Wall)
}

// Settings are the durations of a lease and the bound on clock rates.
type Settings struct {
	// Length is how long the lease lasts from each write.
	Length time.Duration
	// RenewEvery is the time from the last applied write to the next renewal by the holder.
	RenewEvery time.Duration
	// PollEvery is the interval at which other processes read the row.
	PollEvery time.Duration
	// RetryEvery is the delay after a failed read or write.
	RetryEvery time.Duration
	// Margin is how long before the end of the lease the holder stops, so that actions in
	// progress can finish.
	Margin time.Duration
	// RateBound is the largest relative error of any clock's rate, in [0, 1).
	RateBound float64
}

// DefaultSettings are for leases that may be without a holder for some seconds.
var DefaultSettings = Settings{
	Length:     10 * time.Second,
	RenewEvery: 3 * time.Second,
	PollEvery:  3 * time.Second,
	RetryEvery: 500 * time.Millisecond,
	Margin:     time.Second,
	RateBound:  0.01,
}

// Check returns an error that wraps ErrSettings if a value is out of range, or if a holder whose
// first renewal fails could not retry it in time.
func (s Settings) Check() error {
	switch {
	case s.RenewEvery <= 0 || s.PollEvery <= 0 || s.RetryEvery <= 0 || s.Margin < 0:
		return errors.WithMessage(ErrSettings, "durations must be positive")
	case s.RenewEvery+s.RetryEvery >= s.Length-s.Margin:
		return errors.WithMessage(ErrSettings, "RenewEvery plus RetryEvery must be less than Length minus Margin")
	case s.RateBound < 0 || s.RateBound >= 1:
		return errors.WithMessage(ErrSettings, "RateBound must be in [0, 1)")
	}
	return nil
}

// takeoverWait returns how long another process must see a version unchanged before it may
// take the lease: its own clock may be fast and the holder's slow, each by the bound.
func (s Settings) takeoverWait(length time.Duration) time.Duration {
	stretched := float64(length) * (1 + s.RateBound) / (1 - s.RateBound)
	return time.Duration(stretched) + 1
}

// Grant is the right of the holder to act.
type Grant struct {
	Fence uint64
	// Remaining is how long the grant lasts from the reading passed to Held.
	Remaining time.Duration
}

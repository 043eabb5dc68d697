// Package lease decides who may act alone, as a plain state machine over one row of the
// table service. The row names the holder, the length of the lease and a fencing number.
//
// No clock is compared with another. The holder counts from the moment before it sent
// the write that the service took; any other process counts from the moment after it
// first read that version of the row. The second moment is the later one, and the other
// process waits longer by the bound on how far two clocks' rates differ, so the holder
// has stopped before anyone else may write. A conditional write decides among several.
//
// What is left of the risk: a VM whose clocks both stood still during a pause exceeds
// the bound on rates, and so does a holder that is paused between asking Held and
// acting. Then two may act; the fencing number tells their orders apart, see Guard.
package lease

import (
	"time"

	"github.com/pkg/errors"
)

// ErrSettings means that the settings cannot work.
var ErrSettings = errors.New("lease: bad settings")

// Record is the value of the lease's row. The row is never deleted, because the fencing
// number would begin again from 1 and every Guard would refuse the next holders.
type Record struct {
	// Holder is the holder's ID; empty if it has given the lease up.
	Holder string `json:"holder"`
	// Fence is the fencing number; it rises with each change of holder.
	Fence uint64 `json:"fence"`
	// Length is how long the lease lasts from each write.
	Length time.Duration `json:"length"`
}

// Row is the lease's row as read. Version 0 means that it does not exist yet.
type Row struct {
	Version uint64
	Token   string
	Record  Record
}

// Reading is what a process's own clocks show at one moment, each as the time since an
// origin of its own.
type Reading struct {
	// Mono is the monotonic clock.
	Mono time.Duration
	// Wall is the wall clock, which can be stepped.
	Wall time.Duration
}

// passedSince returns the time since earlier by the clock that shows more. A monotonic
// clock may stand still while a VM is suspended; the wall clock is then set right
// afterwards and shows it. A wall clock set back shows less and is ignored; one set
// forward ends a lease early, which is safe.
func (r Reading) passedSince(earlier Reading) time.Duration {
	return max(r.Mono-earlier.Mono, r.Wall-earlier.Wall)
}

// Settings are the times of a lease.
type Settings struct {
	// Length is how long the lease lasts from each write.
	Length time.Duration
	// RenewEvery is the age at which the holder renews.
	RenewEvery time.Duration
	// PollEvery is how often the others read the row.
	PollEvery time.Duration
	// RetryEvery is the wait after a failed read or write.
	RetryEvery time.Duration
	// Margin is how long before the end the holder stops, so that what it has begun
	// can finish.
	Margin time.Duration
	// RateBound is the largest relative error of any clock's rate, in [0, 1).
	RateBound float64
}

// DefaultSettings suit a holder that can be missed for some seconds.
var DefaultSettings = Settings{
	Length:     10 * time.Second,
	RenewEvery: 3 * time.Second,
	PollEvery:  3 * time.Second,
	RetryEvery: 500 * time.Millisecond,
	Margin:     time.Second,
	RateBound:  0.01,
}

// Check returns ErrSettings if a holder could never renew in time.
func (s Settings) Check() error {
	switch {
	case s.RenewEvery <= 0 || s.PollEvery <= 0 || s.RetryEvery <= 0 || s.Margin < 0:
		return errors.WithMessage(ErrSettings, "times must be above zero")
	case s.RenewEvery+s.RetryEvery >= s.Length-s.Margin:
		return errors.WithMessage(ErrSettings, "a renewal must fit before the holder stops")
	case s.RateBound < 0 || s.RateBound >= 1:
		return errors.WithMessage(ErrSettings, "rate bound must be in [0, 1)")
	}
	return nil
}

// wait returns how long another process must see a version unchanged before it may take
// the lease: its own clock may be fast by the bound and the holder's slow by it.
func (s Settings) wait(length time.Duration) time.Duration {
	stretched := float64(length) * (1 + s.RateBound) / (1 - s.RateBound)
	return time.Duration(stretched) + 1
}

// Grant is the right to act alone.
type Grant struct {
	Fence uint64
	// Left is how long the grant lasts from the reading that it was asked with.
	Left time.Duration
}

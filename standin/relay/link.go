package relay

import (
	"sync"
	"time"
)

// Link simulates the network link of a VM: data in one direction waits for the data before it. It
// is safe for concurrent use.
type Link struct {
	bytesPerSecond float64

	mu sync.Mutex
	// freeAt is, by direction, the time at which the transfer of all data queued so far ends,
	// queuedBytes the total number of bytes queued so far.
	freeAt      [2]time.Time
	queuedBytes [2]int64
}

// NewLink returns a link with the given bandwidth in each direction.
func NewLink(bytesPerSecond int) *Link { return &Link{bytesPerSecond: float64(bytesPerSecond)} }

// BytesTransferred returns the number of bytes in a direction, including those whose transfer has not
// ended yet.
func (l *Link) BytesTransferred(direction Direction) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queuedBytes[direction]
}

// transferTime queues n bytes and returns how long their transfer takes.
func (l *Link) transferTime(direction Direction, n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.freeAt[direction].Before(now) {
		l.freeAt[direction] = now
	}
	l.freeAt[direction] = l.freeAt[direction].Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	l.queuedBytes[direction] += int64(n)
	return l.freeAt[direction].Sub(now)
}

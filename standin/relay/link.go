package relay

import (
	"sync"
	"time"
)

// Link is the link of a VM: what passes in one direction waits for what came before it. It is safe
// for concurrent use.
type Link struct {
	bytesPerSecond float64

	mu sync.Mutex
	// free is when each direction has sent what has come up to now, passed how many bytes that are.
	free   [2]time.Time
	passed [2]int64
}

// NewLink returns a link with the given bandwidth in each direction.
func NewLink(bytesPerSecond int) *Link { return &Link{bytesPerSecond: float64(bytesPerSecond)} }

// Passed returns the bytes that have passed in a direction.
func (l *Link) Passed(direction Direction) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.passed[direction]
}

// pass takes n bytes and returns after which time they are through.
func (l *Link) pass(direction Direction, n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.free[direction].Before(now) {
		l.free[direction] = now
	}
	l.free[direction] = l.free[direction].Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	l.passed[direction] += int64(n)
	return l.free[direction].Sub(now)
}

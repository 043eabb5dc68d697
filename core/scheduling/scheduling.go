// Package scheduling orders the requests that wait at one agent. It does no I/O and reads
// no clock: arrivals, departures and the time are inputs, the next request to start is the
// output.
package scheduling

import (
	"time"

	"acaciacleat.example/core/call"
)

// Item is one waiting request.
type Item struct {
	ID           call.ID
	Organisation string
	Work         call.TokenDemand
	// CachedTokens is the estimated number of prompt tokens in the engine's prefix cache.
	CachedTokens int
	// MemoryTokens is the memory that the item occupies at this engine, in tokens; 0 means all of
	// Work.Tokens. It is smaller for a request that a group of engines shares.
	MemoryTokens int64
	Enqueued     time.Time
	// Deadline is the time by which the prompt must be prefilled; zero for none.
	Deadline time.Time
}

// Queue orders the requests that wait at one agent. It is not safe for concurrent use.
type Queue interface {
	// Push adds an item. It returns false when the queue is full.
	Push(item Item) bool
	// Pop removes and returns the item to start now, given the engine's free memory in
	// tokens. It returns false when no item can start.
	Pop(now time.Time, freeTokens int64) (Item, bool)
	// Remove removes a cancelled item. It returns false when the item is not queued.
	Remove(id call.ID) bool
	// Len returns the number of queued items.
	Len() int
}

// FIFO is the baseline queue: first in, first out, without length classes.
type FIFO struct {
	limit int
	items []Item
}

// NewFIFO returns a FIFO that holds up to limit items.
func NewFIFO(limit int) *FIFO { return &FIFO{limit: limit} }

// Push implements Queue.
func (q *FIFO) Push(item Item) bool {
	if len(q.items) >= q.limit {
		return false
	}
	q.items = append(q.items, item)
	return true
}

// Pop implements Queue.
func (q *FIFO) Pop(_ time.Time, freeTokens int64) (Item, bool) {
	if len(q.items) == 0 || q.items[0].memory() > freeTokens {
		return Item{}, false
	}
	item := q.items[0]
	q.items = q.items[1:]
	return item, true
}

// memory returns the memory that the item occupies at this engine, in tokens.
func (i *Item) memory() int64 {
	if i.MemoryTokens > 0 {
		return i.MemoryTokens
	}
	return int64(i.Work.Tokens())
}

// Remove implements Queue.
func (q *FIFO) Remove(id call.ID) bool {
	for i := range q.items {
		if q.items[i].ID == id {
			q.items = append(q.items[:i], q.items[i+1:]...)
			return true
		}
	}
	return false
}

// Len implements Queue.
func (q *FIFO) Len() int { return len(q.items) }

// Package scheduling orders the requests that wait at one agent. Its decisions are
// pure: arrivals, departures and the time go in, the next request to start comes out.
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
	// Cached is the number of prompt tokens believed to be in the engine's prefix cache.
	Cached int
	// Need is the memory that the item takes at this engine, in tokens; 0 means all of
	// Work.Tokens. It is less for a request that a group of engines shares.
	Need     int64
	Enqueued time.Time
	Deadline time.Time
}

// Queue orders the requests that wait at one agent. It is not safe for concurrent use.
type Queue interface {
	// Push adds an item; false when the queue is full.
	Push(item Item) bool
	// Pop removes and returns the item to start now, given the engine's free memory in
	// tokens; false when nothing can start.
	Pop(now time.Time, freeTokens int64) (Item, bool)
	// Remove takes out a cancelled item; false when it is not queued.
	Remove(id call.ID) bool
	// Len is the number of items queued.
	Len() int
}

// FIFO is the baseline: first in, first out, one length class.
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
	if len(q.items) == 0 || q.items[0].need() > freeTokens {
		return Item{}, false
	}
	item := q.items[0]
	q.items = q.items[1:]
	return item, true
}

// need is the memory that the item takes at this engine, in tokens.
func (i *Item) need() int64 {
	if i.Need > 0 {
		return i.Need
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

package idempotency

import (
	"time"

	"acaciacleat.example/core/call"
)

// state is what has become of an id. Up to tombstoned it has not run.
type state uint8

const (
	queued state = iota
	tombstoned
	running
	finished
)

// none marks the end of a list of records.
const none int32 = -1

// record is one id's state. Records that ended form a list in the order of their
// expiry, which is the order in which they ended because all are kept equally long.
type record struct {
	id      call.ID
	attempt call.Attempt
	state   state
	// expires is on the Ledger's clock; it counts once the record has ended.
	expires time.Duration
	prev    int32
	next    int32
	result  ResultRef
	size    int
}

// records is a table of records by id. Records live in one slice, and free places are
// used again, so that a steady load allocates nothing.
type records struct {
	byID  map[call.ID]int32
	slots []record
	free  []int32
	// oldest and newest are the ends of the list of ended records.
	oldest int32
	newest int32
	// resultFrom is where the search for the oldest result starts: no record before
	// it in the list holds one.
	resultFrom int32
}

func newRecords() records {
	return records{
		byID:       make(map[call.ID]int32),
		oldest:     none,
		newest:     none,
		resultFrom: none,
	}
}

func (r *records) len() int { return len(r.byID) }

func (r *records) find(id call.ID) (int32, bool) {
	index, ok := r.byID[id]
	return index, ok
}

// at returns a record. The pointer is good until the next add.
func (r *records) at(index int32) *record { return &r.slots[index] }

func (r *records) add(id call.ID, rec record) int32 {
	rec.id, rec.prev, rec.next = id, none, none
	index := r.place()
	r.slots[index] = rec
	r.byID[id] = index
	return index
}

func (r *records) place() int32 {
	if last := len(r.free) - 1; last >= 0 {
		index := r.free[last]
		r.free = r.free[:last]
		return index
	}
	r.slots = append(r.slots, record{})
	return int32(len(r.slots) - 1)
}

// expireAt appends an ended record to the list.
func (r *records) expireAt(index int32, expires time.Duration) {
	rec := &r.slots[index]
	rec.expires = expires
	rec.prev = r.newest
	if r.newest == none {
		r.oldest = index
	} else {
		r.slots[r.newest].next = index
	}
	r.newest = index
}

func (r *records) oldestBefore(clock time.Duration) bool {
	return r.oldest != none && r.slots[r.oldest].expires < clock
}

// removeOldest removes the record that expires first and returns its result's size.
func (r *records) removeOldest() int { return r.remove(r.oldest) }

// remove removes an ended record and returns its result's size.
func (r *records) remove(index int32) int {
	rec := r.slots[index]
	if r.resultFrom == index {
		r.resultFrom = rec.next
	}
	if rec.prev == none {
		r.oldest = rec.next
	} else {
		r.slots[rec.prev].next = rec.next
	}
	if rec.next == none {
		r.newest = rec.prev
	} else {
		r.slots[rec.next].prev = rec.prev
	}
	delete(r.byID, rec.id)
	r.slots[index] = record{}
	r.free = append(r.free, index)
	return rec.size
}

// keep stores the result of the record that ended last.
func (r *records) keep(index int32, ref ResultRef, size int) {
	rec := &r.slots[index]
	rec.result, rec.size = ref, size
	if r.resultFrom == none {
		r.resultFrom = index
	}
}

// dropOldestResult lets go of the oldest result and returns its size. The record stays.
func (r *records) dropOldestResult() int {
	for r.resultFrom != none {
		rec := &r.slots[r.resultFrom]
		r.resultFrom = rec.next
		if rec.result != nil {
			size := rec.size
			rec.result, rec.size = nil, 0
			return size
		}
	}
	return 0
}

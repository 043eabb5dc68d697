package idempotency

import (
	"time"

	"acaciacleat.example/core/call"
)

// state is the state of an id. In the states up to tombstoned the call has not run.
type state uint8

const (
	queued state = iota
	tombstoned
	running
	finished
)

// noRecord is the index that marks the end of the list of ended records.
const noRecord int32 = -1

// record is the state of one id. Ended records form a linked list in the order of their
// expiry, which is the order in which they ended because the retention time is constant.
type record struct {
	id      call.ID
	attempt call.Attempt
	state   state
	// expires is a reading of the Ledger's clock; it is set when the record ends.
	expires time.Duration
	prev    int32
	next    int32
	result  ResultRef
	size    int
}

// records is a table of records by id. Records are stored in one slice whose free slots
// are reused, so that a steady load does not allocate.
type records struct {
	byID  map[call.ID]int32
	slots []record
	free  []int32
	// oldest and newest are the first and the last index in the list of ended records.
	oldest int32
	newest int32
	// resultScanStart is the index at which the search for the oldest result starts: no
	// record before it in the list has a result.
	resultScanStart int32
}

func newRecords() records {
	return records{
		byID:            make(map[call.ID]int32),
		oldest:          noRecord,
		newest:          noRecord,
		resultScanStart: noRecord,
	}
}

func (r *records) len() int { return len(r.byID) }

func (r *records) find(id call.ID) (int32, bool) {
	index, ok := r.byID[id]
	return index, ok
}

// at returns the record with this index. The pointer is valid until the next add.
func (r *records) at(index int32) *record { return &r.slots[index] }

func (r *records) add(id call.ID, rec record) int32 {
	rec.id, rec.prev, rec.next = id, noRecord, noRecord
	index := r.allocate()
	r.slots[index] = rec
	r.byID[id] = index
	return index
}

func (r *records) allocate() int32 {
	if last := len(r.free) - 1; last >= 0 {
		index := r.free[last]
		r.free = r.free[:last]
		return index
	}
	r.slots = append(r.slots, record{})
	return int32(len(r.slots) - 1)
}

// expireAt sets the expiry of a record that ended and appends it to the list.
func (r *records) expireAt(index int32, expires time.Duration) {
	rec := &r.slots[index]
	rec.expires = expires
	rec.prev = r.newest
	if r.newest == noRecord {
		r.oldest = index
	} else {
		r.slots[r.newest].next = index
	}
	r.newest = index
}

func (r *records) hasExpired(clock time.Duration) bool {
	return r.oldest != noRecord && r.slots[r.oldest].expires < clock
}

// removeOldest removes the record that expires first and returns the size of its result.
func (r *records) removeOldest() int { return r.remove(r.oldest) }

// remove removes an ended record and returns the size of its result.
func (r *records) remove(index int32) int {
	rec := r.slots[index]
	if r.resultScanStart == index {
		r.resultScanStart = rec.next
	}
	if rec.prev == noRecord {
		r.oldest = rec.next
	} else {
		r.slots[rec.prev].next = rec.next
	}
	if rec.next == noRecord {
		r.newest = rec.prev
	} else {
		r.slots[rec.next].prev = rec.prev
	}
	delete(r.byID, rec.id)
	r.slots[index] = record{}
	r.free = append(r.free, index)
	return rec.size
}

// setResult stores the result of a record, which must be the last one that ended.
func (r *records) setResult(index int32, ref ResultRef, size int) {
	rec := &r.slots[index]
	rec.result, rec.size = ref, size
	if r.resultScanStart == noRecord {
		r.resultScanStart = index
	}
}

// dropOldestResult drops the oldest result and returns its size. The record stays.
func (r *records) dropOldestResult() int {
	for r.resultScanStart != noRecord {
		rec := &r.slots[r.resultScanStart]
		r.resultScanStart = rec.next
		if rec.result != nil {
			size := rec.size
			rec.result, rec.size = nil, 0
			return size
		}
	}
	return 0
}

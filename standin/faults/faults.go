// Package faults is the table of faults that every stand-in takes.
package faults

import (
	"sync"
	"time"
)

// Kind is what goes wrong.
type Kind string

// The kinds of fault.
const (
	// Die closes the connection before the call has any effect.
	Die Kind = "die"
	// Slow delays the call by Fault.Delay.
	Slow Kind = "slow"
	// Silent takes the call, has no effect and never answers.
	Silent Kind = "silent"
	// AnswerLost lets the call take effect and then closes the connection.
	AnswerLost Kind = "answer-lost"
	// Outage refuses the call with an error status and no effect.
	Outage Kind = "outage"
)

// Fault applies to the calls of one operation.
type Fault struct {
	// Operation names the stand-in's operation; "*" means all.
	Operation string `json:"operation"`
	Kind      Kind   `json:"kind"`
	// Skip is the number of calls let through first, Count the number hit after
	// that; Count 0 means all.
	Skip  int           `json:"skip,omitempty"`
	Count int           `json:"count,omitempty"`
	Delay time.Duration `json:"delay,omitempty"`
}

// Table holds the faults in force. The zero value has none. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	faults []Fault
	seen   []int
	onHit  func(Fault)
}

// OnHit makes Next call f with each fault that hits, before the fault acts. A test uses
// it to learn that a call has reached the stand-in without waiting for a time to pass.
func (t *Table) OnHit(f func(Fault)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onHit = f
}

// Set replaces all faults and counts from zero.
func (t *Table) Set(faults ...Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append([]Fault(nil), faults...)
	t.seen = make([]int, len(faults))
}

// Next returns the fault that hits the next call of operation; ok is false when none does.
func (t *Table) Next(operation string) (fault Fault, ok bool) {
	fault, onHit, ok := t.next(operation)
	if ok && onHit != nil {
		onHit(fault)
	}
	return fault, ok
}

func (t *Table) next(operation string) (fault Fault, onHit func(Fault), ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, f := range t.faults {
		if f.Operation != operation && f.Operation != "*" {
			continue
		}
		t.seen[i]++
		n := t.seen[i] - f.Skip
		if n > 0 && (f.Count == 0 || n <= f.Count) {
			return f, t.onHit, true
		}
	}
	return Fault{}, nil, false
}

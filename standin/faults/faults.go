// Package faults provides the table of faults that every stand-in takes.
package faults

import (
	"sync"
	"time"
)

// Kind is the kind of a fault.
type Kind string

// The kinds of fault.
const (
	// Die closes the connection before the call takes effect.
	Die Kind = "die"
	// Slow delays the call by Fault.Delay.
	Slow Kind = "slow"
	// Silent accepts the call, has no effect and never answers.
	Silent Kind = "silent"
	// AnswerLost lets the call take effect and closes the connection without an answer.
	AnswerLost Kind = "answer-lost"
	// Outage refuses the call with an error status and no effect.
	Outage Kind = "outage"
	// End lets the call take effect and ends its answer in the way that Fault.Ending names.
	End Kind = "end"
)

// Fault applies to the calls of one operation.
type Fault struct {
	// Operation names the stand-in's operation; "*" means all.
	Operation string `json:"operation"`
	Kind      Kind   `json:"kind"`
	// Skip is the number of calls that pass before the fault applies, Count the number of calls
	// that it then applies to; Count 0 means all.
	Skip  int           `json:"skip,omitempty"`
	Count int           `json:"count,omitempty"`
	Delay time.Duration `json:"delay,omitempty"`
	// Ending is the text form of an ending.Ending.
	Ending string `json:"ending,omitempty"`
}

// Table holds the active faults. The zero value has none. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	faults []Fault
	seen   []int
	onHit  func(Fault)
}

// OnHit makes Next call f with each fault that applies, before it takes effect. Tests use it to
// learn without a timer that a call has reached the stand-in.
func (t *Table) OnHit(f func(Fault)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onHit = f
}

// Set replaces all faults and resets their counters.
func (t *Table) Set(faults ...Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append([]Fault(nil), faults...)
	t.seen = make([]int, len(faults))
}

// Next returns the fault that applies to the next call of operation; ok is false if there is none.
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

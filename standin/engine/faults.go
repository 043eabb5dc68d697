package engine

import (
	"sync"

	"acaciacleat.example/standin/faults"
)

// Fault extends faults.Fault. With the operation OpStream it applies to a stream that has begun:
// Die closes the connection, Silent sends nothing more while generation goes on, Slow delays each
// later event by Delay.
type Fault struct {
	faults.Fault
	// AfterTokens is how many tokens the stream sends before the fault applies.
	AfterTokens int `json:"after_tokens,omitempty"`
}

// SetFaults replaces all faults and resets their counters.
func (e *Engine) SetFaults(list ...Fault) {
	var calls []faults.Fault
	var streams []Fault
	for _, f := range list {
		if f.Operation == OpStream {
			streams = append(streams, f)
			continue
		}
		calls = append(calls, f.Fault)
	}
	e.faults.Set(calls...)
	e.streams.set(streams)
}

// streamFaults counts each stream fault in a table of its own, since faults.Table does not support
// AfterTokens.
type streamFaults struct {
	mu     sync.Mutex
	list   []Fault
	tables []*faults.Table
}

func (s *streamFaults) set(list []Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = list
	s.tables = nil
	for _, f := range list {
		table := &faults.Table{}
		table.Set(f.Fault)
		s.tables = append(s.tables, table)
	}
}

// next returns the fault that applies to a stream that begins now.
func (s *streamFaults) next() (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, table := range s.tables {
		if _, ok := table.Next(OpStream); ok {
			return s.list[i], true
		}
	}
	return Fault{}, false
}

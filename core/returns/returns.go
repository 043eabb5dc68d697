// Package returns remembers requests that were refused, to recognise them when their callers repeat
// them. It does no I/O.
package returns

import "time"

const (
	// Remembered is how long a refused request is remembered: callers wait for a third of their time at
	// the most.
	Remembered = 10 * time.Second
	// maxRequests bounds the requests that are remembered.
	maxRequests = 4096
)

// Memory remembers refused requests by a key of their content. The zero Memory is empty. It isn't safe
// for concurrent use.
type Memory[K comparable] struct {
	requests map[K]request
}

type request struct{ first, due time.Time }

// Refused records that a request is refused, whose first attempt came at a time, and which is asked to
// return after the given one.
func (m *Memory[K]) Refused(now time.Time, key K, first time.Time, after time.Duration) {
	if m.requests == nil {
		m.requests = make(map[K]request)
	}
	if len(m.requests) >= maxRequests {
		m.forget(now)
	}
	if len(m.requests) < maxRequests {
		m.requests[key] = request{first: first, due: now.Add(after)}
	}
}

// Empty reports whether nothing is remembered.
func (m *Memory[K]) Empty() bool { return len(m.requests) == 0 }

// Returned returns when the first attempt of a request came, if it was refused and is due. It forgets the
// request: others of the same content are new.
func (m *Memory[K]) Returned(now time.Time, key K) (first time.Time, ok bool) {
	r, ok := m.requests[key]
	if !ok || now.Before(r.due) {
		return time.Time{}, false
	}
	delete(m.requests, key)
	return r.first, now.Sub(r.due) < Remembered
}

// forget removes the requests that haven't returned in time.
func (m *Memory[K]) forget(now time.Time) {
	for key, r := range m.requests {
		if now.Sub(r.due) >= Remembered {
			delete(m.requests, key)
		}
	}
}

package gateway

import (
	"sync"
	"time"

	"acaciacleat.example/core/fingerprint"
	"acaciacleat.example/core/returns"
)

// returning recognises requests that this entry has refused in scarcity and whose callers repeat them.
// Their callers have waited since the first attempt, so they are late, and go behind those that aren't.
type returning struct {
	mu     sync.Mutex
	memory returns.Memory[fingerprint.Print]
}

// refused records that a request is refused, whose first attempt came at a time, and that it is asked to
// return after the given one. Callers whose deadline is near come sooner.
func (r *returning) refused(now time.Time, print fingerprint.Print, first time.Time, after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.memory.Refused(now, print, first, after/2)
}

// returned returns when the first attempt of a request came, if it was refused here.
func (r *returning) returned(now time.Time, print func() fingerprint.Print) (first time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.memory.Empty() {
		return time.Time{}, false
	}
	return r.memory.Returned(now, print())
}

// recogniseReturn sets the time since when the caller has waited.
func (e *exchange) recogniseReturn() {
	e.waitsSince = e.arrived
	if e.service.Engine == nil || !e.g.config.Fleet.Scarce(e.arrived) {
		return
	}
	if first, ok := e.g.returning.returned(e.arrived, e.fingerprint); ok {
		e.waitsSince = first
	}
}

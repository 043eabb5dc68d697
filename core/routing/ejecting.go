package routing

import "time"

// engineEjectThreshold is the number of consecutive failures that eject an engine. The
// request seldom causes an engine's failure, and each failure costs a retry.
const engineEjectThreshold = 2

// OutcomeObserver is a policy that takes the outcomes of requests into account.
type OutcomeObserver interface {
	// Finished records the end of a request to an agent's replica. A failure is one of the
	// replica itself, not of the request.
	Finished(agent string, failed bool, now time.Time)
}

// Ejecting excludes replicas that fail several times in a row, for a time, and leaves the
// choice among the rest to another policy.
//
// An engine that breaks every stream frees its memory at once, so it looks idle and would
// attract all requests. If more than maxEjectedShare of the live replicas are ejected, the
// cause is probably elsewhere, and the ejections are ignored. They are also ignored for a
// request that can be offered to no other replica.
type Ejecting struct {
	policy  Policy
	health  map[string]*replicaHealth
	scratch []Replica
}

// NewEjecting returns an Ejecting that wraps a policy.
func NewEjecting(policy Policy) *Ejecting {
	return &Ejecting{policy: policy, health: make(map[string]*replicaHealth)}
}

// Choose implements Policy.
func (e *Ejecting) Choose(request *Request, replicas []Replica, now time.Time) Choice {
	ejected := e.countEjected(replicas, now)
	if ejected == 0 || float64(ejected) > maxEjectedShare*float64(countLive(replicas)) {
		return e.policy.Choose(request, replicas, now)
	}
	e.scratch = append(e.scratch[:0], replicas...)
	for i := range e.scratch {
		if e.isEjected(&e.scratch[i], now) {
			e.scratch[i].State = Suspect
		}
	}
	choice := e.policy.Choose(request, e.scratch, now)
	if choice.Index < 0 {
		return e.policy.Choose(request, replicas, now)
	}
	return choice
}

func (e *Ejecting) countEjected(replicas []Replica, now time.Time) int {
	if len(e.health) == 0 {
		return 0
	}
	n := 0
	for i := range replicas {
		if replicas[i].State == Live && e.isEjected(&replicas[i], now) {
			n++
		}
	}
	return n
}

func (e *Ejecting) isEjected(replica *Replica, now time.Time) bool {
	state := e.health[replica.Agent]
	return state != nil && state.ejectedUntil.After(now)
}

func countLive(replicas []Replica) int {
	n := 0
	for i := range replicas {
		if replicas[i].State == Live {
			n++
		}
	}
	return n
}

// Finished implements OutcomeObserver. It tracks only replicas that have failed.
func (e *Ejecting) Finished(agent string, failed bool, now time.Time) {
	state := e.health[agent]
	if state == nil {
		if !failed || len(e.health) >= maxTrackedReplicas {
			return
		}
		state = &replicaHealth{}
		e.health[agent] = state
	}
	state.record(failed, engineEjectThreshold, now)
}

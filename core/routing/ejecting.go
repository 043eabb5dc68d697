package routing

import "time"

// ejectEngineAfter is the number of failures in a row that eject an engine. An engine's
// failure is seldom the request's doing, and each one costs a retry.
const ejectEngineAfter = 2

// Learner is a policy that learns from how requests end.
type Learner interface {
	// Finished tells how a request to an agent's replica ended. A failure is one of the
	// replica itself, not of the request.
	Finished(agent string, failed bool, now time.Time)
}

// Ejecting keeps requests away from replicas that fail several times in a row, and asks
// another policy about the rest.
//
// What goes wrong: an engine that breaks every stream frees its memory at once, looks
// idle and draws all requests. It shows as one replica with most failures. Its failures
// take it out for a time, unless so many fail that the fault is probably elsewhere.
type Ejecting struct {
	policy  Policy
	states  map[string]*outlier
	scratch []Replica
}

// NewEjecting wraps a policy.
func NewEjecting(policy Policy) *Ejecting {
	return &Ejecting{policy: policy, states: make(map[string]*outlier)}
}

// Choose implements Policy.
func (e *Ejecting) Choose(request *Request, replicas []Replica, now time.Time) Choice {
	ejected := e.ejected(replicas, now)
	if ejected == 0 || float64(ejected) > ejectShare*float64(live(replicas)) {
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

func (e *Ejecting) ejected(replicas []Replica, now time.Time) int {
	if len(e.states) == 0 {
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
	state := e.states[replica.Agent]
	return state != nil && state.ejectedUntil.After(now)
}

func live(replicas []Replica) int {
	n := 0
	for i := range replicas {
		if replicas[i].State == Live {
			n++
		}
	}
	return n
}

// Finished implements Learner. Only replicas that failed are remembered.
func (e *Ejecting) Finished(agent string, failed bool, now time.Time) {
	state := e.states[agent]
	if state == nil {
		if !failed || len(e.states) >= maxOutliers {
			return
		}
		state = &outlier{}
		e.states[agent] = state
	}
	state.finished(failed, ejectEngineAfter, now)
}

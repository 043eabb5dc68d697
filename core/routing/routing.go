// Package routing chooses the replica that a request is offered to. It does no I/O and
// reads no clock: callers pass in the state of the replicas and the time.
package routing

import (
	"strconv"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/document"
)

// State says whether a replica may receive new requests.
type State uint8

// The states of a replica as an entry sees it.
const (
	Live State = iota
	Suspect
	Leaving
	Dead
)

// String returns the state's name for logs.
func (s State) String() string {
	names := [...]string{"live", "suspect", "leaving", "dead"}
	if int(s) >= len(names) {
		return "state " + strconv.Itoa(int(s))
	}
	return names[s]
}

// Load is an agent's report of its own load. Agents of one model and zone exchange
// reports, and every reply to an entry carries one. All counts are tokens unless named
// otherwise.
type Load struct {
	// QueuedPrompt and RunningPrompt count prompt tokens not yet prefilled, by class.
	QueuedPrompt  [call.NumClasses]int64
	RunningPrompt [call.NumClasses]int64
	// QueuedCalls and RunningCalls count requests.
	QueuedCalls  int32
	RunningCalls int32
	// FreeTokens is the KV cache memory that is neither used nor reserved.
	FreeTokens int64
	// CapacityTokens is the engine's total KV cache memory.
	CapacityTokens int64
	// PrefillRate is the agent's running estimate of prompt tokens prefilled per second.
	PrefillRate float64
	// Down is set while the upstream does not respond; the agent then refuses requests.
	Down bool
	// Sequence rises by one with each report of one incarnation, so that a report that
	// arrives out of order is recognised and dropped.
	Sequence uint64
}

// Replica is the state of one upstream and its agent, as known to the entry that chooses.
type Replica struct {
	// Agent is the VM's identity in the list of VMs.
	Agent       string
	Zone        string
	Service     string
	Model       string
	Incarnation call.Incarnation
	State       State
	Load        Load
	// LoadTakenAt is the time at which Load was taken, by the entry's own clock; zero if no
	// report was received.
	LoadTakenAt time.Time
	// InFlight counts the entry's own requests offered since LoadTakenAt and not yet finished.
	InFlight int32
	// InFlightPrompt is the sum of their prompt tokens.
	InFlightPrompt int64
}

// Request holds the properties of a request that routing depends on.
type Request struct {
	Service      string
	Model        string
	Organisation string
	Demand       call.TokenDemand
	Zone         string
	Objective    document.Objective
	// PromptBytes is the length of the prompt that Prefix was computed from; 0 if unknown.
	PromptBytes int
	// Prefix holds rolling digests of the prompt at fixed block boundaries, shortest first.
	Prefix   []uint64
	Deadline time.Time
	// Exclude lists the agents that already refused the request. It is short.
	Exclude []string
}

// Choice is the outcome of a routing decision.
type Choice struct {
	// Index is the index of the chosen replica in the given slice; -1 if none is usable.
	Index int
	// Predicted is the predicted time to first token.
	Predicted time.Duration
}

// Policy chooses among replicas of one model or plain service.
type Policy interface {
	// Choose must not retain its arguments. It is called by one goroutine at a time.
	Choose(request *Request, replicas []Replica, now time.Time) Choice
}

// Naive is the baseline: round robin over live replicas, whatever their load and the
// length of the prompt.
type Naive struct{ next int }

// Choose implements Policy.
func (n *Naive) Choose(request *Request, replicas []Replica, _ time.Time) Choice {
	for range replicas {
		n.next++
		i := n.next % len(replicas)
		if Usable(request, &replicas[i]) {
			return Choice{Index: i}
		}
	}
	return Choice{Index: -1}
}

// Usable reports whether a replica may be offered the request.
func Usable(request *Request, replica *Replica) bool {
	if replica.State != Live {
		return false
	}
	// An engine that serves another model refuses the request. An engine that has not
	// reported its model yet may serve this one.
	if replica.Model != "" && request.Model != "" && replica.Model != request.Model {
		return false
	}
	for _, agent := range request.Exclude {
		if agent == replica.Agent {
			return false
		}
	}
	return true
}

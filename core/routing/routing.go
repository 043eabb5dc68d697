// Package routing chooses the replica that a request is offered to. Its decisions
// are pure: what is known about the replicas and the time go in, a choice comes out.
package routing

import (
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/document"
)

// State says whether a replica may be given new work.
type State uint8

// The states of a replica in an entry's view.
const (
	Live State = iota
	Suspect
	Leaving
	Dead
)

// Load is an agent's digest of its own load. Agents of one model and zone exchange
// it and every reply to an entry carries it. All counts are tokens unless named otherwise.
type Load struct {
	// QueuedPrompt and RunningPrompt count prompt tokens not yet prefilled, by class.
	QueuedPrompt  [call.NumClasses]int64
	RunningPrompt [call.NumClasses]int64
	// QueuedCalls and RunningCalls count requests.
	QueuedCalls  int32
	RunningCalls int32
	// FreeTokens is KV cache memory that is neither used nor reserved.
	FreeTokens int64
	// CapacityTokens is the engine's whole KV cache memory.
	CapacityTokens int64
	// PrefillRate is the agent's running estimate of prompt tokens prefilled a second.
	PrefillRate float64
	// Down says that the upstream gives no sign of life; the agent refuses work for it.
	Down bool
	// Sequence rises by one with each digest of one incarnation, so that an older one
	// that arrives late is recognised and dropped.
	Sequence uint64
}

// Replica is what an entry knows of one upstream and the agent beside it.
type Replica struct {
	// Agent is the VM's identity in the list of VMs.
	Agent       string
	Zone        string
	Service     string
	Model       string
	Incarnation call.Incarnation
	State       State
	Load        Load
	// Seen is when Load was received, by the reader's own clock; zero when never.
	Seen time.Time
	// InFlight counts the reader's own requests offered since Seen and not finished.
	InFlight int32
	// InFlightPrompt is the sum of their prompt tokens.
	InFlightPrompt int64
}

// Request is what routing weighs about a request.
type Request struct {
	Service      string
	Model        string
	Organisation string
	Work         call.TokenDemand
	Zone         string
	Objective    document.Objective
	// PromptBytes is the length of the prompt that Prefix was made from; 0 when unknown.
	PromptBytes int
	// Prefix holds rolling digests of the prompt at fixed block boundaries, shortest first.
	Prefix   []uint64
	Deadline time.Time
	// Exclude names agents that already refused; it is short.
	Exclude []string
}

// Choice is the outcome of a routing decision.
type Choice struct {
	// Index is the chosen replica's place in the slice given; -1 when none will do.
	Index int
	// Predicted is the predicted time to first token.
	Predicted time.Duration
}

// Policy chooses among replicas of one model or plain service.
type Policy interface {
	// Choose must not retain its arguments. It is called by one goroutine at a time.
	Choose(request *Request, replicas []Replica, now time.Time) Choice
}

// Naive is the baseline: round robin over live replicas, blind to load and length.
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

// Usable reports whether a replica may be offered the request at all.
func Usable(request *Request, replica *Replica) bool {
	if replica.State != Live {
		return false
	}
	// An engine that serves another model refuses the request. One that hasn't reported
	// yet may serve it.
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

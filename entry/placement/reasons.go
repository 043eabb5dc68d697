package placement

import (
	"sync"
	"time"

	"acaciacleat.example/core/placement"
)

// maxSteps bounds the steps kept for one service. A round adds at most two orders and their
// outcomes, and rounds with orders are rare.
const maxSteps = 256

// Explanation describes who places a service and what this entry did as the lease holder.
type Explanation struct {
	Service string `json:"service"`
	// Holder identifies the entry, and its process, that holds the lease according to the lease's
	// row; empty if none does.
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
	// HolderError is the error of reading the lease's row; Holder is empty if it is set.
	HolderError string `json:"holder_error,omitempty"`
	// HeldHere says that the queried entry holds the lease. Only the holder has the current
	// steps; those of another entry are from the time when it was the holder.
	HeldHere bool `json:"held_here"`
	// Replicas are the replicas as observed in the last round.
	Replicas []Replica `json:"replicas"`
	// Steps are the kept steps, the newest last.
	Steps []Step `json:"steps"`
}

// Replica is the observed state of an engine.
type Replica struct {
	VM           string   `json:"vm"`
	Zone         string   `json:"zone"`
	State        string   `json:"state"`
	Model        string   `json:"model,omitempty"`
	Version      string   `json:"version,omitempty"`
	Adapters     []string `json:"adapters,omitempty"`
	Role         string   `json:"role,omitempty"`
	Requests     int      `json:"requests"`
	ErrorRate    float64  `json:"error_rate"`
	FirstTokenMs float64  `json:"first_token_ms"`
	OrderError   string   `json:"order_error,omitempty"`
}

// Step is one order to an agent, or the rejection of one canary.
type Step struct {
	At      time.Time        `json:"at"`
	VM      string           `json:"vm,omitempty"`
	Kind    string           `json:"kind"`
	Model   string           `json:"model,omitempty"`
	Version string           `json:"version,omitempty"`
	Adapter string           `json:"adapter,omitempty"`
	Role    string           `json:"role,omitempty"`
	Reason  placement.Reason `json:"reason"`
	// Outcome says how the step ended, such as "given", or "refused: " and the agent's reason.
	Outcome string `json:"outcome"`
	Fence   uint64 `json:"fence"`
}

// kindRejectCanary is the kind of a step that rolls back a canary.
const kindRejectCanary = "reject-canary"

// history keeps the last steps and the replicas observed in the last round. It is safe for
// concurrent use.
type history struct {
	mu       sync.Mutex
	steps    []Step
	replicas []Replica
}

func (h *history) add(step Step) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.steps) == maxSteps {
		h.steps = append(h.steps[:0], h.steps[1:]...)
	}
	h.steps = append(h.steps, step)
}

func (h *history) setReplicas(replicas []Replica) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replicas = replicas
}

func (h *history) copyTo(e *Explanation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.Steps = append([]Step{}, h.steps...)
	e.Replicas = append([]Replica{}, h.replicas...)
}

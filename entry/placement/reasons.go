package placement

import (
	"sync"
	"time"

	"acaciacleat.example/core/placement"
)

// keptSteps bounds the steps kept of one service. At most two orders a round and their
// outcomes come together, and rounds with orders are rare.
const keptSteps = 256

// Explanation tells who places a service, and what this entry did as its holder.
type Explanation struct {
	Service string `json:"service"`
	// Holder is the entry and the life of its process that hold the lease by its row; empty
	// if nobody does.
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
	// HolderError tells why the lease's row could not be read; Holder is then empty.
	HolderError string `json:"holder_error,omitempty"`
	// Here says that the entry that was asked holds the lease. Only the holder knows of
	// all steps; another one's are of the time when it was the holder.
	Here bool `json:"held_here"`
	// Replicas are what the last round saw.
	Replicas []Replica `json:"replicas"`
	// Steps are the newest last.
	Steps []Step `json:"steps"`
}

// Replica is what was seen of an engine.
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

// Step is one thing that placement did.
type Step struct {
	At      time.Time        `json:"at"`
	VM      string           `json:"vm,omitempty"`
	Kind    string           `json:"kind"`
	Model   string           `json:"model,omitempty"`
	Version string           `json:"version,omitempty"`
	Adapter string           `json:"adapter,omitempty"`
	Role    string           `json:"role,omitempty"`
	Reason  placement.Reason `json:"reason"`
	// Outcome tells what became of it.
	Outcome string `json:"outcome"`
	Fence   uint64 `json:"fence"`
}

// kindReject is the kind of step that rolls a canary back.
const kindReject = "reject-canary"

// history keeps the last steps and what the last round saw. It is safe for concurrent use.
type history struct {
	mu       sync.Mutex
	steps    []Step
	replicas []Replica
}

func (h *history) add(step Step) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.steps) == keptSteps {
		h.steps = append(h.steps[:0], h.steps[1:]...)
	}
	h.steps = append(h.steps, step)
}

func (h *history) saw(replicas []Replica) {
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

// Package placement decides which engine serves which model, version, adapters and role
// of one service. It does no I/O: the document, the observed replicas and the time are
// inputs, a bounded number of orders is the output.
//
// Orders are idempotent: they name the desired state, not a step towards it. One process at
// a time, the lease holder, places a service; if two processes act as holder by mistake,
// they give the same orders from the same observations. Together they could still exceed
// the rate of the weight store. Every order that fetches weights therefore needs one of a
// fixed number of slots, each a row of the table that is taken by a conditional write.
package placement

import (
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/core/routing"
)

// Kind is the kind of an order.
type Kind string

// The kinds of orders, as in the engines' interface.
const (
	LoadModel   Kind = "load-model"
	LoadAdapter Kind = "load-adapter"
	SetRole     Kind = "role"
)

// Reason is the reason for an order or a rejection.
type Reason string

// The reasons as they are logged.
const (
	ReasonTooFew      Reason = "fewer replicas than the document wants"
	ReasonVersion     Reason = "the replica serves a version that isn't wanted"
	ReasonCanary      Reason = "fewer or more replicas on the canary than its share"
	ReasonZone        Reason = "the availability zone has fewer replicas than its part"
	ReasonAdapter     Reason = "the replica lacks an adapter"
	ReasonRole        Reason = "fewer replicas in the role than its share"
	ReasonErrors      Reason = "the canary fails more often than the stable version"
	ReasonFirstTokens Reason = "the canary's first tokens come later than the stable version's"
)

// Replica is the observed state of one engine.
type Replica struct {
	VM   string
	Zone string
	// Model and Version are empty for an engine that serves no model.
	Model    string
	Version  string
	Adapters []string
	Role     string
	State    routing.State
	// Requests, ErrorRate (0 to 1) and FirstToken, the mean time to first token, cover the
	// last minutes and only the version served now.
	Requests   int
	ErrorRate  float64
	FirstToken time.Duration
}

// RoleShare is the share of a model's replicas that should have a role. The others keep
// their roles.
type RoleShare struct {
	Model string
	Role  string
	Share float64
}

// ModelVersion is a version of a model.
type ModelVersion struct{ Model, Version string }

// Slot is a row of the table that permits one fetch from the weight store at a time.
type Slot struct {
	Index int
	// Version is the row's version; 0 when there is no row.
	Version uint64
	// Service and Order identify the holder of the slot; Order is nil when the slot is free.
	Service string
	Order   *Order
}

// Input is the input of a decision.
type Input struct {
	Service  *document.Service
	Replicas []Replica
	// Slots are all slots of the weight store, shared with other services. Their number is
	// the part of the weight store's rate that is reserved for placement, divided by the rate
	// of one fetch.
	Slots []Slot
	// Rejected are the canaries that were rolled back, as stored for RejectCanary.
	Rejected []ModelVersion
	Roles    []RoleShare
}

// Action is an action for the caller, one of the types below.
type Action interface{ action() }

// Order instructs an engine to change what it serves. The caller adds its fencing token.
type Order struct {
	VM    string `json:"vm"`
	Kind  Kind   `json:"kind"`
	Model string `json:"model,omitempty"`
	// Version is the model's version for LoadModel; Adapter and Role are for the other kinds.
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	Reason  Reason `json:"reason"`
}

// SlotOrder is an order that fetches weights. The caller first writes the order into the
// slot's row, on condition that the row has the given version, and gives the order only
// if the write succeeded. Otherwise it calls Placer.OrderDropped.
type SlotOrder struct {
	Order   Order
	Slot    int
	Version uint64
}

// ReleaseSlot clears the slot's row, on condition that it has the given version.
type ReleaseSlot struct {
	Slot    int
	Version uint64
}

// RejectCanary stores that a canary was rolled back. Input.Rejected lists it from then on;
// otherwise a new lease holder would try the same version again.
type RejectCanary struct {
	ModelVersion
	Reason Reason
}

func (Order) action()        {}
func (SlotOrder) action()    {}
func (ReleaseSlot) action()  {}
func (RejectCanary) action() {}

// Config bounds the decisions.
type Config struct {
	// MaxOrdersPerRound bounds the orders of one decision, MaxPendingOrders those not yet
	// observed as done.
	MaxOrdersPerRound, MaxPendingOrders int
	// LoadingShare is the share of a model's replicas that may be loading at the same time.
	LoadingShare float64
	// DeadGracePeriod is how long a replica may be dead before it is replaced.
	DeadGracePeriod time.Duration
	// OrderTimeout is how long an order may take. The engine's agent drops it after that.
	OrderTimeout time.Duration
	// SlotTimeout is how long a slot's row may stay unchanged before it counts as free. It
	// is longer than OrderTimeout, so that the fetch of a dropped order has ended by then.
	SlotTimeout time.Duration
	// Cooldown is how long an engine gets no order after its last one has ended.
	Cooldown time.Duration
	// MinRequests is the number of requests that both versions need before a canary is
	// compared with the stable version.
	MinRequests int
	// ErrorMargin is by how much a canary's error rate may exceed that of the stable version.
	// FirstTokenFactor is by which factor its mean time to first token may be longer.
	ErrorMargin, FirstTokenFactor float64
}

// DefaultConfig returns settings for fleets of tens to thousands of engines. OrderTimeout,
// SlotTimeout and Cooldown allow for minutes to load a model's weights, DeadGracePeriod for
// seconds to restart an agent. At 200 requests an error rate of 1 % has a standard error of
// 0.7 %, so that it seldom exceeds a margin of 2 % by chance.
func DefaultConfig() Config {
	return Config{
		MaxOrdersPerRound: 2, MaxPendingOrders: 8, LoadingShare: 0.1,
		DeadGracePeriod: 30 * time.Second, OrderTimeout: 10 * time.Minute, SlotTimeout: 20 * time.Minute, Cooldown: time.Minute,
		MinRequests: 200, ErrorMargin: 0.02, FirstTokenFactor: 1.5,
	}
}

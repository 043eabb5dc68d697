// Package placement decides which engine serves which model, version, adapters and role
// of one service. Its decisions are pure: the document, what is observed of the replicas
// and the time go in, a bounded number of orders comes out.
//
// Orders name the state wanted and not a step, so that one that is given twice does no
// harm. One process at a time places a service, under a lease; a second holder by mistake
// gives the same orders from the same observations. What two holders might still exceed
// together is the weight store's rate: so every order that fetches weights needs one of a
// fixed number of slots, each a row of the table that is taken by a conditional write.
package placement

import (
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/core/routing"
)

// Kind is what an order asks for.
type Kind string

// The kinds of order, as engines spell them.
const (
	LoadModel   Kind = "load-model"
	LoadAdapter Kind = "load-adapter"
	SetRole     Kind = "role"
)

// Reason says why an order or a rejection was made.
type Reason string

// The reasons.
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

// Replica is what is observed of one engine.
type Replica struct {
	VM   string
	Zone string
	// Model and Version are empty for an engine that serves nothing.
	Model    string
	Version  string
	Adapters []string
	Role     string
	State    routing.State
	// Requests, ErrorRate (0 to 1) and FirstToken, the mean time to first token, are of
	// the last minutes and of the version served now.
	Requests   int
	ErrorRate  float64
	FirstToken time.Duration
}

// RoleShare is the share of a model's replicas that should have a role; the others keep
// theirs.
type RoleShare struct {
	Model string
	Role  string
	Share float64
}

// ModelVersion is a version of a model.
type ModelVersion struct{ Model, Version string }

// Slot is a row of the table that allows one fetch from the weight store at a time.
type Slot struct {
	Index int
	// Version is the row's version; 0 when there is no row.
	Version uint64
	// Service and Order tell who holds the slot; Order is nil when it is free.
	Service string
	Order   *Order
}

// Input is what a decision is made from.
type Input struct {
	Service  *document.Service
	Replicas []Replica
	// Slots are all slots of the weight store, shared with other services. Their number
	// is the weight store's share for placement divided by the rate of one fetch.
	Slots []Slot
	// Rejected are the canaries that were rolled back, as RejectCanary had them stored.
	Rejected []ModelVersion
	Roles    []RoleShare
}

// Action is what the caller must do; it is one of the types below.
type Action interface{ action() }

// Order asks an engine to change what it serves. The caller adds its fencing number.
type Order struct {
	VM    string `json:"vm"`
	Kind  Kind   `json:"kind"`
	Model string `json:"model,omitempty"`
	// Version is the model's version, Adapter or Role what the other kinds ask for.
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	Reason  Reason `json:"reason"`
}

// Reserved is an order that fetches weights. The caller first writes the order into the
// slot's row, on condition that the row has the given version, and gives the order only
// if that took effect. Otherwise it calls Placer.Dropped.
type Reserved struct {
	Order   Order
	Slot    int
	Version uint64
}

// ReleaseSlot empties the slot's row, on condition that it has the given version.
type ReleaseSlot struct {
	Slot    int
	Version uint64
}

// RejectCanary stores that a canary was rolled back; Input.Rejected lists it from then on.
// A new holder of the lease would otherwise try the same version again.
type RejectCanary struct {
	ModelVersion
	Reason Reason
}

func (Order) action()        {}
func (Reserved) action()     {}
func (ReleaseSlot) action()  {}
func (RejectCanary) action() {}

// Config bounds the decisions.
type Config struct {
	// OrdersPerRound and OrdersAtOnce bound the orders of one decision and those not yet
	// seen to be done.
	OrdersPerRound, OrdersAtOnce int
	// LoadingShare is the part of a model's replicas that may load at the same time.
	LoadingShare float64
	// DeadGrace is how long a dead replica is waited for before another takes its place.
	DeadGrace time.Duration
	// OrderLife is how long an order may take. The engine's agent drops it after that.
	OrderLife time.Duration
	// SlotLife is how long a slot's row may stay unchanged before it counts as free. It
	// is longer than OrderLife, so that a fetch under a dropped order has ended.
	SlotLife time.Duration
	// Rest is how long an engine gets no order after its last one ended.
	Rest time.Duration
	// MinRequests is the number of requests that both versions need before a canary is judged.
	MinRequests int
	// ErrorMargin is how much higher a canary's error rate may be, FirstTokenFactor how
	// many times as late its first tokens.
	ErrorMargin, FirstTokenFactor float64
}

// DefaultConfig returns settings for fleets of tens to thousands of engines. A model's
// weights take minutes to load, hence the lives and the rest; an agent's restart takes
// seconds, hence the grace. At 200 requests an error rate of 1 % has a standard error of
// 0.7 %, so that a margin of 2 % is seldom passed by chance.
func DefaultConfig() Config {
	return Config{
		OrdersPerRound: 2, OrdersAtOnce: 8, LoadingShare: 0.1,
		DeadGrace: 30 * time.Second, OrderLife: 10 * time.Minute, SlotLife: 20 * time.Minute, Rest: time.Minute,
		MinRequests: 200, ErrorMargin: 0.02, FirstTokenFactor: 1.5,
	}
}

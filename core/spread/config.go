// Package spread decides how one node learns the configuration's revisions, passes them
// on and when it may serve. Its decisions are pure: events and the time go in, actions
// come out. The changes themselves stay with the caller; here they are ranges of revisions.
//
// A revision reaches a node by four ways, each of which covers the others' losses: a
// push down a tree of nodes, the revision that rides on every message of a link, the
// polls of a few nodes of each availability zone, and the table at a start.
package spread

import (
	"time"

	"acaciacleat.example/core/document"
)

// NodeID names a VM in the list of VMs.
type NodeID string

// Member is a live node.
type Member struct {
	ID   NodeID
	Zone string
}

// Config is how a node takes part.
type Config struct {
	Self Member
	// Fanout is the number of nodes to which a node passes a push on.
	Fanout int
	// PollersPerZone is the number of nodes of a zone that poll the table.
	PollersPerZone int
	// PollInterval is the time between two polls of a poller.
	PollInterval time.Duration
	// AnswerTimeout is how long a poll or a question to a peer may stay unanswered, and how long a
	// pause in an answer may be.
	AnswerTimeout time.Duration
	// ContactInterval is how long a node stays without news of others before it asks.
	ContactInterval time.Duration
	// StaleBound is how long a node may serve below the highest revision heard.
	StaleBound time.Duration
	// CutOffBound is how long a node may serve without news from the table or a peer.
	CutOffBound time.Duration
	// PauseBound is the largest regular time between two events of a node; Tick is to be
	// called at least four times in it.
	PauseBound time.Duration
	// ConfirmPeers is the number of peers whose answers stand in for the table's.
	ConfirmPeers int
	// RepushInterval is the time after which a writer pushes again to silent nodes.
	RepushInterval time.Duration
}

// DefaultConfig returns the settings for up to a few thousand nodes.
//
// With a fan-out of 8 a tree of 1,550 nodes has 4 levels, and a node sends a change of
// 1 KB 8 times: at one change a minute 140 B/s of the 2 KB/s that control may take. Two
// pollers in each of 3 zones, twice a second, are 12 of the table's 2,000 reads a second.
// A change should be in force in under 2 s, so a node doesn't serve below a revision it
// heard of for longer. A cut of 10 s is far above a lost message and a link's redial. A
// garbage collection or a busy machine stops a process for tens of milliseconds; 1 s
// is a pause.
func DefaultConfig(self Member) Config {
	return Config{
		Self:            self,
		Fanout:          8,
		PollersPerZone:  2,
		PollInterval:    500 * time.Millisecond,
		AnswerTimeout:   time.Second,
		ContactInterval: 3 * time.Second,
		StaleBound:      2 * time.Second,
		CutOffBound:     10 * time.Second,
		PauseBound:      time.Second,
		ConfirmPeers:    2,
		RepushInterval:  500 * time.Millisecond,
	}
}

// Reason says why a node isn't ready.
type Reason string

// The reasons.
const (
	// ReasonStarting: no revision was confirmed since the start.
	ReasonStarting Reason = "starting: revision not confirmed"
	// ReasonPaused: the process was paused and hasn't confirmed its revision since.
	ReasonPaused Reason = "paused: revision not confirmed"
	// ReasonBehind: a higher revision was heard of and could not be had in StaleBound.
	ReasonBehind Reason = "behind the highest revision heard"
	// ReasonCutOff: neither the table nor a peer was heard for CutOffBound.
	ReasonCutOff Reason = "cut off from the table and all peers"
)

// Action is what the caller must do; it is one of the types below.
type Action interface{ action() }

// PushTo sends the changes after After up to Revision to the nodes. A relay sends on
// the bytes that it got.
type PushTo struct {
	Nodes []NodeID
	// Root is the node that began the push.
	Root NodeID
	// Zone limits the push to the nodes of an availability zone; empty means all nodes.
	Zone            string
	After, Revision document.Revision
}

// AckTo tells a node that others, this one among them, have the revision in force.
type AckTo struct {
	Node     NodeID
	Root     NodeID
	Revision document.Revision
	Nodes    []NodeID
}

// AskPeer asks a node for the changes after After and for the highest revision it knows.
type AskPeer struct {
	Node  NodeID
	After document.Revision
	Nonce uint64
}

// PollTable reads the table's newest revision and the changes after After.
type PollTable struct {
	After document.Revision
	Nonce uint64
}

// Apply puts the changes of the event that returned it into force. It comes before the
// actions that tell others of the revision and must be done before them.
type Apply struct{ Revision document.Revision }

// BecomeReady lets the node admit requests.
type BecomeReady struct{}

// BecomeNotReady stops it from admitting requests.
type BecomeNotReady struct{ Reason Reason }

func (PushTo) action()         {}
func (AckTo) action()          {}
func (AskPeer) action()        {}
func (PollTable) action()      {}
func (Apply) action()          {}
func (BecomeReady) action()    {}
func (BecomeNotReady) action() {}

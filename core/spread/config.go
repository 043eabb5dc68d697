// Package spread implements the state machine by which a node learns of configuration
// revisions, relays them and decides whether it may serve. It does no I/O: events and the
// time go in, actions come out. The caller keeps the changes themselves; this package
// only handles ranges of revisions.
//
// A revision reaches a node in four ways, each of which covers losses of the others: a
// push down a tree of nodes, the revision piggybacked on every message of a link, the
// table polls of a few nodes in each availability zone, and the read of the table at start.
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

// Config holds the settings of a node.
type Config struct {
	Self Member
	// Fanout is the number of nodes to which a node relays a push.
	Fanout int
	// PollersPerZone is the number of nodes of a zone that poll the table.
	PollersPerZone int
	// PollInterval is the time between two polls of a poller.
	PollInterval time.Duration
	// AnswerTimeout is how long the node waits for the answer to a poll or to a query of a
	// peer, and for the next part of an answer.
	AnswerTimeout time.Duration
	// ContactInterval is how long a node goes without contact before it queries a peer.
	ContactInterval time.Duration
	// MaxStaleness is how long a node may serve below the highest known revision.
	MaxStaleness time.Duration
	// MaxIsolation is how long a node may serve without contact to the table or a peer.
	MaxIsolation time.Duration
	// MaxPause is the largest gap between two events that does not count as a pause of the
	// process. Tick must be called at least four times within it.
	MaxPause time.Duration
	// ConfirmPeers is the number of peers whose answers can replace the table's.
	ConfirmPeers int
	// RepushInterval is the time after which a writer pushes again to nodes that have not
	// acknowledged.
	RepushInterval time.Duration
}

// DefaultConfig returns the settings for up to a few thousand nodes.
//
// With a fan-out of 8, a tree of 1,550 nodes has 4 levels and a node sends a change of
// 1 KB 8 times: at one change a minute this is 140 B/s of the 2 KB/s allowed for control
// traffic. Two pollers in each of 3 zones, polling twice a second, use 12 of the table's
// 2,000 reads per second. A change must be applied within 2 s, so a node may not serve
// below a known revision for longer. An isolation of 10 s is far longer than a lost message
// or a redialled link causes. Garbage collection and a busy machine stop a process for tens
// of milliseconds, so a gap of 1 s counts as a pause.
func DefaultConfig(self Member) Config {
	return Config{
		Self:            self,
		Fanout:          8,
		PollersPerZone:  2,
		PollInterval:    500 * time.Millisecond,
		AnswerTimeout:   time.Second,
		ContactInterval: 3 * time.Second,
		MaxStaleness:    2 * time.Second,
		MaxIsolation:    10 * time.Second,
		MaxPause:        time.Second,
		ConfirmPeers:    2,
		RepushInterval:  500 * time.Millisecond,
	}
}

// Reason says why a node is not ready.
type Reason string

const (
	// ReasonStarting means that no revision has been confirmed since the start.
	ReasonStarting Reason = "starting: revision not confirmed"
	// ReasonPaused means that the process was paused and has not confirmed its revision
	// after the pause.
	ReasonPaused Reason = "paused: revision not confirmed"
	// ReasonBehind means that a higher revision is known and was not received within
	// MaxStaleness.
	ReasonBehind Reason = "behind the highest known revision"
	// ReasonIsolated means that there was no contact to the table or a peer for MaxIsolation.
	ReasonIsolated Reason = "cut off from the table and all peers"
)

// Action is an instruction to the caller. It is one of the types below.
type Action interface{ action() }

// PushTo sends the changes after After up to Revision to Nodes. A node that relays a push
// forwards the bytes that it received.
type PushTo struct {
	Nodes []NodeID
	// Root is the node that started the push.
	Root NodeID
	// Zone limits the push to the nodes of an availability zone; empty means all nodes.
	Zone            string
	After, Revision document.Revision
}

// AckTo tells Node that Nodes have applied the revision.
type AckTo struct {
	Node     NodeID
	Root     NodeID
	Revision document.Revision
	Nodes    []NodeID
}

// QueryPeer asks a node for the changes after After and for the highest revision that it
// knows of.
type QueryPeer struct {
	Node  NodeID
	After document.Revision
	Nonce uint64
}

// PollTable reads the table's newest revision and the changes after After.
type PollTable struct {
	After document.Revision
	Nonce uint64
}

// Apply applies the changes, up to Revision, of the event that returned this action. It
// precedes the actions that announce the revision to other nodes and must be performed before
// them.
type Apply struct{ Revision document.Revision }

// BecomeReady lets the node admit requests.
type BecomeReady struct{}

// BecomeNotReady stops the node from admitting requests.
type BecomeNotReady struct{ Reason Reason }

func (PushTo) action()         {}
func (AckTo) action()          {}
func (QueryPeer) action()      {}
func (PollTable) action()      {}
func (Apply) action()          {}
func (BecomeReady) action()    {}
func (BecomeNotReady) action() {}

package spread

import (
	"slices"
	"time"

	"acaciacleat.example/core/document"
)

// maxTrackers bounds the writes that a node follows at once. Operators wait for the
// answer to each, so that there are seldom two.
const maxTrackers = 8

// maxRepush bounds the nodes pushed to directly in one round: 64 messages of 1 KB.
const maxRepush = 64

// InForce records which live nodes have a revision in force.
//
// What goes wrong without it: an operator is told that a change is accepted while a node
// that lost the push still serves the old one. So the answer waits for every live node's
// acknowledgement, and where one is missing the answer names it.
type InForce struct {
	self            NodeID
	interval        time.Duration
	after, revision document.Revision
	missing         map[NodeID]bool
	have            map[NodeID]bool
	lastPush        time.Time
	// next is the node at which the next round of pushes begins.
	next NodeID
}

func newInForce(config Config, now time.Time, after, revision document.Revision, peers []NodeID) *InForce {
	f := &InForce{
		self: config.Self.ID, interval: config.RepushInterval, after: after, revision: revision,
		have: make(map[NodeID]bool), lastPush: now,
	}
	f.setPeers(peers)
	return f
}

// setPeers drops nodes that are gone and adds those that came.
func (f *InForce) setPeers(peers []NodeID) {
	f.missing = make(map[NodeID]bool, len(peers))
	for _, peer := range peers {
		if !f.have[peer] {
			f.missing[peer] = true
		}
	}
}

// acked notes the revision that a node has in force. A higher one includes this one.
func (f *InForce) acked(node NodeID, revision document.Revision) {
	if revision < f.revision {
		return
	}
	f.have[node] = true
	delete(f.missing, node)
}

// Accepted reports whether every live node has the revision in force.
func (f *InForce) Accepted() bool { return len(f.missing) == 0 }

// Missing returns the live nodes that have not acknowledged the revision, by name.
func (f *InForce) Missing() []NodeID {
	missing := make([]NodeID, 0, len(f.missing))
	for node := range f.missing {
		missing = append(missing, node)
	}
	slices.Sort(missing)
	return missing
}

// tick pushes directly to nodes that have been silent, a bounded number a round.
func (f *InForce) tick(actions []Action, now time.Time) []Action {
	if f.Accepted() || now.Sub(f.lastPush) < f.interval {
		return actions
	}
	f.lastPush = now
	missing := f.Missing()
	from, _ := slices.BinarySearch(missing, f.next)
	rotated := append(missing[from:len(missing):len(missing)], missing[:from]...)
	batch := rotated[:min(maxRepush, len(rotated))]
	f.next = rotated[len(batch)%len(rotated)]
	return append(actions, PushTo{Nodes: batch, Root: f.self, After: f.after, Revision: f.revision})
}

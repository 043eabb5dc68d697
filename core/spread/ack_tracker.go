package spread

import (
	"slices"
	"time"

	"acaciacleat.example/core/document"
)

// maxTrackers bounds the writes that a node tracks at once. An operator waits for the
// answer to each write, so there are seldom two.
const maxTrackers = 8

// maxRepush bounds the nodes to which one round pushes directly: 64 messages of 1 KB.
const maxRepush = 64

// AckTracker records which live nodes have applied a revision.
//
// A write counts as accepted only when every live node has acknowledged it. Otherwise a
// node that the push did not reach could go on serving the old configuration after the
// operator was told that the change is accepted. The answer to the operator names the nodes that
// have not acknowledged.
type AckTracker struct {
	self            NodeID
	interval        time.Duration
	after, revision document.Revision
	missing         map[NodeID]bool
	acknowledged    map[NodeID]bool
	lastPush        time.Time
	// nextNode is the node at which the next round of pushes starts.
	nextNode NodeID
}

func newAckTracker(config Config, now time.Time, after, revision document.Revision, peers []NodeID) *AckTracker {
	t := &AckTracker{
		self: config.Self.ID, interval: config.RepushInterval, after: after, revision: revision,
		acknowledged: make(map[NodeID]bool), lastPush: now,
	}
	t.setPeers(peers)
	return t
}

// setPeers sets the live peers: nodes that have left are no longer missing, and new ones are
// missing until they acknowledge.
func (t *AckTracker) setPeers(peers []NodeID) {
	t.missing = make(map[NodeID]bool, len(peers))
	for _, peer := range peers {
		if !t.acknowledged[peer] {
			t.missing[peer] = true
		}
	}
}

// recordAck records that a node has applied a revision. A higher revision includes the
// tracked one.
func (t *AckTracker) recordAck(node NodeID, revision document.Revision) {
	if revision < t.revision {
		return
	}
	t.acknowledged[node] = true
	delete(t.missing, node)
}

// Complete reports whether every live node has applied the revision.
func (t *AckTracker) Complete() bool { return len(t.missing) == 0 }

// Missing returns the live nodes that have not acknowledged the revision, sorted by name.
func (t *AckTracker) Missing() []NodeID {
	missing := make([]NodeID, 0, len(t.missing))
	for node := range t.missing {
		missing = append(missing, node)
	}
	slices.Sort(missing)
	return missing
}

// tick pushes directly to nodes that have not acknowledged, at most maxRepush in a round.
func (t *AckTracker) tick(actions []Action, now time.Time) []Action {
	if t.Complete() || now.Sub(t.lastPush) < t.interval {
		return actions
	}
	t.lastPush = now
	missing := t.Missing()
	from, _ := slices.BinarySearch(missing, t.nextNode)
	rotated := append(missing[from:len(missing):len(missing)], missing[:from]...)
	batch := rotated[:min(maxRepush, len(rotated))]
	t.nextNode = rotated[len(batch)%len(rotated)]
	return append(actions, PushTo{Nodes: batch, Root: t.self, After: t.after, Revision: t.revision})
}

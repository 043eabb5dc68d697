package spread

import (
	"slices"
	"strconv"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/core/rendezvous"
)

// maxRelays bounds the pushes that a node remembers. A push that arrives again after 16
// others is relayed a second time, which only costs bandwidth.
const maxRelays = 16

// relay is a push that the node relayed, with the acknowledgements to return to its parent.
type relay struct {
	root     NodeID
	revision document.Revision
	parent   NodeID
	// acks are the nodes below that have applied the revision and are not yet reported to
	// the parent.
	acks []NodeID
	// ownAckPending says that the node has not acknowledged the push itself. Only a push to
	// all nodes is acknowledged: the root of a push to a zone got the changes from the table
	// and expects no acknowledgements.
	ownAckPending bool
}

// Push is the message that a node receives when another node performs PushTo.
type Push struct {
	From, Root      NodeID
	Zone            string
	After, Revision document.Revision
}

// HandlePush handles a push. The node relays it even if it already has the revision, because
// the nodes below it in the tree may not, but only once for each root and revision.
func (n *Node) HandlePush(now time.Time, push Push) []Action {
	n.beginEvent(now)
	n.lastContact = now
	actions := n.applyChanges(now, nil, push.After, push.Revision)
	n.recordRevision(now, push.From, push.Revision, push.Revision)
	known := n.findRelay(push.Root, push.Revision)
	if known != nil {
		known.parent = push.From
		known.ownAckPending = push.Zone == ""
		return n.finishEvent(now, actions)
	}
	if len(n.relays) == maxRelays {
		n.relays = slices.Delete(n.relays, 0, 1)
	}
	n.relays = append(n.relays, relay{root: push.Root, revision: push.Revision, parent: push.From, ownAckPending: push.Zone == ""})
	actions = n.pushDown(actions, PushTo{Root: push.Root, Zone: push.Zone, After: push.After, Revision: push.Revision})
	return n.finishEvent(now, actions)
}

// HandleAck handles acknowledgements from nodes below in the tree.
func (n *Node) HandleAck(now time.Time, root NodeID, revision document.Revision, nodes []NodeID) []Action {
	n.beginEvent(now)
	n.lastContact = now
	if root == n.config.Self.ID {
		for _, tracker := range n.trackers {
			for _, node := range nodes {
				tracker.recordAck(node, revision)
			}
		}
	} else if relay := n.findRelay(root, revision); relay != nil {
		relay.acks = append(relay.acks, nodes...)
	}
	return n.finishEvent(now, nil)
}

// flushAcks returns the acknowledgements collected since the last tick to the parents, in
// one message for each push. If every node sent its own to the root, the root would have
// connections from all 1,550 nodes.
func (n *Node) flushAcks(actions []Action) []Action {
	for i := range n.relays {
		r := &n.relays[i]
		if r.ownAckPending && n.applied >= r.revision {
			r.ownAckPending = false
			r.acks = append(r.acks, n.config.Self.ID)
		}
		if len(r.acks) > 0 {
			actions = append(actions, AckTo{Node: r.parent, Root: r.root, Revision: r.revision, Nodes: r.acks})
			r.acks = nil
		}
	}
	return actions
}

func (n *Node) findRelay(root NodeID, revision document.Revision) *relay {
	for i := range n.relays {
		if n.relays[i].root == root && n.relays[i].revision == revision {
			return &n.relays[i]
		}
	}
	return nil
}

// pushAsRoot adds a push that this node starts.
func (n *Node) pushAsRoot(actions []Action, push PushTo) []Action {
	push.Root = n.config.Self.ID
	return n.pushDown(actions, push)
}

// pushDown adds a push to the node's children, if it has any.
func (n *Node) pushDown(actions []Action, push PushTo) []Action {
	members := n.members
	if push.Zone != "" {
		members = inZone(members, push.Zone)
	}
	push.Nodes = n.children(push.Root, push.Revision, members)
	if len(push.Nodes) == 0 {
		return actions
	}
	return append(actions, push)
}

// children returns the nodes to which this node relays a push. Each node computes the same
// tree: the members in an order determined by root and revision, with the root first and
// node i as the parent of the nodes i*Fanout+1 to i*Fanout+Fanout. Where two nodes' member
// lists differ, a node may be left out. It then learns of the revision in the other ways,
// and the writer pushes again to nodes that have not acknowledged.
func (n *Node) children(root NodeID, revision document.Revision, members []Member) []NodeID {
	names := make([]string, 0, len(members)+1)
	names = append(names, string(root))
	for _, member := range members {
		if member.ID != root {
			names = append(names, string(member.ID))
		}
	}
	order := rendezvous.Ranked(string(root)+strconv.FormatUint(uint64(revision), 10), names[1:])
	position := 0
	if n.config.Self.ID != root {
		position = 1 + slices.IndexFunc(order, func(i int) bool { return names[i+1] == string(n.config.Self.ID) })
		if position == 0 {
			return nil
		}
	}
	first := position*n.config.Fanout + 1
	last := min(first+n.config.Fanout, len(names))
	var children []NodeID
	for i := first; i < last; i++ {
		children = append(children, NodeID(names[order[i-1]+1]))
	}
	return children
}

func inZone(members []Member, zone string) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Zone != zone })
}

// isPoller reports whether the node is one of its zone's pollers. A node that is missing from
// the list of members counts itself as a member: too many pollers for a while are harmless.
func isPoller(config Config, members []Member) bool {
	names := []string{string(config.Self.ID)}
	for _, member := range inZone(members, config.Self.Zone) {
		if member.ID != config.Self.ID {
			names = append(names, string(member.ID))
		}
	}
	order := rendezvous.Ranked("poller of "+config.Self.Zone, names)
	return slices.Index(order, 0) < config.PollersPerZone
}

// initialPeerIndex returns the index at which a node's rotation over its peers starts. It
// depends on the node's ID, so that the first queries of all nodes are spread over the peers.
func initialPeerIndex(self NodeID) int { return int(rendezvous.Hash(string(self)) >> 33) }

// startTracking tracks a revision that this node wrote. It replaces the oldest of maxTrackers.
func (n *Node) startTracking(now time.Time, after, revision document.Revision) {
	if len(n.trackers) == maxTrackers {
		n.trackers = slices.Delete(n.trackers, 0, 1)
	}
	n.trackers = append(n.trackers, newAckTracker(n.config, now, after, revision, n.peers))
}

// Tracker returns the tracker of a revision that this node wrote. It returns nil if there is
// none or if maxTrackers later writes have replaced it.
func (n *Node) Tracker(revision document.Revision) *AckTracker {
	for _, tracker := range n.trackers {
		if tracker.revision == revision {
			return tracker
		}
	}
	return nil
}

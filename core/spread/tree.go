package spread

import (
	"slices"
	"strconv"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/core/rendezvous"
)

// maxRelays bounds the pushes that a node remembers. A push that comes again after 16
// others would be passed on a second time, which costs bytes and nothing else.
const maxRelays = 16

// relay is a push that the node passed on, with the acknowledgements to pass back.
type relay struct {
	root     NodeID
	revision document.Revision
	parent   NodeID
	// acks are the nodes below that have the revision in force, not yet passed back.
	acks []NodeID
	// owed says that the node's own acknowledgement is still to come. Only a push to all
	// nodes is acknowledged: the root of one to a zone read the table and awaits none.
	owed bool
}

// Push is a message that PushTo sent.
type Push struct {
	From, Root      NodeID
	Zone            string
	After, Revision document.Revision
}

// Pushed takes a push. The node passes it on even if it had the revision by another way,
// for the nodes below it in the tree may not; but only once for each root and revision.
func (n *Node) Pushed(now time.Time, push Push) []Action {
	n.begin(now)
	n.lastContact = now
	actions := n.receive(now, nil, push.After, push.Revision)
	n.hear(now, push.From, push.Revision, push.Revision)
	known := n.findRelay(push.Root, push.Revision)
	if known != nil {
		known.parent = push.From
		known.owed = push.Zone == ""
		return n.settle(now, actions)
	}
	if len(n.relays) == maxRelays {
		n.relays = slices.Delete(n.relays, 0, 1)
	}
	n.relays = append(n.relays, relay{root: push.Root, revision: push.Revision, parent: push.From, owed: push.Zone == ""})
	actions = n.pushDown(actions, PushTo{Root: push.Root, Zone: push.Zone, After: push.After, Revision: push.Revision})
	return n.settle(now, actions)
}

// Acked takes acknowledgements from nodes below in the tree.
func (n *Node) Acked(now time.Time, root NodeID, revision document.Revision, nodes []NodeID) []Action {
	n.begin(now)
	n.lastContact = now
	if root == n.config.Self.ID {
		for _, tracker := range n.trackers {
			for _, node := range nodes {
				tracker.acked(node, revision)
			}
		}
	} else if relay := n.findRelay(root, revision); relay != nil {
		relay.acks = append(relay.acks, nodes...)
	}
	return n.settle(now, nil)
}

// flushAcks passes back what gathered since the last tick, in one message for each push:
// a root would otherwise have a connection from every one of 1,550 nodes.
func (n *Node) flushAcks(actions []Action) []Action {
	for i := range n.relays {
		r := &n.relays[i]
		if r.owed && n.applied >= r.revision {
			r.owed = false
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

// children returns the nodes to which this node passes a push on. Each node works out
// the same tree by itself: the members in an order that root and revision decide, with
// the root first and node i above the nodes i*Fanout+1 to i*Fanout+Fanout. Where two
// nodes' members differ, a node may be left out; it learns of the revision by the other
// ways, and the writer pushes again to those that it doesn't hear from.
func (n *Node) children(root NodeID, revision document.Revision, members []Member) []NodeID {
	names := make([]string, 0, len(members)+1)
	names = append(names, string(root))
	for _, member := range members {
		if member.ID != root {
			names = append(names, string(member.ID))
		}
	}
	order := rendezvous.Ranked(string(root)+strconv.FormatUint(uint64(revision), 10), names[1:])
	place := 0
	if n.config.Self.ID != root {
		place = 1 + slices.IndexFunc(order, func(i int) bool { return names[i+1] == string(n.config.Self.ID) })
		if place == 0 {
			return nil
		}
	}
	first := place*n.config.Fanout + 1
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

// isPoller reports whether the node is among those of its zone that poll. A node that
// isn't in the list counts itself in: too many pollers for a while are harmless.
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

// startingTurn spreads the nodes' first questions over the peers.
func startingTurn(self NodeID) int { return int(rendezvous.Hash(string(self)) >> 33) }

func (n *Node) track(now time.Time, after, revision document.Revision) {
	if len(n.trackers) == maxTrackers {
		n.trackers = slices.Delete(n.trackers, 0, 1)
	}
	n.trackers = append(n.trackers, newInForce(n.config, now, after, revision, n.peers))
}

// InForce returns the record of a revision that this node wrote, or nil when it was
// forgotten after maxTrackers later ones.
func (n *Node) InForce(revision document.Revision) *InForce {
	for _, tracker := range n.trackers {
		if tracker.revision == revision {
			return tracker
		}
	}
	return nil
}

package spread

import (
	"slices"
	"time"

	"acaciacleat.example/core/document"
)

// Node is the state machine of one node. It is not safe for concurrent use.
type Node struct {
	config  Config
	members []Member
	peers   []NodeID
	poller  bool

	applied document.Revision
	// heard is the highest revision known to exist, and informant a node that has it.
	heard       document.Revision
	informant   NodeID
	behindSince time.Time

	lastEvent   time.Time
	lastContact time.Time
	lastPoll    time.Time
	polling     bool
	asked       question
	// turn rotates over the peers, so that a silent one isn't asked again at once.
	turn  int
	nonce uint64

	confirming *confirmation
	ready      bool
	reason     Reason

	relays   []relay
	trackers []*InForce
}

// question is the one outstanding question to a peer.
type question struct {
	open  bool
	nonce uint64
	at    time.Time
}

// confirmation is the node's search for proof that its revision is the newest.
type confirmation struct {
	reason Reason
	// after is the last nonce from before: an answer to an older question was perhaps
	// written before the pause and proves nothing about now.
	after uint64
	peers map[NodeID]bool
	// table says that the table answered with no less than what is in force.
	table bool
}

// New returns a node that starts with the given revision. confirmed says that the table
// gave it; otherwise the node isn't ready until the table or enough peers confirm it.
func New(config Config, now time.Time, start document.Revision, confirmed bool) *Node {
	n := &Node{config: config, applied: start, heard: start, lastEvent: now, lastContact: now, reason: ReasonStarting}
	if !confirmed {
		n.confirm(ReasonStarting)
	}
	return n
}

// Revision returns the revision in force at this node.
func (n *Node) Revision() document.Revision { return n.applied }

// Highest returns the highest revision that the node heard of. It rides on every message
// of a link.
func (n *Node) Highest() document.Revision { return n.heard }

// Ready reports whether a request may be admitted now.
//
// What goes wrong: a process resumes after a pause and takes a request before its next
// tick, under a configuration that was replaced meanwhile. So the time since the last
// event counts as well as the state that the last event left.
func (n *Node) Ready(now time.Time) bool {
	return n.ready && now.Sub(n.lastEvent) <= n.config.PauseBound
}

// SetMembers takes the live nodes, this one among them or not.
func (n *Node) SetMembers(now time.Time, members []Member) []Action {
	n.begin(now)
	n.members = slices.Clone(members)
	n.peers = n.peers[:0]
	for _, member := range members {
		if member.ID != n.config.Self.ID {
			n.peers = append(n.peers, member.ID)
		}
	}
	n.poller = isPoller(n.config, members)
	for _, tracker := range n.trackers {
		tracker.setPeers(n.peers)
	}
	return n.settle(now, nil)
}

// Heard takes the highest revision that a peer sent on link traffic; inForce is the one
// that the peer has in force.
func (n *Node) Heard(now time.Time, from NodeID, highest, inForce document.Revision) []Action {
	n.begin(now)
	n.lastContact = now
	n.hear(now, from, highest, inForce)
	return n.settle(now, nil)
}

// hear notes that a revision exists; from may be empty.
func (n *Node) hear(now time.Time, from NodeID, highest, inForce document.Revision) {
	for _, tracker := range n.trackers {
		tracker.acked(from, inForce)
	}
	if highest > n.heard {
		n.heard = highest
	}
	if inForce >= n.heard && inForce > n.applied {
		n.informant = from
	}
	n.noteBehind(now)
}

func (n *Node) noteBehind(now time.Time) {
	switch {
	case n.applied >= n.heard:
		n.behindSince = time.Time{}
	case n.behindSince.IsZero():
		n.behindSince = now
	}
}

// receive takes changes after after up to revision, if they follow on what is in force.
func (n *Node) receive(now time.Time, actions []Action, after, revision document.Revision) []Action {
	if after <= n.applied && revision > n.applied {
		n.applied = revision
		actions = append(actions, Apply{Revision: revision})
	}
	n.hear(now, "", revision, 0)
	return actions
}

// Answer is a peer's answer to AskPeer; a whole state has After 0.
type Answer struct {
	Node            NodeID
	Nonce           uint64
	After, Revision document.Revision
	// Highest is the highest revision that the peer heard of.
	Highest document.Revision
}

// Answered takes a peer's answer.
func (n *Node) Answered(now time.Time, answer Answer) []Action {
	n.begin(now)
	n.lastContact = now
	n.asked.open = n.asked.open && answer.Nonce != n.asked.nonce
	actions := n.receive(now, nil, answer.After, answer.Revision)
	n.hear(now, answer.Node, answer.Highest, answer.Revision)
	if n.confirming != nil && answer.Nonce > n.confirming.after {
		n.confirming.peers[answer.Node] = true
	}
	return n.settle(now, actions)
}

// Answering notes that a part of a peer's answer has come, and that more will. As long as they come
// no other peer is asked: a second whole state would slow the first.
func (n *Node) Answering(now time.Time, nonce uint64) []Action {
	n.begin(now)
	n.lastContact = now
	if n.asked.open && nonce == n.asked.nonce {
		n.asked.at = now
	}
	return n.settle(now, nil)
}

// Poll is the outcome of PollTable; a whole load has After 0.
type Poll struct {
	Nonce           uint64
	OK              bool
	After, Revision document.Revision
}

// Polled takes the outcome of a poll. Revisions that a poll found first are passed on
// to the zone's nodes.
func (n *Node) Polled(now time.Time, poll Poll) []Action {
	n.begin(now)
	n.polling = false
	if !poll.OK {
		return n.settle(now, nil)
	}
	n.lastContact = now
	was := n.applied
	actions := n.receive(now, nil, poll.After, poll.Revision)
	if n.applied > was {
		actions = n.pushAsRoot(actions, PushTo{Zone: n.config.Self.Zone, After: was, Revision: n.applied})
	}
	// A read below what is in force came from a lagging replica and proves nothing.
	if n.confirming != nil && poll.Nonce > n.confirming.after && poll.Revision >= n.applied {
		n.confirming.table = true
	}
	return n.settle(now, actions)
}

// Written takes a revision that this node wrote itself and pushes it. The changes lead
// on from after, which is at most Revision. InForce tells afterwards which nodes have it.
func (n *Node) Written(now time.Time, after, revision document.Revision) []Action {
	n.begin(now)
	n.lastContact = now
	n.track(now, after, revision)
	actions := n.receive(now, nil, after, revision)
	actions = n.pushAsRoot(actions, PushTo{After: after, Revision: revision})
	return n.settle(now, actions)
}

// Tick moves time on; it is to be called about every 100 ms. Acknowledgements wait for
// it at each of a tree's levels.
func (n *Node) Tick(now time.Time) []Action {
	n.begin(now)
	actions := n.flushAcks(nil)
	for _, tracker := range n.trackers {
		actions = tracker.tick(actions, now)
	}
	return n.settle(now, actions)
}

// begin detects a pause at the first event after it, whichever comes first: messages
// that were buffered during the pause are handled before the next tick.
func (n *Node) begin(now time.Time) {
	if now.Sub(n.lastEvent) > n.config.PauseBound {
		n.confirm(ReasonPaused)
	}
	n.lastEvent = now
}

func (n *Node) confirm(reason Reason) {
	n.confirming = &confirmation{reason: reason, after: n.nonce, peers: make(map[NodeID]bool)}
	n.polling = false
	n.asked = question{}
}

// settle ends every event: it asks for what is missing and keeps readiness true to the
// state.
func (n *Node) settle(now time.Time, actions []Action) []Action {
	n.noteBehind(now)
	if n.confirmed() {
		n.confirming = nil
	}
	actions = n.poll(now, actions)
	actions = n.ask(now, actions)
	reason := n.obstacle(now)
	if reason == "" && !n.ready {
		n.ready = true
		return append(actions, BecomeReady{})
	}
	if reason != "" && (n.ready || reason != n.reason) {
		n.ready = false
		n.reason = reason
		return append(actions, BecomeNotReady{Reason: reason})
	}
	return actions
}

// confirmed reports whether the table, or enough peers in its place, confirm that
// nothing newer exists. A node with no peers waits for the table.
func (n *Node) confirmed() bool {
	if n.confirming == nil || n.applied < n.heard {
		return false
	}
	need := min(n.config.ConfirmPeers, len(n.peers))
	return n.confirming.table || (need > 0 && len(n.confirming.peers) >= need)
}

// obstacle returns why the node may not serve, or nothing. A node that has no peers is
// not cut off from any: a table outage alone doesn't stop it.
func (n *Node) obstacle(now time.Time) Reason {
	switch {
	case n.confirming != nil:
		return n.confirming.reason
	case !n.behindSince.IsZero() && now.Sub(n.behindSince) >= n.config.StaleBound:
		return ReasonBehind
	case len(n.peers) > 0 && now.Sub(n.lastContact) >= n.config.CutOffBound:
		return ReasonCutOff
	}
	return ""
}

// poll reads the table when it is this node's turn. A node that isn't a poller reads it
// while it lacks something that its peers may not have either, and at the same pace.
func (n *Node) poll(now time.Time, actions []Action) []Action {
	waited := now.Sub(n.lastPoll)
	if n.polling && waited < n.config.AnswerTimeout {
		return actions
	}
	lonely := now.Sub(n.lastContact) >= 2*n.config.ContactInterval
	behind := !n.behindSince.IsZero() && now.Sub(n.behindSince) >= n.config.StaleBound/2
	if !n.poller && !lonely && !behind && n.confirming == nil {
		return actions
	}
	if !n.lastPoll.IsZero() && waited < n.config.PollInterval {
		return actions
	}
	n.polling = true
	n.lastPoll = now
	n.nonce++
	return append(actions, PollTable{After: n.applied, Nonce: n.nonce})
}

// ask puts a question to a peer while something is missing or all has been quiet.
func (n *Node) ask(now time.Time, actions []Action) []Action {
	if len(n.peers) == 0 || (n.asked.open && now.Sub(n.asked.at) < n.config.AnswerTimeout) {
		return actions
	}
	quiet := now.Sub(n.lastContact) >= n.config.ContactInterval
	if n.confirming == nil && n.applied >= n.heard && !quiet {
		return actions
	}
	n.nonce++
	n.asked = question{open: true, nonce: n.nonce, at: now}
	return append(actions, AskPeer{Node: n.choosePeer(), After: n.applied, Nonce: n.nonce})
}

// choosePeer prefers the node known to have what is missing, once; then all take turns.
func (n *Node) choosePeer() NodeID {
	if peer := n.informant; peer != "" && n.confirming == nil {
		n.informant = ""
		return peer
	}
	n.turn++
	return n.peers[(startingTurn(n.config.Self.ID)+n.turn)%len(n.peers)]
}

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
	// highestSeen is the highest revision known to exist. upToDatePeer is a peer that has
	// applied it and was not queried yet; empty for none. behindSince is when this node fell
	// behind highestSeen; zero if it is not behind.
	highestSeen  document.Revision
	upToDatePeer NodeID
	behindSince  time.Time

	lastEvent time.Time
	// lastContact is when the node last received a message from a peer, or read or wrote the
	// table.
	lastContact time.Time
	lastPoll    time.Time
	polling     bool
	query       peerQuery
	// peerIndex rotates over the peers, so that an unresponsive one is not queried twice in
	// a row.
	peerIndex int
	nonce     uint64

	confirming *confirmation
	ready      bool
	reason     Reason

	relays   []relay
	trackers []*AckTracker
}

// peerQuery is the outstanding query to a peer. There is at most one.
type peerQuery struct {
	open   bool
	nonce  uint64
	sentAt time.Time
}

// confirmation records which sources have confirmed that the node's revision is the newest.
type confirmation struct {
	reason Reason
	// lastNonce is the last nonce used before the confirmation began. An answer to an older
	// query may have been written before then and does not confirm the current state.
	lastNonce uint64
	// confirmedBy holds the peers that have answered a later query.
	confirmedBy map[NodeID]bool
	// tableConfirmed says that the table returned at least the applied revision.
	tableConfirmed bool
}

// New returns a node that starts with the given revision. confirmed says that the revision
// was read from the table; otherwise the node is not ready until the table or enough peers
// confirm it.
func New(config Config, now time.Time, start document.Revision, confirmed bool) *Node {
	n := &Node{config: config, applied: start, highestSeen: start, lastEvent: now, lastContact: now, reason: ReasonStarting}
	if !confirmed {
		n.startConfirmation(ReasonStarting)
	}
	return n
}

// Revision returns the revision that this node has applied.
func (n *Node) Revision() document.Revision { return n.applied }

// HighestSeen returns the highest revision that the node knows of. It is piggybacked on every
// message of a link.
func (n *Node) HighestSeen() document.Revision { return n.highestSeen }

// Ready reports whether a request may be admitted now.
//
// Whatever its last event decided, a node is not ready if that event was more than MaxPause ago:
// a process that resumes after a pause must not admit a request before its next tick, under a
// configuration that may have been replaced meanwhile.
func (n *Node) Ready(now time.Time) bool {
	return n.ready && now.Sub(n.lastEvent) <= n.config.MaxPause
}

// SetMembers sets the live nodes. The list may or may not contain this node.
func (n *Node) SetMembers(now time.Time, members []Member) []Action {
	n.beginEvent(now)
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
	return n.finishEvent(now, nil)
}

// ObserveRevision handles the highest revision that a peer knows of and the one that it has
// applied, as received with any message of a link.
func (n *Node) ObserveRevision(now time.Time, from NodeID, highest, applied document.Revision) []Action {
	n.beginEvent(now)
	n.lastContact = now
	n.recordRevision(now, from, highest, applied)
	return n.finishEvent(now, nil)
}

// recordRevision records the highest revision that a peer knows of and the one that the peer has
// applied. from is the peer. For the revision of changes that this node has received or written,
// from is empty and applied is 0.
func (n *Node) recordRevision(now time.Time, from NodeID, highest, applied document.Revision) {
	for _, tracker := range n.trackers {
		tracker.recordAck(from, applied)
	}
	if highest > n.highestSeen {
		n.highestSeen = highest
	}
	if applied >= n.highestSeen && applied > n.applied {
		n.upToDatePeer = from
	}
	n.updateBehindSince(now)
}

// updateBehindSince updates behindSince after the applied or the highest revision has changed.
func (n *Node) updateBehindSince(now time.Time) {
	switch {
	case n.applied >= n.highestSeen:
		n.behindSince = time.Time{}
	case n.behindSince.IsZero():
		n.behindSince = now
	}
}

// applyChanges applies the changes in (after, revision], unless they are applied already or
// changes between the applied revision and after are missing.
func (n *Node) applyChanges(now time.Time, actions []Action, after, revision document.Revision) []Action {
	if after <= n.applied && revision > n.applied {
		n.applied = revision
		actions = append(actions, Apply{Revision: revision})
	}
	n.recordRevision(now, "", revision, 0)
	return actions
}

// Answer is a peer's answer to QueryPeer. An answer with the whole state has After 0.
type Answer struct {
	Node            NodeID
	Nonce           uint64
	After, Revision document.Revision
	// Highest is the highest revision that the peer knows of.
	Highest document.Revision
}

// HandleAnswer handles a peer's answer.
func (n *Node) HandleAnswer(now time.Time, answer Answer) []Action {
	n.beginEvent(now)
	n.lastContact = now
	n.query.open = n.query.open && answer.Nonce != n.query.nonce
	actions := n.applyChanges(now, nil, answer.After, answer.Revision)
	n.recordRevision(now, answer.Node, answer.Highest, answer.Revision)
	if n.confirming != nil && answer.Nonce > n.confirming.lastNonce {
		n.confirming.confirmedBy[answer.Node] = true
	}
	return n.finishEvent(now, actions)
}

// HandlePartialAnswer handles a part, other than the last, of a peer's answer. While parts arrive,
// no other peer is queried: a second transfer of the whole state would slow the first.
func (n *Node) HandlePartialAnswer(now time.Time, nonce uint64) []Action {
	n.beginEvent(now)
	n.lastContact = now
	if n.query.open && nonce == n.query.nonce {
		n.query.sentAt = now
	}
	return n.finishEvent(now, nil)
}

// PollResult is the outcome of PollTable. A read of the whole state has After 0.
type PollResult struct {
	Nonce           uint64
	OK              bool
	After, Revision document.Revision
}

// HandlePoll handles the outcome of a poll. Revisions that are new to this node are pushed to
// the nodes of its zone.
func (n *Node) HandlePoll(now time.Time, poll PollResult) []Action {
	n.beginEvent(now)
	n.polling = false
	if !poll.OK {
		return n.finishEvent(now, nil)
	}
	n.lastContact = now
	before := n.applied
	actions := n.applyChanges(now, nil, poll.After, poll.Revision)
	if n.applied > before {
		actions = n.pushAsRoot(actions, PushTo{Zone: n.config.Self.Zone, After: before, Revision: n.applied})
	}
	// A read below the applied revision came from a lagging replica and confirms nothing.
	if n.confirming != nil && poll.Nonce > n.confirming.lastNonce && poll.Revision >= n.applied {
		n.confirming.tableConfirmed = true
	}
	return n.finishEvent(now, actions)
}

// HandleWrite handles a revision that this node wrote to the table and pushes it to all nodes.
// The changes are those in (after, revision]; after is at most the applied revision. Tracker then
// returns the tracker of the written revision.
func (n *Node) HandleWrite(now time.Time, after, revision document.Revision) []Action {
	n.beginEvent(now)
	n.lastContact = now
	n.startTracking(now, after, revision)
	actions := n.applyChanges(now, nil, after, revision)
	actions = n.pushAsRoot(actions, PushTo{After: after, Revision: revision})
	return n.finishEvent(now, actions)
}

// Tick handles the passing of time. It must be called about every 100 ms; acknowledgements
// wait for it at each level of a tree.
func (n *Node) Tick(now time.Time) []Action {
	n.beginEvent(now)
	actions := n.flushAcks(nil)
	for _, tracker := range n.trackers {
		actions = tracker.tick(actions, now)
	}
	return n.finishEvent(now, actions)
}

// beginEvent detects a pause of the process at the first event after the pause. Every event
// checks, because messages that were buffered during the pause may be handled before the next
// tick.
func (n *Node) beginEvent(now time.Time) {
	if now.Sub(n.lastEvent) > n.config.MaxPause {
		n.startConfirmation(ReasonPaused)
	}
	n.lastEvent = now
}

// startConfirmation makes the node not ready until its revision is confirmed. It abandons the
// outstanding poll and query, whose answers would confirm nothing.
func (n *Node) startConfirmation(reason Reason) {
	n.confirming = &confirmation{reason: reason, lastNonce: n.nonce, confirmedBy: make(map[NodeID]bool)}
	n.polling = false
	n.query = peerQuery{}
}

// finishEvent ends every event: it requests missing changes and updates readiness.
func (n *Node) finishEvent(now time.Time, actions []Action) []Action {
	n.updateBehindSince(now)
	if n.isConfirmed() {
		n.confirming = nil
	}
	actions = n.maybePoll(now, actions)
	actions = n.maybeQueryPeer(now, actions)
	reason := n.notReadyReason(now)
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

// isConfirmed reports whether a running confirmation is complete: the node has applied the
// highest revision that it knows of, and the table, or enough peers in its place, have answered
// since the confirmation began. A node without peers waits for the table.
func (n *Node) isConfirmed() bool {
	if n.confirming == nil || n.applied < n.highestSeen {
		return false
	}
	required := min(n.config.ConfirmPeers, len(n.peers))
	return n.confirming.tableConfirmed || (required > 0 && len(n.confirming.confirmedBy) >= required)
}

// notReadyReason returns why the node may not serve, or "" if it may. A node without peers
// never counts as isolated, so a table outage alone does not stop it.
func (n *Node) notReadyReason(now time.Time) Reason {
	switch {
	case n.confirming != nil:
		return n.confirming.reason
	case !n.behindSince.IsZero() && now.Sub(n.behindSince) >= n.config.MaxStaleness:
		return ReasonBehind
	case len(n.peers) > 0 && now.Sub(n.lastContact) >= n.config.MaxIsolation:
		return ReasonIsolated
	}
	return ""
}

// maybePoll polls the table if a poll is due. A node that is not a poller polls at the same
// rate while it has had no contact for two ContactIntervals, has been behind for half of
// MaxStaleness, or needs a confirmation.
func (n *Node) maybePoll(now time.Time, actions []Action) []Action {
	sincePoll := now.Sub(n.lastPoll)
	if n.polling && sincePoll < n.config.AnswerTimeout {
		return actions
	}
	outOfContact := now.Sub(n.lastContact) >= 2*n.config.ContactInterval
	behind := !n.behindSince.IsZero() && now.Sub(n.behindSince) >= n.config.MaxStaleness/2
	if !n.poller && !outOfContact && !behind && n.confirming == nil {
		return actions
	}
	if !n.lastPoll.IsZero() && sincePoll < n.config.PollInterval {
		return actions
	}
	n.polling = true
	n.lastPoll = now
	n.nonce++
	return append(actions, PollTable{After: n.applied, Nonce: n.nonce})
}

// maybeQueryPeer queries a peer if changes or a confirmation are missing, or if there was no
// contact for ContactInterval.
func (n *Node) maybeQueryPeer(now time.Time, actions []Action) []Action {
	if len(n.peers) == 0 || (n.query.open && now.Sub(n.query.sentAt) < n.config.AnswerTimeout) {
		return actions
	}
	quiet := now.Sub(n.lastContact) >= n.config.ContactInterval
	if n.confirming == nil && n.applied >= n.highestSeen && !quiet {
		return actions
	}
	n.nonce++
	n.query = peerQuery{open: true, nonce: n.nonce, sentAt: now}
	return append(actions, QueryPeer{Node: n.choosePeer(), After: n.applied, Nonce: n.nonce})
}

// choosePeer returns upToDatePeer and clears it, so that it is queried only once. Without one, or
// while a confirmation is needed, it returns the next peer in rotation.
func (n *Node) choosePeer() NodeID {
	if peer := n.upToDatePeer; peer != "" && n.confirming == nil {
		n.upToDatePeer = ""
		return peer
	}
	n.peerIndex++
	return n.peers[(initialPeerIndex(n.config.Self.ID)+n.peerIndex)%len(n.peers)]
}

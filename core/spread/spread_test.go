package spread

import (
	"fmt"
	"testing"
	"time"

	"acaciacleat.example/core/document"
	_ "acaciacleat.example/core/seeded"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const step = 100 * time.Millisecond

// cluster simulates nodes and the table in steps of time. Its hooks drop messages, take the
// table down and delay its reads.
type cluster struct {
	t        require.TestingT
	now      time.Time
	table    document.Revision
	members  []Member
	nodes    map[NodeID]*Node
	applied  map[NodeID]document.Revision // reference: the highest revision applied
	inFlight []func()
	drop     func(to NodeID) bool
	tableUp  func() bool
	tableLag func() document.Revision
	paused   map[NodeID]int
	received map[NodeID]int
	sent     map[NodeID]int
}

func newCluster(t require.TestingT, size int) *cluster {
	c := &cluster{
		t: t, now: time.Unix(1000, 0), nodes: map[NodeID]*Node{}, applied: map[NodeID]document.Revision{},
		drop: func(NodeID) bool { return false }, tableUp: func() bool { return true },
		tableLag: func() document.Revision { return 0 }, paused: map[NodeID]int{}, received: map[NodeID]int{}, sent: map[NodeID]int{},
	}
	for i := range size {
		c.members = append(c.members, Member{ID: NodeID(fmt.Sprintf("vm-%04d", i)), Zone: fmt.Sprint("zone-", i%3)})
	}
	for _, member := range c.members {
		c.start(member, 0, true)
	}
	return c
}

func (c *cluster) start(member Member, revision document.Revision, confirmed bool) {
	node := New(DefaultConfig(member), c.now, revision, confirmed)
	c.nodes[member.ID] = node
	c.applied[member.ID] = revision
	c.perform(member.ID, node.SetMembers(c.now, c.members))
}

func (c *cluster) write(root NodeID) document.Revision {
	c.table++
	c.perform(root, c.nodes[root].HandleWrite(c.now, c.nodes[root].Revision(), c.table))
	return c.table
}

// send delivers a message in the next step, unless it is dropped or the node is restarted.
func (c *cluster) send(to NodeID, handle func(*Node) []Action) {
	if c.drop(to) {
		return
	}
	node := c.nodes[to]
	var deliver func()
	deliver = func() {
		if c.paused[to] > 0 {
			c.inFlight = append(c.inFlight, deliver)
		} else if c.nodes[to] == node {
			c.received[to]++
			c.perform(to, handle(node))
		}
	}
	c.inFlight = append(c.inFlight, deliver)
}

func (c *cluster) perform(self NodeID, actions []Action) {
	node := c.nodes[self]
	for _, action := range actions {
		switch a := action.(type) {
		case Apply:
			require.Greater(c.t, a.Revision, c.applied[self], "node %s reverted", self)
			c.applied[self] = a.Revision
		case PushTo:
			c.sent[self] += len(a.Nodes)
			for _, to := range a.Nodes {
				push := Push{From: self, Root: a.Root, Zone: a.Zone, After: a.After, Revision: a.Revision}
				c.send(to, func(n *Node) []Action { return n.HandlePush(c.now, push) })
			}
		case AckTo:
			c.send(a.Node, func(n *Node) []Action { return n.HandleAck(c.now, a.Root, a.Revision, a.Nodes) })
		case QueryPeer:
			c.send(a.Node, func(peer *Node) []Action {
				answer := Answer{Node: a.Node, Nonce: a.Nonce, After: min(a.After, peer.Revision()), Revision: peer.Revision(), Highest: peer.HighestSeen()}
				c.send(self, func(n *Node) []Action { return n.HandleAnswer(c.now, answer) })
				return nil
			})
		case PollTable:
			poll := PollResult{Nonce: a.Nonce, OK: c.tableUp(), After: a.After, Revision: c.table - min(c.table, c.tableLag())}
			c.send(self, func(n *Node) []Action { return n.HandlePoll(c.now, poll) })
		}
	}
	if c.nodes[self] == node {
		require.Equal(c.t, c.applied[self], node.Revision())
	}
}

func (c *cluster) step() {
	c.now = c.now.Add(step)
	due := c.inFlight
	c.inFlight = nil
	for _, deliver := range due {
		deliver()
	}
	for _, member := range c.members {
		if c.paused[member.ID] > 0 {
			c.paused[member.ID]--
			continue
		}
		c.perform(member.ID, c.nodes[member.ID].Tick(c.now))
	}
}

func (c *cluster) steps(n int) {
	for range n {
		c.step()
	}
}

// A push must reach all nodes through the four levels of the tree, and no node may send more
// pushes than the fan-out. Without the tree the root would push to 1,549 nodes itself.
func TestPushReachesAllNodes(t *testing.T) {
	c := newCluster(t, 1550)
	c.steps(20)
	c.sent = map[NodeID]int{}
	revision := c.write("vm-0007")
	c.steps(4)
	for id, node := range c.nodes {
		require.Equal(t, revision, node.Revision(), id)
		require.LessOrEqual(t, c.sent[id], 8)
	}
	c.steps(8)
	require.True(t, c.nodes["vm-0007"].Tracker(revision).Complete(), c.nodes["vm-0007"].Tracker(revision).Missing())
}

// A node that polled the revision before the push arrived must still relay the push, once.
func TestPushIsRelayedOnce(t *testing.T) {
	c := newCluster(t, 100)
	push := Push{From: "vm-0001", Root: "vm-0001", Revision: 1}
	for _, member := range c.members[2:] {
		n := c.nodes[member.ID]
		if len(n.children(push.Root, 1, n.members)) == 0 {
			continue
		}
		n.HandlePoll(c.now, PollResult{OK: true, Revision: 1})
		require.IsType(t, PushTo{}, n.HandlePush(c.now, push)[0])
		require.Empty(t, n.HandlePush(c.now, push))
	}
}

// Guards against a zone without pollers, and against so many that they overload the table.
func TestPollersPerZone(t *testing.T) {
	c := newCluster(t, 1550)
	pollers := 0
	for _, node := range c.nodes {
		if node.poller {
			pollers++
		}
	}
	require.Equal(t, 3*DefaultConfig(Member{}).PollersPerZone, pollers)
}

// A change must not be reported as accepted while a node that got neither the push nor a
// poll still has the old configuration.
func TestMissingNodesAreReported(t *testing.T) {
	c := newCluster(t, 30)
	c.drop = func(to NodeID) bool { return to == "vm-0009" }
	revision := c.write("vm-0001")
	c.steps(20)
	tracker := c.nodes["vm-0001"].Tracker(revision)
	require.Equal(t, []NodeID{"vm-0009"}, tracker.Missing())
	c.drop = func(NodeID) bool { return false }
	c.steps(10)
	require.True(t, tracker.Complete())
}

// Each case but the last brings a node into a state in which it must not admit requests, and then
// to readiness again.
func TestReadiness(t *testing.T) {
	self, peers := Member{"a", "z"}, []Member{{"a", "z"}, {"b", "z"}, {"c", "z"}}
	at := func(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }
	run := func(n *Node, from, to int) {
		for ms := from; ms <= to; ms += 100 {
			n.Tick(at(ms))
		}
	}
	fresh := func(confirmed bool) *Node {
		n := New(DefaultConfig(self), at(0), 5, confirmed)
		n.SetMembers(at(0), peers)
		return n
	}
	t.Run("pause", func(t *testing.T) {
		// A VM that resumes after a pause must not admit a request under a key that was removed
		// meanwhile.
		n := fresh(true)
		run(n, 100, 500)
		require.True(t, n.Ready(at(600)))
		require.False(t, n.Ready(at(60_000)), "before any event after the pause")
		old := n.nonce
		n.HandleAnswer(at(60_000), Answer{Node: "b", Nonce: old, After: 5, Revision: 5})
		n.HandleAnswer(at(60_000), Answer{Node: "c", Nonce: old, After: 5, Revision: 5})
		require.False(t, n.Ready(at(60_000)), "an answer from before the pause confirms nothing")
		n.HandlePoll(at(60_100), PollResult{Nonce: n.nonce, OK: true, After: 0, Revision: 4})
		require.False(t, n.Ready(at(60_100)), "a stale read confirms nothing")
		n.HandlePoll(at(60_200), PollResult{Nonce: n.nonce, OK: true, After: 5, Revision: 7})
		require.True(t, n.Ready(at(60_200)))
		require.EqualValues(t, 7, n.Revision())
	})
	t.Run("start without the table", func(t *testing.T) {
		// A restarted node must not admit requests under a revision older than its peers know.
		n := fresh(false)
		run(n, 100, 200)
		n.HandleAnswer(at(300), Answer{Node: "b", Nonce: n.nonce, After: 5, Revision: 5, Highest: 6})
		n.HandleAnswer(at(300), Answer{Node: "c", Nonce: n.nonce, After: 5, Revision: 5, Highest: 5})
		require.False(t, n.Ready(at(300)), "a peer knows of revision 6")
		n.HandleAnswer(at(400), Answer{Node: "c", Nonce: n.nonce, After: 5, Revision: 6, Highest: 6})
		require.True(t, n.Ready(at(400)))
	})
	t.Run("behind", func(t *testing.T) {
		// A node that lacks a known change must not admit requests for longer than MaxStaleness.
		n := fresh(true)
		n.ObserveRevision(at(0), "b", 6, 6)
		run(n, 100, 1900)
		require.True(t, n.Ready(at(1900)))
		n.ObserveRevision(at(2000), "b", 6, 6)
		require.False(t, n.Ready(at(2000)))
		n.HandlePush(at(2100), Push{From: "b", Root: "b", After: 6, Revision: 7})
		require.False(t, n.Ready(at(2100)), "changes that leave a gap are not applied")
		require.EqualValues(t, 5, n.Revision())
		n.HandlePush(at(2200), Push{From: "b", Root: "b", After: 5, Revision: 7})
		require.True(t, n.Ready(at(2200)))
	})
	t.Run("isolated", func(t *testing.T) {
		// A node without contact with the table or a peer can't know whether it lacks a change.
		n := fresh(true)
		run(n, 100, 9900)
		require.True(t, n.Ready(at(9900)))
		run(n, 10_000, 10_000)
		require.False(t, n.Ready(at(10_000)))
		n.ObserveRevision(at(10_100), "b", 5, 5)
		require.True(t, n.Ready(at(10_100)))
	})
	t.Run("table outage", func(t *testing.T) {
		// Nodes that have contact with each other must stay ready.
		c := newCluster(t, 6)
		c.tableUp = func() bool { return false }
		c.steps(300)
		for id, node := range c.nodes {
			require.True(t, node.Ready(c.now), id)
		}
	})
}

// The whole state must not be requested from a second peer while the first still sends it.
func TestPartialAnswersKeepQueryOpen(t *testing.T) {
	self, peers := Member{"a", "z"}, []Member{{"a", "z"}, {"b", "z"}, {"c", "z"}}
	at := func(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }
	queries := func(actions []Action) (n int) {
		for _, action := range actions {
			if _, ok := action.(QueryPeer); ok {
				n++
			}
		}
		return n
	}
	n := New(DefaultConfig(self), at(0), 5, true)
	n.SetMembers(at(0), peers)
	require.Equal(t, 1, queries(n.ObserveRevision(at(0), "b", 6, 6)))
	nonce, ms := n.nonce, 0
	for ; ms < 5000; ms += 100 {
		require.Zero(t, queries(n.HandlePartialAnswer(at(ms), nonce)))
		require.Zero(t, queries(n.Tick(at(ms))))
	}
	stalled := 0
	for end := ms + int(n.config.AnswerTimeout.Milliseconds()); ms <= end; ms += 100 {
		stalled += queries(n.HandlePartialAnswer(at(ms), nonce-1)) + queries(n.Tick(at(ms)))
	}
	require.Equal(t, 1, stalled, "parts of another answer do not keep the query open")
}

// Under random loss, pauses, restarts and stale reads no node reverts to a lower revision
// (cluster.perform checks it against the reference), and a restarted node is not ready before
// its revision is confirmed. After the faults end, all nodes are ready at the highest revision
// within a bounded number of steps.
func TestSpreadUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 9)
		percent := rapid.IntRange(0, 60).Draw(t, "loss")
		hit := func(label string, p int) bool { return rapid.IntRange(0, 99).Draw(t, label) < p }
		c.drop = func(NodeID) bool { return hit("lost", percent) }
		c.tableUp = func() bool { return !hit("table", 30) }
		c.tableLag = func() document.Revision { return document.Revision(rapid.IntRange(0, 2).Draw(t, "stale")) }
		pick := rapid.SampledFrom(c.members)
		for range 60 {
			switch member := pick.Draw(t, "node"); rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				c.paused[member.ID] = rapid.IntRange(1, 30).Draw(t, "pause")
			case 1:
				saved := document.Revision(rapid.IntRange(0, int(c.table)).Draw(t, "saved"))
				c.start(member, saved, false)
				require.False(t, c.nodes[member.ID].Ready(c.now))
			case 2:
				if c.paused[member.ID] == 0 {
					c.write(member.ID)
				}
			}
			c.step()
		}
		c.drop = func(NodeID) bool { return false }
		c.tableUp = func() bool { return true }
		c.tableLag = func() document.Revision { return 0 }
		c.steps(70)
		for id, node := range c.nodes {
			require.Equal(t, c.table, node.Revision(), id)
			require.True(t, node.Ready(c.now), "%s: %s", id, node.reason)
		}
	})
}

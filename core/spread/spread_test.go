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

// bench joins nodes by messages that the hooks may lose, in steps of time.
type bench struct {
	t        require.TestingT
	now      time.Time
	table    document.Revision
	members  []Member
	nodes    map[NodeID]*Node
	applied  map[NodeID]document.Revision // the naive record: the highest applied
	mailbox  []func()
	lose     func(to NodeID) bool
	tableUp  func() bool
	staleBy  func() document.Revision
	paused   map[NodeID]int
	received map[NodeID]int
	sent     map[NodeID]int
}

func newBench(t require.TestingT, size int) *bench {
	b := &bench{
		t: t, now: time.Unix(1000, 0), nodes: map[NodeID]*Node{}, applied: map[NodeID]document.Revision{},
		lose: func(NodeID) bool { return false }, tableUp: func() bool { return true },
		staleBy: func() document.Revision { return 0 }, paused: map[NodeID]int{}, received: map[NodeID]int{}, sent: map[NodeID]int{},
	}
	for i := range size {
		b.members = append(b.members, Member{ID: NodeID(fmt.Sprintf("vm-%04d", i)), Zone: fmt.Sprint("zone-", i%3)})
	}
	for _, member := range b.members {
		b.start(member, 0, true)
	}
	return b
}

func (b *bench) start(member Member, revision document.Revision, confirmed bool) {
	node := New(DefaultConfig(member), b.now, revision, confirmed)
	b.nodes[member.ID] = node
	b.applied[member.ID] = revision
	b.do(member.ID, node.SetMembers(b.now, b.members))
}

func (b *bench) write(root NodeID) document.Revision {
	b.table++
	b.do(root, b.nodes[root].Written(b.now, b.nodes[root].Revision(), b.table))
	return b.table
}

// send delivers a message in the next step, unless it gets lost or the node is replaced.
func (b *bench) send(to NodeID, handle func(*Node) []Action) {
	if b.lose(to) {
		return
	}
	node := b.nodes[to]
	var deliver func()
	deliver = func() {
		if b.paused[to] > 0 {
			b.mailbox = append(b.mailbox, deliver)
		} else if b.nodes[to] == node {
			b.received[to]++
			b.do(to, handle(node))
		}
	}
	b.mailbox = append(b.mailbox, deliver)
}

func (b *bench) do(self NodeID, actions []Action) {
	node := b.nodes[self]
	for _, action := range actions {
		switch a := action.(type) {
		case Apply:
			require.Greater(b.t, a.Revision, b.applied[self], "node %s reverted", self)
			b.applied[self] = a.Revision
		case PushTo:
			b.sent[self] += len(a.Nodes)
			for _, to := range a.Nodes {
				push := Push{From: self, Root: a.Root, Zone: a.Zone, After: a.After, Revision: a.Revision}
				b.send(to, func(n *Node) []Action { return n.Pushed(b.now, push) })
			}
		case AckTo:
			b.send(a.Node, func(n *Node) []Action { return n.Acked(b.now, a.Root, a.Revision, a.Nodes) })
		case AskPeer:
			b.send(a.Node, func(peer *Node) []Action {
				answer := Answer{Node: a.Node, Nonce: a.Nonce, After: min(a.After, peer.Revision()), Revision: peer.Revision(), Highest: peer.Highest()}
				b.send(self, func(n *Node) []Action { return n.Answered(b.now, answer) })
				return nil
			})
		case PollTable:
			poll := Poll{Nonce: a.Nonce, OK: b.tableUp(), After: a.After, Revision: b.table - min(b.table, b.staleBy())}
			b.send(self, func(n *Node) []Action { return n.Polled(b.now, poll) })
		}
	}
	if b.nodes[self] == node {
		require.Equal(b.t, b.applied[self], node.Revision())
	}
}

func (b *bench) step() {
	b.now = b.now.Add(step)
	due := b.mailbox
	b.mailbox = nil
	for _, deliver := range due {
		deliver()
	}
	for _, member := range b.members {
		if b.paused[member.ID] > 0 {
			b.paused[member.ID]--
			continue
		}
		b.do(member.ID, b.nodes[member.ID].Tick(b.now))
	}
}

func (b *bench) steps(n int) {
	for range n {
		b.step()
	}
}

// The push must reach 1,550 nodes over four levels, and no node may carry more than its
// fan-out of pushes; a full mesh would have one node send 1,549.
func TestPushReachesTheFleet(t *testing.T) {
	b := newBench(t, 1550)
	b.steps(20)
	b.sent = map[NodeID]int{}
	revision := b.write("vm-0007")
	b.steps(4)
	for id, node := range b.nodes {
		require.Equal(t, revision, node.Revision(), id)
		require.LessOrEqual(t, b.sent[id], 8)
	}
	b.steps(8)
	require.True(t, b.nodes["vm-0007"].InForce(revision).Accepted(), b.nodes["vm-0007"].InForce(revision).Missing())
}

// A node that polled the revision before the push came must still pass the push on, once.
func TestPushIsPassedOnOnce(t *testing.T) {
	b := newBench(t, 100)
	push := Push{From: "vm-0001", Root: "vm-0001", Revision: 1}
	for _, member := range b.members[2:] {
		n := b.nodes[member.ID]
		if len(n.children(push.Root, 1, n.members)) == 0 {
			continue
		}
		n.Polled(b.now, Poll{OK: true, Revision: 1})
		require.IsType(t, PushTo{}, n.Pushed(b.now, push)[0])
		require.Empty(t, n.Pushed(b.now, push))
	}
}

func TestPollersOfAZoneAreFew(t *testing.T) {
	b := newBench(t, 1550)
	pollers := 0
	for _, node := range b.nodes {
		if node.poller {
			pollers++
		}
	}
	require.Equal(t, 3*DefaultConfig(Member{}).PollersPerZone, pollers)
}

// Symptom: a change was reported as accepted and one node went on with the old one.
// Events: the node heard neither push nor poll. Cause: the answer came before its ack.
func TestMissingNodesAreNamed(t *testing.T) {
	b := newBench(t, 30)
	b.lose = func(to NodeID) bool { return to == "vm-0009" }
	revision := b.write("vm-0001")
	b.steps(20)
	record := b.nodes["vm-0001"].InForce(revision)
	require.Equal(t, []NodeID{"vm-0009"}, record.Missing())
	b.lose = func(NodeID) bool { return false }
	b.steps(10)
	require.True(t, record.Accepted())
}

// Each case is a node that must not admit, and the event that lets it admit again.
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
		// Symptom: a call was admitted under a key that had been removed. Events: the VM
		// was paused, the key went, the VM resumed. Cause: nothing told it of the pause.
		n := fresh(true)
		run(n, 100, 500)
		require.True(t, n.Ready(at(600)))
		require.False(t, n.Ready(at(60_000)), "before any event after the pause")
		old := n.nonce
		n.Answered(at(60_000), Answer{Node: "b", Nonce: old, After: 5, Revision: 5})
		n.Answered(at(60_000), Answer{Node: "c", Nonce: old, After: 5, Revision: 5})
		require.False(t, n.Ready(at(60_000)), "an answer from before the pause confirms nothing")
		n.Polled(at(60_100), Poll{Nonce: n.nonce, OK: true, After: 0, Revision: 4})
		require.False(t, n.Ready(at(60_100)), "a stale read confirms nothing")
		n.Polled(at(60_200), Poll{Nonce: n.nonce, OK: true, After: 5, Revision: 7})
		require.True(t, n.Ready(at(60_200)))
		require.EqualValues(t, 7, n.Revision())
	})
	t.Run("start without the table", func(t *testing.T) {
		n := fresh(false)
		run(n, 100, 200)
		n.Answered(at(300), Answer{Node: "b", Nonce: n.nonce, After: 5, Revision: 5, Highest: 6})
		n.Answered(at(300), Answer{Node: "c", Nonce: n.nonce, After: 5, Revision: 5, Highest: 5})
		require.False(t, n.Ready(at(300)), "a peer heard of 6")
		n.Answered(at(400), Answer{Node: "c", Nonce: n.nonce, After: 5, Revision: 6, Highest: 6})
		require.True(t, n.Ready(at(400)))
	})
	t.Run("behind", func(t *testing.T) {
		n := fresh(true)
		n.Heard(at(0), "b", 6, 6)
		run(n, 100, 1900)
		require.True(t, n.Ready(at(1900)))
		n.Heard(at(2000), "b", 6, 6)
		require.False(t, n.Ready(at(2000)))
		n.Pushed(at(2100), Push{From: "b", Root: "b", After: 6, Revision: 7})
		require.False(t, n.Ready(at(2100)), "changes that don't follow on are not applied")
		require.EqualValues(t, 5, n.Revision())
		n.Pushed(at(2200), Push{From: "b", Root: "b", After: 5, Revision: 7})
		require.True(t, n.Ready(at(2200)))
	})
	t.Run("cut off", func(t *testing.T) {
		n := fresh(true)
		run(n, 100, 9900)
		require.True(t, n.Ready(at(9900)))
		run(n, 10_000, 10_000)
		require.False(t, n.Ready(at(10_000)))
		n.Heard(at(10_100), "b", 5, 5)
		require.True(t, n.Ready(at(10_100)))
	})
	t.Run("table outage", func(t *testing.T) {
		b := newBench(t, 6)
		b.tableUp = func() bool { return false }
		b.steps(300)
		for id, node := range b.nodes {
			require.True(t, node.Ready(b.now), id)
		}
	})
}

// Guards against a whole state being asked of one peer after the other while the first still sends it.
func TestPeerThatStillAnswersIsNotReplaced(t *testing.T) {
	self, peers := Member{"a", "z"}, []Member{{"a", "z"}, {"b", "z"}, {"c", "z"}}
	at := func(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }
	asks := func(actions []Action) (n int) {
		for _, action := range actions {
			if _, ok := action.(AskPeer); ok {
				n++
			}
		}
		return n
	}
	n := New(DefaultConfig(self), at(0), 5, true)
	n.SetMembers(at(0), peers)
	require.Equal(t, 1, asks(n.Heard(at(0), "b", 6, 6)))
	nonce, ms := n.nonce, 0
	for ; ms < 5000; ms += 100 {
		require.Zero(t, asks(n.Answering(at(ms), nonce)))
		require.Zero(t, asks(n.Tick(at(ms))))
	}
	stalled := 0
	for end := ms + int(n.config.AnswerTimeout.Milliseconds()); ms <= end; ms += 100 {
		stalled += asks(n.Answering(at(ms), nonce-1)) + asks(n.Tick(at(ms)))
	}
	require.Equal(t, 1, stalled, "parts of another answer keep no question open")
}

// Under random loss, pauses, restarts and stale reads no node reverts (bench.do checks it
// against the naive record) and none admits before it confirmed; once the faults end, all
// nodes are ready at the highest revision within a bounded number of steps.
func TestSpreadUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(t, 9)
		percent := rapid.IntRange(0, 60).Draw(t, "loss")
		hit := func(label string, p int) bool { return rapid.IntRange(0, 99).Draw(t, label) < p }
		b.lose = func(NodeID) bool { return hit("lost", percent) }
		b.tableUp = func() bool { return !hit("table", 30) }
		b.staleBy = func() document.Revision { return document.Revision(rapid.IntRange(0, 2).Draw(t, "stale")) }
		pick := rapid.SampledFrom(b.members)
		for range 60 {
			switch member := pick.Draw(t, "node"); rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				b.paused[member.ID] = rapid.IntRange(1, 30).Draw(t, "pause")
			case 1:
				saved := document.Revision(rapid.IntRange(0, int(b.table)).Draw(t, "saved"))
				b.start(member, saved, false)
				require.False(t, b.nodes[member.ID].Ready(b.now))
			case 2:
				if b.paused[member.ID] == 0 {
					b.write(member.ID)
				}
			}
			b.step()
		}
		b.lose = func(NodeID) bool { return false }
		b.tableUp = func() bool { return true }
		b.staleBy = func() document.Revision { return 0 }
		b.steps(70)
		for id, node := range b.nodes {
			require.Equal(t, b.table, node.Revision(), id)
			require.True(t, node.Ready(b.now), "%s: %s", id, node.reason)
		}
	})
}

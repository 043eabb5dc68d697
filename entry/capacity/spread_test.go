package capacity

import (
	queue "container/heap"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/core/spread"
	"acaciacleat.example/peers/documents"
	"acaciacleat.example/peers/link"
	"github.com/stretchr/testify/require"
)

// linkDelay is the delay of a message between two zones, and of a poll of the table.
const linkDelay = 2 * time.Millisecond

// delivery is a message in flight.
type delivery struct {
	at  time.Time
	seq int
	do  func(now time.Time)
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at.Before(d[j].at) || d[i].at.Equal(d[j].at) && d[i].seq < d[j].seq
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	*d = (*d)[:last]
	return x
}

// spreadSimulation connects the state machines of nodes by simulated links, and counts messages and
// bytes.
type spreadSimulation struct {
	t             testing.TB
	now           time.Time
	tableRevision document.Revision
	members       []spread.Member
	nodes         map[spread.NodeID]*spread.Node
	pending       deliveries
	seq           int
	changes       []byte

	messages, bytes, polls, linksOpened int
	// openedAt is when each link was opened. The dialler closes a link after 60 s.
	openedAt map[[2]spread.NodeID]time.Time
}

func newSpreadSimulation(t testing.TB, size int) *spreadSimulation {
	s := &spreadSimulation{
		t: t, now: time.Unix(1_000, 0), tableRevision: 1, members: spreadMembers(size),
		nodes: make(map[spread.NodeID]*spread.Node, size), openedAt: make(map[[2]spread.NodeID]time.Time),
		changes: oneChange(t),
	}
	for _, member := range s.members {
		node := spread.New(spread.DefaultConfig(member), s.now, 1, true)
		s.nodes[member.ID] = node
		s.perform(member.ID, node.SetMembers(s.now, s.members))
	}
	return s
}

// oneChange returns the change of one organisation in the encoding of pushes.
func oneChange(t testing.TB) []byte {
	before, after := assistantDocument(1), assistantDocument(1)
	after.Organisations[0].Limits.Concurrency++
	update := document.UpdateBetween(before, after)
	data, err := json.Marshal([]documents.Change{{
		Revision: 1 << 20, Token: documents.NewToken(), Service: serviceName, At: time.Unix(1_000, 0).UTC(),
		Update: &update, Diff: document.Diff(before, after),
	}})
	require.NoError(t, err)
	return data
}

// deliverAfter schedules do to run after a delay.
func (s *spreadSimulation) deliverAfter(after time.Duration, do func(now time.Time)) {
	s.seq++
	queue.Push(&s.pending, delivery{at: s.now.Add(after), seq: s.seq, do: do})
}

// send counts a message and delivers it to a node.
func (s *spreadSimulation) send(from, to spread.NodeID, message link.Message, deliver func(n *spread.Node, now time.Time) []spread.Action) {
	s.messages++
	s.bytes += frameBytes(s.t, message)
	key := [2]spread.NodeID{from, to}
	if at, open := s.openedAt[key]; !open || s.now.Sub(at) >= link.DefaultTiming.Idle {
		s.openedAt[key] = s.now
		s.linksOpened++
	}
	s.deliverAfter(linkDelay, func(now time.Time) { s.perform(to, deliver(s.nodes[to], now)) })
}

func (s *spreadSimulation) perform(from spread.NodeID, actions []spread.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case spread.PushTo:
			s.push(from, a)
		case spread.AckTo:
			s.send(from, a.Node, &link.ConfigAck{Root: string(a.Root), Revision: uint64(a.Revision), Nodes: names(a.Nodes)},
				func(n *spread.Node, now time.Time) []spread.Action {
					return n.HandleAck(now, a.Root, a.Revision, a.Nodes)
				})
		case spread.QueryPeer:
			s.query(from, a)
		case spread.PollTable:
			s.polls++
			s.deliverAfter(linkDelay, func(now time.Time) {
				s.perform(from, s.nodes[from].HandlePoll(now, spread.PollResult{Nonce: a.Nonce, OK: true, After: a.After, Revision: s.tableRevision}))
			})
		}
	}
}

func names(nodes []spread.NodeID) []string {
	all := make([]string, 0, len(nodes))
	for _, node := range nodes {
		all = append(all, string(node))
	}
	return all
}

func (s *spreadSimulation) push(from spread.NodeID, a spread.PushTo) {
	message := &link.ConfigPush{Root: string(a.Root), Zone: a.Zone, After: uint64(a.After), Revision: uint64(a.Revision), Changes: s.changes}
	push := spread.Push{From: from, Root: a.Root, Zone: a.Zone, After: a.After, Revision: a.Revision}
	for _, to := range a.Nodes {
		s.send(from, to, message, func(n *spread.Node, now time.Time) []spread.Action { return n.HandlePush(now, push) })
	}
}

// query sends a query and its answer, which uses the same link.
func (s *spreadSimulation) query(from spread.NodeID, a spread.QueryPeer) {
	s.send(from, a.Node, &link.ConfigRequest{After: uint64(a.After), Nonce: a.Nonce}, func(n *spread.Node, _ time.Time) []spread.Action {
		answer := spread.Answer{Node: a.Node, Nonce: a.Nonce, After: a.After, Revision: n.Revision(), Highest: n.HighestSeen()}
		message := &link.ConfigAnswer{Nonce: a.Nonce, After: uint64(a.After), Revision: uint64(answer.Revision), Highest: uint64(answer.Highest), Parts: 1}
		s.messages++
		s.bytes += frameBytes(s.t, message)
		s.deliverAfter(linkDelay, func(now time.Time) { s.perform(from, s.nodes[from].HandleAnswer(now, answer)) })
		return nil
	})
}

// run delivers messages and ticks until the limit has passed or done returns true, and returns the
// simulated time that passed.
func (s *spreadSimulation) run(limit time.Duration, done func() bool) time.Duration {
	start := s.now
	nextTick := s.now.Add(tickInterval)
	for s.now.Sub(start) < limit && !done() {
		if len(s.pending) > 0 && !s.pending[0].at.After(nextTick) {
			d := queue.Pop(&s.pending).(delivery)
			s.now = d.at
			d.do(s.now)
			continue
		}
		s.now = nextTick
		nextTick = s.now.Add(tickInterval)
		for _, member := range s.members {
			s.perform(member.ID, s.nodes[member.ID].Tick(s.now))
		}
	}
	return s.now.Sub(start)
}

func (s *spreadSimulation) reset() { s.messages, s.bytes, s.polls, s.linksOpened = 0, 0, 0, 0 }

// write lets the first node write a change. It returns the time until all nodes have applied it, and
// the time until the writer has all acknowledgements.
func (s *spreadSimulation) write() (inForce, acknowledged time.Duration) {
	root := s.members[0].ID
	s.tableRevision++
	revision := s.tableRevision
	s.perform(root, s.nodes[root].HandleWrite(s.now, revision-1, revision))
	inForce = s.run(waitTimeout, func() bool {
		for _, node := range s.nodes {
			if node.Revision() < revision {
				return false
			}
		}
		return true
	})
	acknowledged = inForce + s.run(waitTimeout, s.nodes[root].Tracker(revision).Complete)
	return inForce, acknowledged
}

// spreadSizes are the measured numbers of nodes. Only entries receive documents, and the target
// deployment has 350 entries.
var spreadSizes = []int{64, 256, 350, 1550}

// BenchmarkCapacityChange reports the messages, bytes and opened links per node for one change, with a
// delay of 2 ms per message. In the polled cases the change is written just before all pollers read
// the table, so that they find it too and push it to their zones.
func BenchmarkCapacityChange(b *testing.B) {
	for _, size := range spreadSizes {
		// Polls happen at multiples of half a second.
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) { measureChange(b, size, 1100*time.Millisecond) })
		b.Run(fmt.Sprintf("polled/nodes=%d", size), func(b *testing.B) { measureChange(b, size, time.Second) })
	}
}

// measureChange measures one change that is written at the time after from the start.
func measureChange(b *testing.B, size int, after time.Duration) {
	var s *spreadSimulation
	var inForce, acknowledged time.Duration
	for b.Loop() {
		s = newSpreadSimulation(b, size)
		s.run(after, func() bool { return false })
		s.reset()
		inForce, acknowledged = s.write()
	}
	nodes := float64(size)
	b.ReportMetric(float64(s.messages)/nodes, "messages/node")
	b.ReportMetric(float64(s.bytes)/nodes, "wire-B/node")
	b.ReportMetric(float64(s.linksOpened)/nodes, "opened/node")
	b.ReportMetric(float64(inForce)/float64(time.Millisecond), "in-force-ms")
	b.ReportMetric(float64(acknowledged)/float64(time.Millisecond), "known-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkCapacityIdleSpread reports the messages between the nodes and the reads of the table
// without changes, over a minute.
func BenchmarkCapacityIdleSpread(b *testing.B) {
	for _, size := range spreadSizes {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			const seconds = 60
			s := newSpreadSimulation(b, size)
			s.run(10*time.Second, func() bool { return false })
			s.reset()
			s.run(seconds*time.Second, func() bool { return false })
			per := float64(size) * seconds
			b.ReportMetric(float64(s.messages)/per, "messages/node/s")
			b.ReportMetric(float64(s.bytes)/per, "wire-B/node/s")
			b.ReportMetric(float64(s.linksOpened)/per, "opened/node/s")
			b.ReportMetric(float64(s.polls)/seconds, "table-reads/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

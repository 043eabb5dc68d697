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

// linkDelay is the time of a message between two zones, a poll's answer included.
const linkDelay = 2 * time.Millisecond

// delivery is a message under way.
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

// spreading joins the state machines of nodes by messages whose bytes are counted.
type spreading struct {
	t       testing.TB
	now     time.Time
	table   document.Revision
	members []spread.Member
	nodes   map[spread.NodeID]*spread.Node
	under   deliveries
	seq     int
	changes []byte

	messages, bytes, polls, opened int
	// used tells when a link was opened: the dialler closes one 60 s later.
	used map[[2]spread.NodeID]time.Time
}

func newSpreading(t testing.TB, size int) *spreading {
	s := &spreading{
		t: t, now: time.Unix(1_000, 0), table: 1, members: spreadMembers(size),
		nodes: make(map[spread.NodeID]*spread.Node, size), used: make(map[[2]spread.NodeID]time.Time),
		changes: oneChange(t),
	}
	for _, member := range s.members {
		node := spread.New(spread.DefaultConfig(member), s.now, 1, true)
		s.nodes[member.ID] = node
		s.do(member.ID, node.SetMembers(s.now, s.members))
	}
	return s
}

// oneChange is the change of one organisation, as pushes carry it.
func oneChange(t testing.TB) []byte {
	before, after := assistant(1), assistant(1)
	after.Organisations[0].Limits.Concurrency++
	update := document.UpdateBetween(before, after)
	data, err := json.Marshal([]documents.Change{{
		Revision: 1 << 20, Token: documents.NewToken(), Service: serviceName, At: time.Unix(1_000, 0).UTC(),
		Update: &update, Diff: document.Diff(before, after),
	}})
	require.NoError(t, err)
	return data
}

// later has something happen after the time of a message.
func (s *spreading) later(after time.Duration, do func(now time.Time)) {
	s.seq++
	queue.Push(&s.under, delivery{at: s.now.Add(after), seq: s.seq, do: do})
}

// send counts a message and delivers it to a node.
func (s *spreading) send(from, to spread.NodeID, message link.Message, hand func(n *spread.Node, now time.Time) []spread.Action) {
	s.messages++
	s.bytes += frameBytes(s.t, message)
	key := [2]spread.NodeID{from, to}
	if at, open := s.used[key]; !open || s.now.Sub(at) >= link.DefaultTiming.Idle {
		s.used[key] = s.now
		s.opened++
	}
	s.later(linkDelay, func(now time.Time) { s.do(to, hand(s.nodes[to], now)) })
}

func (s *spreading) do(from spread.NodeID, actions []spread.Action) {
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
			s.ask(from, a)
		case spread.PollTable:
			s.polls++
			s.later(linkDelay, func(now time.Time) {
				s.do(from, s.nodes[from].HandlePoll(now, spread.PollResult{Nonce: a.Nonce, OK: true, After: a.After, Revision: s.table}))
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

func (s *spreading) push(from spread.NodeID, a spread.PushTo) {
	message := &link.ConfigPush{Root: string(a.Root), Zone: a.Zone, After: uint64(a.After), Revision: uint64(a.Revision), Changes: s.changes}
	push := spread.Push{From: from, Root: a.Root, Zone: a.Zone, After: a.After, Revision: a.Revision}
	for _, to := range a.Nodes {
		s.send(from, to, message, func(n *spread.Node, now time.Time) []spread.Action { return n.HandlePush(now, push) })
	}
}

// ask sends a question and its answer, which goes back on the link of the question.
func (s *spreading) ask(from spread.NodeID, a spread.QueryPeer) {
	s.send(from, a.Node, &link.ConfigRequest{After: uint64(a.After), Nonce: a.Nonce}, func(n *spread.Node, _ time.Time) []spread.Action {
		answer := spread.Answer{Node: a.Node, Nonce: a.Nonce, After: a.After, Revision: n.Revision(), Highest: n.HighestSeen()}
		message := &link.ConfigAnswer{Nonce: a.Nonce, After: uint64(a.After), Revision: uint64(answer.Revision), Highest: uint64(answer.Highest), Parts: 1}
		s.messages++
		s.bytes += frameBytes(s.t, message)
		s.later(linkDelay, func(now time.Time) { s.do(from, s.nodes[from].HandleAnswer(now, answer)) })
		return nil
	})
}

// run delivers messages and ticks until the time has passed or done.
func (s *spreading) run(limit time.Duration, done func() bool) time.Duration {
	begun := s.now
	nextTick := s.now.Add(tick)
	for s.now.Sub(begun) < limit && !done() {
		if len(s.under) > 0 && !s.under[0].at.After(nextTick) {
			d := queue.Pop(&s.under).(delivery)
			s.now = d.at
			d.do(s.now)
			continue
		}
		s.now = nextTick
		nextTick = s.now.Add(tick)
		for _, member := range s.members {
			s.do(member.ID, s.nodes[member.ID].Tick(s.now))
		}
	}
	return s.now.Sub(begun)
}

func (s *spreading) reset() { s.messages, s.bytes, s.polls, s.opened = 0, 0, 0, 0 }

// write has the first node write a change; it returns when all have it in force, and when
// the writer knows.
func (s *spreading) write() (inForce, known time.Duration) {
	root := s.members[0].ID
	s.table++
	revision := s.table
	s.do(root, s.nodes[root].HandleWrite(s.now, revision-1, revision))
	inForce = s.run(settle, func() bool {
		for _, node := range s.nodes {
			if node.Revision() < revision {
				return false
			}
		}
		return true
	})
	known = inForce + s.run(settle, s.nodes[root].Tracker(revision).Complete)
	return inForce, known
}

// spreadSizes are the numbers of nodes; the documents go to entries alone, of which the
// design has 350.
var spreadSizes = []int{64, 256, 350, 1550}

// BenchmarkCapacityChange reports what one change costs in messages and bytes a node, and
// the links that had to be opened for it, with messages of 2 ms each. Where it is written
// just as all pollers read the table, they find it too and push it to their zones.
func BenchmarkCapacityChange(b *testing.B) {
	for _, size := range spreadSizes {
		// Polls fall on each half second.
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) { change(b, size, 1100*time.Millisecond) })
		b.Run(fmt.Sprintf("polled/nodes=%d", size), func(b *testing.B) { change(b, size, time.Second) })
	}
}

func change(b *testing.B, size int, after time.Duration) {
	var s *spreading
	var inForce, known time.Duration
	for b.Loop() {
		s = newSpreading(b, size)
		s.run(after, func() bool { return false })
		s.reset()
		inForce, known = s.write()
	}
	nodes := float64(size)
	b.ReportMetric(float64(s.messages)/nodes, "messages/node")
	b.ReportMetric(float64(s.bytes)/nodes, "wire-B/node")
	b.ReportMetric(float64(s.opened)/nodes, "opened/node")
	b.ReportMetric(float64(inForce)/float64(time.Millisecond), "in-force-ms")
	b.ReportMetric(float64(known)/float64(time.Millisecond), "known-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkCapacityQuiet reports what the nodes say to each other and to the table while
// nothing changes, over a minute.
func BenchmarkCapacityQuiet(b *testing.B) {
	for _, size := range spreadSizes {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			const seconds = 60
			s := newSpreading(b, size)
			s.run(10*time.Second, func() bool { return false })
			s.reset()
			s.run(seconds*time.Second, func() bool { return false })
			per := float64(size) * seconds
			b.ReportMetric(float64(s.messages)/per, "messages/node/s")
			b.ReportMetric(float64(s.bytes)/per, "wire-B/node/s")
			b.ReportMetric(float64(s.opened)/per, "opened/node/s")
			b.ReportMetric(float64(s.polls)/seconds, "table-reads/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

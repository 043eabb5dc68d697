package capacity

import (
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"testing"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
	"acaciacleat.example/core/routing"
	"acaciacleat.example/peers/link"
	"github.com/stretchr/testify/require"
)

// Names as long as operators choose them.
const (
	agentName        = "engine-1234"
	modelName        = "assistant-1"
	serviceName      = "assistant"
	organisationName = "organisation-12345"
)

var wireID = call.ID{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}

// busyLoad is the digest of an agent with work of several classes in hand.
func busyLoad() routing.Load {
	return routing.Load{
		QueuedPrompt:   [call.NumClasses]int64{6_000, 90_000, 0, 0},
		RunningPrompt:  [call.NumClasses]int64{30_000, 120_000, 300_000, 0},
		QueuedCalls:    5,
		RunningCalls:   48,
		FreeTokens:     120_000,
		CapacityTokens: 400_000,
		PrefillRate:    40_000.5,
		Sequence:       1 << 20,
	}
}

func busyReport() link.LoadReport {
	return link.LoadReport{
		Agent: agentName, Incarnation: 1 << 63, Model: modelName, AgeMs: 300, Load: busyLoad(), Revision: 1 << 20,
	}
}

// offer is an offer of a chat without its body; digests grow with the prompt.
func offer(digests int) *link.Offer {
	prefix := make([]uint64, digests)
	for i := range prefix {
		prefix[i] = 1<<63 + uint64(i)
	}
	return &link.Offer{
		ID: wireID, Attempt: 1, BoundTo: 1 << 63, Stamp: 1 << 50, Service: serviceName, Model: modelName,
		Organisation: organisationName, Chat: true, Repeatable: true, TimeLeftMs: 120_000, PromptTokens: 8_000,
		MaxTokens: 1_024, Prefix: prefix, TraceParent: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
		BodyBytes: 32_000, Objective: "time-to-first-token", Revision: 1 << 20,
	}
}

// messages are those of a request and of control, as an ordinary day has them.
func messages() map[string]link.Message {
	reports := []link.LoadReport{busyReport(), busyReport(), busyReport()}
	return map[string]link.Message{
		"offer-1k":     offer(2),
		"offer-8k":     offer(16),
		"offer-1M":     offer(64),
		"accepted":     &link.Accepted{ID: wireID, Attempt: 1, Queued: 5, Load: busyReport()},
		"refused":      &link.Refused{ID: wireID, Attempt: 1, Code: result.QueueFull, Execution: result.NotRun, Better: agentName, Stamp: 1 << 50, Load: busyReport()},
		"end":          &link.End{ID: wireID, Attempt: 1, Seq: 373, Execution: result.Ran, FinishReason: "stop", PromptTokens: 8_000, CachedTokens: 4_000, CompletionTokens: 372, QueueMs: 12.5, FirstTokenMs: 210.5, Load: busyReport()},
		"loads-1":      &link.Loads{Reports: reports[:1]},
		"loads-3":      &link.Loads{Reports: reports},
		"limit-ask":    &link.LimitRequest{Service: serviceName, Organisation: organisationName, Sequence: 1 << 62, Tokens: 9_024, Held: 3, MoreRequests: 2, MoreTokens: 18_000},
		"limit-grant":  &link.LimitGrant{Service: serviceName, Organisation: organisationName, Sequence: 1 << 62, OK: true, Requests: 3, Tokens: 27_000, Held: 4},
		"limit-renew":  &link.LimitRenew{Holds: []link.LimitHold{{Service: serviceName, Organisation: organisationName, Sequence: 1 << 62, Held: 3}}},
		"chunk":        &link.Chunk{ID: wireID, Attempt: 1, Seq: 200, Tokens: 1, Data: []byte("token ")},
		"ack":          &link.Ack{ID: wireID, Attempt: 1, Seq: 200},
		"config-ask":   &link.ConfigRequest{After: 1 << 20, Nonce: 1 << 30},
		"config-state": &link.ConfigAnswer{Nonce: 1 << 30, After: 1 << 20, Revision: 1 << 20, Highest: 1 << 20, Parts: 1},
	}
}

// pair is a link whose bytes are counted.
type pair struct {
	pipe *countingPipe
	conn *link.Conn
	got  atomic.Int64
	// opened is what the opening of the link cost in both directions.
	opened int64
}

func newPair(t testing.TB) *pair {
	p := &pair{}
	count := func(*link.Conn, link.Message) { p.got.Add(1) }
	far := startNode(t, agentName, handler{message: count})
	near := startNode(t, "entry-123", handler{})
	p.pipe = newCountingPipe(t, far.Addr())
	conn, err := near.Dial(t.Context(), agentName, p.pipe.addr())
	require.NoError(t, err)
	p.conn = conn
	p.opened = p.pipe.out.Load() + p.pipe.back.Load()
	return p
}

// send returns the bytes that a message took on the link.
func (p *pair) send(t testing.TB, message link.Message) int64 {
	before, got := p.pipe.out.Load(), p.got.Load()
	require.NoError(t, p.conn.Send(message))
	await(t, "the message did not arrive", func() bool { return p.got.Load() > got })
	return p.pipe.out.Load() - before
}

// TestFrameBytesAreThoseOfALink checks the sizes that the other measurements use.
func TestFrameBytesAreThoseOfALink(t *testing.T) {
	p := newPair(t)
	for name, message := range messages() {
		if name == "chunk" || name == "ack" {
			continue
		}
		require.Equal(t, p.send(t, message), int64(frameBytes(t, message)), name)
	}
}

// BenchmarkCapacityWire reports the bytes of each message on a link, and of the opening of
// a link, both ways and without TCP's and IP's headers.
func BenchmarkCapacityWire(b *testing.B) {
	p := newPair(b)
	all := messages()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		b.Run(name, func(b *testing.B) { reportSize(b, p.send(b, all[name])) })
	}
	b.Run("open", func(b *testing.B) { reportSize(b, p.opened) })
}

// reportSize reports a size alone: the time of one measurement means nothing.
func reportSize(b *testing.B, size int64) {
	b.ReportMetric(float64(size), "wire-B")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkCapacityLinks reports what it costs to open links and to keep them: the time
// of a dial, the memory of one end of a link, and a look at all links, as each tick has.
func BenchmarkCapacityLinks(b *testing.B) {
	for _, links := range []int{25, 50, 100} {
		b.Run(fmt.Sprintf("links=%d", links), func(b *testing.B) {
			near := startNode(b, "entry-123", handler{})
			peers := make([]*link.Node, links)
			for i := range peers {
				peers[i] = startNode(b, fmt.Sprintf("engine-%04d", i), handler{})
			}
			before, used := heap(), cpu()
			for i, peer := range peers {
				_, err := near.Dial(b.Context(), fmt.Sprintf("engine-%04d", i), peer.Addr())
				require.NoError(b, err)
			}
			dialled := cpu() - used
			held := heap() - before
			for b.Loop() {
				near.Each(func(*link.Conn) {})
			}
			b.ReportMetric(float64(dialled.Microseconds())/float64(links), "cpu-us/dial")
			b.ReportMetric(held/float64(2*links), "heap-B/link")
		})
	}
}

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

// Names of realistic length.
const (
	agentName        = "engine-1234"
	modelName        = "assistant-1"
	serviceName      = "assistant"
	organisationName = "organisation-12345"
)

var wireID = call.ID{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}

// busyLoad returns the load of an agent with queued and running requests of several classes.
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

// sampleOffer returns an offer of a chat without its body. The number of prefix digests grows with the
// length of the prompt.
func sampleOffer(digests int) *link.Offer {
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

// sampleMessages returns typical request and control messages by name.
func sampleMessages() map[string]link.Message {
	reports := []link.LoadReport{busyReport(), busyReport(), busyReport()}
	return map[string]link.Message{
		"offer-1k":     sampleOffer(2),
		"offer-8k":     sampleOffer(16),
		"offer-1M":     sampleOffer(64),
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

// countedLink is a link whose bytes and received messages are counted.
type countedLink struct {
	pipe     *countingPipe
	conn     *link.Conn
	received atomic.Int64
	// openingBytes is the number of bytes that opening the link took, in both directions.
	openingBytes int64
}

func newCountedLink(t testing.TB) *countedLink {
	p := &countedLink{}
	count := func(*link.Conn, link.Message) { p.received.Add(1) }
	far := startNode(t, agentName, handler{onMessage: count})
	near := startNode(t, "entry-123", handler{})
	p.pipe = newCountingPipe(t, far.Addr())
	conn, err := near.Dial(t.Context(), agentName, p.pipe.addr())
	require.NoError(t, err)
	p.conn = conn
	p.openingBytes = p.pipe.bytesToTarget.Load() + p.pipe.bytesFromTarget.Load()
	return p
}

// send sends a message and returns its size on the link in bytes.
func (p *countedLink) send(t testing.TB, message link.Message) int64 {
	before, got := p.pipe.bytesToTarget.Load(), p.received.Load()
	require.NoError(t, p.conn.Send(message))
	waitFor(t, "the message did not arrive", func() bool { return p.received.Load() > got })
	return p.pipe.bytesToTarget.Load() - before
}

// Verifies frameBytes, which the other measurements use, against the bytes on a real link.
func TestFrameBytesAreThoseOfALink(t *testing.T) {
	p := newCountedLink(t)
	for name, message := range sampleMessages() {
		if name == "chunk" || name == "ack" {
			continue
		}
		require.Equal(t, p.send(t, message), int64(frameBytes(t, message)), name)
	}
}

// BenchmarkCapacityWire reports the size of each message on a link, and the bytes that opening a link
// takes in both directions, without TCP and IP headers.
func BenchmarkCapacityWire(b *testing.B) {
	p := newCountedLink(b)
	all := sampleMessages()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		b.Run(name, func(b *testing.B) { reportSize(b, p.send(b, all[name])) })
	}
	b.Run("open", func(b *testing.B) { reportSize(b, p.openingBytes) })
}

// reportSize reports a size and hides the time, which is meaningless for a single measurement.
func reportSize(b *testing.B, size int64) {
	b.ReportMetric(float64(size), "wire-B")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkCapacityLinks reports the cost of opening and keeping links: the CPU time of a dial, the
// memory of one end of a link, and the time of an iteration over all links, which each tick does.
func BenchmarkCapacityLinks(b *testing.B) {
	for _, links := range []int{25, 50, 100} {
		b.Run(fmt.Sprintf("links=%d", links), func(b *testing.B) {
			near := startNode(b, "entry-123", handler{})
			peers := make([]*link.Node, links)
			for i := range peers {
				peers[i] = startNode(b, fmt.Sprintf("engine-%04d", i), handler{})
			}
			before, used := heapBytes(), cpuTime()
			for i, peer := range peers {
				_, err := near.Dial(b.Context(), fmt.Sprintf("engine-%04d", i), peer.Addr())
				require.NoError(b, err)
			}
			dialTime := cpuTime() - used
			heapGrowth := heapBytes() - before
			for b.Loop() {
				near.Each(func(*link.Conn) {})
			}
			b.ReportMetric(float64(dialTime.Microseconds())/float64(links), "cpu-us/dial")
			b.ReportMetric(heapGrowth/float64(2*links), "heap-B/link")
		})
	}
}

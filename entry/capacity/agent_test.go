package capacity

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	agentprocess "acaciacleat.example/agent/process"
	"acaciacleat.example/agent/server"
	"acaciacleat.example/core/call"
	"acaciacleat.example/core/idempotency"
	"acaciacleat.example/core/load"
	"acaciacleat.example/core/scheduling"
	"acaciacleat.example/peers/engine"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/standin/platform"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// BenchmarkCapacityLedger reports the memory per call ID in an idempotency ledger, and the time that
// one call takes in a ledger of that size. It must run first: memory that other benchmarks release
// only seconds after their end would be subtracted from the measured memory.
func BenchmarkCapacityLedger(b *testing.B) {
	for _, ids := range []int{2_200, 10_000, 100_000} {
		b.Run(fmt.Sprintf("ids=%d", ids), func(b *testing.B) {
			before := heapBytes()
			now := time.Unix(1_000, 0)
			limits := idempotency.DefaultLimits
			limits.MaxIDs = 2 * ids
			ledger := idempotency.NewLedger(1, limits)
			next := uint64(0)
			processCall := func() {
				next++
				var id call.ID
				binary.LittleEndian.PutUint64(id[:], next)
				ledger.Offer(now, idempotency.Offer{ID: id, Attempt: 1, BoundTo: 1, Stamp: ledger.Stamp(now)})
				ledger.Begin(id)
				ledger.Finish(now, id, nil, 0)
			}
			for range ids {
				processCall()
			}
			heapGrowth := heapBytes() - before
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(limits.Retention / time.Duration(ids))
				processCall()
			}
			b.ReportMetric(heapGrowth/float64(ids), "heap-B/id")
			runtime.KeepAlive(ledger)
		})
	}
}

// prefillDelay is the time to first token: a thousand tokens at 40,000 tokens/s. It is not 0, because
// real engines do not respond immediately.
const prefillDelay = 25 * time.Millisecond

// pacedEngine generates the first token after prefillDelay and then one token per step. With step 0,
// the tokens after the first follow immediately or, if gate is set, once gate is closed.
type pacedEngine struct {
	engine.Engine
	tokens int
	step   time.Duration
	gate   chan struct{}
}

func (e *pacedEngine) Generate(ctx context.Context, _ engine.Generate) (engine.Stream, error) {
	return &pacedStream{engine: e, ctx: ctx}, nil
}

func (e *pacedEngine) Report(context.Context) (engine.Report, error) {
	return engine.Report{CapacityTokens: 1 << 40}, nil
}

type pacedStream struct {
	engine *pacedEngine
	ctx    context.Context
	ticker *time.Ticker
	sent   int
}

func (s *pacedStream) Next() (engine.Delta, bool, error) {
	if s.sent >= s.engine.tokens {
		return engine.Delta{}, false, nil
	}
	if !s.waitForToken() {
		return engine.Delta{}, false, s.ctx.Err()
	}
	s.sent++
	return engine.Delta{Text: "token ", Tokens: 1}, true, nil
}

// waitForToken waits until the next token is due; false if the request was cancelled.
func (s *pacedStream) waitForToken() bool {
	var first, step <-chan time.Time
	switch {
	case s.sent == 0:
		first = time.After(prefillDelay)
	case s.engine.step > 0:
		step = s.steps()
	case s.engine.gate == nil:
		return true
	}
	select {
	case <-first:
	case <-step:
	case <-s.engine.gate:
	case <-s.ctx.Done():
		return false
	}
	return true
}

func (s *pacedStream) steps() <-chan time.Time {
	if s.ticker == nil {
		s.ticker = time.NewTicker(s.engine.step)
	}
	return s.ticker.C
}

func (s *pacedStream) Final() engine.Final { return engine.Final{FinishReason: "length"} }

func (s *pacedStream) Close() error {
	if s.ticker != nil {
		s.ticker.Stop()
	}
	return nil
}

// startAgent starts an agent that runs every request immediately instead of queueing it.
func startAgent(t testing.TB, vm, service string, e engine.Engine) *agentprocess.Agent {
	limits := server.DefaultLimits
	limits.Running = limits.Queue
	agent, err := agentprocess.Start(server.Config{
		VM: vm, Zone: "zone-a", Service: service, Model: modelName, Listen: "127.0.0.1:0", Keys: keys, Engine: e,
		Queue: scheduling.NewPriority(scheduling.SettingsFor("time-to-first-token", 0)), Incarnation: link.NewIncarnation(),
		Limits: limits, Log: zerolog.Nop(),
	}, platform.New(1).VMs)
	require.NoError(t, err)
	t.Cleanup(agent.Stop)
	return agent
}

// offerClient offers requests to an agent over its own link, as an entry does.
type offerClient struct {
	conn         *link.Conn
	next         uint64
	chunks, ends atomic.Int64
}

func newOfferClient(t testing.TB, agent *agentprocess.Agent) *offerClient {
	c := &offerClient{}
	node := startNode(t, "entry-123", handler{onMessage: c.handleMessage})
	conn, err := node.Dial(t.Context(), agentName, agent.Addr())
	require.NoError(t, err)
	conn.Retain()
	c.conn = conn
	return c
}

func (c *offerClient) handleMessage(conn *link.Conn, message link.Message) {
	switch m := message.(type) {
	case *link.Chunk:
		c.chunks.Add(1)
		_ = conn.Send(&link.Ack{ID: m.ID, Attempt: m.Attempt, Seq: m.Seq})
	case *link.End:
		c.ends.Add(1)
		_ = conn.Send(&link.Ack{ID: m.ID, Attempt: m.Attempt, Seq: m.Seq})
	}
}

// promptBytes is the length of a prompt of a thousand tokens, the shortest in the target deployment.
const promptBytes = 4_000

var promptBody = make([]byte, promptBytes)

func (c *offerClient) offer(t testing.TB) {
	c.next++
	o := sampleOffer(2)
	binary.LittleEndian.PutUint64(o.ID[:], c.next)
	o.BoundTo, o.Stamp = c.conn.Peer().Incarnation, c.conn.Stamp()
	o.PromptTokens, o.Body, o.BodyBytes = promptBytes/4, promptBody, promptBytes
	require.NoError(t, c.conn.Send(o))
}

// BenchmarkCapacityAgentLive reports the memory of live requests at an agent. All are running and
// have sent their first token. The client's end of the link is included.
func BenchmarkCapacityAgentLive(b *testing.B) {
	for _, live := range []int{1_000, 2_500, 5_000} {
		b.Run(fmt.Sprintf("live=%d", live), func(b *testing.B) {
			heapGrowth := 0.0
			for b.Loop() {
				heapGrowth = liveHeap(b, live)
			}
			b.ReportMetric(heapGrowth/float64(live), "heap-B/request")
			b.ReportMetric(heapGrowth/(1<<20), "heap-MB")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// liveHeap returns the growth of the heap while the given number of requests is live.
func liveHeap(b *testing.B, live int) float64 {
	e := &pacedEngine{tokens: 2, gate: make(chan struct{})}
	agent := startAgent(b, agentName, serviceName, e)
	c := newOfferClient(b, agent)
	before := heapBytes()
	for range live {
		c.offer(b)
	}
	waitFor(b, "not all requests have started", func() bool { return c.chunks.Load() >= int64(live) })
	heapGrowth := heapBytes() - before
	close(e.gate)
	agent.Stop()
	return heapGrowth
}

// BenchmarkCapacityAgentRequest reports the CPU time of a request at an agent by the number of its
// tokens, including the client's end of the link.
func BenchmarkCapacityAgentRequest(b *testing.B) {
	for _, tokens := range []int{1, 64, 512} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			agent := startAgent(b, agentName, serviceName, &pacedEngine{tokens: tokens})
			c := newOfferClient(b, agent)
			b.ReportAllocs()
			used := cpuTime()
			for b.Loop() {
				endedBefore := c.ends.Load()
				for range concurrentRequests {
					c.offer(b)
				}
				waitFor(b, "not all requests have ended", func() bool { return c.ends.Load() >= endedBefore+concurrentRequests })
			}
			b.ReportMetric(float64((cpuTime()-used).Microseconds())/float64(b.N*concurrentRequests), "cpu-us/request")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// concurrentRequests is the number of concurrent requests in measurements of CPU time.
const concurrentRequests = 64

// BenchmarkCapacityLoadReports reports the messages and bytes per second that an agent sends to the
// other agents of its group (load.Group) while its load changes continuously, without TCP and IP
// headers. An agent receives as much as it sends.
func BenchmarkCapacityLoadReports(b *testing.B) {
	for _, size := range []int{4, 11, 44} {
		b.Run(fmt.Sprintf("group=%d", size), func(b *testing.B) {
			var messages, bytes float64
			for b.Loop() {
				messages, bytes = loadReportTraffic(b, size)
			}
			b.ReportMetric(messages, "messages/s")
			b.ReportMetric(bytes, "wire-B/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func loadReportTraffic(b *testing.B, size int) (messages, bytes float64) {
	const seconds = 300
	random := rand.New(rand.NewPCG(1, 2))
	group := load.NewGroup(agentName)
	peers := make([]string, size)
	for i := range peers {
		peers[i] = fmt.Sprintf("engine-%04d", i)
	}
	peers[0] = agentName
	group.SetPeers(peers)
	now := time.Unix(1_000, 0)
	sent := 0
	report := busyReport()
	for range seconds * int(time.Second/tickInterval) {
		now = now.Add(tickInterval)
		report.Load.QueuedPrompt[call.Short] = random.Int64N(1_000_000)
		own := load.Report{Agent: agentName, Load: report.Load, TakenAt: now}
		sent += len(group.Recipients(now, &own))
	}
	frame := frameBytes(b, &link.Loads{Reports: []link.LoadReport{report}})
	return float64(sent) / seconds, float64(sent*frame) / seconds
}

// BenchmarkCapacityEngineReport reports the cost of reading an engine's report, which an agent does
// once a second over the loopback of its VM.
func BenchmarkCapacityEngineReport(b *testing.B) {
	for _, allocations := range []int{16, 64, 256} {
		b.Run(fmt.Sprintf("held=%d", allocations), func(b *testing.B) {
			report := engine.Report{Model: modelName, Version: "1", CapacityTokens: 400_000}
			for i := range allocations {
				report.Allocations = append(report.Allocations, engine.Allocation{ID: call.ID{byte(i)}.String(), Tokens: 9_024})
			}
			body, err := json.Marshal(report)
			require.NoError(b, err)
			standIn := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
			b.Cleanup(standIn.Close)
			e := engine.NewHTTP(standIn.URL)
			b.ReportAllocs()
			used := cpuTime()
			for b.Loop() {
				_, err := e.Report(b.Context())
				require.NoError(b, err)
			}
			b.ReportMetric(float64((cpuTime()-used).Microseconds())/float64(b.N), "cpu-us/read")
			b.ReportMetric(float64(len(body)), "loopback-B")
		})
	}
}

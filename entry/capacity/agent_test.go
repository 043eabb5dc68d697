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

// BenchmarkCapacityLedger reports the memory of remembered ids and the time of a call's
// passage through a ledger of that size. It comes first: requests that ended are let go of
// seconds later and would be taken off its memory.
func BenchmarkCapacityLedger(b *testing.B) {
	for _, ids := range []int{2_200, 10_000, 100_000} {
		b.Run(fmt.Sprintf("ids=%d", ids), func(b *testing.B) {
			before := heap()
			now := time.Unix(1_000, 0)
			limits := idempotency.DefaultLimits
			limits.MaxIDs = 2 * ids
			ledger := idempotency.NewLedger(1, limits)
			next := uint64(0)
			pass := func() {
				next++
				var id call.ID
				binary.LittleEndian.PutUint64(id[:], next)
				ledger.Offer(now, idempotency.Offer{ID: id, Attempt: 1, BoundTo: 1, Stamp: ledger.Stamp(now)})
				ledger.Begin(id)
				ledger.Finish(now, id, nil, 0)
			}
			for range ids {
				pass()
			}
			held := heap() - before
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(limits.Retention / time.Duration(ids))
				pass()
			}
			b.ReportMetric(held/float64(ids), "heap-B/id")
			runtime.KeepAlive(ledger)
		})
	}
}

// prefill is the time to a first token: a thousand tokens at 40,000 a second. No answer
// begins at once, as none does at an engine.
const prefill = 25 * time.Millisecond

// pacedEngine answers with one token a step; without a step at once after the first, or,
// with a gate, when the gate is closed.
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
	if !s.wait() {
		return engine.Delta{}, false, s.ctx.Err()
	}
	s.sent++
	return engine.Delta{Text: "token ", Tokens: 1}, true, nil
}

// wait waits for the next token; false when the request was cancelled.
func (s *pacedStream) wait() bool {
	var first, step <-chan time.Time
	switch {
	case s.sent == 0:
		first = time.After(prefill)
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

// startAgent runs an agent that starts every request at once.
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

// caller offers requests to an agent over a link of its own, as an entry does.
type caller struct {
	conn        *link.Conn
	next        uint64
	chunks, end atomic.Int64
}

func newCaller(t testing.TB, agent *agentprocess.Agent) *caller {
	c := &caller{}
	node := startNode(t, "entry-123", handler{message: c.hear})
	conn, err := node.Dial(t.Context(), agentName, agent.Addr())
	require.NoError(t, err)
	conn.Retain()
	c.conn = conn
	return c
}

func (c *caller) hear(conn *link.Conn, message link.Message) {
	switch m := message.(type) {
	case *link.Chunk:
		c.chunks.Add(1)
		_ = conn.Send(&link.Ack{ID: m.ID, Attempt: m.Attempt, Seq: m.Seq})
	case *link.End:
		c.end.Add(1)
		_ = conn.Send(&link.Ack{ID: m.ID, Attempt: m.Attempt, Seq: m.Seq})
	}
}

// promptBytes is a prompt of a thousand tokens, the shortest of the design.
const promptBytes = 4_000

var promptBody = make([]byte, promptBytes)

func (c *caller) offer(t testing.TB) {
	c.next++
	o := offer(2)
	binary.LittleEndian.PutUint64(o.ID[:], c.next)
	o.BoundTo, o.Stamp = c.conn.Peer().Incarnation, c.conn.Stamp()
	o.PromptTokens, o.Body, o.BodyBytes = promptBytes/4, promptBody, promptBytes
	require.NoError(t, c.conn.Send(o))
}

// BenchmarkCapacityAgentLive reports the memory of live requests at an agent, all running
// and with their first token sent; the caller's end of the one link is included.
func BenchmarkCapacityAgentLive(b *testing.B) {
	for _, live := range []int{1_000, 2_500, 5_000} {
		b.Run(fmt.Sprintf("live=%d", live), func(b *testing.B) {
			held := 0.0
			for b.Loop() {
				held = liveHeap(b, live)
			}
			b.ReportMetric(held/float64(live), "heap-B/request")
			b.ReportMetric(held/(1<<20), "heap-MB")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func liveHeap(b *testing.B, live int) float64 {
	e := &pacedEngine{tokens: 2, gate: make(chan struct{})}
	agent := startAgent(b, agentName, serviceName, e)
	c := newCaller(b, agent)
	before := heap()
	for range live {
		c.offer(b)
	}
	await(b, "not all requests have begun", func() bool { return c.chunks.Load() >= int64(live) })
	held := heap() - before
	close(e.gate)
	agent.Stop()
	return held
}

// BenchmarkCapacityAgentRequest reports the processor time of a request at an agent, the
// caller's end of the link included, by the number of its tokens.
func BenchmarkCapacityAgentRequest(b *testing.B) {
	for _, tokens := range []int{1, 64, 512} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			agent := startAgent(b, agentName, serviceName, &pacedEngine{tokens: tokens})
			c := newCaller(b, agent)
			b.ReportAllocs()
			used := cpu()
			for b.Loop() {
				done := c.end.Load()
				for range inFlight {
					c.offer(b)
				}
				await(b, "not all requests have ended", func() bool { return c.end.Load() >= done+inFlight })
			}
			b.ReportMetric(float64((cpu()-used).Microseconds())/float64(b.N*inFlight), "cpu-us/request")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// inFlight is the number of requests at once where processor time is measured.
const inFlight = 64

// BenchmarkCapacityTelling reports what an agent sends to its group in a second when its
// load changes all the time, without TCP's and IP's headers; it receives as much.
func BenchmarkCapacityTelling(b *testing.B) {
	for _, size := range []int{4, 11, 44} {
		b.Run(fmt.Sprintf("group=%d", size), func(b *testing.B) {
			var messages, bytes float64
			for b.Loop() {
				messages, bytes = telling(b, size)
			}
			b.ReportMetric(messages, "messages/s")
			b.ReportMetric(bytes, "wire-B/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func telling(b *testing.B, size int) (messages, bytes float64) {
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
	for range seconds * int(time.Second/tick) {
		now = now.Add(tick)
		report.Load.QueuedPrompt[call.Short] = random.Int64N(1_000_000)
		own := load.Report{Agent: agentName, Load: report.Load, TakenAt: now}
		sent += len(group.Recipients(now, &own))
	}
	frame := frameBytes(b, &link.Loads{Reports: []link.LoadReport{report}})
	return float64(sent) / seconds, float64(sent*frame) / seconds
}

// BenchmarkCapacityReport reports the cost of reading an engine's report, which an agent
// does once a second beside its engine, and which never leaves the VM.
func BenchmarkCapacityReport(b *testing.B) {
	for _, held := range []int{16, 64, 256} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			report := engine.Report{Model: modelName, Version: "1", CapacityTokens: 400_000}
			for i := range held {
				report.Allocations = append(report.Allocations, engine.Allocation{ID: call.ID{byte(i)}.String(), Tokens: 9_024})
			}
			body, err := json.Marshal(report)
			require.NoError(b, err)
			stand := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
			b.Cleanup(stand.Close)
			e := engine.NewHTTP(stand.URL)
			b.ReportAllocs()
			used := cpu()
			for b.Loop() {
				_, err := e.Report(b.Context())
				require.NoError(b, err)
			}
			b.ReportMetric(float64((cpu()-used).Microseconds())/float64(b.N), "cpu-us/read")
			b.ReportMetric(float64(len(body)), "loopback-B")
		})
	}
}

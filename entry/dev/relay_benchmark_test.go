package dev

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciacleat.example/agent/process"
	"acaciacleat.example/agent/server"
	"acaciacleat.example/core/call"
	"acaciacleat.example/core/scheduling"
	"acaciacleat.example/peers/engine"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/vmlist"
	standinengine "acaciacleat.example/standin/engine"
	"github.com/stretchr/testify/require"
)

// fastEngine generates a fixed number of deltas without delay, so that benchmarks measure the system
// and not an engine.
type fastEngine struct {
	engine.Engine
	tokens int
	// gate, if not nil, blocks streams after their first token until it is closed.
	gate chan struct{}
}

func (e *fastEngine) Generate(ctx context.Context, _ engine.Generate) (engine.Stream, error) {
	return &fastStream{engine: e, ctx: ctx}, nil
}

func (e *fastEngine) Report(context.Context) (engine.Report, error) {
	return engine.Report{CapacityTokens: 1 << 40}, nil
}

type fastStream struct {
	engine *fastEngine
	ctx    context.Context
	sent   int
}

func (s *fastStream) Next() (engine.Delta, bool, error) {
	if s.sent >= s.engine.tokens {
		return engine.Delta{}, false, nil
	}
	if s.sent == 1 && s.engine.gate != nil {
		select {
		case <-s.engine.gate:
		case <-s.ctx.Done():
			return engine.Delta{}, false, s.ctx.Err()
		}
	}
	s.sent++
	return engine.Delta{Text: "token ", Tokens: 1}, true, nil
}

func (s *fastStream) Final() engine.Final { return engine.Final{FinishReason: "length"} }
func (s *fastStream) Close() error        { return nil }

// startWithFastEngines starts one entry and agents that share a fastEngine.
func startWithFastEngines(t testing.TB, agents int, e *fastEngine) *Deployment {
	config := DefaultConfig()
	config.Listen = "127.0.0.1:0"
	config.OperatorListen = "127.0.0.1:0"
	config.Engines = 0
	config.Plains = 0
	d, err := Start(config)
	require.NoError(t, err)
	t.Cleanup(d.Stop)
	limits := server.DefaultLimits
	limits.Running = limits.Queue
	for i := range agents {
		agent, err := process.Start(server.Config{
			VM: "fast-" + string(rune('a'+i)), Service: ModelService, Model: ModelName, Listen: "127.0.0.1:0",
			Keys: d.keys, Engine: e, Queue: scheduling.NewFIFO(limits.Queue), Incarnation: link.NewIncarnation(), Limits: limits,
		}, d.Platform.VMs)
		require.NoError(t, err)
		t.Cleanup(agent.Stop)
		d.vms = append(d.vms, vmlist.VM{ID: "fast-" + string(rune('a'+i)), Role: vmlist.RoleAgent, Link: agent.Addr(), Service: ModelService})
	}
	d.Entries[0].View.SetVMs(d.vms)
	d.Platform.VMs.Set(d.vms...)
	return d
}

// discardWriter is a response writer that discards the body.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) Flush()                      {}

func fastRequest() *http.Request {
	request := httptest.NewRequest("POST", "/v1/chat/completions",
		strings.NewReader(`{"model":"assistant-1","stream":true,"messages":[{"role":"user","content":"q"}]}`))
	request.Header.Set("Authorization", "Bearer "+Key)
	return request
}

// BenchmarkRelay measures the path of token frames from the agent over the link and the entry to the
// rendered event. One operation is one frame; 64 streams run concurrently.
func BenchmarkRelay(b *testing.B) {
	const streams = 64
	e := &fastEngine{tokens: b.N/streams + 1}
	d := startWithFastEngines(b, 4, e)
	b.ReportAllocs()
	b.ResetTimer()
	var streamGroup sync.WaitGroup
	for range streams {
		streamGroup.Go(func() { d.Entries[0].Front.ServeHTTP(&discardWriter{header: make(http.Header)}, fastRequest()) })
	}
	streamGroup.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "frames/s")
}

// BenchmarkStreamMemory measures the memory of 10,000 open streams in the entry and the agents
// together.
func BenchmarkStreamMemory(b *testing.B) {
	const streams = 10_000
	for b.Loop() {
		e := &fastEngine{tokens: 2, gate: make(chan struct{})}
		d := startWithFastEngines(b, 4, e)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var streamGroup sync.WaitGroup
		for range streams {
			streamGroup.Go(func() { d.Entries[0].Front.ServeHTTP(&discardWriter{header: make(http.Header)}, fastRequest()) })
		}
		for d.Entries[0].Front.Metrics().FirstTokens()[call.Short.String()].Count < streams {
			time.Sleep(time.Millisecond)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.Sys)/(1<<20), "MB-sys")
		b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/streams, "B/stream")
		close(e.gate)
		streamGroup.Wait()
		b.StopTimer()
		d.Stop()
		b.StartTimer()
	}
}

// BenchmarkAddedLatency compares the time to first token of a direct call of the stand-in engine with
// that of the same call through an entry and an agent. The two kinds of call alternate.
func BenchmarkAddedLatency(b *testing.B) {
	config := DefaultConfig()
	config.Listen = "127.0.0.1:0"
	config.OperatorListen = "127.0.0.1:0"
	config.Engines = 1
	config.Engine = standinengine.Config{}
	d, err := Start(config)
	require.NoError(b, err)
	b.Cleanup(d.Stop)
	direct := engine.NewHTTP(d.EngineURLs[0])
	body := `{"model":"assistant-1","stream":true,"max_tokens":1,"messages":[{"role":"user","content":"Does span 14 need pruning?"}]}`
	var viaEntry, directTimes []time.Duration
	for b.Loop() {
		directTimes = append(directTimes, timeDirect(b, direct, body))
		viaEntry = append(viaEntry, timeViaEntry(b, d, body))
	}
	slices.Sort(directTimes)
	slices.Sort(viaEntry)
	for name, q := range map[string]int{"p50": 50, "p99": 99} {
		added := viaEntry[len(viaEntry)*q/100] - directTimes[len(directTimes)*q/100]
		b.ReportMetric(float64(added.Microseconds())/1000, "added-ms-"+name)
		b.ReportMetric(float64(directTimes[len(directTimes)*q/100].Microseconds())/1000, "direct-ms-"+name)
	}
}

func timeDirect(b *testing.B, e engine.Engine, body string) time.Duration {
	start := time.Now()
	stream, err := e.Generate(context.Background(), engine.Generate{ID: call.ID{1}, Body: []byte(body), Chat: true, TimeLeft: time.Minute})
	require.NoError(b, err)
	_, _, err = stream.Next()
	require.NoError(b, err)
	elapsed := time.Since(start)
	for ok := true; ok && err == nil; {
		_, ok, err = stream.Next()
	}
	stream.Close()
	return elapsed
}

func timeViaEntry(b *testing.B, d *Deployment, body string) time.Duration {
	request, err := http.NewRequest("POST", "http://"+d.Entries[0].Addr()+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(b, err)
	request.Header.Set("Authorization", "Bearer "+Key)
	start := time.Now()
	response, err := http.DefaultClient.Do(request)
	require.NoError(b, err)
	var first [1]byte
	_, err = io.ReadFull(response.Body, first[:])
	require.NoError(b, err)
	elapsed := time.Since(start)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(b, err)
	response.Body.Close()
	return elapsed
}

package dev

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	standinengine "acaciacleat.example/standin/engine"
	"github.com/stretchr/testify/require"
)

// traffic continuously sends streamed chats and non-repeatable calls to ready entries, as callers
// behind a load balancer do, and records the outcomes that stopAndCheck verifies.
type traffic struct {
	t *testing.T
	d *Deployment
	// fleetMu guards the deployment's lists of agents and entries during restarts.
	fleetMu       sync.RWMutex
	client        *http.Client
	expectedTexts map[string]string

	calls    atomic.Int64
	chats    atomic.Int64
	stop     chan struct{}
	workers  sync.WaitGroup
	mu       sync.Mutex
	failures []string
	// notRun has the tags of calls that were reported as not run, completed those of successful
	// calls.
	notRun    []string
	completed []string
}

const (
	trafficWorkers = 24
	trafficPrompts = 8
	trafficTokens  = 60
)

func startTraffic(t *testing.T, change func(*Config)) *traffic {
	d := startDeployment(t, func(c *Config) {
		c.Engines, c.Plains, c.Entries = 4, 3, 3
		c.Engine = standinengine.Config{PrefillRate: 4_000_000, DecodeStep: 5 * time.Millisecond}
		if change != nil {
			change(c)
		}
	})
	d.waitForEntries(t)
	w := &traffic{
		t: t, d: d, expectedTexts: make(map[string]string), stop: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: trafficWorkers}},
	}
	for i := range trafficPrompts {
		prompt := fmt.Sprintf("What was found at span %d?", i)
		_, data := send(t, d, "POST", "/v1/chat/completions", Key, chatBody(t, prompt, true, trafficTokens))
		w.expectedTexts[prompt], _ = parseStream(t, data)
	}
	for i := range trafficWorkers {
		w.workers.Go(func() { w.runWorker(rand.New(rand.NewPCG(uint64(i), 1))) })
	}
	return w
}

func (w *traffic) runWorker(random *rand.Rand) {
	for i := 0; ; i++ {
		select {
		case <-w.stop:
			return
		default:
		}
		if random.IntN(3) == 0 {
			w.plainCall(fmt.Sprintf("job-%d-%d", random.Uint64(), i))
		} else {
			w.chat(fmt.Sprintf("What was found at span %d?", random.IntN(trafficPrompts)))
		}
	}
}

// readyEntry returns the address of an entry that reports itself ready, as the platform's load
// balancer does, or "".
func (w *traffic) readyEntry(attempt int) string {
	w.fleetMu.RLock()
	defer w.fleetMu.RUnlock()
	for i := range w.d.Entries {
		e := w.d.Entries[(attempt+i)%len(w.d.Entries)]
		if e.Ready() {
			return e.Addr()
		}
	}
	return ""
}

// post sends a request to a ready entry. It retries refused connections, as a load balancer does.
func (w *traffic) post(path, body string, header ...string) (*http.Response, error) {
	deadline := time.Now().Add(waitTimeout)
	for attempt := rand.IntN(1 << 20); ; attempt++ {
		addr := w.readyEntry(attempt)
		request, err := http.NewRequestWithContext(context.Background(), "POST", "http://"+addr+path, strings.NewReader(body))
		if err != nil {
			return nil, err
		}
		request.Header.Set("Authorization", "Bearer "+Key)
		for i := 0; i+1 < len(header); i += 2 {
			request.Header.Set(header[i], header[i+1])
		}
		response, err := w.client.Do(request)
		if err == nil || !strings.Contains(err.Error(), "connection refused") || time.Now().After(deadline) {
			return response, err
		}
	}
}

func (w *traffic) recordFailure(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures = append(w.failures, fmt.Sprintf(format, args...))
}

func (w *traffic) chat(prompt string) {
	w.chats.Add(1)
	response, err := w.post("/v1/chat/completions", chatBody(w.t, prompt, true, trafficTokens))
	if err != nil {
		w.recordFailure("chat: %v", err)
		return
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK || !bytes.HasSuffix(data, []byte("[DONE]\n\n")) {
		w.recordFailure("chat %s: %v %d %.500s", response.Header.Get("X-Request-Id"), err, response.StatusCode, tail(data))
		return
	}
	if text, usage := parseStream(w.t, data); text != w.expectedTexts[prompt] || usage.CompletionTokens != trafficTokens {
		w.recordFailure("chat %s: %d tokens, text %q, want %q", response.Header.Get("X-Request-Id"), usage.CompletionTokens, text, w.expectedTexts[prompt])
	}
}

func tail(data []byte) []byte { return data[max(0, len(data)-400):] }

func (w *traffic) plainCall(tag string) {
	w.calls.Add(1)
	response, err := w.post("/v1/services/parts/jobs", `{"part":"pump"}`, "Idempotency-Key", tag, "X-Call-Tag", tag)
	if err != nil {
		w.recordFailure("job %s: %v", tag, err)
		return
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err == nil && response.StatusCode == http.StatusCreated:
		w.completed = append(w.completed, tag)
		return
	case response.Header.Get("X-Execution") == "not-run":
		w.notRun = append(w.notRun, tag)
	}
	w.failures = append(w.failures, fmt.Sprintf("job %s: %v %d %s", tag, err, response.StatusCode, data))
}

// stopAndCheck stops the traffic and checks the invariants that hold regardless of failures: no call
// ran twice, no call ran that was reported as not run, and each successful call ran. It returns
// descriptions of the failed requests.
func (w *traffic) stopAndCheck() []string {
	close(w.stop)
	w.workers.Wait()
	runs := make(map[string]int)
	for _, p := range w.d.Plains {
		for tag, n := range p.Stats().RunsByTag {
			runs[tag] += n
		}
	}
	for tag, n := range runs {
		require.LessOrEqual(w.t, n, 1, "call %s ran %d times", tag, n)
	}
	for _, tag := range w.notRun {
		require.Zero(w.t, runs[tag], "call %s ran although it was reported as not run", tag)
	}
	for _, tag := range w.completed {
		require.Equal(w.t, 1, runs[tag], "call %s", tag)
	}
	w.d.waitForFreeMemory(w.t)
	w.t.Logf("%d chats, %d calls, %d failed", w.chats.Load(), w.calls.Load(), len(w.failures))
	return w.failures
}

// waitForRequests waits until n more chats and calls have started.
func (w *traffic) waitForRequests(n int64) {
	target := w.chats.Load() + w.calls.Load() + n
	deadline := time.Now().Add(waitTimeout)
	for w.chats.Load()+w.calls.Load() < target {
		require.True(w.t, time.Now().Before(deadline), "the traffic makes no progress")
		time.Sleep(readyPollInterval)
	}
}

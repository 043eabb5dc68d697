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

// traffic sends streamed chats and non-repeatable calls without a pause, as callers
// behind a balancer do, and keeps the books that the promises are judged by.
type traffic struct {
	t *testing.T
	d *Deployment
	// fleet guards the deployment's lists against restarts.
	fleet  sync.RWMutex
	client *http.Client
	wants  map[string]string

	calls  atomic.Int64
	chats  atomic.Int64
	stop   chan struct{}
	wait   sync.WaitGroup
	mu     sync.Mutex
	faults []string
	// notRun holds the tags of calls that were said not to have run, done those answered.
	notRun []string
	done   []string
}

const (
	trafficWorkers = 24
	trafficPrompts = 8
	trafficTokens  = 60
)

func startTraffic(t *testing.T, change func(*Config)) *traffic {
	d := start(t, func(c *Config) {
		c.Engines, c.Plains, c.Entries = 4, 3, 3
		c.Engine = standinengine.Config{PrefillRate: 4_000_000, DecodeStep: 5 * time.Millisecond}
		if change != nil {
			change(c)
		}
	})
	d.awaitEntries(t)
	w := &traffic{
		t: t, d: d, wants: make(map[string]string), stop: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: trafficWorkers}},
	}
	for i := range trafficPrompts {
		prompt := fmt.Sprintf("What was found at span %d?", i)
		_, data := send(t, d, "POST", "/v1/chat/completions", Key, chatBody(t, prompt, true, trafficTokens))
		w.wants[prompt], _ = streamed(t, data)
	}
	for i := range trafficWorkers {
		w.wait.Go(func() { w.work(rand.New(rand.NewPCG(uint64(i), 1))) })
	}
	return w
}

func (w *traffic) work(random *rand.Rand) {
	for i := 0; ; i++ {
		select {
		case <-w.stop:
			return
		default:
		}
		if random.IntN(3) == 0 {
			w.job(fmt.Sprintf("job-%d-%d", random.Uint64(), i))
		} else {
			w.chat(fmt.Sprintf("What was found at span %d?", random.IntN(trafficPrompts)))
		}
	}
}

// ready picks an entry that says it is ready, as the platform's balancer does.
func (w *traffic) ready(turn int) string {
	w.fleet.RLock()
	defer w.fleet.RUnlock()
	for i := range w.d.Entries {
		e := w.d.Entries[(turn+i)%len(w.d.Entries)]
		if e.Ready() {
			return e.Addr()
		}
	}
	return ""
}

// do sends a request to a ready entry. A refused connection is the balancer's to mend.
func (w *traffic) do(path, body string, header ...string) (*http.Response, error) {
	deadline := time.Now().Add(settle)
	for turn := rand.IntN(1 << 20); ; turn++ {
		addr := w.ready(turn)
		request, err := http.NewRequestWithContext(context.Background(), "POST", "http://"+addr+path, strings.NewReader(body))
		if err != nil {
			return nil, err
		}
		request.Header.Set("Authorization", "Bearer "+Key)
		for i := 0; i+1 < len(header); i += 2 {
			request.Header.Set(header[i], header[i+1])
		}
		answer, err := w.client.Do(request)
		if err == nil || !strings.Contains(err.Error(), "connection refused") || time.Now().After(deadline) {
			return answer, err
		}
	}
}

func (w *traffic) fault(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

func (w *traffic) chat(prompt string) {
	w.chats.Add(1)
	answer, err := w.do("/v1/chat/completions", chatBody(w.t, prompt, true, trafficTokens))
	if err != nil {
		w.fault("chat: %v", err)
		return
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil || answer.StatusCode != http.StatusOK || !bytes.HasSuffix(data, []byte("[DONE]\n\n")) {
		w.fault("chat %s: %v %d %.500s", answer.Header.Get("X-Request-Id"), err, answer.StatusCode, tail(data))
		return
	}
	if text, usage := streamed(w.t, data); text != w.wants[prompt] || usage.CompletionTokens != trafficTokens {
		w.fault("chat %s: %d tokens, text %q, want %q", answer.Header.Get("X-Request-Id"), usage.CompletionTokens, text, w.wants[prompt])
	}
}

func tail(data []byte) []byte { return data[max(0, len(data)-400):] }

func (w *traffic) job(tag string) {
	w.calls.Add(1)
	answer, err := w.do("/v1/services/parts/jobs", `{"part":"pump"}`, "Idempotency-Key", tag, "X-Call-Tag", tag)
	if err != nil {
		w.fault("job %s: %v", tag, err)
		return
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err == nil && answer.StatusCode == http.StatusCreated:
		w.done = append(w.done, tag)
		return
	case answer.Header.Get("X-Execution") == "not-run":
		w.notRun = append(w.notRun, tag)
	}
	w.faults = append(w.faults, fmt.Sprintf("job %s: %v %d %s", tag, err, answer.StatusCode, data))
}

// end stops the traffic and checks what must hold whatever failed: no call ran twice,
// none ran that was said not to have, and each that was answered ran. It returns the
// requests that failed.
func (w *traffic) end() []string {
	close(w.stop)
	w.wait.Wait()
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
		require.Zero(w.t, runs[tag], "call %s ran although it was said not to have", tag)
	}
	for _, tag := range w.done {
		require.Equal(w.t, 1, runs[tag], "call %s", tag)
	}
	w.d.awaitFreeMemory(w.t)
	w.t.Logf("%d chats, %d calls, %d failed", w.chats.Load(), w.calls.Load(), len(w.faults))
	return w.faults
}

// await waits until n more chats and calls have begun.
func (w *traffic) await(n int64) {
	target := w.chats.Load() + w.calls.Load() + n
	deadline := time.Now().Add(settle)
	for w.chats.Load()+w.calls.Load() < target {
		require.True(w.t, time.Now().Before(deadline), "the traffic does not move")
		time.Sleep(readyPoll)
	}
}

package dev

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciacleat.example/core/result"
	"github.com/stretchr/testify/require"
)

// crashingEngines ends the process of an engine that is sent the fatal prompt.
type crashingEngines struct {
	mu       sync.Mutex
	d        *Deployment
	handlers map[int]http.Handler
	down     []int
	reached  int
}

const fatalPrompt = "the fatal prompt"

func (c *crashingEngines) wrap(engine int, next http.Handler) http.Handler {
	c.handlers[engine] = next
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if strings.Contains(string(body), fatalPrompt) {
			c.crash(engine)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// server returns the HTTP server of an engine: that of the platform stands before them.
func (c *crashingEngines) server(engine int) **http.Server { return &c.d.servers[1+engine] }

func (c *crashingEngines) crash(engine int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reached++
	c.down = append(c.down, engine)
	_ = (*c.server(engine)).Close() // It is the end of it in any case.
}

// revive starts the engines again that have ended.
func (c *crashingEngines) revive(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, engine := range c.down {
		listener, err := net.Listen("tcp", strings.TrimPrefix(c.d.EngineURLs[engine], "http://"))
		require.NoError(t, err)
		server := &http.Server{Handler: c.wrap(engine, c.handlers[engine])}
		*c.server(engine) = server
		go func() { _ = server.Serve(listener) }()
	}
	c.down = nil
}

func (c *crashingEngines) runs() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reached
}

// A prompt that crashes each engine that runs it is sent to more and more of them as it comes again.
func TestPromptThatCrashesEnginesIsHeldBack(t *testing.T) {
	engines := &crashingEngines{handlers: make(map[int]http.Handler)}
	d := start(t, func(c *Config) { c.Engines, c.Plains, c.Entries, c.Wrap = 5, 0, 2, engines.wrap })
	engines.d = d
	ask := func(entry int, prompt string) (*http.Response, string) {
		r, err := http.NewRequest("POST", "http://"+d.Entries[entry].Addr()+"/v1/chat/completions", strings.NewReader(chatBody(t, prompt, false, 4)))
		require.NoError(t, err)
		r.Header.Set("Authorization", "Bearer "+Key)
		answer, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		defer answer.Body.Close()
		text, err := io.ReadAll(answer.Body)
		require.NoError(t, err)
		return answer, string(text)
	}
	served := func(entry int) bool {
		answer, _ := ask(entry, "another prompt")
		return answer.StatusCode == http.StatusOK
	}
	for i := range 8 {
		ask(i%2, fatalPrompt)
		engines.revive(t)
		for entry := range 2 {
			require.Eventually(t, func() bool { return served(entry) }, 10*time.Second, time.Millisecond, "another prompt is served")
		}
	}
	require.LessOrEqual(t, engines.runs(), 6, "three crashes, and three retries")
	for entry := range 2 {
		answer, text := ask(entry, fatalPrompt)
		require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
		require.Contains(t, text, result.Lookup(result.RequestHeldBack).Name)
		require.Equal(t, "not-run", answer.Header.Get("X-Execution"))
		require.NotEmpty(t, answer.Header.Get("Retry-After"))
	}
}

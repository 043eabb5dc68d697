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

// crashingEngines simulates engines whose process crashes on the fatal prompt.
type crashingEngines struct {
	mu         sync.Mutex
	deployment *Deployment
	handlers   map[int]http.Handler
	crashed    []int
	crashes    int
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

// server returns the HTTP server of an engine; the first server is that of the platform.
func (c *crashingEngines) server(engine int) **http.Server { return &c.deployment.servers[1+engine] }

func (c *crashingEngines) crash(engine int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes++
	c.crashed = append(c.crashed, engine)
	_ = (*c.server(engine)).Close() // The server stops serving even if Close fails.
}

// restartCrashed restarts the crashed engines.
func (c *crashingEngines) restartCrashed(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, engine := range c.crashed {
		listener, err := net.Listen("tcp", strings.TrimPrefix(c.deployment.EngineURLs[engine], "http://"))
		require.NoError(t, err)
		server := &http.Server{Handler: c.wrap(engine, c.handlers[engine])}
		*c.server(engine) = server
		go func() { _ = server.Serve(listener) }()
	}
	c.crashed = nil
}

func (c *crashingEngines) crashCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes
}

// A prompt crashes each engine that runs it. Without quarantine, its retries and repeats would crash
// engine after engine.
func TestPromptThatCrashesEnginesIsQuarantined(t *testing.T) {
	engines := &crashingEngines{handlers: make(map[int]http.Handler)}
	d := startDeployment(t, func(c *Config) { c.Engines, c.Plains, c.Entries, c.WrapEngine = 5, 0, 2, engines.wrap })
	engines.deployment = d
	ask := func(entry int, prompt string) (*http.Response, string) {
		r, err := http.NewRequest("POST", "http://"+d.Entries[entry].Addr()+"/v1/chat/completions", strings.NewReader(chatBody(t, prompt, false, 4)))
		require.NoError(t, err)
		r.Header.Set("Authorization", "Bearer "+Key)
		response, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return response, string(text)
	}
	served := func(entry int) bool {
		response, _ := ask(entry, "another prompt")
		return response.StatusCode == http.StatusOK
	}
	for i := range 8 {
		ask(i%2, fatalPrompt)
		engines.restartCrashed(t)
		for entry := range 2 {
			require.Eventually(t, func() bool { return served(entry) }, 10*time.Second, time.Millisecond, "another prompt is served")
		}
	}
	require.LessOrEqual(t, engines.crashCount(), 6, "at most three crashes and three retries")
	for entry := range 2 {
		response, text := ask(entry, fatalPrompt)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.Contains(t, text, result.Lookup(result.RequestHeldBack).Name)
		require.Equal(t, "not-run", response.Header.Get("X-Execution"))
		require.NotEmpty(t, response.Header.Get("Retry-After"))
	}
}

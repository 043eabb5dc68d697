package dev

import (
	"bytes"
	"fmt"
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

// startCrashingEngines starts two entries before five engines that crash on prompts with fatalPrompt.
func startCrashingEngines(t *testing.T) *crashingEngines {
	engines := &crashingEngines{handlers: make(map[int]http.Handler)}
	engines.deployment = startDeployment(t, func(c *Config) { c.Engines, c.Plains, c.Entries, c.WrapEngine = 5, 0, 2, engines.wrap })
	return engines
}

// ask sends a prompt to an entry and returns the answer.
func (c *crashingEngines) ask(t *testing.T, entry int, prompt string) (*http.Response, string) {
	url := "http://" + c.deployment.Entries[entry].Addr() + "/v1/chat/completions"
	r, err := http.NewRequest("POST", url, strings.NewReader(chatBody(t, prompt, false, 4)))
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+Key)
	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(text)
}

// restartUntilServed restarts the crashed engines and waits until each entry answers the prompt.
func (c *crashingEngines) restartUntilServed(t *testing.T, prompt string) {
	c.restartCrashed(t)
	for entry := range 2 {
		require.Eventually(t, func() bool {
			response, _ := c.ask(t, entry, prompt)
			return response.StatusCode == http.StatusOK
		}, 10*time.Second, time.Millisecond, "another prompt is served")
	}
}

// requireHeldBack checks that both entries refuse a prompt.
func (c *crashingEngines) requireHeldBack(t *testing.T, prompt string) {
	for entry := range 2 {
		response, text := c.ask(t, entry, prompt)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.Contains(t, text, result.Lookup(result.RequestHeldBack).Name)
		require.Equal(t, "not-run", response.Header.Get("X-Execution"))
		require.NotEmpty(t, response.Header.Get("Retry-After"))
	}
}

// A prompt crashes each engine that runs it. Without quarantine, its retries and repeats would crash
// engine after engine.
func TestPromptThatCrashesEnginesIsQuarantined(t *testing.T) {
	engines := startCrashingEngines(t)
	for i := range 8 {
		engines.ask(t, i%2, fatalPrompt)
		engines.restartUntilServed(t, "another prompt")
	}
	require.LessOrEqual(t, engines.crashCount(), 6, "at most three crashes and three retries")
	engines.requireHeldBack(t, fatalPrompt)
}

// Guards against a beginning of prompts that crashes each engine that runs it, in prompts no two of which are alike.
func TestBeginningOfPromptsThatCrashesEnginesIsQuarantined(t *testing.T) {
	shared := strings.Repeat("what sound prompts begin with, too. ", 100)
	fatal := shared + fatalPrompt + strings.Repeat(" and so on", 400)
	engines := startCrashingEngines(t)
	for i := range 10 {
		engines.ask(t, i%2, fmt.Sprint(fatal, i))
		engines.restartUntilServed(t, fmt.Sprint(shared, i))
	}
	require.LessOrEqual(t, engines.crashCount(), 8, "at most five crashes and three retries")
	engines.requireHeldBack(t, fatal+"last")
	engines.restartUntilServed(t, shared+"last")
}

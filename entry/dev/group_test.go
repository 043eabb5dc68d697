package dev

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// waitForFreeMemory waits until no engine uses memory and no agent has any reserved.
func (d *Deployment) waitForFreeMemory(t testing.TB) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for i, e := range d.Engines {
		for e.Stats().HeldTokens > 0 || !d.Agents[i].HoldsNoMemory() {
			require.True(t, time.Now().Before(deadline), "engine %d still holds %d tokens", i, e.Stats().HeldTokens)
			time.Sleep(readyPollInterval)
		}
	}
}

// Many short prompts, in which JSON syntax is a larger part of the bytes, lower the learned ratio of
// tokens to bytes. The length of a long prompt is then underestimated. If memory were reserved by the
// estimate instead of an upper bound, each share of the prompt's group of engines would be too small,
// and the longest prompts would fail with memory_full on an idle fleet.
func TestMillionTokenPromptsShareEngines(t *testing.T) {
	d := startDeployment(t, func(c *Config) { c.Plains = 0 })
	for range 60 {
		send(t, d, "POST", "/v1/chat/completions", Key, chatBody(t, strings.Repeat("short. ", 600), false, 1))
	}
	prompt := strings.Repeat("inspection of span 14: bamboo. ", 129_000)
	var wait sync.WaitGroup
	for range 3 {
		wait.Go(func() {
			response, data := send(t, d, "POST", "/v1/chat/completions", Key, chatBody(t, prompt, true, 10))
			require.Equal(t, http.StatusOK, response.StatusCode, "%.300s", data)
			_, usage := parseStream(t, data)
			require.Equal(t, (len(prompt)+3)/4, usage.PromptTokens)
			require.Equal(t, 10, usage.CompletionTokens)
		})
	}
	wait.Wait()
	d.waitForFreeMemory(t)
}

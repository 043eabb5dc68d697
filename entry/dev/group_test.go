package dev

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// awaitFreeMemory waits until no engine holds memory and no agent's book does.
func (d *Deployment) awaitFreeMemory(t testing.TB) {
	t.Helper()
	deadline := time.Now().Add(settle)
	for i, e := range d.Engines {
		for e.Stats().HeldTokens > 0 || !d.Agents[i].HoldsNoMemory() {
			require.True(t, time.Now().Before(deadline), "engine %d still holds %d tokens", i, e.Stats().HeldTokens)
			time.Sleep(readyPoll)
		}
	}
}

// Symptom: the longest prompts fail with memory_full on an idle fleet.
// Sequence: many short prompts, whose JSON weighs more, settle the ratio of tokens to
// bytes; a long prompt is then estimated low, and each share of its group is too small.
// Cause: memory reserved by the best estimate instead of an upper one.
func TestMillionTokenPromptsShareEngines(t *testing.T) {
	d := start(t, func(c *Config) { c.Plains = 0 })
	for range 60 {
		send(t, d, "POST", "/v1/chat/completions", Key, chatBody(t, strings.Repeat("short. ", 600), false, 1))
	}
	prompt := strings.Repeat("inspection of span 14: bamboo. ", 129_000)
	var wait sync.WaitGroup
	for range 3 {
		wait.Go(func() {
			answer, data := send(t, d, "POST", "/v1/chat/completions", Key, chatBody(t, prompt, true, 10))
			require.Equal(t, http.StatusOK, answer.StatusCode, "%.300s", data)
			_, usage := streamed(t, data)
			require.Equal(t, (len(prompt)+3)/4, usage.PromptTokens)
			require.Equal(t, 10, usage.CompletionTokens)
		})
	}
	wait.Wait()
	d.awaitFreeMemory(t)
}

package dev

import (
	"fmt"
	"net/http"
	"testing"

	"acaciacleat.example/core/result"
	"acaciacleat.example/entry/front"
	"github.com/stretchr/testify/require"
)

// stopPlain ends the HTTP server of a plain service, so that it refuses connections.
func (d *Deployment) stopPlain(t *testing.T, i int) {
	t.Helper()
	first := len(d.servers) - len(d.Plains)
	require.NoError(t, d.servers[first+i].Close())
}

// Symptom: a keyed call fails as "unknown" though a healthy plain service stands by, and
// its key stays of no use to repeats.
// Sequence: the chosen plain service refuses the connection; its agent ends the call with
// the proof that it did not run; the entry chooses another agent.
// Cause: the claim of the key is not told of the proof and can't be bound elsewhere.
func TestKeyedCallGoesOnWhenItsPlainServiceRefusesConnections(t *testing.T) {
	d := start(t, func(c *Config) { c.Engines, c.Plains = 0, 2 })
	d.stopPlain(t, 0)
	const calls = 6
	texts := make([]string, calls)
	for i := range calls {
		key := fmt.Sprint("refused-", i)
		var status int
		status, _, texts[i] = d.post(0, key, key, "{}")
		require.Equal(t, http.StatusCreated, status, texts[i])
	}
	for i := range calls {
		key := fmt.Sprint("refused-", i)
		status, _, text := d.post(0, key, key, "{}")
		require.Equal(t, http.StatusCreated, status, text)
		require.Equal(t, texts[i], text)
		require.Equal(t, 1, d.runs(key))
	}
}

// Symptom: a caller's library knocks again at once, and so do all others.
// Sequence: the only plain service refuses connections; the call fails with 503.
// Cause: the failure promises Retry-After and has no such header.
func TestUnavailableSaysWhenToTryAgain(t *testing.T) {
	d := start(t, func(c *Config) { c.Engines, c.Plains = 0, 1 })
	d.stopPlain(t, 0)
	answer, data := send(t, d, "POST", "/v1/services/parts/jobs", Key, "{}")
	require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode, "%s", data)
	require.Equal(t, "1", answer.Header.Get("Retry-After"))
}

// Symptom: a caller is told that its body is too large, and shortens it in vain.
// Sequence: an answer that is not streamed grows over what the entry holds.
// Cause: the code of another failure. The answer's own has a remedy that helps.
func TestAnswerThatIsTooLargeHasItsOwnCode(t *testing.T) {
	d := start(t, func(c *Config) {
		c.Engines, c.Plains = 1, 0
		c.Limits = front.DefaultLimits
		c.Limits.WholeAnswerBytes = 8
	})
	answer, data := send(t, d, "POST", "/v1/chat/completions", Key, chatBody(t, "a", false, 20))
	info := result.Lookup(result.AnswerTooLarge)
	require.Equal(t, info.HTTPStatus, answer.StatusCode, "%s", data)
	require.Contains(t, string(data), `"`+info.Name+`"`)
	require.Equal(t, string(result.Ran), answer.Header.Get("X-Execution"))
}

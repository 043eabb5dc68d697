package dev

import (
	"fmt"
	"net/http"
	"testing"

	"acaciacleat.example/core/result"
	"acaciacleat.example/entry/front"
	"github.com/stretchr/testify/require"
)

// closePlainService closes the HTTP server of a plain service, so that it refuses connections. The
// servers of the plain services are the last in the list.
func (d *Deployment) closePlainService(t *testing.T, i int) {
	t.Helper()
	first := len(d.servers) - len(d.Plains)
	require.NoError(t, d.servers[first+i].Close())
}

// The chosen plain service refuses the connection, and its agent ends the call with proof that it did
// not run. Unless the key's claim records this proof, the key can't be bound to another agent: the call
// would fail as "unknown" despite a healthy plain service, and so would its repeats.
func TestKeyedCallIsRetriedWhenItsPlainServiceRefusesConnections(t *testing.T) {
	d := startDeployment(t, func(c *Config) { c.Engines, c.Plains = 0, 2 })
	d.closePlainService(t, 0)
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
		require.Equal(t, 1, d.runCount(key))
	}
}

// The only plain service refuses connections and the call fails with 503. Without a Retry-After
// header, all client libraries would retry immediately.
func TestUnavailableHasRetryAfter(t *testing.T) {
	d := startDeployment(t, func(c *Config) { c.Engines, c.Plains = 0, 1 })
	d.closePlainService(t, 0)
	response, data := send(t, d, "POST", "/v1/services/parts/jobs", Key, "{}")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "%s", data)
	require.Equal(t, "1", response.Header.Get("Retry-After"))
}

// A response that is not streamed exceeds the size that an entry may buffer. It needs a result code of
// its own, because the remedy of the code for large request bodies does not help the caller.
func TestAnswerThatIsTooLargeHasItsOwnCode(t *testing.T) {
	d := startDeployment(t, func(c *Config) {
		c.Engines, c.Plains = 1, 0
		c.Limits = front.DefaultLimits
		c.Limits.WholeAnswerBytes = 8
	})
	response, data := send(t, d, "POST", "/v1/chat/completions", Key, chatBody(t, "a", false, 20))
	info := result.Lookup(result.AnswerTooLarge)
	require.Equal(t, info.HTTPStatus, response.StatusCode, "%s", data)
	require.Contains(t, string(data), `"`+info.Name+`"`)
	require.Equal(t, string(result.Ran), response.Header.Get("X-Execution"))
}

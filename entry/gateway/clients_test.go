package gateway

import (
	"testing"
	"time"

	"acaciacleat.example/core/dispatch"
	"github.com/stretchr/testify/require"
)

// Guards against a client that is discarded during a long call: the end of its incarnation would no longer
// cancel the call, and a second client would open connections beside it.
func TestClientInUseIsKept(t *testing.T) {
	clients := NewClients()
	long := dispatch.Upstream{ID: "long", Address: "127.0.0.1:1"}
	client, release := clients.acquire(long)
	client.lastUsed = time.Now().Add(-2 * unusedTimeout)
	_, releaseOther := clients.acquire(dispatch.Upstream{ID: "other", Address: "127.0.0.1:2"})
	releaseOther()
	again, releaseAgain := clients.acquire(long)
	releaseAgain()
	require.Same(t, client, again)
	client.lastUsed = time.Now().Add(-2 * unusedTimeout)
	clients.Close(long)
	require.Error(t, client.ctx.Err())
	release()
	require.Empty(t, clients.clients["long"])
}

// Guards against clients of upstreams that are gone for good being kept for ever.
func TestUnusedClientIsDiscarded(t *testing.T) {
	clients := NewClients()
	client, release := clients.acquire(dispatch.Upstream{ID: "gone", Address: "127.0.0.1:1"})
	release()
	client.lastUsed = time.Now().Add(-2 * unusedTimeout)
	_, release = clients.acquire(dispatch.Upstream{ID: "other", Address: "127.0.0.1:2"})
	release()
	require.NotContains(t, clients.clients, "gone")
}

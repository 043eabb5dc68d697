package dev

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const drainLimit = 20 * time.Second

// Under load, each agent and then each entry drains and is replaced by a new incarnation. Requests
// would fail if a draining process refused them before others stop routing to it, or aborted those in
// flight. The log shows the counts:
//
//	go test -v -run TestRollingRestart ./entry/dev
func TestRollingRestart(t *testing.T) {
	w := startTraffic(t, nil)
	for i := range w.d.Agents {
		w.d.DrainAgent(i, drainLimit)
		w.fleetMu.Lock()
		err := w.d.RestartAgent(i)
		w.fleetMu.Unlock()
		require.NoError(t, err)
		w.waitForRequests(50)
	}
	for i := range w.d.Entries {
		w.d.DrainEntry(i, drainLimit)
		w.fleetMu.Lock()
		err := w.d.RestartEntry(i)
		w.fleetMu.Unlock()
		require.NoError(t, err)
		w.waitForRequests(50)
	}
	require.Empty(t, w.stopAndCheck())
}

// Under load, the agents of the engines are killed one after another and restarted. The streams that a
// killed agent served must continue on another.
func TestAgentCrashMidStream(t *testing.T) {
	w := startTraffic(t, nil)
	for i := range w.d.Engines {
		w.waitForRequests(50)
		w.d.KillAgent(i)
		w.waitForRequests(50)
		w.fleetMu.Lock()
		err := w.d.RestartAgent(i)
		w.fleetMu.Unlock()
		require.NoError(t, err)
	}
	w.waitForRequests(50)
	require.Empty(t, w.stopAndCheck())
}

// All open links go silent at the same time, twice, while new links work, as when a network device
// between the VMs loses its connection table. TCP detects this only much later, and requests would
// hang until their deadlines.
func TestSilentLinks(t *testing.T) {
	w := startTraffic(t, func(c *Config) { c.Relays = true })
	for range 2 {
		w.waitForRequests(100)
		silenced := 0
		for _, r := range w.d.Relays {
			silenced += r.Silence()
		}
		require.NotZero(t, silenced)
	}
	w.waitForRequests(200)
	require.Empty(t, w.stopAndCheck())
}

// A deployment drains while streams run. If its stand-ins stopped together with its entries, the
// streams would break, because entries can only drain while the engines generate.
func TestDeploymentDrainsBeforeItsStandInsEnd(t *testing.T) {
	d := startDeployment(t, func(c *Config) {
		c.Engines, c.Plains = 1, 0
		c.Engine.DecodeStep = 5 * time.Millisecond
	})
	body := chatBody(t, "What was found?", true, 100)
	type streamResult struct {
		text   string
		tokens int
	}
	ended := make(chan streamResult)
	for range 4 {
		go func() {
			_, data := send(t, d, "POST", "/v1/chat/completions", Key, body)
			text, usage := parseStream(t, data)
			ended <- streamResult{text, usage.CompletionTokens}
		}()
	}
	require.Eventually(t, func() bool { return d.Engines[0].Stats().Running == 4 }, 10*time.Second, time.Millisecond)
	d.Drain(t.Context())
	for range 4 {
		got := <-ended
		require.Equal(t, 100, got.tokens)
		require.NotEmpty(t, got.text)
	}
}

// Guards against a request that comes late in an entry's drain, over a connection that was open, and is passed on or read
// without an answer.
func TestRequestOverAnOpenConnectionIsRefusedLateInADrain(t *testing.T) {
	d := startDeployment(t, func(c *Config) {
		c.Engines, c.Plains = 1, 1
		c.Engine.DecodeStep = 5 * time.Millisecond
	})
	address := d.Entries[0].Addr()
	late, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer late.Close()
	streamed := make(chan int, 1)
	go func() {
		_, data := send(t, d, "POST", "/v1/chat/completions", Key, chatBody(t, "What was found?", true, 400))
		_, usage := parseStream(t, data)
		streamed <- usage.CompletionTokens
	}()
	require.Eventually(t, func() bool { return d.Engines[0].Stats().Running == 1 }, 10*time.Second, time.Millisecond)
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		d.DrainEntry(0, time.Minute)
	}()
	require.Eventually(t, func() bool {
		refused, err := net.Dial("tcp", address)
		if err == nil {
			refused.Close()
		}
		return err != nil
	}, 10*time.Second, time.Millisecond)
	request, err := http.NewRequest("POST", "http://"+address+"/v1/services/parts/jobs", strings.NewReader("{}"))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+Key)
	require.NoError(t, request.Write(late))
	answer, err := http.ReadResponse(bufio.NewReader(late), request)
	require.NoError(t, err)
	defer answer.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
	require.Equal(t, "not-run", answer.Header.Get("X-Execution"))
	require.NotEmpty(t, answer.Header.Get("Retry-After"))
	require.NotZero(t, <-streamed, "the answer in flight is whole")
	<-drained
}

package dev

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const drainLimit = 20 * time.Second

// TestRollingRestart is also an experiment: its log gives the counts.
//
//	go test -v -run TestRollingRestart ./entry/dev
//
// Symptom: callers see failures whenever the system is updated.
// Sequence: each agent and each entry in turn is told to stop, finishes what it has,
// and is replaced by a new incarnation, under load.
// Cause: a stop that refuses before others look away, or ends what is in flight.
func TestRollingRestart(t *testing.T) {
	w := startTraffic(t, nil)
	for i := range w.d.Agents {
		w.d.DrainAgent(i, drainLimit)
		w.fleet.Lock()
		err := w.d.StartAgentAgain(i)
		w.fleet.Unlock()
		require.NoError(t, err)
		w.await(50)
	}
	for i := range w.d.Entries {
		w.d.DrainEntry(i, drainLimit)
		w.fleet.Lock()
		err := w.d.StartEntryAgain(i)
		w.fleet.Unlock()
		require.NoError(t, err)
		w.await(50)
	}
	require.Empty(t, w.end())
}

// Symptom: streams end half-way when an agent crashes.
// Sequence: agents of engines are killed one after another under load, and restarted.
// Cause: an answer that only the dead agent could finish.
func TestAgentDeathMidStream(t *testing.T) {
	w := startTraffic(t, nil)
	for i := range w.d.Engines {
		w.await(50)
		w.d.KillAgent(i)
		w.await(50)
		w.fleet.Lock()
		err := w.d.StartAgentAgain(i)
		w.fleet.Unlock()
		require.NoError(t, err)
	}
	w.await(50)
	require.Empty(t, w.end())
}

// Symptom: requests hang until their deadline although the fleet is idle.
// Sequence: every open link is made silent at once, twice; new links work.
// Cause: a device between the VMs forgot its connections; TCP notices only much later.
func TestSilentLinks(t *testing.T) {
	w := startTraffic(t, func(c *Config) { c.Relays = true })
	for range 2 {
		w.await(100)
		muted := 0
		for _, r := range w.d.Relays {
			muted += r.Mute()
		}
		require.NotZero(t, muted)
	}
	w.await(200)
	require.Empty(t, w.end())
}

// Symptom: whoever stops the development deployment loses every running stream.
// Sequence: streams run; the deployment is told to stop.
// Cause: its stand-ins ended together with its entries, which drain only while engines write.
func TestDeploymentDrainsBeforeItsStandInsEnd(t *testing.T) {
	d := start(t, func(c *Config) {
		c.Engines, c.Plains = 1, 0
		c.Engine.DecodeStep = 5 * time.Millisecond
	})
	body := chatBody(t, "What was found?", true, 100)
	type whole struct {
		text   string
		tokens int
	}
	ended := make(chan whole)
	for range 4 {
		go func() {
			_, data := send(t, d, "POST", "/v1/chat/completions", Key, body)
			text, usage := streamed(t, data)
			ended <- whole{text, usage.CompletionTokens}
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

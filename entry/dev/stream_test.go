package dev

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	standinengine "acaciacleat.example/standin/engine"
	"acaciacleat.example/standin/faults"
	"github.com/stretchr/testify/require"
)

// Each case breaks the streams of one engine after some tokens. The caller must get the same text as
// without the fault.
func TestStreamSurvivesEngineFailure(t *testing.T) {
	const tokens = 40
	cases := []struct {
		name        string
		kind        faults.Kind
		afterTokens int
	}{
		{"dies before the first token", faults.Die, 0},
		{"dies after 7 tokens", faults.Die, 7},
		{"dies before the last token", faults.Die, tokens - 1},
		{"goes silent after 7 tokens", faults.Silent, 7},
	}
	body := chatBody(t, "What was found?", true, tokens)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := startDeployment(t, func(c *Config) {
				c.Engines, c.Plains = 3, 0
				c.Engine.DecodeStep = 2 * time.Millisecond
			})
			_, data := send(t, d, "POST", "/v1/chat/completions", Key, body)
			want, _ := parseStream(t, data)
			d.Engines[0].SetFaults(standinengine.Fault{
				Fault:       faults.Fault{Operation: standinengine.OpStream, Kind: tc.kind},
				AfterTokens: tc.afterTokens,
			})
			for range 12 {
				_, data := send(t, d, "POST", "/v1/chat/completions", Key, body)
				text, usage := parseStream(t, data)
				require.Equal(t, want, text)
				require.Equal(t, tokens, usage.CompletionTokens)
			}
			require.NotZero(t, len(d.Engines[0].Stats().Runs), "the faulty engine ran no request")
			d.Engines[0].SetFaults()
			d.waitForFreeMemory(t)
		})
	}
}

// Callers disconnect in the middle of their streams, some before the first token. If the engine kept
// generating or its memory stayed reserved, it would refuse requests while idle.
func TestDisconnectedCallersFreeTheEngine(t *testing.T) {
	d := startDeployment(t, func(c *Config) { c.Engines, c.Plains = 1, 0 })
	for _, afterFirstBytes := range []bool{true, false} {
		ctx, disconnect := context.WithCancel(context.Background())
		body := chatBody(t, strings.Repeat("long ", 50_000), true, 20_000)
		request, err := http.NewRequestWithContext(ctx, "POST", "http://"+d.Entries[0].Addr()+"/v1/chat/completions", strings.NewReader(body))
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+Key)
		if afterFirstBytes {
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			_, err = io.ReadFull(response.Body, make([]byte, 100))
			require.NoError(t, err)
			disconnect()
			response.Body.Close()
			continue
		}
		go func() {
			for d.Engines[0].Stats().Running == 0 {
				time.Sleep(readyPollInterval)
			}
			disconnect()
		}()
		_, err = http.DefaultClient.Do(request)
		if err == nil {
			t.Log("the response header arrived before the caller disconnected")
		}
	}
	d.waitForFreeMemory(t)
	d.waitForIdle(t)
}

func (d *Deployment) waitForIdle(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for d.Engines[0].Stats().Running > 0 || d.Entries[0].Registry.Len() > 0 {
		require.True(t, time.Now().Before(deadline), "the engine still runs requests of disconnected callers")
		time.Sleep(readyPollInterval)
	}
}

// A caller opens a long stream and doesn't read it, while other callers' streams share its link. A
// buffer shared by the streams of a link would stall them.
func TestSlowCallerDoesNotStallOtherStreams(t *testing.T) {
	d := startDeployment(t, func(c *Config) {
		c.Engines, c.Plains = 1, 0
		c.Engine = standinengine.Config{DecodeStep: time.Millisecond, AnswerTokens: 200_000}
	})
	slow, err := http.NewRequest("POST", "http://"+d.Entries[0].Addr()+"/v1/chat/completions",
		strings.NewReader(chatBody(t, "Tell me everything.", true, 200_000)))
	require.NoError(t, err)
	slow.Header.Set("Authorization", "Bearer "+Key)
	response, err := http.DefaultClient.Do(slow)
	require.NoError(t, err)
	defer response.Body.Close()
	for range 10 {
		_, data := send(t, d, "POST", "/v1/chat/completions", Key, chatBody(t, "And you?", true, 50))
		_, usage := parseStream(t, data)
		require.Equal(t, 50, usage.CompletionTokens)
	}
}

package dev

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"acaciacleat.example/core/result"
	"acaciacleat.example/peers/caller"
	standinengine "acaciacleat.example/standin/engine"
	"github.com/stretchr/testify/require"
)

func startDeployment(t *testing.T, change func(*Config)) *Deployment {
	t.Helper()
	config := DefaultConfig()
	config.Listen = "127.0.0.1:0"
	config.OperatorListen = "127.0.0.1:0"
	config.Engine = standinengine.Config{PrefillRate: 4_000_000}
	if change != nil {
		change(&config)
	}
	d, err := Start(config)
	require.NoError(t, err)
	t.Cleanup(d.Stop)
	return d
}

// send sends a request to the first entry and returns the response and its complete body.
func send(t *testing.T, d *Deployment, method, path, key, body string, header ...string) (*http.Response, []byte) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+d.Entries[0].Addr()+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, data
}

func chatBody(t *testing.T, prompt string, stream bool, maxTokens int) string {
	t.Helper()
	body, err := json.Marshal(map[string]any{
		"model": ModelName, "stream": stream, "max_tokens": maxTokens,
		"stream_options": map[string]any{"include_usage": true},
		"messages":       []map[string]string{{"role": "user", "content": prompt}},
	})
	require.NoError(t, err)
	return string(body)
}

// completion holds the fields that the tests read from a completion or a chunk of a stream.
type completion struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *caller.Usage `json:"usage"`
}

// parseStream joins the text of a streamed response and returns its last usage.
func parseStream(t *testing.T, data []byte) (string, *caller.Usage) {
	t.Helper()
	require.True(t, bytes.HasSuffix(data, []byte("data: [DONE]\n\n")), "%s", data)
	var text strings.Builder
	var usage *caller.Usage
	for _, line := range strings.Split(string(data), "\n") {
		payload, found := strings.CutPrefix(line, "data: ")
		if !found || payload == "[DONE]" {
			continue
		}
		var chunk completion
		require.NoError(t, json.Unmarshal([]byte(payload), &chunk))
		if len(chunk.Choices) > 0 {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
		if chunk.Usage != nil {
			usage = chunk.Usage
		}
	}
	return text.String(), usage
}

// The same prompt must give the same text and usage whether the answer is streamed or not.
func TestStreamedAndUnstreamedAnswersAgree(t *testing.T) {
	d := startDeployment(t, nil)
	for _, prompt := range []string{"Does span 14 need pruning?", strings.Repeat("bamboo near the conductor. ", 15_000)} {
		_, data := send(t, d, "POST", "/v1/chat/completions", Key, chatBody(t, prompt, true, 20))
		text, usage := parseStream(t, data)
		response, data := send(t, d, "POST", "/v1/chat/completions", Key, chatBody(t, prompt, false, 20))
		require.Equal(t, http.StatusOK, response.StatusCode, "%s", data)
		var unstreamed completion
		require.NoError(t, json.Unmarshal(data, &unstreamed))
		require.Equal(t, unstreamed.Choices[0].Message.Content, text)
		require.Equal(t, unstreamed.Usage.CompletionTokens, usage.CompletionTokens)
		require.Equal(t, (len(prompt)+3)/4, usage.PromptTokens)
	}
}

// Repeats of a call with its idempotency key must get the first answer instead of another run, and
// another call with the same key must be refused.
func TestPlainCallWithKeyRunsOnce(t *testing.T) {
	d := startDeployment(t, func(c *Config) { c.Engines = 1 })
	var bodies []string
	for range 3 {
		response, data := send(t, d, "POST", "/v1/services/parts/jobs", Key, `{"part":"pump"}`, "Idempotency-Key", "job-1")
		require.Equal(t, http.StatusCreated, response.StatusCode, "%s", data)
		bodies = append(bodies, string(data))
	}
	require.Equal(t, bodies[0], bodies[1])
	require.Equal(t, bodies[0], bodies[2])
	response, data := send(t, d, "POST", "/v1/services/parts/jobs", Key, `{"part":"valve"}`, "Idempotency-Key", "job-1")
	require.Equal(t, http.StatusUnprocessableEntity, response.StatusCode, "%s", data)
	require.Equal(t, "not-run", response.Header.Get("X-Execution"))
}

func TestInvalidInputResultCodes(t *testing.T) {
	d := startDeployment(t, func(c *Config) { c.Engines = 1 })
	chat := "/v1/chat/completions"
	cases := []struct {
		name, path, key, body string
		header                []string
		want                  result.Code
	}{
		{"bad JSON", chat, Key, `{"model":`, nil, result.BadJSON},
		{"unknown model", chat, Key, `{"model":"x","messages":[{"role":"user","content":"a"}]}`, nil, result.UnknownModel},
		{"wrong key", chat, "wrong", `{}`, nil, result.BadKey},
		{"no messages", chat, Key, `{"model":"assistant-1","messages":[]}`, nil, result.MissingPrompt},
		{"messages a string", chat, Key, `{"model":"assistant-1","messages":"Does span 14 need pruning?"}`, nil, result.BadParameter},
		{"messages an object", chat, Key, `{"model":"assistant-1","messages":{"role":"user"}}`, nil, result.BadParameter},
		{"prompt a number", "/v1/completions", Key, `{"model":"assistant-1","prompt":14}`, nil, result.BadParameter},
		{"no prompt", "/v1/completions", Key, `{"model":"assistant-1"}`, nil, result.MissingPrompt},
		{"over-long", chat, Key, chatBody(t, "a", false, 1_200_000), nil, result.PromptTooLong},
		{"deadline no number", chat, Key, chatBody(t, "a", false, 2), []string{"X-Request-Timeout-Ms", "soon"}, result.BadDeadline},
		{"deadline too far", chat, Key, chatBody(t, "a", false, 2), []string{"X-Request-Timeout-Ms", "999999999"}, result.BadDeadline},
		{"bad max_tokens", chat, Key, chatBody(t, "a", false, -2), nil, result.BadParameter},
		{"unknown service", "/v1/services/none/x", Key, "", nil, result.UnknownService},
		{"key outside ASCII", "/v1/services/parts/jobs", Key, "", []string{"Idempotency-Key", "caf\u00e9"}, result.BadIdempotencyKey},
		{"unknown path", "/v2/x", Key, "", nil, result.NotFound},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			response, data := send(t, d, "POST", tc.path, tc.key, tc.body, tc.header...)
			require.Equal(t, result.Lookup(tc.want).HTTPStatus, response.StatusCode, "%s", data)
			require.Equal(t, "not-run", response.Header.Get("X-Execution"))
			require.NotEmpty(t, response.Header.Get("X-Request-Id"))
			var failure struct {
				ResultCode result.Code `json:"result_code"`
				Error      struct {
					ResultCode result.Code `json:"result_code"`
				} `json:"error"`
			}
			require.NoError(t, json.Unmarshal(data, &failure))
			require.Equal(t, tc.want, max(failure.ResultCode, failure.Error.ResultCode), "%s", data)
		})
	}
}

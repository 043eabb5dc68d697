package engine_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/peers/engine"
	standin "acaciacleat.example/standin/engine"
	"github.com/stretchr/testify/require"
)

func readAll(t *testing.T, s engine.Stream) (text string, tokens int) {
	t.Helper()
	var b strings.Builder
	for {
		delta, ok, err := s.Next()
		require.NoError(t, err)
		if !ok {
			return b.String(), tokens
		}
		b.WriteString(delta.Text)
		tokens += delta.Tokens
	}
}

func TestGenerateStreamsTheWholeAnswer(t *testing.T) {
	server := httptest.NewServer(standin.New(standin.Config{DecodeStep: time.Microsecond}))
	defer server.Close()
	client := engine.NewHTTP(server.URL)
	s, err := client.Generate(t.Context(), engine.Generate{
		ID:       call.ID{1},
		Body:     []byte(`{"model":"assistant-1","prompt":"prune?","max_tokens":20,"stream":false}`),
		TimeLeft: time.Minute,
	})
	require.NoError(t, err)
	text, tokens := readAll(t, s)
	require.Equal(t, 20, tokens)
	require.NotEmpty(t, text)
	require.Equal(t, engine.Usage{PromptTokens: 2, CompletionTokens: 20}, s.Final().Usage)
	require.Equal(t, "length", s.Final().FinishReason)
	require.NoError(t, s.Close())
}

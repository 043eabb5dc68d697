package service_test

import (
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"acaciacleat.example/peers/service"
	"acaciacleat.example/standin/plain"
	"github.com/stretchr/testify/require"
)

func TestDoEchoes(t *testing.T) {
	server := httptest.NewServer(plain.New(plain.Config{}))
	defer server.Close()
	client := service.NewHTTP(server.URL)
	answer, err := client.Do(t.Context(), service.Call{Method: "POST", Path: "/jobs", Body: []byte("x"), TimeLeft: time.Minute})
	require.NoError(t, err)
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.Equal(t, "x", string(body))
	require.NoError(t, answer.Body.Close())
	require.NoError(t, client.Healthy(t.Context()))
}

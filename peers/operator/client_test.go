package operator

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an answer that is cut at the limit and taken for the whole.
func TestAnswerBeyondTheLimitIsRefused(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("{}"))
		_, _ = w.Write(bytes.Repeat([]byte(" "), MaxDocumentBytes)) // The client may have stopped reading.
	}))
	defer server.Close()
	client := &Client{httpClient: server.Client()}
	request, err := http.NewRequest(http.MethodGet, server.URL, nil)
	require.NoError(t, err)
	_, err = client.do(request, &struct{}{})
	require.ErrorContains(t, err, "more than")
}

package front

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/entry/record"
	"github.com/stretchr/testify/require"
)

// Symptom: an operator forbids a service's retries and they go on.
// Sequence: a request takes the budget under one ratio; a document with another follows.
// Cause: the budget keeps the ratio that it was made with until the entry restarts.
func TestChangedRetryRatioHasEffectAtOnce(t *testing.T) {
	f := New(Config{})
	service := &document.Service{Name: "parts", RetryRatio: document.DefaultRetryRatio}
	require.True(t, f.retriesOf(service).Allow(time.Now()))
	changed := &document.Service{Name: "parts", RetryRatio: 0}
	require.False(t, f.retriesOf(changed).Allow(time.Now().Add(time.Hour)))
}

// Symptom: the counts of results add up to more than the requests.
// Sequence: a request comes for a path that does not exist.
// Cause: it is counted by its result and not as a request.
func TestUnknownPathIsCountedAsARequest(t *testing.T) {
	f := New(Config{Records: record.NewRing(1)})
	f.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/v2/x", nil))
	require.EqualValues(t, 1, f.Metrics().Requests.Load())
}

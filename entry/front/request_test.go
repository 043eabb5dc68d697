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

// Guards against a retry budget that keeps the ratio of the first request: an operator who
// sets the ratio to 0 must stop the retries without a restart of the entry.
func TestChangedRetryRatioAppliesImmediately(t *testing.T) {
	f := New(Config{})
	service := &document.Service{Name: "parts", RetryRatio: document.DefaultRetryRatio}
	require.True(t, f.beginRetries(service).Allow(time.Now()))
	changed := &document.Service{Name: "parts", RetryRatio: 0}
	require.False(t, f.beginRetries(changed).Allow(time.Now().Add(time.Hour)))
}

// Guards against counts of results that add up to more than the requests: a request for an
// unknown path must be counted in both.
func TestUnknownPathIsCountedAsARequest(t *testing.T) {
	f := New(Config{Records: record.NewRing(1)})
	f.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/v2/x", nil))
	require.EqualValues(t, 1, f.Metrics().Requests.Load())
}

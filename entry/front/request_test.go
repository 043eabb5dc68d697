package front

import (
	"testing"
	"time"

	"acaciacleat.example/core/document"
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

package result

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCodesAscendWithoutRepeats(t *testing.T) {
	for i := 1; i < len(All); i++ {
		require.Greater(t, All[i].Code, All[i-1].Code)
		require.NotEmpty(t, All[i].Remedy)
	}
}

// TestRefusalsAlwaysGiveRetryAfter checks that exactly the codes with status 429 or 503, or
// with Retry-After in their remedy, have a default. Otherwise a caller would be told to try
// again after Retry-After but not get the header.
func TestRefusalsAlwaysGiveRetryAfter(t *testing.T) {
	for _, info := range All {
		promised := info.HTTPStatus == http.StatusServiceUnavailable ||
			info.HTTPStatus == http.StatusTooManyRequests || strings.Contains(info.Remedy, "Retry-After")
		require.Equal(t, promised, New(info.Code, Unknown, "").RetryAfterOrDefault() > 0, info.Name)
	}
	known := Error{Code: QueueFull, RetryAfter: 7 * time.Second}
	require.Equal(t, known.RetryAfter, known.RetryAfterOrDefault())
}

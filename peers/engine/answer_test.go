package engine

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against taking a part of a KV cache that exceeds the limit for the whole.
func TestAnswerBeyondTheLimitIsAnError(t *testing.T) {
	var data []byte
	require.NoError(t, readAnswer(strings.NewReader("cache"), 5, &data))
	require.Equal(t, "cache", string(data))
	require.ErrorIs(t, readAnswer(strings.NewReader("caches"), 5, &data), ErrBroken)
}

package returns

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var epoch = time.Unix(1_700_000_000, 0)

// Guards against taking another request of the same content for one that returns.
func TestRequestReturnsOnce(t *testing.T) {
	var m Memory[string]
	require.True(t, m.Empty())
	m.Refused(epoch, "a", epoch.Add(-time.Second), 2*time.Second)
	_, ok := m.Returned(epoch.Add(time.Second), "a")
	require.False(t, ok, "it isn't due")
	first, ok := m.Returned(epoch.Add(2*time.Second), "a")
	require.True(t, ok)
	require.Equal(t, epoch.Add(-time.Second), first)
	_, ok = m.Returned(epoch.Add(2*time.Second), "a")
	require.False(t, ok)
	m.Refused(epoch, "b", epoch, 0)
	_, ok = m.Returned(epoch.Add(Remembered), "b")
	require.False(t, ok, "too late")
}

// Guards against a memory that grows with all refused requests.
func TestMemoryIsBounded(t *testing.T) {
	var m Memory[int]
	for i := range 2 * maxRequests {
		m.Refused(epoch, i, epoch, 0)
	}
	require.Len(t, m.requests, maxRequests)
	m.Refused(epoch.Add(Remembered), -1, epoch, 0)
	require.Len(t, m.requests, 1)
}

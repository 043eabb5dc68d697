package logwriter

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lineCounter counts the lines that a log's reader has got.
type lineCounter struct{ lines atomic.Int64 }

func (c *lineCounter) Write(p []byte) (int, error) {
	c.lines.Add(1)
	return len(p), nil
}

// await spins until n lines have been written, so that the next line can come at the moment at
// which the writer begins to wait for it. It reports false after a timeout.
func (c *lineCounter) await(n int64) bool {
	for spins := 0; c.lines.Load() < n; spins++ {
		if spins == 1<<10 {
			deadline := time.Now().Add(2 * time.Second)
			for c.lines.Load() < n && time.Now().Before(deadline) {
			}
			return c.lines.Load() >= n
		}
	}
	return true
}

// Guards against a line that stays unwritten until the next one is logged.
func TestEachLogLineIsWrittenWithoutAnother(t *testing.T) {
	const lines = 20_000
	var written lineCounter
	writer := New(&written, 16)
	line := []byte("line\n")
	var delay atomic.Int64
	for i := range int64(lines) {
		for range i % 257 {
			delay.Add(1) // Shifts the line against the writer's wait.
		}
		_, err := writer.Write(line)
		require.NoError(t, err)
		if !written.await(i + 1) {
			require.FailNow(t, "not written", "line %d of %d", i, lines)
		}
	}
	require.NoError(t, writer.Close())
}

// blockedReader takes the first line and then nothing until it is released.
type blockedReader struct {
	began    chan struct{}
	released chan struct{}
	got      []string
}

func (r *blockedReader) Write(p []byte) (int, error) {
	r.got = append(r.got, string(p))
	if len(r.got) == 1 {
		close(r.began)
		<-r.released
	}
	return len(p), nil
}

// Guards against a process that waits for the reader of its log, and against lines that are dropped
// in silence.
func TestUnreadLinesAreDroppedAndCounted(t *testing.T) {
	reader := &blockedReader{began: make(chan struct{}), released: make(chan struct{})}
	writer := New(reader, 2)
	for i := range 6 {
		_, err := writer.Write([]byte{byte('a' + i)})
		require.NoError(t, err)
		if i == 0 {
			<-reader.began
		}
	}
	close(reader.released)
	require.NoError(t, writer.Close())
	require.Equal(t, []string{"a", `{"level":"warn","lines":3,"message":"log lines lost: nobody read them"}` + "\n", "b", "c"}, reader.got)
}

// Guards against a process that can't end because nobody reads its log.
func TestCloseDoesNotWaitForTheReader(t *testing.T) {
	reader := &blockedReader{began: make(chan struct{}), released: make(chan struct{})}
	defer close(reader.released)
	writer := New(reader, 2)
	_, err := writer.Write([]byte("line"))
	require.NoError(t, err)
	<-reader.began
	began := time.Now()
	require.NoError(t, writer.Close())
	require.Less(t, time.Since(began), 4*closeTimeout)
}

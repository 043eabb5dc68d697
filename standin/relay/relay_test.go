package relay

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// waitLimit bounds each wait for an expected event; silenceTime is how long a test waits to see
// that nothing arrives.
const (
	waitLimit   = 10 * time.Second
	silenceTime = 50 * time.Millisecond
)

// startEchoServer starts a server that returns what it receives, until the test ends.
func startEchoServer(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn) // Returns when the connection ends.
			}()
		}
	}()
	return listener.Addr().String()
}

func newEchoRelay(t *testing.T) (*Relay, net.Conn) {
	r, err := New(startEchoServer(t))
	require.NoError(t, err)
	t.Cleanup(r.Close)
	return r, dial(t, r)
}

func dial(t *testing.T, r *Relay) net.Conn {
	conn, err := net.Dial("tcp", r.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

// exchange sends a text and returns what comes back within limit.
func exchange(t *testing.T, conn net.Conn, text string, limit time.Duration) (string, error) {
	t.Helper()
	_, err := conn.Write([]byte(text))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(limit)))
	got := make([]byte, len(text))
	_, err = io.ReadFull(conn, got)
	return string(got), err
}

func requireEcho(t *testing.T, conn net.Conn) {
	t.Helper()
	got, err := exchange(t, conn, "word", waitLimit)
	require.NoError(t, err)
	require.Equal(t, "word", got)
}

func requireSilence(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := exchange(t, conn, "word", silenceTime)
	var timeout net.Error
	require.ErrorAs(t, err, &timeout, "the connection is open and no data arrives")
	require.True(t, timeout.Timeout())
}

// A connection that has lost data must stay silent after Restore: later data would arrive as if
// nothing were missing before it.
func TestDroppedDirectionStaysSilentOnItsConnections(t *testing.T) {
	for _, direction := range []Direction{ToTarget, FromTarget} {
		r, conn := newEchoRelay(t)
		requireEcho(t, conn)
		r.Drop(direction)
		requireSilence(t, conn)
		requireSilence(t, dial(t, r))
		r.Restore()
		requireSilence(t, conn)
		requireEcho(t, dial(t, r))
	}
}

func TestDelayEndsWithRestore(t *testing.T) {
	r, conn := newEchoRelay(t)
	r.Delay(silenceTime)
	began := time.Now()
	requireEcho(t, conn)
	require.GreaterOrEqual(t, time.Since(began), 2*silenceTime, "both directions are delayed")
	r.Restore()
	requireEcho(t, conn)
}

func TestResetEndsConnectionsAndNewOnesWork(t *testing.T) {
	r, conn := newEchoRelay(t)
	requireEcho(t, conn)
	r.Reset()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitLimit)))
	_, err := conn.Read(make([]byte, 1))
	require.ErrorContains(t, err, "reset by peer")
	requireEcho(t, dial(t, r))
}

func TestNewConnectionsGoToTheNewTarget(t *testing.T) {
	r, conn := newEchoRelay(t)
	requireEcho(t, conn)
	other, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { other.Close() })
	r.SetTarget(other.Addr().String())
	dial(t, r)
	accepted, err := other.Accept()
	require.NoError(t, err)
	require.NoError(t, accepted.Close())
	requireEcho(t, conn)
}

// A connection whose close is lost must count as abandoned, one whose close arrives must not.
func TestAbandonedConnectionsAreCounted(t *testing.T) {
	r, closed := newEchoRelay(t)
	requireEcho(t, closed)
	closed.Close()
	lost := dial(t, r)
	requireEcho(t, lost)
	require.Zero(t, r.Abandoned())
	r.Drop(ToTarget)
	lost.Close()
	require.Eventually(t, func() bool { return r.Abandoned() == 1 }, waitLimit, time.Millisecond)
	r.Restore()
	require.Equal(t, 1, r.Abandoned())
}

// Guards against a reset that arrives as an orderly close, by which a truncated answer would look whole.
func TestResetOfTheTargetIsPassedOn(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadFull(conn, make([]byte, 1)) // The client's dial has returned by then.
		_, _ = conn.Write([]byte("part"))
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}()
	r, err := New(listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(r.Close)
	conn := dial(t, r)
	_, err = conn.Write([]byte("?"))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitLimit)))
	_, err = io.ReadAll(conn)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

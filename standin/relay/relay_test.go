package relay

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// patience bounds every wait for something that must happen; look is how long it is watched
// that something does not.
const (
	patience = 10 * time.Second
	look     = 50 * time.Millisecond
)

// echo answers each connection with what it gets, until the test ends.
func echo(t *testing.T) string {
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
				_, _ = io.Copy(conn, conn) // It ends with the connection.
			}()
		}
	}()
	return listener.Addr().String()
}

func open(t *testing.T) (*Relay, net.Conn) {
	r, err := New(echo(t))
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

// exchange sends a word and returns what comes back within limit.
func exchange(t *testing.T, conn net.Conn, word string, limit time.Duration) (string, error) {
	t.Helper()
	_, err := conn.Write([]byte(word))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(limit)))
	got := make([]byte, len(word))
	_, err = io.ReadFull(conn, got)
	return string(got), err
}

func requireEcho(t *testing.T, conn net.Conn) {
	t.Helper()
	got, err := exchange(t, conn, "word", patience)
	require.NoError(t, err)
	require.Equal(t, "word", got)
}

func requireSilence(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := exchange(t, conn, "word", look)
	var timeout net.Error
	require.ErrorAs(t, err, &timeout, "the connection stands and nothing comes")
	require.True(t, timeout.Timeout())
}

func TestSwallowedDirectionStaysSilentOnItsConnections(t *testing.T) {
	for _, direction := range []Direction{ToTarget, FromTarget} {
		r, conn := open(t)
		requireEcho(t, conn)
		r.Swallow(direction)
		requireSilence(t, conn)
		requireSilence(t, dial(t, r))
		r.Restore()
		requireSilence(t, conn)
		requireEcho(t, dial(t, r))
	}
}

func TestDelayEndsWithRestore(t *testing.T) {
	r, conn := open(t)
	r.Delay(look)
	began := time.Now()
	requireEcho(t, conn)
	require.GreaterOrEqual(t, time.Since(began), 2*look, "both ways are slow")
	r.Restore()
	requireEcho(t, conn)
}

func TestResetEndsConnectionsAndNewOnesWork(t *testing.T) {
	r, conn := open(t)
	requireEcho(t, conn)
	r.Reset()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(patience)))
	_, err := conn.Read(make([]byte, 1))
	require.ErrorContains(t, err, "reset by peer")
	requireEcho(t, dial(t, r))
}

func TestNewConnectionsGoToTheNewTarget(t *testing.T) {
	r, conn := open(t)
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

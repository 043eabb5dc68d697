package clienttest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"acaciacleat.example/platform/standin"
	"github.com/stretchr/testify/require"
)

const (
	// calmTimeout bounds one request.
	calmTimeout = 30 * time.Second
	// The limits of the stand-ins' configuration on times.
	headTimeout = 3 * time.Second
	idleTimeout = 15 * time.Second
)

// Guards against refusing requests within the limits of the configuration.
func TestRequestsWithinTheLimitsAreServed(t *testing.T) {
	g := startGateway(t, machines[len(machines)-1])
	one := target{g.addresses.Callers, "/lists/x", standin.Key}
	length := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }
	stream := target{g.addresses.Callers, "/ask/x", standin.Key}
	cases := map[string]func(t *testing.T, conn net.Conn){
		"largest body": func(t *testing.T, conn net.Conn) {
			send(t, conn, one.head("POST", length(len(legalBody))), string(legalBody))
		},
		"largest body in chunks": func(t *testing.T, conn net.Conn) {
			send(t, conn, one.head("POST", "Transfer-Encoding: chunked\r\n"), strings.Repeat(string(chunks), maxBody/(512<<10)), "0\r\n\r\n")
		},
		"largest head": func(t *testing.T, conn net.Conn) {
			send(t, conn, one.head("POST", shortFields+length(1)), "x")
		},
		"slow head": func(t *testing.T, conn net.Conn) {
			sendSlowly(t, conn, one.head("GET", ""), headTimeout*9/10)
		},
		"slow body": func(t *testing.T, conn net.Conn) {
			send(t, conn, stream.head("POST", "Acaciacleat-Deadline-Ms: 10000\r\n"+length(1000)))
			sendSlowly(t, conn, strings.Repeat("x", 1000), 8*time.Second)
		},
		"kept connection": func(t *testing.T, conn net.Conn) {
			send(t, conn, one.head("GET", ""))
			requireServed(t, conn)
			<-time.After(idleTimeout * 4 / 5)
			send(t, conn, one.head("GET", ""))
		},
	}
	for name, request := range cases {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			conn, err := net.Dial("tcp", g.addresses.Callers)
			require.NoError(t, err)
			defer conn.Close()
			require.NoError(t, conn.SetDeadline(time.Now().Add(calmTimeout)))
			request(t, conn)
			requireServed(t, conn)
		})
	}
}

func send(t *testing.T, conn net.Conn, texts ...string) {
	for _, text := range texts {
		_, err := io.WriteString(conn, text)
		require.NoError(t, err)
	}
}

// sendSlowly sends a text in pieces over the given time.
func sendSlowly(t *testing.T, conn net.Conn, text string, total time.Duration) {
	const pieces = 20
	for i := range pieces {
		send(t, conn, text[len(text)*i/pieces:len(text)*(i+1)/pieces])
		<-time.After(total / pieces)
	}
}

func requireServed(t *testing.T, conn net.Conn) {
	t.Helper()
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, answer.StatusCode, "%s", body)
	require.False(t, answer.Close)
}

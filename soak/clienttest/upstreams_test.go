package clienttest

import (
	"bufio"
	"context"
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
	ownHead   = "HTTP/1.1 %s\r\nAcaciacleat-Attempt-Id: ID\r\nAcaciacleat-Response-Seal: s\r\n"
	manyBytes = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
	refused   = "Acaciacleat-Not-Executed: 1\r\n"
)

// endlessAnswers are the ways in which an upstream sends bytes without end: how its answer begins, with the request's id in
// place of ID, and what it repeats.
var endlessAnswers = map[string][2]string{
	"in a head":               {"HTTP/1.1 200 OK\r\nX-Field: ", manyBytes},
	"in fields of a head":     {"HTTP/1.1 200 OK\r\n", "X-Field: " + manyBytes + "\r\n"},
	"in an answer":            {fmt.Sprintf(ownHead, "200 OK") + "\r\n", manyBytes},
	"in chunks":               {fmt.Sprintf(ownHead, "200 OK") + "Transfer-Encoding: chunked\r\n\r\n", "40\r\n" + manyBytes + "\r\n"},
	"in trailers":             {fmt.Sprintf(ownHead, "200 OK") + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: " + manyBytes + "\r\n"},
	"in an event":             {fmt.Sprintf(ownHead, "200 OK") + "Content-Type: text/event-stream\r\n\r\n", manyBytes},
	"behind a refusal":        {fmt.Sprintf(ownHead, "503 Service Unavailable") + refused + "\r\n", manyBytes},
	"behind a misdirection":   {"HTTP/1.1 421 Misdirected Request\r\nAcaciacleat-Replica-Id: other\r\n" + refused + "\r\n", manyBytes},
	"behind an error":         {fmt.Sprintf(ownHead, "500 Internal Server Error") + "\r\n", manyBytes},
	"behind another's answer": {"HTTP/1.1 200 OK\r\n\r\n", manyBytes},
}

// startEndless starts an upstream that answers each request without end, also those for its health, and registers it.
func (g *gateway) startEndless(t *testing.T, id, service string, answer [2]string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go answerEndlessly(connection, answer)
		}
	}()
	upstream := &standin.Replica{ID: id, Service: service, Zone: "zone-a", Slots: 16, Advertise: listener.Addr().String()}
	upstream.Register(g.standins.Store, "ready")
}

// answerEndlessly answers the first request on a connection until the connection is closed.
func answerEndlessly(connection net.Conn, answer [2]string) {
	defer connection.Close()
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	_, err = io.WriteString(connection, strings.ReplaceAll(answer[0], "ID", request.Header.Get("Acaciacleat-Attempt-Id")))
	for piece := strings.Repeat(answer[1], 256); err == nil; {
		_, err = io.WriteString(connection, piece)
	}
}

// Guards against upstreams that send bytes without end and use up the memory or descriptors of the gateway that has called
// them, or keep others from being served.
func TestGatewayBearsEndlessUpstreams(t *testing.T) {
	const settling, lasts = time.Second, 3 * time.Second
	for name, answer := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t, machines[0])
			for i := range 2 {
				g.startEndless(t, fmt.Sprint("endless-plain-", i), "parts", answer)
				g.startEndless(t, fmt.Sprint("endless-engine-", i), "model", answer)
			}
			ctx, cancel := context.WithTimeout(t.Context(), lasts)
			defer cancel()
			first, ordinary := g.traffic(), g.traffic()
			settled, end := context.WithTimeout(ctx, settling)
			defer end()
			first.start(settled)
			first.await()
			ordinary.numbers.Store(1 << 20)
			ordinary.start(ctx)
			ordinary.await()
			t.Logf("at first: %s", first)
			t.Logf("then: %s; peak %s", ordinary, g.used())
			g.requireSound(t)
			ordinary.requireServed(t)
		})
	}
}

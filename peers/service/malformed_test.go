package service_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"acaciacleat.example/peers/framing"
	"acaciacleat.example/peers/service"
	"github.com/stretchr/testify/require"
)

// serveRaw starts a server that reads a request and answers it with the given bytes, and returns its address. It then closes
// its direction of the connection and reads on to the end.
func serveRaw(t *testing.T, answer string) string {
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
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body) // The client may have left.
				_, _ = io.WriteString(conn, answer)
				_ = conn.(*net.TCPConn).CloseWrite()
				_, _ = io.Copy(io.Discard, conn)
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// read returns the whole answer to a call, or the error of the call or of reading its answer.
func read(t *testing.T, url, method string) (status int, header http.Header, body string, err error) {
	client := service.NewHTTP(url)
	defer client.CloseIdle()
	answer, err := client.Do(t.Context(), newCall(method, "/x", "body"))
	if err != nil {
		return 0, nil, "", err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return answer.Status, answer.Header, string(text), err
}

// malformedAnswers are answers that aren't well-formed, with a complete one to which each is similar.
var malformedAnswers = map[string]string{
	"status of zeros":             "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
	"status 001":                  "HTTP/1.1 001 OK\r\nContent-Length: 2\r\n\r\nok",
	"status 099":                  "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nok",
	"status with a sign":          "HTTP/1.1 +20 OK\r\nContent-Length: 2\r\n\r\nok",
	"status of four digits":       "HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\nok",
	"status 600":                  "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok",
	"status 999":                  "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nok",
	"another protocol":            "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nok",
	"another version":             "HTTP/2.7 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"a version without a point":   "HTTP/11 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"control byte in the reason":  "HTTP/1.1 200 O\x01K\r\nContent-Length: 2\r\n\r\nok",
	"blank in a name":             "HTTP/1.1 200 OK\r\nX A: y\r\nContent-Length: 2\r\n\r\nok",
	"blank behind a name":         "HTTP/1.1 200 OK\r\nX-A : y\r\nContent-Length: 2\r\n\r\nok",
	"control byte in a name":      "HTTP/1.1 200 OK\r\nX\x01A: y\r\nContent-Length: 2\r\n\r\nok",
	"tab in a name":               "HTTP/1.1 200 OK\r\nX\tA: y\r\nContent-Length: 2\r\n\r\nok",
	"byte beyond ASCII in a name": "HTTP/1.1 200 OK\r\nX\xe4: y\r\nContent-Length: 2\r\n\r\nok",
	"empty name":                  "HTTP/1.1 200 OK\r\n: y\r\nContent-Length: 2\r\n\r\nok",
	"line without a name":         "HTTP/1.1 200 OK\r\nX-A\r\nContent-Length: 2\r\n\r\nok",
	"folded line":                 "HTTP/1.1 200 OK\r\nX-A: y\r\n z\r\nContent-Length: 2\r\n\r\nok",
	"control byte in a value":     "HTTP/1.1 200 OK\r\nX-A: y\x00z\r\nContent-Length: 2\r\n\r\nok",
	"return in a value":           "HTTP/1.1 200 OK\r\nX-A: y\rz\r\nContent-Length: 2\r\n\r\nok",
	"blank before chunked":        "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"length and chunks":           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"chunks twice":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"chunks of 1.0":               "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"unknown encoding":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"two lengths":                 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nok",
	"a list of two lengths":       "HTTP/1.1 200 OK\r\nContent-Length: 2, 1\r\n\r\nok",
	"length with a sign":          "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
	"empty length":                "HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\nok",
	"no size of a chunk":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\r\nok\r\n0\r\n\r\n",
	"size of a chunk in words":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0x2\r\nok\r\n0\r\n\r\n",
	"chunk longer than its size":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokay\r\n0\r\n\r\n",
	"blank in a trailer's name":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n2\r\nok\r\n0\r\nX Y: z\r\n\r\n",
	"trailer without a name":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nxy\r\n\r\n",
	"length in a trailer":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nContent-Length: 2\r\n\r\n",
	"malformed early answer":      "HTTP/1.1 103 Early Hints\r\nX A: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
}

// Guards against an answer that counts as the upstream's although it isn't well-formed.
func TestMalformedAnswersAreFailures(t *testing.T) {
	for name, answer := range malformedAnswers {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+"/"+method, func(t *testing.T) {
				t.Parallel()
				status, header, body, err := read(t, serveRaw(t, answer), method)
				require.ErrorIs(t, err, service.ErrOutcomeUnknown, "%d %v %q", status, header, body)
				require.ErrorIs(t, err, framing.ErrMalformed)
			})
		}
	}
}

// Guards against an answer that stops anywhere, in its head or later, and counts as complete.
func TestAnswerThatStopsAnywhereIsAFailure(t *testing.T) {
	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\nX-A: y\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nX-A: y\r\n\r\nHTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
	} {
		for n := range len(whole) {
			_, _, body, err := read(t, serveRaw(t, whole[:n]), http.MethodPost)
			require.ErrorIs(t, err, service.ErrOutcomeUnknown, "%q: %q", whole[:n], body)
		}
		_, _, body, err := read(t, serveRaw(t, whole), http.MethodPost)
		require.NoError(t, err)
		require.Equal(t, "ok", body)
	}
}

// Guards against refusing answers that are unusual and well-formed.
func TestWellFormedAnswersAreServed(t *testing.T) {
	for name, answer := range map[string]string{
		"no reason":            "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok",
		"empty reason":         "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok",
		"no length":            "HTTP/1.1 200 OK\r\n\r\nok",
		"1.0":                  "HTTP/1.0 200 OK\r\n\r\nok",
		"1.0 with a length":    "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"the same length":      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
		"early answers":        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"chunks with trailers": "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\nTrailer: X-Sum\r\n\r\n1;a=b\r\no\r\n01\r\nk\r\n0\r\nX-Sum: 1\r\nX-Other:\r\n\r\n",
		"an unusual name":      "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09: y\r\nContent-Length: 2\r\n\r\nok",
		"an unusual value":     "HTTP/1.1 200 \xe4\r\nX-A:\t\xe4 \x80: y\t \r\nContent-Length: 2\r\n\r\nok",
		"lines that end early": "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
		"an unusual status":    "HTTP/1.1 599 Own\r\nContent-Length: 2\r\n\r\nok",
		"more than is due":     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok and more",
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+"/"+method, func(t *testing.T) {
				_, _, body, err := read(t, serveRaw(t, answer), method)
				require.NoError(t, err)
				require.Equal(t, "ok", body)
			})
		}
	}
	status, _, body, err := read(t, serveRaw(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"), http.MethodHead)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Empty(t, body)
}

// Guards against a connection in use whose second answer isn't checked, after each kind of first one.
func TestEachAnswerOnAConnectionIsChecked(t *testing.T) {
	first := map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: y\r\n\r\n",
		"nothing": "HTTP/1.1 204 No Content\r\n\r\n",
		"early":   "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
	}
	for name, first := range first {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { listener.Close() })
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for _, answer := range []string{first, first, "HTTP/1.1 200 OK\r\nX A: y\r\nContent-Length: 2\r\n\r\nok"} {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = io.WriteString(conn, answer) // The client may have left.
				}
			}()
			client := service.NewHTTP("http://" + listener.Addr().String())
			defer client.CloseIdle()
			for range 2 {
				answer, err := client.Do(t.Context(), newCall(http.MethodGet, "/x", ""))
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, answer.Body)
				require.NoError(t, err)
				require.NoError(t, answer.Body.Close())
			}
			_, err = client.Do(t.Context(), newCall(http.MethodGet, "/x", ""))
			require.ErrorIs(t, err, service.ErrOutcomeUnknown)
		})
	}
}

// serveWhileUploading starts a server that answers each request before it has read its body: with a head without a length
// and a part of a body. It then ends the connection, after it has read some more bytes.
func serveWhileUploading(t *testing.T, end func(conn *net.TCPConn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for i := 0; ; i++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.CopyN(io.Discard, conn, int64(i%64)<<10+1) // The client may have left.
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-A: y\r\n\r\npart")
				end(conn.(*net.TCPConn))
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// upload sends a long body and returns the answer's body.
func upload(t *testing.T, url string) (body string, err error) {
	client := service.NewHTTP(url)
	defer client.CloseIdle()
	call := newCall(http.MethodPost, "/x", strings.Repeat("upload", 1<<20))
	call.TimeLeft = 20 * time.Second
	answer, err := client.Do(t.Context(), call)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return string(text), err
}

// Guards against a part of an answer without a length that counts as complete because the connection was reset while the
// request was still being written.
func TestPartBeforeAResetDuringAnUploadIsAFailure(t *testing.T) {
	url := serveWhileUploading(t, func(conn *net.TCPConn) { _ = conn.SetLinger(0) })
	for range 1500 {
		body, err := upload(t, url)
		require.ErrorIs(t, err, service.ErrOutcomeUnknown, "%q", body)
	}
}

// Guards against refusing an answer without a length whose server closes its direction of the connection and reads on.
func TestEarlyAnswerThatEndsInOrderIsServed(t *testing.T) {
	url := serveWhileUploading(t, func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	})
	for range 20 {
		body, err := upload(t, url)
		require.NoError(t, err)
		require.Equal(t, "part", body)
	}
}

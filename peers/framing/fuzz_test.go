package framing

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// reading is what a reader makes of the bytes of a connection that then comes to an end.
type reading struct {
	status int
	body   string
}

// The grammar of an answer, by which strictly reads.
var (
	statusLine = regexp.MustCompile(`^HTTP/1\.[0-9] ([1-5][0-9][0-9])( [^\x00-\x08\x0a-\x1f\x7f]*)?$`)
	fieldLine  = regexp.MustCompile("^([-!#$%&'*+.^_`|~0-9A-Za-z]+):[ \\t]*([^\\x00-\\x08\\x0a-\\x1f\\x7f]*?)[ \\t]*$")
	chunkLine  = regexp.MustCompile(`^([0-9A-Fa-f]{1,15})[ \t]*(;[^\x00-\x08\x0a-\x1f\x7f]*)?$`)
	lengthList = regexp.MustCompile(`^[ \t]*[0-9]{1,18}[ \t]*(,[ \t]*[0-9]{1,18}[ \t]*)*$`)
)

// lineOf splits off the first line; ok is false if its end is missing.
func lineOf(text string) (line, rest string, ok bool) {
	line, rest, ok = strings.Cut(text, "\n")
	return strings.TrimSuffix(line, "\r"), rest, ok
}

// strictly reads an answer to a GET, by the grammar and as a whole. ok is false unless it is well-formed and complete.
func strictly(text string) (got reading, ok bool) {
	line, text, ok := lineOf(text)
	match := statusLine.FindStringSubmatch(line)
	if !ok || match == nil || match[1] == "101" {
		return got, false
	}
	got.status, _ = strconv.Atoi(match[1])
	lengths, chunked := map[string]bool{}, 0
	for {
		var field string
		if field, text, ok = lineOf(text); !ok {
			return got, false
		}
		if field == "" {
			break
		}
		parts := fieldLine.FindStringSubmatch(field)
		switch {
		case parts == nil:
			return got, false
		case strings.EqualFold(parts[1], "Content-Length"):
			if !lengthList.MatchString(parts[2]) {
				return got, false
			}
			for length := range strings.SplitSeq(parts[2], ",") {
				lengths[strings.TrimLeft(strings.Trim(length, " \t"), "0")] = true
			}
		case strings.EqualFold(parts[1], "Transfer-Encoding"):
			chunked++
			if !strings.EqualFold(parts[2], "chunked") || strings.HasPrefix(line, "HTTP/1.0") {
				return got, false
			}
		}
	}
	switch {
	case len(lengths) > 1, chunked > 1, len(lengths)+chunked > 1:
		return got, false
	case got.status < 200:
		return strictly(text)
	case got.status == 204, got.status == 304:
		return got, true
	case chunked == 1:
		got.body, ok = chunksOf(text)
		return got, ok
	}
	for digits := range lengths {
		length, _ := strconv.Atoi("0" + digits)
		if length > len(text) {
			return got, false
		}
		text = text[:length]
	}
	got.body = text
	return got, true
}

// chunksOf reads a body in chunks with its trailers.
func chunksOf(text string) (body string, ok bool) {
	for {
		line, rest, ok := lineOf(text)
		match := chunkLine.FindStringSubmatch(line)
		if !ok || match == nil {
			return "", false
		}
		size, _ := strconv.ParseInt(match[1], 16, 64)
		if size == 0 {
			text = rest
			break
		}
		if int64(len(rest)) < size {
			return "", false
		}
		body += rest[:size]
		if line, text, ok = lineOf(rest[size:]); !ok || line != "" {
			return "", false
		}
	}
	for {
		var line string
		if line, text, ok = lineOf(text); !ok || line == "" {
			return body, ok
		}
		parts := fieldLine.FindStringSubmatch(line)
		if parts == nil || strings.EqualFold(parts[1], "Content-Length") || strings.EqualFold(parts[1], "Transfer-Encoding") {
			return "", false
		}
	}
}

// pieces is a connection whose reads return the bytes of an answer in pieces, and then an end. Writes go nowhere.
type pieces struct {
	net.Conn
	left  *bytes.Reader
	piece int
	sent  chan struct{}
	wrote bool
}

func (p *pieces) Read(b []byte) (int, error) {
	<-p.sent // An answer that comes before the request is another one's.
	return p.left.Read(b[:min(p.piece, len(b))])
}

func (p *pieces) Write(b []byte) (int, error) {
	if !p.wrote {
		p.wrote = true
		close(p.sent)
	}
	return len(b), nil
}

func (p *pieces) Close() error                     { return nil }
func (p *pieces) SetDeadline(time.Time) error      { return nil }
func (p *pieces) SetReadDeadline(time.Time) error  { return nil }
func (p *pieces) SetWriteDeadline(time.Time) error { return nil }

// readWith reads an answer to a GET with net/http over a checked connection.
func readWith(t testing.TB, answer []byte, piece int) (got reading, ok bool) {
	opened := &pieces{left: bytes.NewReader(answer), piece: piece, sent: make(chan struct{})}
	transport := &http.Transport{
		DialContext:       Dial(func(context.Context, string, string) (net.Conn, error) { return opened, nil }),
		DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: MaxHeadBytes,
	}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { GotConn(info, http.MethodGet) }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), http.MethodGet, "http://upstream.example/", nil)
	require.NoError(t, err)
	response, err := transport.RoundTrip(r)
	if err != nil {
		return got, false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reading{response.StatusCode, string(body)}, err == nil
}

// Guards against an answer that is read otherwise than its format says, however it arrives.
func FuzzAnswersAreReadByTheirFormat(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200\r\n\r\nok", "HTTP/1.0 404 No\nX: y\n\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n",
		"HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 204 None\r\n\r\n", "HTTP/1.1 000 OK\r\n\r\n", "HTTP/2.7 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX A: y\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\nContent-Length: 02\r\n\r\nok", "HTTP/1.1 200 OK\r\nX: y\r\n z\r\n\r\n",
	} {
		f.Add([]byte(seed), byte(7))
	}
	f.Fuzz(func(t *testing.T, answer []byte, piece byte) {
		want, sound := strictly(string(answer))
		got, complete := readWith(t, answer, 1+int(piece))
		if complete {
			require.True(t, sound, "%q", answer)
			require.Equal(t, want, got, "%q", answer)
		}
		v := newValidator(http.MethodGet)
		_, err := v.next(answer)
		if sound {
			require.NoError(t, err, "%q", answer)
		}
	})
}

// Guards against a reader that agrees with the format because it serves nothing.
func TestSeedsAreReadWhole(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n",
	} {
		for piece := 1; piece < len(answer); piece++ {
			got, complete := readWith(t, []byte(answer), piece)
			require.True(t, complete)
			require.Equal(t, reading{200, "ok"}, got)
		}
	}
	_, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 000 OK\r\n\r\n")), nil)
	require.NoError(t, err, "net/http forgives what isn't well-formed")
}

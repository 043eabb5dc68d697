package httpserver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"acaciacleat.example/core/footprint"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// form is one of the forms that a proper request can have.
type form struct {
	method, path, version string
	// host is the target's beginning in absolute form.
	host, fields, body string
	status             int
	// closes is set if the answer has to be the last of its connection, mayClose if it may be.
	closes, mayClose bool
}

// text returns the request, which asks for its id in the answer.
func (f form) text(id int) string {
	version := f.version
	if version == "" {
		version = "HTTP/1.1"
	}
	return fmt.Sprintf("%s %s%s %s\r\nHost: a\r\nId: %d\r\n%s\r\n%s", f.method, f.host, f.path, version, id, f.fields, f.body)
}

func withLength(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }

// inChunks returns a body in chunks of a size.
func inChunks(body string, size int, extension, trailer string) string {
	var text strings.Builder
	for len(body) > 0 {
		piece := body[:min(size, len(body))]
		body = body[len(piece):]
		fmt.Fprintf(&text, "%x%s\r\n%s\r\n", len(piece), extension, piece)
	}
	return text.String() + "0" + extension + "\r\n" + trailer + "\r\n"
}

const (
	chunked  = "Transfer-Encoding: chunked\r\n"
	expects  = "Expect: 100-continue\r\n"
	trailers = "Sum: 1\r\nOther: " + "2\r\n"
)

// fieldsUpTo returns fields of a number of bytes.
func fieldsUpTo(size, each int) string {
	var text strings.Builder
	for i := 0; size-text.Len() >= 2*each; i++ {
		name := fmt.Sprintf("f%d: ", i)
		text.WriteString(name + strings.Repeat("v", each-len(name)-2) + "\r\n")
	}
	return text.String() + "l: " + strings.Repeat("v", size-text.Len()-5) + "\r\n"
}

// longHead makes the head of a form as long as the limit allows. The id has three digits.
func longHead(f form, each int) form {
	whole := f
	whole.body = ""
	f.fields += fieldsUpTo(testLimits.HeadBytes-len(whole.text(100)), each)
	return f
}

// forms returns the forms by name. Bodies are no requests, and end in what looks like the end of a head.
func forms() map[string]form {
	short := strings.Repeat("x", 100) + "\r\n\r\n"
	long := strings.Repeat("y", shortBody+5000)
	all := map[string]form{
		"get":                    {method: "GET", path: "/", status: 200},
		"head":                   {method: "HEAD", path: "/", status: 200},
		"delete":                 {method: "DELETE", path: "/", status: 200},
		"options":                {method: "OPTIONS", path: "/", status: 200},
		"options of the server":  {method: "OPTIONS", path: "*", status: 200},
		"empty length":           {method: "POST", path: "/", fields: withLength(""), status: 200},
		"empty chunks":           {method: "POST", path: "/", fields: chunked, body: inChunks("", 1, "", ""), status: 200},
		"extensions":             {method: "PUT", path: "/", fields: chunked, body: inChunks(short, 7, `;a="b;c";d`, ""), status: 200},
		"trailers":               {method: "PUT", path: "/", fields: chunked + "Trailer: Sum\r\n", body: inChunks(short, 50, "", trailers), status: 200},
		"large chunks":           {method: "PATCH", path: "/", fields: chunked, body: inChunks(long, 30000, "", ""), status: 200},
		"absolute":               {method: "POST", host: "http://a", path: "/", fields: withLength(short), body: short, status: 200},
		"old":                    {method: "GET", path: "/", version: "HTTP/1.0", status: 200, closes: true},
		"old kept":               {method: "POST", path: "/", version: "HTTP/1.0", fields: "Connection: keep-alive\r\n" + withLength(short), body: short, status: 200},
		"closing":                {method: "POST", path: "/", fields: "Connection: close\r\n" + withLength(short), body: short, status: 200, closes: true},
		"expects":                {method: "POST", path: "/", fields: expects + withLength(short), body: short, status: 200},
		"expects, in chunks":     {method: "POST", path: "/", fields: expects + chunked, body: inChunks(short, 9, "", trailers), status: 200},
		"expects nothing":        {method: "POST", path: "/", fields: expects + withLength(""), status: 200},
		"expects, refused":       {method: "POST", path: "/401", fields: expects + withLength(short), body: short, status: 401, closes: true},
		"expects, old":           {method: "POST", path: "/", version: "HTTP/1.0", fields: "Connection: keep-alive\r\n" + expects + withLength(short), body: short, status: 200},
		"many fields":            longHead(form{method: "GET", path: "/", status: 200}, 9),
		"many fields and a body": longHead(form{method: "POST", path: "/", fields: withLength(short), body: short, status: 200}, 9),
		"long field":             longHead(form{method: "GET", path: "/", status: 200}, testLimits.HeadBytes/3),
		"long field, long body":  longHead(form{method: "POST", path: "/", fields: withLength(long), body: long, status: 200}, testLimits.HeadBytes/3),
		"field on two lines":     {method: "GET", path: "/", fields: "Folded: a\r\n b\r\n", status: 200},
		"empty field":            {method: "GET", path: "/", fields: "Empty:\r\n", status: 200},
		"query":                  {method: "GET", path: "/?a=%zz&b=[{\"|}]", status: 200},
		"not answered":           {method: "POST", path: "/nothing", fields: withLength(short), body: short, status: 200},
		"not answered, long":     {method: "POST", path: "/nothing", fields: withLength(long), body: long, status: 200, closes: true},
		"read in part":           {method: "POST", path: "/part", fields: withLength(short), body: short, status: 200},
		"read in part, long":     {method: "POST", path: "/part", fields: withLength(long), body: long, status: 200, closes: true},
		"read in part, chunks":   {method: "POST", path: "/part", fields: chunked, body: inChunks(short, 11, "", trailers), status: 200},
		"long answer":            {method: "POST", path: "/long", fields: withLength(short), body: short, status: 200},
	}
	for _, status := range []int{401, 404, 413, 503} {
		path := fmt.Sprintf("/%d", status)
		all[path+" short"] = form{method: "POST", path: path, fields: withLength(short), body: short, status: status}
		all[path+" long"] = form{method: "PUT", path: path, fields: withLength(long), body: long, status: status, closes: true}
		all[path+" in chunks"] = form{method: "PUT", path: path, fields: chunked, body: inChunks(short, 13, ";e", trailers), status: status}
		all[path+" in long chunks"] = form{method: "PUT", path: path, fields: chunked, body: inChunks(long, 5000, "", ""), status: status, closes: true}
		all[path+" without a body"] = form{method: "GET", path: path, status: status}
	}
	return all
}

// serveForm answers the forms.
func serveForm(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	switch r.URL.Path {
	case "/nothing":
	case "/part":
		_, _ = io.ReadFull(r.Body, make([]byte, 10))
		w.WriteHeader(http.StatusOK)
	case "/long":
		_, _ = ReadBody(r, maxBody, time.Time{})
		_, _ = w.Write(make([]byte, maxBody))
	case "/", "*":
		body, err := ReadBody(r, maxBody, time.Time{})
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintf(w, "%d", len(body))
	default:
		status, _ := strconv.Atoi(r.URL.Path[1:])
		w.WriteHeader(status)
	}
}

func startForms(t *testing.T) (*Server, string) {
	s := New(Config{
		Name: "test", Handler: http.HandlerFunc(serveForm), Footprint: footprint.Limits{Bytes: 8 << 30, Conns: 10000},
		Limits: func() Limits { return Limits{HeadBytes: testLimits.HeadBytes} }, Log: zerolog.New(zerolog.NewTestWriter(t)),
	})
	address, err := s.Listen("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s, address
}

// client sends requests on one connection as long as the answers allow it.
type client struct {
	require.TestingT
	address string
	conn    net.Conn
	answers *bufio.Reader
	id      int
}

func (c *client) dial() {
	if c.conn != nil {
		return
	}
	conn, err := net.Dial("tcp", c.address)
	require.NoError(c, err)
	require.NoError(c, conn.SetDeadline(time.Now().Add(waitTimeout)))
	c.conn, c.answers = conn, bufio.NewReader(conn)
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *client) nextID() int {
	c.id++
	return 100 + c.id%900
}

// await reads the answer to the request of a form, and closes the connection if the answer says so.
func (c *client) await(name string, f form, id int) {
	answer, err := http.ReadResponse(c.answers, &http.Request{Method: f.method})
	for err == nil && answer.StatusCode == http.StatusContinue {
		answer, err = http.ReadResponse(c.answers, &http.Request{Method: f.method})
	}
	require.NoError(c, err, name)
	_, err = io.Copy(io.Discard, answer.Body)
	require.NoError(c, err, name)
	require.Equal(c, f.status, answer.StatusCode, name)
	if f.path != "*" {
		require.Equal(c, strconv.Itoa(id), answer.Header.Get("Id"), name)
	}
	if !f.mayClose {
		require.Equal(c, f.closes, answer.Close, name)
	}
	if answer.Close {
		rest, err := io.ReadAll(c.answers)
		if err == nil { // A reset says that what was sent after the answer was not read.
			require.Empty(c, string(rest), name)
		}
		c.close()
	}
}

// send writes text in pieces that end at the given positions, while the answer may already be read.
func (c *client) send(text string, cuts ...int) (sent <-chan error) {
	done := make(chan error, 1)
	conn := c.conn
	go func() {
		last := 0
		for _, cut := range append(cuts, len(text)) {
			if _, err := io.WriteString(conn, text[last:cut]); err != nil {
				done <- err
				return
			}
			last = cut
		}
		done <- nil
	}()
	return done
}

func (c *client) exchange(name string, f form, cuts ...int) {
	c.dial()
	id := c.nextID()
	sent := c.send(f.text(id), cuts...)
	c.await(name, f, id)
	if err := <-sent; err != nil {
		require.True(c, f.closes || f.mayClose, name)
		require.False(c, errors.Is(err, io.EOF), name)
	}
}

// Guards against calling proper requests wrong because of what came before them on the connection.
func TestFormsOfRequestsFollowEachOtherOnOneConnection(t *testing.T) {
	s, address := startForms(t)
	all := forms()
	for first, before := range all {
		t.Run(first, func(t *testing.T) {
			for name, f := range all {
				c := &client{TestingT: t, address: address}
				c.exchange(first, before)
				c.exchange(first+", then "+name, f)
				c.close()
			}
		})
	}
	require.Zero(t, s.UnreadTotal())
}

// formNames returns the names of the forms in a fixed order.
func formNames(all map[string]form) []string { return slices.Sorted(maps.Keys(all)) }

// Guards against the same in any order, with requests that are cut anywhere, sent ahead, or left in the middle.
func TestFormsOfRequestsInAnyOrder(t *testing.T) {
	s, address := startForms(t)
	all := forms()
	names := formNames(all)
	rapid.Check(t, func(t *rapid.T) {
		c := &client{TestingT: t, address: address}
		defer c.close()
		t.Repeat(map[string]func(*rapid.T){
			"whole": func(t *rapid.T) {
				name := rapid.SampledFrom(names).Draw(t, "form")
				c.exchange(name, all[name])
			},
			"cut": func(t *rapid.T) {
				name := rapid.SampledFrom(names).Draw(t, "form")
				length := len(all[name].text(100))
				cuts := rapid.SliceOfNDistinct(rapid.IntRange(1, length-1), 1, 8, rapid.ID).Draw(t, "cuts")
				slices.Sort(cuts)
				c.exchange(name, all[name], cuts...)
			},
			"bytes": func(t *rapid.T) {
				name := rapid.SampledFrom(names).Draw(t, "form")
				var cuts []int
				for i := range min(len(all[name].text(100)), 300) {
					cuts = append(cuts, i)
				}
				c.exchange(name, all[name], cuts...)
			},
			"ahead": func(t *rapid.T) {
				c.dial()
				chosen := rapid.SliceOfN(rapid.SampledFrom(names), 2, 5).Draw(t, "forms")
				var text strings.Builder
				var ids []int
				for _, name := range chosen {
					ids = append(ids, c.nextID())
					text.WriteString(all[name].text(ids[len(ids)-1]))
				}
				sent := c.send(text.String())
				for i, name := range chosen {
					if c.conn == nil {
						break // Nothing after it was read.
					}
					c.await(name, all[name], ids[i])
				}
				<-sent
			},
			"left": func(t *rapid.T) {
				c.dial()
				f := all[rapid.SampledFrom(names).Draw(t, "form")]
				text := f.text(c.nextID())
				_, err := io.WriteString(c.conn, text[:rapid.IntRange(1, min(len(text)-1, 300)).Draw(t, "length")])
				require.NoError(t, err)
				c.close()
			},
		})
	})
	require.Zero(t, s.UnreadTotal())
}

// hurried is a client whose connections may be shed, and which sometimes leaves before it has read its answer.
type hurried struct {
	address string
	random  *rand.Rand
	conn    net.Conn
	answers *bufio.Reader
}

func (h *hurried) close() {
	if h.conn != nil {
		_ = h.conn.Close()
		h.conn = nil
	}
}

// dial reports whether there is a connection.
func (h *hurried) dial() bool {
	if h.conn != nil {
		return true
	}
	conn, err := net.Dial("tcp", h.address)
	if err != nil {
		return false
	}
	_ = conn.SetDeadline(time.Now().Add(waitTimeout)) // Fails only if the connection has ended.
	h.conn, h.answers = conn, bufio.NewReader(conn)
	return true
}

// request sends a form and returns the head of the answer, or nil if there was none.
func (h *hurried) request(f form, id int) *http.Response {
	if !h.dial() {
		return nil
	}
	go func(conn net.Conn) { _, _ = io.WriteString(conn, f.text(id)) }(h.conn) // The answer may come first.
	if h.random.IntN(20) == 0 {
		h.close()
		return nil
	}
	answer, err := http.ReadResponse(h.answers, &http.Request{Method: f.method})
	for err == nil && answer.StatusCode == http.StatusContinue {
		answer, err = http.ReadResponse(h.answers, &http.Request{Method: f.method})
	}
	if err != nil {
		h.close()
		return nil
	}
	if _, err = io.Copy(io.Discard, answer.Body); err != nil || answer.Close {
		h.close()
	}
	return answer
}

// Guards against calling proper requests wrong beside connections that are shed for want of room, and readers that leave.
func TestFormsOfRequestsBesideShedConnections(t *testing.T) {
	const seed, clients, requests = 3, 12, 120
	s := New(Config{
		Name: "test", Handler: http.HandlerFunc(serveForm), Footprint: footprint.Limits{Bytes: 3 << 20, Conns: clients - 2},
		Limits: func() Limits { return Limits{HeadBytes: testLimits.HeadBytes} }, Log: zerolog.Nop(),
	})
	address, err := s.Listen("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	all := forms()
	names := formNames(all)
	var served atomic.Int64
	var running sync.WaitGroup
	for i := range uint64(clients) {
		running.Go(func() {
			h := &hurried{address: address, random: rand.New(rand.NewPCG(seed, i))}
			defer h.close()
			for id := 100; id < 100+requests; id++ {
				name := names[h.random.IntN(len(names))]
				f := all[name]
				answer := h.request(f, id)
				if answer == nil || answer.StatusCode == http.StatusServiceUnavailable || answer.StatusCode == http.StatusRequestTimeout {
					continue // It may be sent again.
				}
				served.Add(1)
				assert.Equal(t, f.status, answer.StatusCode, "%s of seed %d", name, seed)
				assert.True(t, f.path == "*" || answer.Header.Get("Id") == strconv.Itoa(id), "%s of seed %d", name, seed)
			}
		})
	}
	running.Wait()
	t.Log(served.Load(), "served", s.Ended())
	require.Positive(t, served.Load())
	require.Positive(t, s.Ended()[footprint.NoRoom]+s.Ended()[footprint.GaveWay], "nothing was shed")
	require.Zero(t, s.UnreadTotal())
}

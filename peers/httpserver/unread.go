package httpserver

import (
	"bytes"
	"crypto/tls"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"acaciacleat.example/core/footprint"
	"golang.org/x/time/rate"
)

const (
	// shownBytes bounds how much of a head that can't be read is logged.
	shownBytes = 64
	// longestAlert is the size of the longest record with an alert of TLS. Records with an answer are longer.
	longestAlert = 64
	// unreadLines bounds the log lines a second on requests that no handler has seen.
	unreadLines = 5
)

// unreadStatuses are the statuses that net/http gives by itself to what it can't read or doesn't support.
var unreadStatuses = [...]int{
	http.StatusBadRequest, http.StatusExpectationFailed, http.StatusRequestHeaderFieldsTooLarge,
	http.StatusNotImplemented, http.StatusHTTPVersionNotSupported,
}

// UnreadStatuses returns the statuses that Server.Unread counts by themselves, and 0 for all others.
func UnreadStatuses() []int { return append(unreadStatuses[:], 0) }

// unread counts and logs the requests that no handler has seen.
type unread struct {
	counts [len(unreadStatuses) + 1]atomic.Uint64
	lines  *rate.Limiter
}

func newUnread() unread { return unread{lines: rate.NewLimiter(unreadLines, unreadLines)} }

func unreadIndex(status int) int {
	for i, s := range unreadStatuses {
		if s == status {
			return i
		}
	}
	return len(unreadStatuses)
}

// Unread returns how many requests net/http has answered by itself with a status of UnreadStatuses, or would have if the
// connection had not been closed instead. Those over TLS, whose status can't be seen, are counted as others.
func (s *Server) Unread(status int) uint64 { return s.unread.counts[unreadIndex(status)].Load() }

// UnreadTotal returns how many requests net/http has answered by itself, whatever the status.
func (s *Server) UnreadTotal() uint64 {
	total := uint64(0)
	for i := range s.unread.counts {
		total += s.unread.counts[i].Load()
	}
	return total
}

// history tells of the requests of a connection. Only the goroutine that serves the connection uses it.
type history struct {
	// active is set while net/http has read bytes of a request and not finished its answer, handled while that is the
	// answer of a handler.
	active, handled bool
	// served is the number of requests that handlers were called for.
	served int
	// method, length, expects and status are those of the last one. The length of its body is -1 if it was in chunks, the
	// status 0 if none was set.
	method  string
	length  int64
	expects bool
	status  int
	// beginning is the first part of the head that is read, as received.
	beginning [shownBytes]byte
	shown     int
}

// began records that a handler is called for a request.
func (h *history) began(r *http.Request) {
	h.handled = true
	h.served++
	h.method, h.length, h.expects, h.status = r.Method, r.ContentLength, r.Header.Get("Expect") != "", 0
}

// received records bytes of a head.
func (h *history) received(p []byte) { h.shown += copy(h.beginning[h.shown:], p) }

// trackState follows which answers are those of handlers. It is the ConnState of net/http.
func trackState(raw net.Conn, state http.ConnState) {
	if secure, ok := raw.(*tls.Conn); ok {
		raw = secure.NetConn()
	}
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.history.active = true
	case http.StateIdle:
		c.history.active, c.history.handled = false, false
	}
}

// ownStatus returns the status of an answer that net/http gives by itself, of which p is the beginning; 0 if it can't be
// seen. ok is false for everything else that is written.
func (c *conn) ownStatus(p []byte) (status int, ok bool) {
	if c.history.handled {
		return 0, false
	}
	const version, digits = "HTTP/1.1 ", 3
	if c.secure && len(p) <= longestAlert {
		return 0, false
	}
	if len(p) < len(version)+digits || !bytes.HasPrefix(p, []byte("HTTP/1.")) {
		return 0, c.secure && c.history.active
	}
	status, err := strconv.Atoi(string(p[len(version) : len(version)+digits]))
	return status, err == nil && status >= http.StatusMultipleChoices
}

// countUnread counts and logs an answer that net/http gives by itself.
func (c *conn) countUnread(status int, answer []byte) {
	u := &c.server.unread
	u.counts[unreadIndex(status)].Add(1)
	if !u.lines.Allow() {
		return
	}
	event := c.server.config.Log.Warn().Str("listener", c.server.config.Name).Str("from", c.RemoteAddr().String()).
		Int("status", status).Stringer("phase", c.account.Phase()).
		Int("served", c.history.served).Int("head_bytes", c.headBytes).Bool("tls", c.secure)
	if !c.secure {
		reason, _, _ := bytes.Cut(answer, []byte("\r\n"))
		event = event.Str("answer", string(reason)).Str("head", describe(c.history.beginning[:c.history.shown]))
	}
	if c.history.served > 0 {
		event = event.Str("last_method", c.history.method).Int64("last_length", c.history.length).
			Bool("last_expects", c.history.expects).Int("last_status", c.history.status)
	}
	event.Msg("bytes on a connection could not be read as a request, or ask for what is not supported")
}

// logRefusedHead logs the refusal of a head that has not been read whole.
func (c *conn) logRefusedHead(reason footprint.Reason, limits Limits) {
	if reason != footprint.HeadTooLarge && reason != footprint.HeadTimeout || !c.server.unread.lines.Allow() {
		return
	}
	event := c.server.config.Log.Warn().Str("listener", c.server.config.Name).Str("from", c.RemoteAddr().String()).
		Stringer("reason", reason).Int("served", c.history.served).Int("head_bytes", c.headBytes).
		Int("limit_bytes", limits.HeadBytes).Dur("limit_ms", limits.HeadTimeout).Uint64("limits_version", limits.Version).Bool("tls", c.secure)
	if !c.secure {
		event = event.Str("head", describe(c.history.beginning[:c.history.shown]))
	}
	event.Msg("a head was refused before it was whole")
}

// describe returns the method and the path of a request's first line. Unless it begins with both, letters and digits
// are masked: they may be anything, such as a part of a key.
func describe(beginning []byte) string {
	line, _, _ := strings.Cut(string(beginning), "\n")
	method, rest, _ := strings.Cut(line, " ")
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions:
		if strings.HasPrefix(rest, "/") {
			path, _, _ := strings.Cut(rest, " ")
			path, _, _ = strings.Cut(path, "?")
			return strconv.QuoteToASCII(method + " " + path)
		}
	}
	return strconv.QuoteToASCII(string(bytes.Map(mask, beginning)))
}

// mask replaces letters and digits.
func mask(r rune) rune {
	switch {
	case r >= '0' && r <= '9':
		return '0'
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r > '~':
		return 'a'
	}
	return r
}

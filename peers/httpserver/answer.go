package httpserver

import (
	"fmt"
	"io"
	"net/http"

	"acaciacleat.example/core/footprint"
	"acaciacleat.example/core/result"
	"acaciacleat.example/peers/caller"
)

// writer is the ResponseWriter of a request. An answer to a request whose body has not been read closes the
// connection.
type writer struct {
	http.ResponseWriter
	conn      *conn
	wroteHead bool
}

// Unwrap lets http.ResponseController reach the writer of net/http.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *writer) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.beforeHead()
		w.conn.history.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *writer) Write(p []byte) (int, error) {
	w.beforeHead()
	return w.ResponseWriter.Write(p)
}

func (w *writer) beforeHead() {
	if w.wroteHead {
		return
	}
	w.wroteHead = true
	if _, shed := w.conn.wasShed(); shed || !w.conn.body.discard() {
		w.Header().Set("Connection", "close")
	}
}

// ReadFrom implements io.ReaderFrom with the buffers of net/http.
func (w *writer) ReadFrom(from io.Reader) (int64, error) {
	w.beforeHead()
	return io.Copy(w.ResponseWriter, from)
}

// refuse answers a request that is not served.
func (w *writer) refuse(reason footprint.Reason) {
	err := refusal(reason)
	header := w.Header()
	header.Set("Connection", "close")
	header.Set("Content-Type", "application/problem+json")
	caller.SetRetryAfter(header, err)
	w.WriteHeader(result.Lookup(err.Code).HTTPStatus)
	_, _ = w.Write(caller.ProblemJSON(err, "")) // The client may have disconnected.
}

// refusal returns the answer to a request that was not served for a reason.
func refusal(reason footprint.Reason) *result.Error {
	switch reason {
	case footprint.HeadTimeout, footprint.BodyTimeout:
		return result.New(result.RequestTimeout, result.NotRun, "")
	case footprint.HeadTooLarge:
		return result.New(result.HeadersTooLarge, result.NotRun, "")
	default:
		return result.New(result.EntryFull, result.NotRun, "")
	}
}

// refusalText returns a whole answer to a request whose head has not been read.
func refusalText(reason footprint.Reason) []byte {
	err := refusal(reason)
	status := result.Lookup(err.Code).HTTPStatus
	text := caller.ProblemJSON(err, "")
	header := make(http.Header)
	caller.SetRetryAfter(header, err)
	head := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Type: application/problem+json\r\nContent-Length: %d\r\n",
		status, http.StatusText(status), len(text))
	if after := header.Get(caller.HeaderRetryAfter); after != "" {
		head = fmt.Appendf(head, "%s: %s\r\n", caller.HeaderRetryAfter, after)
	}
	return append(append(head, "\r\n"...), text...)
}

// Join counts a request's connection among those of the organisation that it is from.
func Join(r *http.Request, organisation string) {
	if c := connOf(r); c != nil {
		c.server.ledger.Join(c.account, organisation)
	}
}

// Acquire charges a request with n more bytes until its end, such as those of an answer that the client
// has not yet taken. It returns false if there is no room for them.
func Acquire(r *http.Request, n int) bool {
	c := connOf(r)
	return c == nil || c.server.ledger.Acquire(c.server.now(), c.account, int64(n))
}

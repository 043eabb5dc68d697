package standins2

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// call is a request of a client.
type call struct {
	method, host, path, key string
	deadline                time.Duration
	body                    []byte
	// prompt and output are the token counts of a model's request.
	prompt, output int
}

// outcome is what a client sees of its request.
type outcome struct {
	id       string
	path     string
	deadline time.Duration
	sent     time.Time
	ended    time.Time
	status   int
	sealed   bool
	whole    bool
	retry    string
	text     string
	err      error
	gotBytes bool
}

var lastID atomic.Int64

// send sends a request over a new connection and reads its answer to the end.
func (c *run) send(front string, q call) outcome {
	transport := &http.Transport{DisableKeepAlives: false, DisableCompression: true}
	defer transport.CloseIdleConnections()
	return c.sendOver(transport, front, q)
}

// sendOver sends a request over a client's connections.
func (c *run) sendOver(transport *http.Transport, front string, q call) outcome {
	o := outcome{id: fmt.Sprintf("r%06d", lastID.Add(1)), path: q.path, deadline: q.deadline, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, q.method, "http://"+front+q.path, bytes.NewReader(q.body))
	if err != nil {
		c.fail("request: %v", err)
	}
	request.GetBody = nil
	request.Host = q.host
	request.Header.Set("Acaciacleat-Attempt-Id", o.id)
	request.Header.Set("Acaciacleat-Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	if q.key != "" {
		request.Header.Set("Api-Key", q.key)
	}
	if q.prompt > 0 {
		request.Header.Set("Acaciacleat-Model", "m")
		request.Header.Set("Acaciacleat-Token-Usage", fmt.Sprintf("%d,%d", q.prompt, q.output))
		request.Header.Set("Acaciacleat-Prefix-Hash", fmt.Sprintf("aa01:40,%x:%d", lastID.Load(), q.prompt-40))
	}
	answer, err := transport.RoundTrip(request)
	if err != nil {
		o.err = err
	} else {
		text, readErr := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		o.status, o.sealed, o.whole, o.err = answer.StatusCode, answer.Header.Get("Acaciacleat-Response-Seal") != "", readErr == nil, readErr
		o.retry, o.text, o.gotBytes = answer.Header.Get("Retry-After"), string(text), len(text) > 0
	}
	o.ended = time.Now()
	c.logf("client: %s %s %s key %q sent at %.3f: status %d, sealed %v, whole %v, after %d ms, Retry-After %q, error %v, %d bytes: %.80q", o.id, q.method, q.path, q.key,
		c.since(o.sent), o.status, o.sealed, o.whole, o.ended.Sub(o.sent).Milliseconds(), o.retry, o.err, len(o.text), o.text)
	return o
}

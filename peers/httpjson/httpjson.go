// Package httpjson is the HTTP client that the adapters of the platform's services share.
// It bounds each call's pauses and size, tells whether a failed call can have reached the service,
// and replaces its connections after a timeout.
package httpjson

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Defaults of Options.
const (
	DefaultTimeout        = 2 * time.Second
	DefaultLongest        = 30 * time.Second
	DefaultIdleConns      = 32
	DefaultMaxAnswerBytes = 64 << 20
)

const (
	dialTimeout      = time.Second
	idleConnTimeout  = 30 * time.Second
	contentType      = "Content-Type"
	jsonContentType  = "application/json"
	bytesContentType = "application/octet-stream"
)

// Options are the settings of a Client. A zero field means its default.
type Options struct {
	// Timeout bounds the time until a call's answer begins, and each pause in a transfer.
	Timeout time.Duration
	// Longest bounds each call as a whole. The caller's context may end it sooner.
	Longest time.Duration
	// IdleConns is the number of connections kept open between calls.
	IdleConns int
	// MaxAnswerBytes is the largest answer accepted.
	MaxAnswerBytes int64
}

func (o Options) withDefaults() Options {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Longest <= 0 {
		o.Longest = DefaultLongest
	}
	if o.IdleConns <= 0 {
		o.IdleConns = DefaultIdleConns
	}
	if o.MaxAnswerBytes <= 0 {
		o.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	return o
}

// Request is one call. At most one of JSON and Raw is set.
type Request struct {
	Method string
	Path   string
	Query  url.Values
	// JSON is encoded as the body; Raw is the body as it stands.
	JSON any
	Raw  []byte
	// Wait is how long the service may hold the answer back, in addition to the timeout.
	Wait time.Duration
	// Timeout, if not zero, goes before that of the options.
	Timeout time.Duration
}

// Client calls one service. It is safe for concurrent use.
type Client struct {
	base    string
	options Options
	pool    atomic.Pointer[http.Client]
}

// New returns a client of the service at baseURL, such as "http://10.0.0.7:8090/table".
func New(baseURL string, options Options) *Client {
	c := &Client{base: strings.TrimRight(baseURL, "/"), options: options.withDefaults()}
	c.pool.Store(c.newPool())
	return c
}

// newPool returns an HTTP client with no open connections. It follows no redirect,
// because a redirected commit would be sent to a second place, and it uses no proxy.
func (c *Client) newPool() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			TLSHandshakeTimeout: dialTimeout,
			MaxIdleConns:        c.options.IdleConns,
			MaxIdleConnsPerHost: c.options.IdleConns,
			IdleConnTimeout:     idleConnTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// CloseIdle closes the connections that no call is using.
func (c *Client) CloseIdle() { c.pool.Load().CloseIdleConnections() }

// Do makes one call and returns the body of a 2xx answer. Every error is a *Failure.
//
// Do sends a request once: the transport repeats by itself only requests whose method
// is GET, and others when no byte of them was written. For that reason no request
// carries an Idempotency-Key header, which would allow the transport to repeat a POST
// whose bytes had been sent. If the repeat then failed to dial, its error would read
// as "not sent" although the first copy may have been executed.
func (c *Client) Do(ctx context.Context, request Request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Longest)
	defer cancel()
	timeout := cmp.Or(request.Timeout, c.options.Timeout)
	ctx, progress := watch(ctx, request.Wait+timeout)
	defer progress.end()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	httpRequest, err := c.build(ctx, request, progress)
	if err != nil {
		return nil, &Failure{Err: err}
	}
	pool := c.pool.Load()
	body, status, err := c.exchange(pool, httpRequest, func() { progress.within(timeout) })
	if err != nil {
		if errors.Is(context.Cause(ctx), ErrStalled) {
			err = errors.WithMessage(ErrStalled, err.Error())
		}
		c.dropAfterTimeout(ctx, pool)
		return nil, &Failure{Sent: connected.Load(), Status: status, Err: err}
	}
	if status < 200 || status > 299 {
		return nil, statusFailure(status, body)
	}
	return body, nil
}

// DoJSON makes one call and decodes the answer into out.
func (c *Client) DoJSON(ctx context.Context, request Request, out any) error {
	body, err := c.Do(ctx, request)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, out); err != nil {
		return &Failure{Sent: true, Err: errors.Wrap(err, "decode answer")}
	}
	return nil
}

func (c *Client) build(ctx context.Context, request Request, progress *progress) (*http.Request, error) {
	target := c.base + request.Path
	if len(request.Query) > 0 {
		target += "?" + request.Query.Encode()
	}
	body := request.Raw
	kind := bytesContentType
	if request.JSON != nil {
		encoded, err := json.Marshal(request.JSON)
		if err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
		body, kind = encoded, jsonContentType
	}
	if body == nil {
		return http.NewRequestWithContext(ctx, request.Method, target, nil)
	}
	open := func() (io.ReadCloser, error) {
		return io.NopCloser(progressReader{bytes.NewReader(body), progress.passed}), nil
	}
	reader, _ := open()
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, target, reader)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	httpRequest.ContentLength, httpRequest.GetBody = int64(len(body)), open
	httpRequest.Header.Set(contentType, kind)
	return httpRequest, nil
}

// exchange returns an error unless the whole answer arrived. It calls passed for each part of the
// answer's body.
func (c *Client) exchange(pool *http.Client, request *http.Request, passed func()) (body []byte, status int, err error) {
	answer, err := pool.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer answer.Body.Close()
	reader := progressReader{answer.Body, passed}
	body, err = io.ReadAll(io.LimitReader(reader, c.options.MaxAnswerBytes+1))
	if err != nil {
		return nil, answer.StatusCode, errors.Wrapf(err, "read answer, %d bytes of %d had arrived", len(body), answer.ContentLength)
	}
	if int64(len(body)) > c.options.MaxAnswerBytes {
		return nil, answer.StatusCode, errors.Errorf("answer larger than %d bytes", c.options.MaxAnswerBytes)
	}
	return body, answer.StatusCode, nil
}

// dropAfterTimeout replaces the pool whose call ran out of time. Open connections can
// go silent for good while new ones work; each call over such a connection would end
// in a timeout, one connection of the pool after the other. Replacing the whole pool
// makes the next call dial anew. Calls that still run over the old pool finish there.
func (c *Client) dropAfterTimeout(ctx context.Context, pool *http.Client) {
	if !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return
	}
	if c.pool.CompareAndSwap(pool, c.newPool()) {
		pool.CloseIdleConnections()
	}
}

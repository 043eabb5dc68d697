package service

import (
	"bytes"
	"context"
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

// Defaults of HTTPOptions.
const (
	DefaultDialTimeout = time.Second
	DefaultHealthPath  = "/healthz"
	// DefaultHealthTimeout bounds a health check.
	DefaultHealthTimeout = 2 * time.Second
	// DefaultIdleTimeout and DefaultIdleConns suit the one agent beside a service.
	DefaultIdleTimeout = time.Minute
	DefaultIdleConns   = 8
)

// HTTPOptions tune an HTTP service client. Zero fields take the defaults.
type HTTPOptions struct {
	DialTimeout   time.Duration
	HealthTimeout time.Duration
	HealthPath    string
	// IdleTimeout is how long an unused connection is kept, and IdleConns how many are.
	IdleTimeout time.Duration
	IdleConns   int
	// Dial replaces the dialler in tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (o HTTPOptions) withDefaults() HTTPOptions {
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.HealthTimeout == 0 {
		o.HealthTimeout = DefaultHealthTimeout
	}
	if o.HealthPath == "" {
		o.HealthPath = DefaultHealthPath
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.IdleConns == 0 {
		o.IdleConns = DefaultIdleConns
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	return o
}

// HTTP is a Service behind HTTP/1.1.
//
// It never sends a call twice. net/http's transport does so by itself when a kept-alive
// connection breaks before the answer and the request looks idempotent: its method is
// GET, HEAD, OPTIONS or TRACE, or it has an Idempotency-Key or X-Idempotency-Key
// header. The service may have run the first copy: one would notice two runs of one
// call, and only sometimes. Ways weighed:
//
//   - A body that can't be rewound: the transport repeats only requests without a body or
//     with GetBody. It works on every connection, but an empty body of a POST must then be
//     sent chunked, which some services refuse.
//   - A fresh connection for each call: the transport repeats only on reused connections.
//     It costs a dial, and it also takes away a false doubt: a service that closes an idle
//     connection just as a call is written to it leaves open whether the call ran.
//   - Dropping the headers: callers' services need them, and a GET is repeated anyway.
//
// Calls other than GET and HEAD use a fresh connection; GET and HEAD keep the pool and
// get a body that can't be rewound, which the transport finds empty and leaves out.
// Redirects are handed back, as following one would be a second call.
type HTTP struct {
	base    string
	options HTTPOptions
	fresh   *http.Transport
	pooled  *http.Transport
}

var _ Service = (*HTTP)(nil)

// NewHTTP returns a client of the service at baseURL with default options.
func NewHTTP(baseURL string) *HTTP { return NewHTTPWith(baseURL, HTTPOptions{}) }

// NewHTTPWith returns a client of the service at baseURL.
func NewHTTPWith(baseURL string, options HTTPOptions) *HTTP {
	options = options.withDefaults()
	return &HTTP{
		base:    strings.TrimSuffix(baseURL, "/"),
		options: options,
		fresh:   &http.Transport{DialContext: options.Dial, DisableKeepAlives: true, DisableCompression: true},
		pooled: &http.Transport{
			DialContext:         options.Dial,
			DisableCompression:  true,
			IdleConnTimeout:     options.IdleTimeout,
			MaxIdleConnsPerHost: options.IdleConns,
		},
	}
}

// CloseIdle closes pooled connections that no call uses.
func (h *HTTP) CloseIdle() { h.pooled.CloseIdleConnections() }

// Do implements Service. An answer with any status, also an error or a redirect, is an
// answer. Body returns ErrOutcome when it breaks off. TimeLeft includes reading Body.
func (h *HTTP) Do(ctx context.Context, call Call) (*Answer, error) {
	if err := ctx.Err(); err != nil {
		return nil, failure(ErrNotSent, err)
	}
	if call.TimeLeft <= 0 {
		return nil, failure(ErrNotSent, context.DeadlineExceeded)
	}
	ctx, cancel := context.WithTimeout(ctx, call.TimeLeft)
	answer, err := h.do(ctx, call)
	if err != nil {
		cancel()
		return nil, err
	}
	answer.Body = &answerBody{ReadCloser: answer.Body, ctx: ctx, cancel: cancel}
	return answer, nil
}

func (h *HTTP) do(ctx context.Context, call Call) (*Answer, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r, err := h.request(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return nil, failure(ErrNotSent, err)
	}
	response, err := h.transport(call).RoundTrip(r)
	if err != nil {
		return nil, transportFailure(ctx, connected.Load(), err)
	}
	RemoveHopHeaders(response.Header)
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: response.Body}, nil
}

func (h *HTTP) transport(call Call) *http.Transport {
	if call.Reuse == ReuseAlways || call.Reuse == ReuseByMethod && isRead(call.Method) {
		return h.pooled
	}
	return h.fresh
}

func isRead(method string) bool { return method == http.MethodGet || method == http.MethodHead }

func (h *HTTP) request(ctx context.Context, call Call) (*http.Request, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return nil, errors.Errorf("path %q does not start with '/'", call.Path)
	}
	r, err := http.NewRequestWithContext(ctx, call.Method, h.base+call.Path, http.NoBody)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	r.Host = call.Host
	keepPath(r.URL, call.Path)
	if call.Header != nil {
		r.Header = call.Header.Clone()
	}
	RemoveHopHeaders(r.Header)
	if len(call.Body) > 0 || isRead(call.Method) && call.Reuse != ReuseNever {
		r.Body = onceBody{bytes.NewReader(call.Body)}
		r.ContentLength = int64(len(call.Body))
	}
	r.GetBody = nil
	return r, nil
}

// keepPath makes a path and query go out as they came. Decoding and encoding them again
// could change them, and the service would run another call than the caller's.
func keepPath(u *url.URL, path string) {
	if strings.HasPrefix(path, "//") {
		return // An opaque part that begins so would be taken for a host.
	}
	u.Opaque = path
	u.RawQuery = ""
	u.ForceQuery = false
}

// onceBody is a body that the transport can't rewind; see HTTP.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// transportFailure maps an error of the transport: before a connection was had, no byte
// was sent; after it the service may have run the call.
func transportFailure(ctx context.Context, connected bool, err error) error {
	if cause := ctx.Err(); cause != nil {
		err = cause
	}
	if connected {
		return failure(ErrOutcome, err)
	}
	return failure(ErrNotSent, err)
}

// Healthy implements Service.
func (h *HTTP) Healthy(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, h.options.HealthTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, h.base+h.options.HealthPath, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	response, err := h.pooled.RoundTrip(r)
	if err != nil {
		return errors.Wrap(err, "health check")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("health check: status %d", response.StatusCode)
	}
	return nil
}

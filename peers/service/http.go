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

	"acaciacleat.example/peers/framing"
	"github.com/pkg/errors"
)

// Defaults of HTTPOptions.
const (
	DefaultDialTimeout = time.Second
	DefaultHealthPath  = "/healthz"
	// DefaultHealthTimeout limits a health check.
	DefaultHealthTimeout = 2 * time.Second
	// DefaultIdleTimeout and DefaultIdleConns suit the single agent beside a service.
	DefaultIdleTimeout = time.Minute
	DefaultIdleConns   = 8
)

// HTTPOptions are the options of an HTTP service client. Zero fields take the defaults.
type HTTPOptions struct {
	DialTimeout   time.Duration
	HealthTimeout time.Duration
	HealthPath    string
	// IdleTimeout limits the time for which an unused connection is kept, and IdleConns the
	// number of unused connections.
	IdleTimeout time.Duration
	IdleConns   int
	// Dial replaces the dialer in tests.
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

// HTTP is a client of a service over HTTP/1.1.
//
// It never sends a call twice unless the call may be repeated. net/http's transport resends
// a request when a kept-alive connection breaks before the answer and the request looks
// idempotent: its method is GET, HEAD, OPTIONS or TRACE, or it has an Idempotency-Key or
// X-Idempotency-Key header. As the service may have run the first copy, a call could then
// run twice. The client prevents the resend by one of two means, which Call.Reuse and the
// method select:
//
//   - A body that can't be rewound: the transport resends only requests without a body or
//     with GetBody. This works on every connection, but the empty body of a POST must then
//     be sent chunked, which some services refuse.
//   - A new connection for each call: the transport resends only on reused connections.
//     This costs a dial, but also avoids unknown outcomes: when a service closes an idle
//     connection while a call is written to it, it is unknown whether the call ran.
//
// Removing the headers would not help: the services need them, and a GET is resent anyway.
//
// Calls other than GET and HEAD use a new connection by default. GET and HEAD use pooled
// connections and a body that can't be rewound, which the transport omits if it is empty.
// Only a call with ReuseAlways and an empty body, which may be repeated, can be resent.
// Redirects are returned to the caller, as following one would be a second call.
type HTTP struct {
	base     string
	options  HTTPOptions
	unpooled *http.Transport
	pooled   *http.Transport
}

var _ Service = (*HTTP)(nil)

// NewHTTP returns a client of the service at baseURL with default options.
func NewHTTP(baseURL string) *HTTP { return NewHTTPWith(baseURL, HTTPOptions{}) }

// NewHTTPWith returns a client of the service at baseURL.
func NewHTTPWith(baseURL string, options HTTPOptions) *HTTP {
	options = options.withDefaults()
	dial := framing.Dial(options.Dial)
	return &HTTP{
		base:    strings.TrimSuffix(baseURL, "/"),
		options: options,
		unpooled: &http.Transport{
			DialContext:            dial,
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: framing.MaxHeadBytes,
		},
		pooled: &http.Transport{
			DialContext:            dial,
			DisableCompression:     true,
			IdleConnTimeout:        options.IdleTimeout,
			MaxIdleConnsPerHost:    options.IdleConns,
			MaxResponseHeaderBytes: framing.MaxHeadBytes,
		},
	}
}

// CloseIdle closes the idle pooled connections.
func (h *HTTP) CloseIdle() { h.pooled.CloseIdleConnections() }

// Do implements Service. It returns answers of any status, errors and redirects included,
// without an error. Reading Body returns ErrOutcomeUnknown when the answer breaks off. TimeLeft
// includes the time to read Body.
func (h *HTTP) Do(ctx context.Context, call Call) (*Answer, error) {
	if err := ctx.Err(); err != nil {
		return nil, newFailure(ErrNotSent, err)
	}
	if call.TimeLeft <= 0 {
		return nil, newFailure(ErrNotSent, context.DeadlineExceeded)
	}
	ctx, cancel := context.WithTimeout(ctx, call.TimeLeft)
	answer, used, err := h.do(ctx, call)
	if err != nil {
		cancel()
		return nil, err
	}
	answer.Body = &answerBody{ReadCloser: answer.Body, answer: answer, used: used, ctx: ctx, cancel: cancel}
	return answer, nil
}

// do makes a call and returns the head of its answer with the connection over which it arrives.
func (h *HTTP) do(ctx context.Context, call Call) (*Answer, net.Conn, error) {
	var used atomic.Pointer[net.Conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used.Store(&info.Conn)
		framing.GotConn(info, call.Method)
	}}
	r, err := h.request(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return nil, nil, newFailure(ErrNotSent, err)
	}
	response, err := h.transport(call).RoundTrip(r)
	if err != nil {
		return nil, nil, transportFailure(ctx, used.Load(), err)
	}
	RemoveHopByHopHeaders(response.Header)
	return &Answer{
		Status:  response.StatusCode,
		Header:  response.Header,
		Body:    response.Body,
		Framing: framing.Of(response),
		Events:  isEventStream(response, call),
	}, *used.Load(), nil
}

func (h *HTTP) transport(call Call) *http.Transport {
	if call.Reuse == ReuseAlways || call.Reuse == ReuseByMethod && isReadMethod(call.Method) {
		return h.pooled
	}
	return h.unpooled
}

func isReadMethod(method string) bool { return method == http.MethodGet || method == http.MethodHead }

func (h *HTTP) request(ctx context.Context, call Call) (*http.Request, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return nil, errors.Errorf("path %q does not start with '/'", call.Path)
	}
	r, err := http.NewRequestWithContext(ctx, call.Method, h.base+call.Path, http.NoBody)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	r.Host = call.Host
	setRawPath(r.URL, call.Path)
	if call.Header != nil {
		r.Header = call.Header
	}
	RemoveHopByHopHeaders(r.Header)
	if len(call.Body) > 0 || isReadMethod(call.Method) && call.Reuse != ReuseNever {
		r.Body = nonRewindableBody{bytes.NewReader(call.Body)}
		r.ContentLength = int64(len(call.Body))
	}
	r.GetBody = nil
	return r, nil
}

// setRawPath sends the path and query exactly as received. Decoding and encoding them again
// could change them, and the service would run another call than the caller's.
func setRawPath(u *url.URL, path string) {
	if strings.HasPrefix(path, "//") {
		return // net/http would take such an opaque part for a host.
	}
	u.Opaque = path
	u.RawQuery = ""
	u.ForceQuery = false
}

// nonRewindableBody is a body that the transport can't rewind and resend; see HTTP.
type nonRewindableBody struct{ io.Reader }

// Close implements io.Closer.
func (nonRewindableBody) Close() error { return nil }

// transportFailure classifies an error of the transport: without a connection no byte was
// sent; with one the service may have run the call.
func transportFailure(ctx context.Context, used *net.Conn, err error) error {
	if cause := ctx.Err(); cause != nil {
		err = cause
	}
	if used != nil {
		return newFailure(ErrOutcomeUnknown, framing.Explain(*used, err))
	}
	return newFailure(ErrNotSent, err)
}

// Healthy implements Service.
func (h *HTTP) Healthy(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, h.options.HealthTimeout)
	defer cancel()
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { framing.GotConn(info, http.MethodGet) }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodGet, h.base+h.options.HealthPath, nil)
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

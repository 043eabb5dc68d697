// Package httpjson is the HTTP client shared by the adapters of the platform's services. It
// limits the time without transferred bytes and the answer size of each call, reports whether a
// failed call may have reached the service, and replaces its connections after a timeout.
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

	"acaciacleat.example/peers/framing"
	"github.com/pkg/errors"
)

// Defaults of Options.
const (
	DefaultTimeout        = 2 * time.Second
	DefaultMaxDuration    = 30 * time.Second
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

// Options are the options of a Client. Zero fields take the defaults.
type Options struct {
	// Timeout limits the time until a call's answer begins, and the time without transferred bytes.
	Timeout time.Duration
	// MaxDuration limits the duration of each call. The caller's context may end it earlier.
	MaxDuration time.Duration
	// IdleConns is the number of connections kept open between calls.
	IdleConns int
	// MaxAnswerBytes is the maximum size of an answer.
	MaxAnswerBytes int64
}

func (o Options) withDefaults() Options {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.MaxDuration <= 0 {
		o.MaxDuration = DefaultMaxDuration
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
	// JSON is marshalled to form the body; Raw is sent as the body unchanged.
	JSON any
	Raw  []byte
	// Wait is added to the timeout for the start of the answer, for calls that the service
	// may hold open, such as long polls.
	Wait time.Duration
	// Timeout, if not zero, overrides that of the options.
	Timeout time.Duration
}

// Client calls one service. It is safe for concurrent use.
type Client struct {
	base       string
	options    Options
	httpClient atomic.Pointer[http.Client]
}

// New returns a client of the service at baseURL, such as "http://10.0.0.7:8090/table".
func New(baseURL string, options Options) *Client {
	c := &Client{base: strings.TrimRight(baseURL, "/"), options: options.withDefaults()}
	c.httpClient.Store(c.newHTTPClient())
	return c
}

// newHTTPClient returns an HTTP client with no open connections. It follows no redirects,
// because a redirected commit would be sent to a second server, and it uses no proxy.
func (c *Client) newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            framing.Dial(dialer.DialContext),
			TLSHandshakeTimeout:    dialTimeout,
			MaxIdleConns:           c.options.IdleConns,
			MaxIdleConnsPerHost:    c.options.IdleConns,
			IdleConnTimeout:        idleConnTimeout,
			MaxResponseHeaderBytes: framing.MaxHeadBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() { c.httpClient.Load().CloseIdleConnections() }

// Do makes one call and returns the body of a 2xx answer. Every error is a *Failure.
//
// Do sends a request once. The transport may resend a GET; it resends any other request only
// if no byte of it was written. No request has an Idempotency-Key header, with which the
// transport would also resend a POST whose bytes had been sent, and the service could execute
// it twice. If the dial for a resend fails, its error alone would suggest that nothing was
// sent. Failure.Sent is therefore true once the call has had any connection.
func (c *Client) Do(ctx context.Context, request Request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.MaxDuration)
	defer cancel()
	timeout := cmp.Or(request.Timeout, c.options.Timeout)
	ctx, progress := withProgressTimer(ctx, request.Wait+timeout)
	defer progress.stop()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connected.Store(true)
			framing.GotConn(info, request.Method)
		},
	})
	httpRequest, err := c.build(ctx, request, progress)
	if err != nil {
		return nil, &Failure{Err: err}
	}
	httpClient := c.httpClient.Load()
	// Request.Wait applies only until the first bytes of the answer's body arrive.
	body, status, err := c.exchange(httpClient, httpRequest, func() { progress.setTimeout(timeout) })
	if err != nil {
		if errors.Is(context.Cause(ctx), ErrStalled) {
			err = errors.WithMessage(ErrStalled, err.Error())
		}
		c.replaceHTTPClientAfterTimeout(ctx, httpClient)
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

func (c *Client) build(ctx context.Context, request Request, progress *progressTimer) (*http.Request, error) {
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
		return io.NopCloser(progressReader{bytes.NewReader(body), progress.reset}), nil
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

// exchange sends the request and returns an error unless the whole answer arrived. It calls
// onRead whenever bytes of the answer's body arrive.
func (c *Client) exchange(httpClient *http.Client, request *http.Request, onRead func()) (body []byte, status int, err error) {
	answer, err := httpClient.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer answer.Body.Close()
	reader := progressReader{answer.Body, onRead}
	body, err = io.ReadAll(io.LimitReader(reader, c.options.MaxAnswerBytes+1))
	if err != nil {
		return nil, answer.StatusCode, errors.Wrapf(err, "read answer, %d bytes of %d had arrived", len(body), answer.ContentLength)
	}
	if int64(len(body)) > c.options.MaxAnswerBytes {
		return nil, answer.StatusCode, errors.Errorf("answer larger than %d bytes", c.options.MaxAnswerBytes)
	}
	return body, answer.StatusCode, nil
}

// replaceHTTPClientAfterTimeout replaces the HTTP client, and with it the pool of
// connections, if the call whose context is ctx timed out. Open connections can stop
// delivering bytes for good while new ones work, and a call would have to time out on each
// of them. With a new pool the next call dials. Calls in progress finish on the old pool.
func (c *Client) replaceHTTPClientAfterTimeout(ctx context.Context, httpClient *http.Client) {
	if !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return
	}
	if c.httpClient.CompareAndSwap(httpClient, c.newHTTPClient()) {
		httpClient.CloseIdleConnections()
	}
}

package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"acaciacleat.example/core/call"
	"github.com/pkg/errors"
)

// Defaults of HTTPOptions. The idle time-out is several times an engine's keep-alive interval.
const (
	DefaultDialTimeout = time.Second
	DefaultIdleTimeout = 5 * time.Second
	DefaultCallTimeout = 5 * time.Second
	// DefaultCancelTimeout is short, as it comes on top of a request's time.
	DefaultCancelTimeout = time.Second
)

// maxControlBody bounds an answer to a control call, in bytes.
const maxControlBody = 256 << 20

// HTTPOptions tune an HTTP engine client. Zero fields take the defaults.
type HTTPOptions struct {
	DialTimeout time.Duration
	// IdleTimeout is how long a generation's connection may bring no byte, keep-alive
	// comments included, before it counts as silent.
	IdleTimeout time.Duration
	// CallTimeout bounds each control call but orders and KV transfers.
	CallTimeout time.Duration
	// CancelTimeout bounds the cancel by which a stream or a doubtful Generate ends.
	CancelTimeout time.Duration
	// Dial replaces the dialler in tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (o HTTPOptions) withDefaults() HTTPOptions {
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.CancelTimeout == 0 {
		o.CancelTimeout = DefaultCancelTimeout
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	return o
}

// HTTP is an Engine behind the HTTP interface.
//
// Generations use a fresh connection each, control calls share pooled ones. A pooled
// connection may have died since its last use; a generation written to it would fail
// in doubt (ErrBroken), where a fresh dial to a dead engine fails with proof
// (ErrNotStarted). A dial on the same VM costs far less than one step of an engine.
// A control call that times out takes its pooled connection with it: net/http closes
// an HTTP/1 connection whose call was cancelled, so the next call dials anew.
type HTTP struct {
	base    string
	options HTTPOptions
	fresh   *http.Transport
	pooled  *http.Transport
}

var _ Engine = (*HTTP)(nil)

// NewHTTP returns a client of the engine at baseURL with default options.
func NewHTTP(baseURL string) *HTTP { return NewHTTPWith(baseURL, HTTPOptions{}) }

// NewHTTPWith returns a client of the engine at baseURL.
func NewHTTPWith(baseURL string, options HTTPOptions) *HTTP {
	options = options.withDefaults()
	return &HTTP{
		base:    strings.TrimSuffix(baseURL, "/"),
		options: options,
		fresh:   &http.Transport{DialContext: options.Dial, DisableKeepAlives: true, DisableCompression: true},
		pooled:  &http.Transport{DialContext: options.Dial, DisableCompression: true, IdleConnTimeout: time.Minute},
	}
}

// CloseIdle closes pooled connections that no call uses.
func (h *HTTP) CloseIdle() { h.pooled.CloseIdleConnections() }

// Generate implements Engine. The stream ends with an error that wraps both ErrBroken and
// context.DeadlineExceeded when request.TimeLeft passes.
func (h *HTTP) Generate(ctx context.Context, request Generate) (Stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, failure(ErrNotStarted, err)
	}
	if request.TimeLeft <= 0 {
		return nil, failure(ErrNotStarted, context.DeadlineExceeded)
	}
	body, err := newBody(request)
	if err != nil {
		return nil, failure(ErrRejected, err)
	}
	run, cancel := context.WithCancelCause(ctx)
	run, stopDeadline := context.WithTimeout(run, request.TimeLeft)
	s := &stream{engine: h, id: request.ID, ctx: run, stopDeadline: stopDeadline, cancel: cancel}
	s.watch(h.options.IdleTimeout)
	if err := s.open(request, body); err != nil {
		s.release()
		return nil, err
	}
	return s, nil
}

func (h *HTTP) newGenerate(ctx context.Context, request Generate, body *body) (*http.Request, error) {
	path := PathCompletions
	if request.Chat {
		path = PathChat
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, h.base+path, body.reader())
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport can't rewind the body, so it can't send it twice.
	r.GetBody = nil
	r.ContentLength = body.length()
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Accept", "text/event-stream")
	r.Header.Set(HeaderRequestID, request.ID.String())
	r.Header.Set(HeaderPriority, strconv.Itoa(request.Priority))
	r.Header.Set(HeaderTimeLeft, strconv.FormatInt(max(1, request.TimeLeft.Milliseconds()), 10))
	if len(request.Group) > 0 {
		r.Header.Set(HeaderGroup, strings.Join(request.Group, ","))
	}
	if request.TraceParent != "" {
		r.Header.Set(HeaderTraceParent, request.TraceParent)
	}
	return r, nil
}

// withConnMark returns a context that sets the mark once a connection has been had. Until
// then no byte was sent, which proves that the engine did not take the request.
func withConnMark(ctx context.Context) (context.Context, *atomic.Bool) {
	had := new(atomic.Bool)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { had.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), had
}

// Cancel implements Engine.
func (h *HTTP) Cancel(ctx context.Context, id call.ID) error {
	return h.cancelRun(ctx, id, "", h.options.CallTimeout)
}

func (h *HTTP) cancelRun(ctx context.Context, id call.ID, run string, timeout time.Duration) error {
	path := PathRequests + id.String()
	if run != "" {
		path += "?run=" + url.QueryEscape(run)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return h.control(ctx, http.MethodDelete, path, nil, nil)
}

// Reserve implements Engine. The same id again renews the reservation.
func (h *HTTP) Reserve(ctx context.Context, id call.ID, tokens int64, ttl time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, h.options.CallTimeout)
	defer cancel()
	body := ReserveBody{ID: id.String(), Tokens: tokens, TTLMs: ttl.Milliseconds()}
	return h.controlJSON(ctx, PathReservations, body)
}

// Report implements Engine.
func (h *HTTP) Report(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, h.options.CallTimeout)
	defer cancel()
	var report Report
	err := h.control(ctx, http.MethodGet, PathReport, nil, &report)
	return report, err
}

// CacheEvents implements Engine.
func (h *HTTP) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	ctx, cancel := context.WithTimeout(ctx, h.options.CallTimeout)
	defer cancel()
	var events []CacheEvent
	path := PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	err := h.control(ctx, http.MethodGet, path, nil, &events)
	return events, err
}

// Order implements Engine. It returns when the order is carried out, bounded only by ctx.
func (h *HTTP) Order(ctx context.Context, order Order) error {
	return h.controlJSON(ctx, PathOrders, order)
}

// ExportKV implements Engine.
func (h *HTTP) ExportKV(ctx context.Context, block uint64) ([]byte, error) {
	var data []byte
	path := PathExport + "?block=" + strconv.FormatUint(block, 10)
	err := h.control(ctx, http.MethodPost, path, nil, &data)
	return data, err
}

// ImportKV implements Engine.
func (h *HTTP) ImportKV(ctx context.Context, data []byte) error {
	return h.control(ctx, http.MethodPost, PathImport, data, nil)
}

func (h *HTTP) controlJSON(ctx context.Context, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.WithStack(err)
	}
	return h.control(ctx, http.MethodPost, path, data, nil)
}

// control makes one control call. Every control call is idempotent, so it is marked as
// such with a nil Idempotency-Key, which net/http does not send: the transport may then
// repeat it when the engine had just closed the pooled connection.
func (h *HTTP) control(ctx context.Context, method, path string, body []byte, into any) error {
	ctx, had := withConnMark(ctx)
	r, err := http.NewRequestWithContext(ctx, method, h.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	r.Header["Idempotency-Key"] = nil
	response, err := h.pooled.RoundTrip(r)
	if err != nil {
		return transportFailure(had.Load(), err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return refusal(response)
	}
	return readAnswer(response.Body, into)
}

func readAnswer(body io.Reader, into any) error {
	data, err := io.ReadAll(io.LimitReader(body, maxControlBody))
	if err != nil {
		return failure(ErrBroken, err)
	}
	switch into := into.(type) {
	case nil:
		return nil
	case *[]byte:
		*into = data
		return nil
	default:
		if err := json.Unmarshal(data, into); err != nil {
			return failure(ErrBroken, err)
		}
		return nil
	}
}

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
	"acaciacleat.example/peers/framing"
	"github.com/pkg/errors"
)

// Defaults of HTTPOptions. The idle timeout is several times an engine's keep-alive interval.
const (
	DefaultDialTimeout = time.Second
	DefaultIdleTimeout = 5 * time.Second
	DefaultCallTimeout = 5 * time.Second
	// DefaultCancelTimeout is short, as it adds to the duration of a request.
	DefaultCancelTimeout = time.Second
)

// maxControlBodyBytes limits the answer to a control call, which is any call except Generate.
const maxControlBodyBytes = 256 << 20

// HTTPOptions are the options of an HTTP engine client. Zero fields take the defaults.
type HTTPOptions struct {
	DialTimeout time.Duration
	// IdleTimeout ends a generation whose connection delivers no byte for this time;
	// keep-alive comments count as bytes.
	IdleTimeout time.Duration
	// CallTimeout limits each control call (any call except Generate) other than orders and KV
	// transfers.
	CallTimeout time.Duration
	// CancelTimeout limits the cancel call at the end of a stream, or of a Generate whose
	// outcome is unknown.
	CancelTimeout time.Duration
	// Dial replaces the dialer in tests.
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

// HTTP is a client of an engine's HTTP interface.
//
// Each generation uses a new connection; control calls share pooled connections. A pooled
// connection may have broken since its last use, and a generation sent over it would fail
// with an unknown outcome (ErrBroken). A new dial to a dead engine fails with ErrNotStarted,
// after which a retry is safe. A dial on the same VM costs far less than one engine step.
// net/http closes an HTTP/1 connection whose call was cancelled, so a control call that
// times out removes its connection from the pool and the next call dials again.
type HTTP struct {
	base     string
	options  HTTPOptions
	unpooled *http.Transport
	pooled   *http.Transport
}

var _ Engine = (*HTTP)(nil)

// NewHTTP returns a client of the engine at baseURL with default options.
func NewHTTP(baseURL string) *HTTP { return NewHTTPWith(baseURL, HTTPOptions{}) }

// NewHTTPWith returns a client of the engine at baseURL.
func NewHTTPWith(baseURL string, options HTTPOptions) *HTTP {
	options = options.withDefaults()
	dial := framing.Dial(options.Dial)
	return &HTTP{
		base:     strings.TrimSuffix(baseURL, "/"),
		options:  options,
		unpooled: &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: framing.MaxHeadBytes},
		pooled:   &http.Transport{DialContext: dial, DisableCompression: true, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: framing.MaxHeadBytes},
	}
}

// CloseIdle closes the idle pooled connections.
func (h *HTTP) CloseIdle() { h.pooled.CloseIdleConnections() }

// Generate implements Engine. When request.TimeLeft passes, the stream ends with an error
// that wraps both ErrBroken and context.DeadlineExceeded.
func (h *HTTP) Generate(ctx context.Context, request Generate) (Stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, newFailure(ErrNotStarted, err)
	}
	if request.TimeLeft <= 0 {
		return nil, newFailure(ErrNotStarted, context.DeadlineExceeded)
	}
	body, err := newBody(request)
	if err != nil {
		return nil, newFailure(ErrRejected, err)
	}
	streamCtx, cancel := context.WithCancelCause(ctx)
	streamCtx, stopDeadline := context.WithTimeout(streamCtx, request.TimeLeft)
	s := &stream{engine: h, id: request.ID, ctx: streamCtx, stopDeadline: stopDeadline, cancel: cancel}
	s.startIdleTimer(h.options.IdleTimeout)
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
	// Without GetBody the transport can't rewind the body and so can't send it twice.
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

// traceConnection returns a context for a request with a method, and a flag that is set once the request
// gets a connection. While the flag is not set no byte was sent, so the engine can't have
// accepted the request.
func traceConnection(ctx context.Context, method string) (context.Context, *atomic.Bool) {
	connected := new(atomic.Bool)
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected.Store(true)
		framing.GotConn(info, method)
	}}
	return httptrace.WithClientTrace(ctx, trace), connected
}

// Cancel implements Engine.
func (h *HTTP) Cancel(ctx context.Context, id call.ID) error {
	return h.cancelRun(ctx, id, "", h.options.CallTimeout)
}

// cancelRun cancels a run of a request, or all its runs if run is empty.
func (h *HTTP) cancelRun(ctx context.Context, id call.ID, run string, timeout time.Duration) error {
	path := PathRequests + id.String()
	if run != "" {
		path += "?run=" + url.QueryEscape(run)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return h.control(ctx, http.MethodDelete, path, nil, nil)
}

// Reserve implements Engine. A call with the same id renews the reservation.
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

// Order implements Engine. It returns when the engine has executed the order; only ctx
// limits the time.
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

// control makes one control call. Every control call is idempotent, so the transport may resend
// it if the engine had just closed the pooled connection. The nil Idempotency-Key tells the
// transport so; net/http does not send a nil header.
func (h *HTTP) control(ctx context.Context, method, path string, body []byte, into any) error {
	ctx, connected := traceConnection(ctx, method)
	r, err := http.NewRequestWithContext(ctx, method, h.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	r.Header["Idempotency-Key"] = nil
	response, err := h.pooled.RoundTrip(r)
	if err != nil {
		return transportFailure(connected.Load(), err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return refusalError(response)
	}
	if _, raw := into.(*[]byte); raw && framing.Of(response) == framing.Close {
		return newFailure(ErrBroken, errors.New("the answer has neither a length nor chunks, so a part of it would look whole"))
	}
	return readAnswer(response.Body, maxControlBodyBytes, into)
}

// readAnswer reads an answer of at most limit bytes. A longer one is an error: a part of it, such as a part
// of a KV cache, must not be taken for the whole.
func readAnswer(body io.Reader, limit int64, into any) error {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return newFailure(ErrBroken, err)
	}
	if int64(len(data)) > limit {
		return newFailure(ErrBroken, errors.Errorf("the answer has more than %d bytes", limit))
	}
	switch into := into.(type) {
	case nil:
		return nil
	case *[]byte:
		*into = data
		return nil
	default:
		if err := json.Unmarshal(data, into); err != nil {
			return newFailure(ErrBroken, err)
		}
		return nil
	}
}

// Package process runs one entry: links, the view of the fleet, documents, and the
// HTTP servers for callers and operators.
package process

import (
	"context"
	"crypto/tls"
	stdlog "log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/document"
	"acaciacleat.example/entry/fleet"
	"acaciacleat.example/entry/flight"
	"acaciacleat.example/entry/front"
	"acaciacleat.example/entry/inforce"
	"acaciacleat.example/entry/operator"
	"acaciacleat.example/entry/record"
	"acaciacleat.example/peers/documents"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/table"
	"acaciacleat.example/peers/vmlist"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Config configures an entry.
type Config struct {
	VM          string
	Zone        string
	Incarnation call.Incarnation
	// Listen and OperatorListen are the HTTP addresses, LinkListen that for links.
	Listen         string
	OperatorListen string
	LinkListen     string
	Keys           *link.Keys
	Table          table.Store
	Documents      *documents.Store
	VMs            vmlist.Lister
	// CallerTLS and OperatorTLS are nil for addresses served in clear.
	CallerTLS   *tls.Config
	OperatorTLS *tls.Config
	// ReadyOff is how long a drain answers "not ready" before callers are refused.
	ReadyOff time.Duration
	Policies fleet.PolicyFactory
	Limits   front.Limits
	Timing   link.Timing
	Log      zerolog.Logger
}

const (
	// listEvery is how often the list of VMs is read.
	listEvery = time.Second
	// recordSize is the number of requests kept for explanations.
	recordSize = 4096
	// headerBytes bounds a request's headers.
	headerBytes = 64 << 10
	// headerTimeout bounds the time in which a caller sends its headers.
	headerTimeout = 10 * time.Second
)

// Entry is a running entry.
type Entry struct {
	Front    *front.Front
	View     *fleet.View
	Registry *flight.Registry
	// Documents keeps the service documents in force here.
	Documents *inforce.Keeper

	readyOff time.Duration
	draining atomic.Bool

	node      *link.Node
	callers   *http.Server
	operators *http.Server
	addr      string
	opAddr    string
	stop      context.CancelFunc
	log       zerolog.Logger
}

// Start runs an entry until Stop.
func Start(config Config) (*Entry, error) {
	registry := flight.NewRegistry()
	node, err := link.Start(link.Config{
		Listen: config.LinkListen,
		Self: link.Identity{
			VM:          config.VM,
			Role:        "entry",
			Zone:        config.Zone,
			Incarnation: config.Incarnation,
		},
		Keys:    config.Keys,
		Handler: registry,
		Loops:   2,
		Timing:  config.Timing,
	})
	if err != nil {
		return nil, err
	}
	log := config.Log.With().Str("vm", config.VM).Logger()
	view := fleet.New(node, config.Policies, log)
	registry.SetView(view)
	records := record.NewRing(recordSize)
	e := &Entry{
		readyOff: config.ReadyOff,
		View:     view,
		Registry: registry,
		node:     node,
		log:      log,
		Front: front.New(front.Config{
			Zone:     config.Zone,
			Registry: registry,
			Store:    config.Table,
			Records:  records,
			Limits:   config.Limits,
			Log:      log,
		}),
	}
	e.Documents = inforce.New(config.Documents, e.putInForce, log)
	handler := operator.New(operator.Config{
		Front:   e.Front,
		View:    view,
		Records: records,
		Ready:   e.Ready,
		Store:   config.Documents,
		InForce: e.Documents,
		Log:     log,
	})
	if err := e.listen(config, handler); err != nil {
		node.Close()
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	go view.Watch(ctx, config.VMs, listEvery)
	go e.Documents.Watch(ctx)
	return e, nil
}

func (e *Entry) listen(config Config, operators http.Handler) error {
	callers, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return errors.Wrapf(err, "listen for callers on %s", config.Listen)
	}
	admin, err := net.Listen("tcp", config.OperatorListen)
	if err != nil {
		callers.Close()
		return errors.Wrapf(err, "listen for operators on %s", config.OperatorListen)
	}
	e.addr = callers.Addr().String()
	e.opAddr = admin.Addr().String()
	e.callers = e.newServer(e.Front, config.CallerTLS)
	e.operators = e.newServer(operators, config.OperatorTLS)
	go e.serve(e.callers, callers)
	go e.serve(e.operators, admin)
	return nil
}

func (e *Entry) newServer(handler http.Handler, secure *tls.Config) *http.Server {
	return &http.Server{
		Handler:           handler,
		TLSConfig:         secure,
		ErrorLog:          stdlog.New(e.log, "", 0),
		MaxHeaderBytes:    headerBytes,
		ReadHeaderTimeout: headerTimeout,
	}
}

func (e *Entry) serve(server *http.Server, listener net.Listener) {
	var err error
	if server.TLSConfig != nil {
		err = server.ServeTLS(listener, "", "")
	} else {
		err = server.Serve(listener)
	}
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		e.log.Error().Err(err).Msg("HTTP server ended")
	}
}

// Addr returns the address for callers.
func (e *Entry) Addr() string { return e.addr }

// OperatorAddr returns the address for operators.
func (e *Entry) OperatorAddr() string { return e.opAddr }

// LinkAddr returns the address for links.
func (e *Entry) LinkAddr() string { return e.node.Addr() }

// putInForce takes a revision of the documents.
func (e *Entry) putInForce(snapshot *document.Snapshot) {
	first := e.Front.Snapshot() == nil
	e.Front.SetSnapshot(snapshot)
	if first {
		e.Front.SetReady(true)
	}
}

// Ready reports whether the balancer should send new requests here.
func (e *Entry) Ready() bool { return e.Front.Ready() && !e.draining.Load() }

// Drain stops gracefully. It first answers "not ready" to the balancer while it still
// takes requests: a process that refused at once would fail all requests that come until
// the balancer has looked. Then it takes no more and waits for those in flight until ctx
// ends. Answers that go out meanwhile close their connections, so that no caller keeps
// one on which its next request would meet the end of the process.
func (e *Entry) Drain(ctx context.Context) {
	e.draining.Store(true)
	e.callers.SetKeepAlivesEnabled(false)
	wait(ctx, e.readyOff)
	e.Front.SetReady(false)
	if err := e.callers.Shutdown(ctx); err != nil {
		e.log.Warn().Err(err).Msg("requests were in flight when the time to stop ran out")
	}
	e.Stop()
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Stop ends the entry at once.
func (e *Entry) Stop() {
	e.stop()
	_ = e.callers.Close()
	_ = e.operators.Close()
	e.node.Close()
}

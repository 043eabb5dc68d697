// Package process runs one entry: links, the view of the fleet, documents, and the
// HTTP servers for callers and operators.
package process

import (
	"context"
	"net"
	"net/http"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/entry/fleet"
	"acaciacleat.example/entry/flight"
	"acaciacleat.example/entry/front"
	"acaciacleat.example/entry/operator"
	"acaciacleat.example/entry/record"
	"acaciacleat.example/peers/collector"
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
	Policies       fleet.PolicyFactory
	Limits         front.Limits
	Timing         link.Timing
	// Tracer makes the spans of this entry; nil makes none.
	Tracer *collector.Tracer
	Log    zerolog.Logger
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
	registry := flight.NewRegistry(config.Tracer)
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
			Tracer:   config.Tracer,
			Log:      log,
		}),
	}
	handler := operator.New(operator.Config{
		Front:     e.Front,
		View:      view,
		Records:   records,
		Documents: config.Documents,
		Log:       log,
	})
	if err := e.listen(config, handler); err != nil {
		node.Close()
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	go view.Watch(ctx, config.VMs, listEvery)
	go e.watchDocuments(ctx, config.Documents)
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
	e.callers = newServer(e.Front)
	e.operators = newServer(operators)
	go e.serve(e.callers, callers)
	go e.serve(e.operators, admin)
	return nil
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    headerBytes,
		ReadHeaderTimeout: headerTimeout,
	}
}

func (e *Entry) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		e.log.Error().Err(err).Msg("HTTP server ended")
	}
}

// Addr returns the address for callers.
func (e *Entry) Addr() string { return e.addr }

// OperatorAddr returns the address for operators.
func (e *Entry) OperatorAddr() string { return e.opAddr }

// LinkAddr returns the address for links.
func (e *Entry) LinkAddr() string { return e.node.Addr() }

// documentsEvery is how often the store is asked for newer revisions.
const documentsEvery = time.Second

// watchDocuments keeps the documents in force up to date.
func (e *Entry) watchDocuments(ctx context.Context, store *documents.Store) {
	state := documents.Empty()
	ticker := time.NewTicker(documentsEvery)
	defer ticker.Stop()
	for {
		next, err := store.Advance(ctx, state)
		if err != nil {
			e.log.Warn().Err(err).Msg("documents could not be read; the last revision stands")
		} else if e.Front.Snapshot() == nil || next.Revision() > state.Revision() {
			state = next
			e.Front.SetSnapshot(next.Snapshot)
			e.Front.SetReady(true)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Drain stops gracefully: not ready, then waits for the requests in flight until ctx ends.
func (e *Entry) Drain(ctx context.Context) {
	e.Front.SetReady(false)
	_ = e.callers.Shutdown(ctx)
	e.Stop()
}

// Stop ends the entry at once.
func (e *Entry) Stop() {
	e.stop()
	_ = e.callers.Close()
	_ = e.operators.Close()
	e.node.Close()
}

// Package process runs one entry: links, the view of the fleet, documents, and the
// HTTP servers for callers and operators.
package process

import (
	"context"
	"crypto/tls"
	stdlog "log"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/document"
	"acaciacleat.example/core/limits"
	corequarantine "acaciacleat.example/core/quarantine"
	"acaciacleat.example/core/spread"
	entryconfig "acaciacleat.example/entry/config"
	"acaciacleat.example/entry/fleet"
	"acaciacleat.example/entry/flight"
	"acaciacleat.example/entry/front"
	"acaciacleat.example/entry/operator"
	"acaciacleat.example/entry/placement"
	"acaciacleat.example/entry/quarantine"
	"acaciacleat.example/entry/quota"
	"acaciacleat.example/entry/record"
	"acaciacleat.example/entry/sweep"
	"acaciacleat.example/peers/collector"
	"acaciacleat.example/peers/documents"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/pause"
	"acaciacleat.example/peers/table"
	"acaciacleat.example/peers/vmlist"
	"acaciacleat.example/peers/weights"
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
	// Weights is the weight store. Without it this entry takes no part in placement.
	Weights weights.Store
	// Placement are the times and rates of placement; zero means the defaults.
	Placement placement.Settings
	// Quarantine says when requests are held back under which upstreams crash; zero means the
	// defaults.
	Quarantine corequarantine.Settings
	Policies   fleet.PolicyFactory
	Limits     front.Limits
	Timing     link.Timing
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
	// Config keeps the service documents in force here.
	Config *entryconfig.Manager
	Quota  *quota.Enforcer
	// Placement is nil without a weight store.
	Placement *placement.Manager
	// Quarantine holds back requests under which upstreams crash.
	Quarantine *quarantine.Keeper

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
	log := config.Log.With().Str("vm", config.VM).Logger()
	registry := flight.NewRegistry(config.Tracer)
	view := fleet.New(config.VM, config.Policies, log)
	e := &Entry{View: view, Registry: registry, readyOff: config.ReadyOff, log: log}
	manager := config.manager(e, log)
	e.Config = manager
	e.Quota = config.quota(e)
	e.Placement = config.placement(e, log)
	e.Quarantine = config.quarantine(log)
	registry.SetQuarantine(e.Quarantine)
	registry.SetView(view)
	registry.SetOther(e.onMessage)
	registry.SetHeard(manager.Heard)
	node, err := config.startLinks(registry)
	if err != nil {
		return nil, err
	}
	e.node = node
	view.SetDialer(node)
	records := record.NewRing(recordSize)
	e.Front = front.New(front.Config{
		Zone:     config.Zone,
		Registry: registry,
		Current:  func() bool { return manager.Ready() && e.Quarantine.Ready() },
		Store:    config.Table,
		Records:  records,
		Limits:   config.Limits,
		Quota:    e.Quota,
		Tracer:   config.Tracer,
		Log:      log,
	})
	e.Front.SetReady(true)
	handler := operator.New(operator.Config{
		Front:     e.Front,
		View:      view,
		Records:   records,
		Ready:     e.Ready,
		Store:     config.Documents,
		InForce:   manager,
		Quota:     e.Quota,
		Placement: e.Placement,
		Log:       log,
	})
	if err := e.listen(config, handler); err != nil {
		node.Close()
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	go view.Watch(ctx, config.VMs, listEvery)
	go manager.Run(ctx)
	go e.Quota.Run(ctx)
	go e.Quarantine.Run(ctx)
	go config.sweeper(e, log).Run(ctx)
	if e.Placement != nil {
		go e.Placement.Run(ctx)
	}
	return e, nil
}

const (
	// quarantineTable has the requests that are held back, and quarantineEvery is how often it is
	// read: all entries together use a fiftieth of the table's reads for it.
	quarantineTable = "quarantine"
	quarantineEvery = 10 * time.Second
)

func (c *Config) quarantine(log zerolog.Logger) *quarantine.Keeper {
	held := c.Quarantine
	if held == (corequarantine.Settings{}) {
		held = corequarantine.DefaultSettings
	}
	return quarantine.New(quarantine.Config{
		VM: c.VM, Settings: held, Store: quarantine.TableStore{Table: c.Table}, Table: quarantineTable,
		RereadInterval: quarantineEvery, MayHaveUnlinkedEntries: func() bool { return false }, Log: log,
	})
}

func (c *Config) startLinks(handler link.Handler) (*link.Node, error) {
	return link.Start(link.Config{
		Listen: c.LinkListen,
		Self: link.Identity{
			VM:          c.VM,
			Role:        "entry",
			Zone:        c.Zone,
			Incarnation: c.Incarnation,
		},
		Keys:    c.Keys,
		Handler: handler,
		Loops:   2,
		Timing:  c.Timing,
	})
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
	e.callers = e.newServer(e.closingWhenDraining(e.Front), config.CallerTLS)
	e.operators = e.newServer(operators, config.OperatorTLS)
	go e.serve(e.callers, callers)
	go e.serve(e.operators, admin)
	return nil
}

// closingWhenDraining makes each answer that goes out during a drain close its connection.
//
// What goes wrong with http.Server's own SetKeepAlivesEnabled(false): it closes idle
// connections at once, and a request that is on its way on one fails with EOF, which a
// client may not repeat by itself. Seen once in four runs of TestRollingRestart.
func (e *Entry) closingWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
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

// manager returns the keeper of the documents of an entry.
func (c *Config) manager(e *Entry, log zerolog.Logger) *entryconfig.Manager {
	return entryconfig.New(entryconfig.Config{
		Self:  spread.Member{ID: spread.NodeID(c.VM), Zone: c.Zone},
		Store: c.Documents,
		View:  e.View,
		Apply: func(state *documents.State) { e.Front.SetSnapshot(state.Snapshot) },
		Log:   log,
	})
}

// placement returns this entry's part in placing models, or nil without a weight store.
func (c *Config) placement(e *Entry, log zerolog.Logger) *placement.Manager {
	if c.Weights == nil {
		return nil
	}
	settings := c.Placement
	if settings == (placement.Settings{}) {
		settings = placement.DefaultSettings()
	}
	return placement.New(placement.Config{
		VM:       c.VM,
		Life:     strconv.FormatUint(uint64(c.Incarnation), 16),
		Table:    c.Table,
		Weights:  c.Weights,
		Fleet:    e.View,
		Snapshot: e.snapshot,
		Settings: settings,
		Log:      log,
	})
}

// snapshot returns the documents in force, or nil.
func (e *Entry) snapshot() *document.Snapshot {
	if state := e.Config.State(); state != nil {
		return state.Snapshot
	}
	return nil
}

// quota returns the keeper of the organisations' limits.
func (c *Config) quota(e *Entry) *quota.Enforcer {
	return quota.New(quota.Config{
		Self:    c.VM,
		Entries: e.View.Entries,
		Connect: func(ctx context.Context, vm, addr string) (quota.Link, error) { return e.View.Connect(ctx, vm, addr) },
		Limits:  e.limitsOf,
	})
}

// sweeper returns what deletes the old rows of keyed calls.
func (c *Config) sweeper(e *Entry, log zerolog.Logger) *sweep.Sweeper {
	return sweep.New(sweep.Config{
		Self:     c.VM,
		Store:    c.Table,
		Services: e.services,
		Entries:  func() []string { return e.entries(c.VM) },
		Token:    documents.NewToken,
		Log:      log,
	})
}

// services returns the names of the services in the documents in force.
func (e *Entry) services() []string {
	var all []string
	if snapshot := e.snapshot(); snapshot != nil {
		snapshot.Services(func(service *document.Service) { all = append(all, service.Name) })
	}
	return all
}

// entries returns the VMs of the live entries, this one included.
func (e *Entry) entries(self string) []string {
	all := []string{self}
	for _, entry := range e.View.Entries() {
		all = append(all, entry.ID)
	}
	return all
}

// limitsOf returns an organisation's limits in the documents in force. One that is not in
// them has none: the entry that asks has admitted it by documents of its own.
func (e *Entry) limitsOf(key limits.Key) *document.Limits {
	if snapshot := e.snapshot(); snapshot != nil {
		if row := snapshot.Row(key.Service, key.Organisation); row != nil {
			return &row.Limits
		}
	}
	return &document.Limits{}
}

// onMessage takes the messages that do not concern requests.
func (e *Entry) onMessage(c *link.Conn, message link.Message) {
	if e.Quota.OnMessage(c.Peer().VM, c, message) {
		return
	}
	if e.Placement != nil && e.Placement.OnMessage(message) {
		return
	}
	e.Config.OnMessage(c, message)
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
	pause.For(ctx, e.readyOff)
	if err := e.callers.Shutdown(ctx); err != nil {
		e.log.Warn().Err(err).Msg("requests were in flight when the time to stop ran out")
	}
	e.Stop()
}

// Stop ends the entry at once.
func (e *Entry) Stop() {
	e.stop()
	_ = e.callers.Close()
	_ = e.operators.Close()
	e.node.Close()
}

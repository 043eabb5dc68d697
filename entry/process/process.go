// Package process runs one entry: its links, the view of the fleet, the documents, and the
// HTTP servers for callers and operators.
package process

import (
	"context"
	"crypto/tls"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/document"
	"acaciacleat.example/core/footprint"
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
	"acaciacleat.example/entry/settings"
	"acaciacleat.example/entry/sweep"
	"acaciacleat.example/peers/collector"
	"acaciacleat.example/peers/documents"
	"acaciacleat.example/peers/httpserver"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/pause"
	"acaciacleat.example/peers/table"
	"acaciacleat.example/peers/vmlist"
	"acaciacleat.example/peers/weights"
	"github.com/rs/zerolog"
)

// Config configures an entry.
type Config struct {
	VM          string
	Zone        string
	Incarnation call.Incarnation
	// Listen and OperatorListen are the HTTP addresses; LinkListen is the address for links.
	Listen         string
	OperatorListen string
	LinkListen     string
	Keys           *link.Keys
	Table          table.Store
	Documents      *documents.Store
	VMs            vmlist.Lister
	// CallerTLS and OperatorTLS are nil for addresses without TLS.
	CallerTLS   *tls.Config
	OperatorTLS *tls.Config
	// ReadyOff is how long a drain reports "not ready" before callers are refused.
	ReadyOff time.Duration
	// Weights is the weight store. If it is nil, this entry takes no part in placement.
	Weights weights.Store
	// Placement are the intervals and rates of placement; zero means the defaults.
	Placement placement.Settings
	// Quarantine sets when requests that crash upstreams are held back; zero means the defaults.
	Quarantine corequarantine.Settings
	Policies   fleet.PolicyFactory
	Limits     front.Limits
	// Footprint and OperatorFootprint bound what callers and operators hold; zero means the default settings' bounds.
	Footprint         footprint.Limits
	OperatorFootprint footprint.Limits
	Timing            link.Timing
	// Tracer creates the spans of this entry; if nil, there are none.
	Tracer *collector.Tracer
	Log    zerolog.Logger
}

const (
	// vmListInterval is the time between two reads of the list of VMs.
	vmListInterval = time.Second
	// maxRecords bounds the requests kept for explanations.
	maxRecords = 4096
)

// Entry is a running entry.
type Entry struct {
	Front    *front.Front
	View     *fleet.View
	Registry *flight.Registry
	// Config manages the service documents in force here.
	Config *entryconfig.Manager
	Quota  *quota.Enforcer
	// Placement is nil without a weight store.
	Placement *placement.Manager
	// Quarantine holds back requests that crash upstreams.
	Quarantine *quarantine.Keeper

	readyOff time.Duration
	draining atomic.Bool

	node      *link.Node
	callers   *httpserver.Server
	operators *httpserver.Server
	addr      string
	opAddr    string
	stop      context.CancelFunc
	log       zerolog.Logger
}

// Start starts an entry, which runs until Stop.
func Start(config Config) (*Entry, error) {
	log := config.Log.With().Str("vm", config.VM).Logger()
	registry := flight.NewRegistry(config.Tracer)
	view := fleet.New(config.VM, config.Policies, log)
	e := &Entry{View: view, Registry: registry, readyOff: config.ReadyOff, log: log}
	manager := config.newManager(e, log)
	e.Config = manager
	e.Quota = config.newQuota(e)
	e.Placement = config.newPlacement(e, log)
	e.Quarantine = config.newQuarantine(log)
	registry.SetQuarantine(e.Quarantine)
	registry.SetView(view)
	registry.SetOtherHandler(e.onMessage)
	registry.SetRevisionObserver(manager.ObserveRevision)
	node, err := config.startLinks(registry)
	if err != nil {
		return nil, err
	}
	e.node = node
	view.SetDialer(node)
	records := record.NewRing(maxRecords)
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
		Documents: manager,
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
	go view.Watch(ctx, config.VMs, vmListInterval)
	go manager.Run(ctx)
	go e.Quota.Run(ctx)
	go e.Quarantine.Run(ctx)
	go config.newSweeper(e, log).Run(ctx)
	if e.Placement != nil {
		go e.Placement.Run(ctx)
	}
	return e, nil
}

const (
	// quarantineTable is the table of the requests that are held back.
	quarantineTable = "quarantine"
	// quarantineRereadInterval is the time between two reads of quarantineTable. All entries
	// together use a fiftieth of the table's reads for them.
	quarantineRereadInterval = 10 * time.Second
)

func (c *Config) newQuarantine(log zerolog.Logger) *quarantine.Keeper {
	settings := c.Quarantine
	if settings == (corequarantine.Settings{}) {
		settings = corequarantine.DefaultSettings
	}
	return quarantine.New(quarantine.Config{
		VM: c.VM, Settings: settings, Store: quarantine.TableStore{Table: c.Table}, Table: quarantineTable,
		RereadInterval: quarantineRereadInterval, MayHaveUnlinkedEntries: func() bool { return false }, Log: log,
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

func (e *Entry) listen(config Config, operators http.Handler) (err error) {
	if config.Footprint == (footprint.Limits{}) {
		config.Footprint = settings.Default().Limits.Footprint()
	}
	if config.OperatorFootprint == (footprint.Limits{}) {
		config.OperatorFootprint = settings.Default().Limits.OperatorFootprint()
	}
	e.callers = httpserver.New(httpserver.Config{
		Name: "callers", Handler: e.closeWhenDraining(e.Front), TLS: config.CallerTLS, Footprint: config.Footprint, Log: e.log,
	})
	e.operators = httpserver.New(httpserver.Config{
		Name: "operators", Handler: operators, TLS: config.OperatorTLS, Footprint: config.OperatorFootprint, Log: e.log,
	})
	if e.addr, err = e.callers.Listen(config.Listen); err != nil {
		return err
	}
	if e.opAddr, err = e.operators.Listen(config.OperatorListen); err != nil {
		_ = e.callers.Close() // It serves nobody yet.
	}
	return err
}

// closeWhenDraining makes each answer that is sent during a drain close its connection.
// http.Server.SetKeepAlivesEnabled(false) is no alternative: it closes idle connections at
// once, so that a request that is being sent on one fails with EOF, which a client may not
// retry by itself.
func (e *Entry) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Addr returns the address for callers.
func (e *Entry) Addr() string { return e.addr }

// OperatorAddr returns the address for operators.
func (e *Entry) OperatorAddr() string { return e.opAddr }

// LinkAddr returns the address for links.
func (e *Entry) LinkAddr() string { return e.node.Addr() }

// newManager returns the manager of the documents of an entry.
func (c *Config) newManager(e *Entry, log zerolog.Logger) *entryconfig.Manager {
	return entryconfig.New(entryconfig.Config{
		Self:  spread.Member{ID: spread.NodeID(c.VM), Zone: c.Zone},
		Store: c.Documents,
		View:  e.View,
		Apply: func(state *documents.State) { e.Front.SetSnapshot(state.Snapshot) },
		Log:   log,
	})
}

// newPlacement returns the placement manager, or nil without a weight store.
func (c *Config) newPlacement(e *Entry, log zerolog.Logger) *placement.Manager {
	if c.Weights == nil {
		return nil
	}
	settings := c.Placement
	if settings == (placement.Settings{}) {
		settings = placement.DefaultSettings()
	}
	return placement.New(placement.Config{
		VM:          c.VM,
		Incarnation: strconv.FormatUint(uint64(c.Incarnation), 16),
		Table:       c.Table,
		Weights:     c.Weights,
		Fleet:       e.View,
		Snapshot:    e.snapshot,
		Settings:    settings,
		Log:         log,
	})
}

// snapshot returns the documents in force, or nil.
func (e *Entry) snapshot() *document.Snapshot {
	if state := e.Config.State(); state != nil {
		return state.Snapshot
	}
	return nil
}

// newQuota returns the enforcer of the organisations' limits.
func (c *Config) newQuota(e *Entry) *quota.Enforcer {
	return quota.New(quota.Config{
		Self:    c.VM,
		Entries: e.View.Entries,
		Connect: func(ctx context.Context, vm, addr string) (quota.Link, error) { return e.View.Connect(ctx, vm, addr) },
		Limits:  e.limitsOf,
	})
}

// newSweeper returns the sweeper, which deletes the expired rows of keyed calls.
func (c *Config) newSweeper(e *Entry, log zerolog.Logger) *sweep.Sweeper {
	return sweep.New(sweep.Config{
		Self:     c.VM,
		Store:    c.Table,
		Services: e.serviceNames,
		Entries:  func() []string { return e.liveEntries(c.VM) },
		Token:    documents.NewToken,
		Log:      log,
	})
}

// serviceNames returns the names of the services in the documents in force.
func (e *Entry) serviceNames() []string {
	var all []string
	if snapshot := e.snapshot(); snapshot != nil {
		snapshot.Services(func(service *document.Service) { all = append(all, service.Name) })
	}
	return all
}

// liveEntries returns the VMs of the live entries, this one included.
func (e *Entry) liveEntries(self string) []string {
	all := []string{self}
	for _, entry := range e.View.Entries() {
		all = append(all, entry.ID)
	}
	return all
}

// limitsOf returns an organisation's limits in the documents in force. An organisation that is
// not in them has no limits here, because the requesting entry has checked it against its own
// documents.
func (e *Entry) limitsOf(key limits.Key) *document.Limits {
	if snapshot := e.snapshot(); snapshot != nil {
		if organisation := snapshot.OrganisationIn(key.Service, key.Organisation); organisation != nil {
			return &organisation.Limits
		}
	}
	return &document.Limits{}
}

// onMessage handles the messages that do not concern requests.
func (e *Entry) onMessage(c *link.Conn, message link.Message) {
	if e.Quota.OnMessage(c.Peer().VM, c, message) {
		return
	}
	if e.Placement != nil && e.Placement.OnMessage(message) {
		return
	}
	e.Config.OnMessage(c, message)
}

// Ready reports whether the load balancer should send new requests here.
func (e *Entry) Ready() bool { return e.Front.Ready() && !e.draining.Load() }

// Drain stops the entry gracefully. It first reports "not ready" to the load balancer while it
// still accepts requests; if it refused them at once, all requests that arrive before the load
// balancer's next check would fail. Then it accepts no more requests and waits for those
// in flight until ctx ends. Answers during the drain close their connections, so that no
// caller sends its next request on a connection that ends with the process.
func (e *Entry) Drain(ctx context.Context) {
	e.draining.Store(true)
	pause.For(ctx, e.readyOff)
	e.Front.SetReady(false) // What comes now could be cut off at the end of ctx; its caller can go to another entry.
	if err := e.callers.Drain(ctx); err != nil {
		e.log.Warn().Err(err).Msg("requests were in flight when the time to stop ran out")
	}
	e.Stop()
}

// Stop stops the entry immediately.
func (e *Entry) Stop() {
	e.stop()
	_ = e.callers.Close()
	_ = e.operators.Close()
	e.node.Close()
}

// Package node runs a gateway as a process: its listeners, what it follows, and its stop.
package node

import (
	"context"
	stdlog "log"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/evidence"
	"acaciacleat.example/core/follow"
	"acaciacleat.example/entry/directory"
	"acaciacleat.example/entry/gateway"
	"acaciacleat.example/entry/quarantine"
	"acaciacleat.example/entry/settings"
	"acaciacleat.example/entry/share"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/pause"
	shared "acaciacleat.example/peers/settings"
	"acaciacleat.example/peers/table"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Peer is what a node needs of a platform.
type Peer struct {
	Source  directory.Source
	Dialect gateway.Dialect
	// Reserver may be nil where no upstream is an engine.
	Reserver gateway.Reserver
	// Store and Tables are what entries find each other by; without a Store there are no
	// links between them.
	Store  table.Feed
	Tables share.Tables
	// Quarantine is the table of requests that are held back.
	Quarantine string
}

const (
	// headerTimeout bounds the time in which a caller sends a request's headers, and
	// headerBytes their size; callers stay well within both.
	headerTimeout = 10 * time.Second
	headerBytes   = 64 << 10
	// idleTimeout is longer than callers keep an idle connection for reuse (12 s), so that
	// the end of one never meets a request on its way.
	idleTimeout = 30 * time.Second
	// forgetEvery is how often work is looked over whose end nobody has told.
	forgetEvery = 500 * time.Millisecond
	// stopReserve is left of a stop's time for the process to end by itself.
	stopReserve = 150 * time.Millisecond
	// memoryShare is the part of the memory bound at which garbage is collected harder.
	memoryShare = 0.7
)

// Node is a running gateway.
type Node struct {
	Gateway *gateway.Gateway
	Fleet   *dispatch.Fleet
	Keeper  *directory.Keeper
	Peers   *share.Peers
	// Quarantine holds back requests under which upstreams crash.
	Quarantine *quarantine.Keeper

	running sync.WaitGroup
	drain   settings.GatewayDrain
	callers *http.Server
	ready   *http.Server
	metrics *http.Server
	addrs   addresses
	stop    context.CancelFunc
	log     zerolog.Logger
}

type addresses struct{ callers, ready, metrics string }

// Start runs a gateway until Drain or Stop.
func Start(s *settings.Gateway, peer Peer, log zerolog.Logger) (*Node, error) {
	log = log.With().Str("vm", s.VM.ID).Logger()
	if s.Limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(s.Limits.MemoryMb * memoryShare * (1 << 20)))
	}
	debug.SetGCPercent(collectorPercent)
	incarnation := link.NewIncarnation()
	fleet := dispatch.NewFleet(dispatch.Settings{
		Rule:   dispatch.Rule(s.Routing.Rule),
		Zone:   s.VM.Zone,
		Origin: uint64(incarnation),
	})
	budgets := gateway.NewBudgets(gateway.Allowance(s.Retries), assumedEntries)
	n := &Node{Fleet: fleet, drain: s.Drain, log: log}
	n.Quarantine = quarantine.New(quarantine.Config{
		VM:       s.VM.ID,
		Settings: s.Quarantine.Ledger(),
		Store:    peer.Store,
		Table:    peer.Quarantine,
		Unlinked: func() bool { return n.Peers.Unlinked() && n.Peers.Role() != follow.Listener },
		Log:      log,
	})
	n.Peers = share.New(share.Config{
		Self:    link.Identity{VM: s.VM.ID, Role: "entry", Zone: s.VM.Zone, Incarnation: incarnation},
		Listen:  s.Link.Listen,
		Store:   peer.Store,
		Tables:  peer.Tables,
		Fleet:   fleet,
		Routes:  n.routes,
		Offer:   func(value []byte) bool { return n.Keeper.Offer(value) },
		Heard:   func(vm string, news *link.News) { n.Keeper.Heard(vm, news) },
		Gone:    func(vm string) { n.Keeper.Gone(vm) },
		Entries: budgets.SetEntries,
		Log:     log,

		Quarantine: n.Quarantine,
	})
	clients, metrics := gateway.NewClients(), gateway.NewMetrics()
	crashes := gateway.NewCrashes(clients, fleet, metrics, n.Quarantine, log)
	n.Keeper = directory.New(directory.Config{
		Source:    peer.Source,
		Wait:      shared.Milliseconds(s.Store.WaitMs),
		Upstreams: gateway.Upstreams{Fleet: fleet, Clients: clients, Crashes: crashes, Log: log},
		Changed:   n.Peers.TellRoutes,
		Role:      n.Peers.Role,
		Tell:      n.Peers.TellNews,
		Log:       log,
	})
	n.Gateway = gateway.New(gateway.Config{
		Directory:    n.Keeper,
		Fleet:        fleet,
		Dialect:      peer.Dialect,
		Reserver:     peer.Reserver,
		Clients:      clients,
		Budgets:      budgets,
		Quarantine:   n.Quarantine,
		Crashes:      crashes,
		Metrics:      metrics,
		MaxBodyBytes: int64(s.Limits.BodyBytes),
		Log:          log,
	})
	n.gauges(metrics)
	if err := n.listen(s, metrics); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	go n.Keeper.Run(ctx)
	go n.forget(ctx)
	if peer.Store != nil {
		n.running.Go(func() { n.Peers.Run(ctx) })
		n.running.Go(func() { n.Quarantine.Run(ctx) })
	}
	// Written at every level: with port 0 nothing else tells where the gateway listens.
	log.Log().Str("callers", n.addrs.callers).Str("ready", n.addrs.ready).Str("metrics", n.addrs.metrics).
		Str("rule", s.Routing.Rule).Msg("gateway started")
	return n, nil
}

// gauges adds what the node knows at the moment to its metrics.
func (n *Node) gauges(metrics *gateway.Metrics) {
	metrics.Gauge("acaciacleat_routes_version", "Version of the routes in force; 0 for none.", func() float64 {
		_, version := n.routes()
		return float64(version)
	})
	metrics.Gauge("acaciacleat_routes_behind_seconds", "For how long a version of the routes that another entry has announced is not in force; 0 if none is missing.", func() float64 {
		return n.Peers.Behind().Seconds()
	})
	metrics.Counter("acaciacleat_routes_asked_total", "Parts of routes that other entries were asked for.", "by", "entry", func() float64 { return float64(n.Peers.RoutesAsked()) })
	metrics.Counter("acaciacleat_routes_sent_bytes_total", "Bytes of routes sent to other entries.", "by", "entry", func() float64 { return float64(n.Peers.RoutesSent()) })
	for _, feed := range []link.Feed{link.FeedRoutes, link.FeedUpstreams} {
		metrics.Counter("acaciacleat_feed_reads_failed_total", "Reads of the store's feeds that have failed.", "feed", feed.String(),
			func() float64 { return float64(n.Keeper.ReadsFailed(feed)) })
	}
	metrics.Gauge("acaciacleat_linked_entries", "Entries to which there is a link.", func() float64 {
		return float64(n.Peers.Linked())
	})
	metrics.Gauge("acaciacleat_feeds_heard", "Feeds of the store that other entries read for this one; 0 to 2.", func() float64 {
		return float64(n.Keeper.Listening())
	})
	metrics.Gauge("acaciacleat_work_outstanding", "Placed requests of all entries whose end is not known yet.", func() float64 {
		return float64(n.Fleet.Outstanding())
	})
	metrics.Gauge("acaciacleat_prompts_waiting", "Long prompts of all entries that wait for engines.", func() float64 {
		return float64(n.Fleet.Waiting())
	})
	metrics.Gauge("acaciacleat_upstreams_left_out", "Upstreams that are left out for what this entry or others have seen.", func() float64 {
		return float64(n.Fleet.LeftOut(time.Now()))
	})
	metrics.Gauge("acaciacleat_requests_held_back", "Requests, by their content, that are held back because upstreams crash under them.", func() float64 {
		held, _ := n.Quarantine.Counts()
		return float64(held)
	})
	metrics.Gauge("acaciacleat_requests_suspected", "Requests, by their content, that were in hand at upstreams that crashed and were not answered since.", func() float64 {
		_, suspected := n.Quarantine.Counts()
		return float64(suspected)
	})
	metrics.Counter("acaciacleat_quarantine_reports_dropped_total", "Reports of other entries on requests that were not taken up, by reason.",
		"reason", "malformed", func() float64 { return float64(n.Quarantine.Dropped()) })
	for _, why := range evidence.Reasons() {
		metrics.Counter("acaciacleat_reports_dropped_total", "Reports of other entries on upstreams that were not taken up, by reason.",
			"reason", why.String(), func() float64 { return float64(n.Fleet.DroppedReports(why)) })
	}
}

// collectorPercent is how far the heap grows between two collections. An entry's live heap is
// a few megabytes: with Go's own 100 the peak memory of a day was 29 MB at 60 requests a second,
// with 25 it is 22 MB, and the processor time the same (0.0109 of a core).
const collectorPercent = 25

// assumedEntries splits the retry budget while the other entries are not known.
const assumedEntries = 6

// routes returns the encoded routes in force with their version.
func (n *Node) routes() ([]byte, uint64) {
	if table := n.Keeper.Table(); table != nil {
		return n.Keeper.Value(), table.Version()
	}
	return nil, 0
}

func (n *Node) listen(s *settings.Gateway, metrics *gateway.Metrics) (err error) {
	n.callers = n.server(n.Gateway)
	if n.addrs.callers, err = n.serve("callers", n.callers, s.Callers.Listen); err != nil {
		return err
	}
	n.ready = n.server(http.HandlerFunc(n.readyz))
	if n.addrs.ready, err = n.serve("ready", n.ready, s.Ready.Listen); err != nil {
		return err
	}
	n.metrics = n.server(metrics.Handler())
	n.addrs.metrics, err = n.serve("metrics", n.metrics, s.Metrics.Listen)
	return err
}

func (n *Node) server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ErrorLog:          stdlog.New(n.log, "", 0),
		MaxHeaderBytes:    headerBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// The probes of callers' connections: a caller behind a cut is given up after about five
// seconds of silence.
var callerKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

func (n *Node) serve(name string, server *http.Server, address string) (string, error) {
	config := net.ListenConfig{KeepAliveConfig: callerKeepAlive}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return "", errors.Wrapf(err, "listen for %s on %s", name, address)
	}
	go func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			n.log.Error().Err(err).Str("listener", name).Msg("HTTP server ended")
		}
	}()
	return listener.Addr().String(), nil
}

func (n *Node) readyz(w http.ResponseWriter, _ *http.Request) {
	if !n.Gateway.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// forget ends work of which nobody tells the end.
func (n *Node) forget(ctx context.Context) {
	ticker := time.NewTicker(forgetEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.Fleet.Forget(now)
			n.logVerdicts(now)
		}
	}
}

// logVerdicts tells which upstreams were left out or taken back, and why.
func (n *Node) logVerdicts(now time.Time) {
	for _, v := range n.Fleet.Verdicts() {
		line := n.log.Info().Str("upstream", v.Name).Stringer("evidence", v.Kind).
			Int64("age_ms", (v.Age + now.Sub(v.At)).Milliseconds())
		if v.By != 0 {
			line = line.Uint64("said_by", v.By)
		}
		if v.For == 0 {
			line.Msg("upstream is taken back")
			continue
		}
		line.Int64("for_ms", v.For.Milliseconds()).Msg("upstream is left out")
	}
}

// CallersAddr returns the address for callers, ReadyAddr that for the balancer and
// MetricsAddr that of the metrics.
func (n *Node) CallersAddr() string { return n.addrs.callers }

// ReadyAddr returns the address of /readyz.
func (n *Node) ReadyAddr() string { return n.addrs.ready }

// MetricsAddr returns the address of the metrics.
func (n *Node) MetricsAddr() string { return n.addrs.metrics }

// Drain implements commandline.Drainer. First the balancer is told to look away while
// callers are still served, since a process that refused at once would fail all requests
// that come until it has looked. Then the listener ends and requests in flight finish.
func (n *Node) Drain(ctx context.Context) {
	n.Gateway.Drain()
	pause.For(ctx, shared.Milliseconds(n.drain.ReadyOffMs))
	if err := n.callers.Shutdown(ctx); err != nil {
		n.log.Warn().Err(err).Msg("requests were in flight when the time to stop ran out")
	}
	n.Gateway.Wait(ctx)
	n.Stop()
}

// Stop ends the gateway at once.
func (n *Node) Stop() {
	n.stop()
	n.running.Wait()
	for _, server := range []*http.Server{n.callers, n.ready, n.metrics} {
		if err := server.Close(); err != nil {
			n.log.Debug().Err(err).Msg("close listener")
		}
	}
}

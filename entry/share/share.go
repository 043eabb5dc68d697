// Package share maintains links between the entries of a deployment. Over them, entries
// exchange their placements on upstreams, the routes in force, and the updates that a few of
// them read from the platform's feeds. core/overlay decides which entries are linked.
//
// A single entry sees only a fraction of the requests. If each entry placed requests by its own
// view, all of them would choose the same upstreams at the same moment. Correctness doesn't
// depend on the links: a partitioned entry continues with what it knows.
package share

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/evacuation"
	"acaciacleat.example/core/fetch"
	"acaciacleat.example/core/follow"
	"acaciacleat.example/core/overlay"
	"acaciacleat.example/core/quarantine"
	"acaciacleat.example/core/routes"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/table"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Config configures Peers.
type Config struct {
	Self   link.Identity
	Listen string
	// Machine is what this entry's machine can bear. FirstStart is set if all entries start for the
	// first time.
	Machine    overlay.Machine
	FirstStart bool
	Store      table.Feed
	// Relays is the name of the table that holds the relays and the key of links.
	Relays string
	Fleet  *dispatch.Fleet
	// Routes returns the encoded routes in force and their version; value is nil if there are
	// none.
	Routes func() (value []byte, version uint64)
	// Offer receives routes that are in force at another entry. It reports false if they are
	// dropped.
	Offer func(value []byte) bool
	// OnVersion is called with each version of the routes that another entry has in force.
	OnVersion func(version uint64)
	// OnVersionMissing is called when a version that another entry has is not in force here after fetch.HoldOff.
	OnVersionMissing func(version uint64)
	// OnFeedUpdate receives what another entry has read from the platform's feeds, and OnAsk its
	// question for the state of a feed. OnLinkLost is called when the link to an entry has ended.
	OnFeedUpdate func(vm string, update *link.FeedUpdate)
	OnAsk        func(vm string, feed link.Feed)
	OnLinkLost   func(vm string)
	// OnRole is called when this entry's role in following the feeds may have changed.
	OnRole func()
	// Quarantine exchanges reports on requests that make upstreams crash.
	Quarantine Quarantine
	// Evacuations exchanges reports on evacuated zones.
	Evacuations Evacuations
	// OnZoneDoubted is called with an availability zone that an entry of this zone can't reach.
	OnZoneDoubted func(zone string)
	// Table returns the routing table in force; nil if there is none.
	Table func() *routes.Table
	// OnEntries receives the VMs of the known relays, which may hold shares for all entries, and the
	// number of all entries.
	OnEntries func(relays []string, entries int)
	Log       zerolog.Logger
}

// Quarantine produces and receives reports on requests that make upstreams crash.
// quarantine.Keeper implements it.
type Quarantine interface {
	// Pending returns a channel that has a value when there may be reports.
	Pending() <-chan struct{}
	// Reports returns the reports queued since the last call.
	Reports() []quarantine.Report
	// Current returns the current holds, which are sent to an entry when its link opens.
	Current() []quarantine.Report
	// Receive applies the reports of another entry.
	Receive(vm string, reports []quarantine.Report)
}

// Evacuations produces and receives reports on evacuated zones. evacuation.Keeper implements it.
type Evacuations interface {
	// Pending returns a channel that has a value when there may be a report.
	Pending() <-chan struct{}
	// TakeReport returns the changes since the last call, with or without those heard from others.
	// Current returns all that is known.
	TakeReport(heard bool) evacuation.Report
	Current() evacuation.Report
	// Receive applies the report of another entry.
	Receive(now time.Time, vm string, report evacuation.Report)
	// SourceLost reports whether this entry has to ask others for what they know.
	SourceLost() bool
}

const (
	// batchDelay is how long events wait to be batched. It is about the latency of a message
	// between zones, so that batching at most doubles their age.
	batchDelay = 2 * time.Millisecond
	// forgetDelay is how long an entry must be without a link before its placements are
	// dropped. It allows two attempts to dial the entry.
	forgetDelay = 2 * time.Second
	// countTime is how long after the start of this entry relays that have started with it may not
	// have counted all entries.
	countTime = 5 * time.Second
	// removeAfter is how long an entry without a link is remembered.
	removeAfter = 3 * time.Minute
)

// Peers maintains the links to other entries. It implements link.Handler.
type Peers struct {
	config  Config
	startAt time.Time

	mu sync.Mutex
	// node is nil until the key of links is known.
	node *link.Node
	// directory holds the known relays.
	directory overlay.Directory
	// known are the entries to which there is a link, was one shortly before, or should be one.
	known map[string]*peer
	// paths are the ways of messages over the open links; nil once these have changed.
	paths *overlay.Paths
	sizes overlay.Sizes
	// origins are the zones of the entries of other zones whose messages were relayed to this one.
	origins map[call.Incarnation]string
	// failing are the relays whose last read of a feed has failed, with the time of the failure.
	failing map[string]time.Time
	// settled is set once this entry knows whether it is linked to others.
	settled bool
	// asks counts the questions for the state of a feed.
	asks int
	// fetch tracks the announced routes that are still missing here.
	fetch *fetch.Fetcher

	rows rows
	// organisations are those that reports on shares may name, and droppedLoggedAt is when dropped
	// reports were last logged.
	organisationsMu sync.Mutex
	organisations   organisations
	droppedLoggedAt time.Time

	// permits are those that this entry is asking for.
	permits permits
	// notifyMu orders the calls of OnEntries.
	notifyMu sync.Mutex
	// fetchTimer calls fetchNext when the next request is due.
	fetchTimer *time.Timer
	packed     packedRoutes
	// partsRequested counts the parts of routes requested, bytesSent the bytes of routes sent.
	partsRequested, bytesSent atomic.Uint64
	counters                  counters
}

// peer is another entry.
type peer struct {
	// conn is the link to the entry; nil means none.
	conn *link.Conn
	// unreachableSince is when the last link was lost, or when the entry was first known.
	unreachableSince time.Time
	// dialling is set during an attempt to dial the entry, dialled after the first one.
	dialling, dialled bool
	// adopted is set if the link is part of the overlay.
	adopted bool
	// zone and incarnation are those at the last link.
	zone        string
	incarnation call.Incarnation
}

// New returns Peers. Run starts them.
func New(config Config) *Peers {
	if config.OnRole == nil {
		config.OnRole = func() {}
	}
	p := &Peers{
		config: config, startAt: time.Now(), known: make(map[string]*peer), packed: packedRoutes{Server: fetch.NewServer()},
		origins: make(map[call.Incarnation]string), failing: make(map[string]time.Time),
	}
	random := rand.New(rand.NewPCG(uint64(config.Self.Incarnation), 0))
	p.fetch = fetch.New(random)
	p.rows.random = rand.New(rand.NewPCG(uint64(config.Self.Incarnation), 1))
	p.fetchTimer = time.AfterFunc(never, p.fetchNext)
	return p
}

// never is the duration of a timer that is not yet set.
const never = math.MaxInt64

// Linked returns the number of entries to which there is a link.
func (p *Peers) Linked() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, known := range p.known {
		if known.conn != nil {
			n++
		}
	}
	return n
}

// maxUnlinkedServing is how long after its link was lost an entry is assumed to still serve
// callers. A partitioned entry does; a stopped one doesn't, and the two look the same from
// here.
const maxUnlinkedServing = 30 * time.Second

// Unlinked reports whether there may be entries that serve callers and to which there is no
// link.
func (p *Peers) Unlinked() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.known {
		if known.conn == nil && time.Since(known.unreachableSince) < maxUnlinkedServing {
			return true
		}
	}
	return false
}

// Run maintains the links until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	time.AfterFunc(settleTimeout, p.settle)
	if err := p.start(ctx); err != nil {
		p.config.Log.Error().Err(err).Msg("no links to other entries; choosing by this entry's own work")
		return
	}
	defer p.node.Close()
	defer p.fetchTimer.Stop()
	go p.maintainLinks(ctx)
	go p.repeatAnnouncements(ctx)
	go p.runEvacuationQueries(ctx)
	p.runBroadcasts(ctx)
}

func (p *Peers) start(ctx context.Context) error {
	key, err := p.readKey(ctx)
	if err != nil {
		return err
	}
	node, err := link.Start(link.Config{
		Listen:  p.config.Listen,
		Self:    p.config.Self,
		Keys:    link.NewKeys(key, nil),
		Handler: p,
	})
	if err == nil {
		p.config.Log.Info().Str("link", node.Addr()).Msg("links are accepted")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.node = node
	return err
}

// OnOpen implements link.Handler.
func (p *Peers) OnOpen(c *link.Conn) {
	peer := c.Peer()
	now := time.Now()
	old := p.addLink(c)
	p.notifyEntries()
	if old != 0 && old != peer.Incarnation {
		p.originGone(now, peer.VM, old)
	}
	p.adoptLinks() // A link over which permits are asked for doesn't belong to the overlay.
}

// addLink records an open link. It returns the entry's previous incarnation.
func (p *Peers) addLink(c *link.Conn) (old call.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known[c.Peer().VM]
	if known == nil {
		known = &peer{}
		p.known[c.Peer().VM] = known
	}
	old = known.incarnation
	known.conn, known.incarnation, known.zone, known.dialled = c, c.Peer().Incarnation, c.Peer().Zone, true
	known.adopted = false
	p.linksChanged()
	return old
}

// linksChanged is called with mu held when a link was opened or lost or the relays have changed.
func (p *Peers) linksChanged() {
	p.paths = nil
	paths := p.currentPaths()
	relays := len(paths.Relays())
	if !paths.Relay() && len(paths.ZoneRelays()) > 0 {
		relays = p.directory.Len() // Its relays pass on what all others send.
	}
	p.config.Fleet.SetLinked(relays)
}

// currentPaths returns the paths over the open links. It is called with mu held.
func (p *Peers) currentPaths() *overlay.Paths {
	if p.paths == nil {
		var linked []overlay.Peer
		for vm, known := range p.known {
			if known.conn != nil && known.adopted {
				linked = append(linked, overlay.Peer{VM: vm, Zone: known.zone})
			}
		}
		p.paths = overlay.NewPaths(overlay.Peer{VM: p.config.Self.VM, Zone: p.config.Self.Zone}, linked, &p.directory)
	}
	return p.paths
}

// notifyEntries reports the known relays and the number of entries.
func (p *Peers) notifyEntries() {
	p.notifyMu.Lock() // Keeps an older list from being reported last.
	defer p.notifyMu.Unlock()
	p.config.OnEntries(p.entries())
}

// entries returns the VMs of all known relays, and the number of all entries.
func (p *Peers) entries() (relays []string, entries int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.directory.All() {
		relays = append(relays, r.VM)
	}
	return relays, max(p.sizes.Total(&p.directory, time.Since(p.startAt) < countTime), 1)
}

func (p *Peers) sendTo(c *link.Conn, message link.Message) {
	if err := c.Send(message); err != nil {
		p.logSendFailure(err, c.Peer().VM)
	}
}

// logSendFailure logs a message that could not be sent. A message that is too large for a frame
// is logged as a warning, as it would fail every time while the link looks healthy.
func (p *Peers) logSendFailure(err error, vm string) {
	level := zerolog.DebugLevel
	if errors.Is(err, link.ErrFrame) {
		level = zerolog.WarnLevel
	}
	p.config.Log.WithLevel(level).Err(err).Str("entry", vm).Msg("not told")
}

// OnMessage implements link.Handler.
func (p *Peers) OnMessage(c *link.Conn, message link.Message) {
	switch m := message.(type) {
	case *link.DispatchUpdate:
		p.onDispatchUpdate(c, m)
	case *link.Routes:
		p.onRoutesAnnounced(c, m)
	case *link.FeedUpdate:
		p.onFeedUpdate(c, m)
	case *link.RoutesPart:
		p.onRoutesPart(c, m)
	case *link.Overlay:
		p.onOverlay(c, m)
	default:
		p.config.Log.Warn().Str("entry", c.Peer().VM).Uint8("type", uint8(m.Type())).Msg("unexpected message from an entry")
	}
}

func (p *Peers) onDispatchUpdate(c *link.Conn, m *link.DispatchUpdate) {
	now := time.Now()
	p.noteOrigin(c, m.Origin)
	p.handleEvacuation(now, c, m)
	p.config.Fleet.ApplyEvents(now, uint64(m.Origin), m.Events)
	p.config.Fleet.ApplyReports(now, uint64(m.Origin), m.Reports)
	p.config.Quarantine.Receive(c.Peer().VM, m.Quarantine)
	p.config.Fleet.ApplyLimits(now, uint64(m.Origin), m.Limits)
	p.config.Fleet.ApplyCold(now, uint64(m.Origin), m.Cold)
	for _, zone := range p.config.Fleet.ApplyZoneReports(now, uint64(m.Origin), m.Zones) {
		p.config.OnZoneDoubted(zone)
	}
	p.applyShares(c, now, m)
	p.config.Fleet.ApplyPaces(now, uint64(m.Origin), m.Paces)
	p.handlePermits(c, now, m)
	if m.Forward {
		onward := *m
		p.forward(c, func(forward bool) link.Message {
			onward.Forward = forward
			return &onward
		})
	}
	if m.PartRequest != nil {
		// Packing a large table takes too long for the link's event loop.
		go p.sendPart(c, *m.PartRequest)
	}
}

// OnClose implements link.Handler.
func (p *Peers) OnClose(c *link.Conn, reason error) {
	vm := c.Peer().VM
	p.mu.Lock()
	known := p.known[vm]
	if known == nil || known.conn != c {
		p.mu.Unlock()
		return
	}
	path, adopted := p.currentPaths().Own(), known.adopted
	known.conn = nil
	known.unreachableSince = time.Now()
	p.linksChanged()
	next := p.currentPaths().Own()
	p.fetch.RemoveHolder(vm)
	p.mu.Unlock()
	if !adopted {
		return
	}
	p.fetchNext()
	p.config.OnLinkLost(vm)
	p.config.OnRole()
	if len(path.Forward) == 1 && path.Forward[0] == vm && len(next.Forward) == 1 {
		p.sendSnapshotToAll() // What was on its way over the lost relay may not have arrived.
	}
	time.AfterFunc(forgetDelay, func() { p.forgetOrigins(c.Peer()) })
	p.config.Log.Info().Err(reason).Str("entry", vm).Msg("entry's link lost")
}

// Role returns this entry's role in following the platform's feeds.
func (p *Peers) Role() follow.Role {
	p.mu.Lock()
	defer p.mu.Unlock()
	paths := p.currentPaths()
	switch {
	case !p.settled:
		return follow.Starting
	case paths.Relay():
		return p.relayRole(time.Now())
	case len(paths.ZoneRelays()) > 0:
		return follow.Attached
	}
	return follow.Standalone
}

// Package share maintains links between the entries of a deployment. Over them, entries
// exchange their placements on upstreams, the routes in force, and the updates that a few of
// them read from the platform's feeds.
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
	"acaciacleat.example/core/quarantine"
	"acaciacleat.example/core/routes"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/table"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Tables names the tables of the store that this package uses.
type Tables struct {
	// Entries has a row for each entry. Secrets holds the key by which entries authenticate to
	// each other.
	Entries string
	Secrets string
}

// Config configures Peers.
type Config struct {
	Self   link.Identity
	Listen string
	Store  table.Feed
	Tables Tables
	Fleet  *dispatch.Fleet
	// Routes returns the encoded routes in force and their version; value is nil if there are
	// none.
	Routes func() (value []byte, version uint64)
	// Offer receives routes that are in force at another entry. It reports false if they are
	// dropped.
	Offer func(value []byte) bool
	// OnFeedUpdate receives what another entry has read from the platform's feeds. OnLinkLost
	// is called when the link to an entry has ended.
	OnFeedUpdate func(vm string, update *link.FeedUpdate)
	OnLinkLost   func(vm string)
	// Quarantine exchanges reports on requests that make upstreams crash.
	Quarantine Quarantine
	// Evacuations exchanges reports on evacuated zones.
	Evacuations Evacuations
	// OnZoneDoubted is called with an availability zone that an entry of this zone can't reach.
	OnZoneDoubted func(zone string)
	// Table returns the routing table in force; nil if there is none.
	Table func() *routes.Table
	// OnEntries receives the names of the VMs of all known entries, including this one.
	OnEntries func(vms []string)
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
	// TakeReport returns the changes since the last call, and Current all that is known.
	TakeReport() evacuation.Report
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
	// dialInterval is the interval between attempts to dial entries without a link.
	dialInterval = time.Second
	// registerInterval is the interval at which this entry writes its own row and reads those
	// of the others. A new entry dials the others itself, so this repairs only missed links.
	registerInterval = time.Minute
	// storeRetryInterval is the pause between attempts to reach the store at startup.
	storeRetryInterval = 500 * time.Millisecond
	// removeAfter is how long an unreachable entry is dialled before its row is removed. An
	// entry that is alive writes its row again within registerInterval.
	removeAfter = 3 * time.Minute
	// forgetDelay is how long an entry must be without a link before its placements are
	// dropped. It allows two attempts to dial the entry.
	forgetDelay = 2 * time.Second
	// secretRow is the row that holds the shared key; secretBytes is the key's length.
	secretRow   = "link"
	secretBytes = 32
)

// entryRow is an entry's row in the store.
type entryRow struct {
	VM   string `json:"vm"`
	Link string `json:"link"`
}

// Peers maintains the links to the other entries. It implements link.Handler.
type Peers struct {
	config Config
	node   *link.Node

	mu sync.Mutex
	// known are the other entries by VM.
	known map[string]*peer
	// fetch tracks the announced routes that are still missing here.
	fetch *fetch.Fetcher

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
}

// peer is another entry.
type peer struct {
	row entryRow
	// conn is the link to the entry; nil means none.
	conn *link.Conn
	// unreachableSince is when the last link was lost, or when the entry was first known.
	unreachableSince time.Time
	dialling         bool
	// incarnation is the entry's incarnation at the last link.
	incarnation call.Incarnation
}

// New returns Peers. Run starts them.
func New(config Config) *Peers {
	p := &Peers{config: config, known: make(map[string]*peer), packed: packedRoutes{Server: fetch.NewServer()}}
	p.fetch = fetch.New(rand.New(rand.NewPCG(uint64(config.Self.Incarnation), 0)))
	p.fetchTimer = time.AfterFunc(never, p.fetchNext)
	return p
}

// never is the duration of a timer that is not yet set.
const never = math.MaxInt64

// Linked returns the number of entries to which there is a link.
func (p *Peers) Linked() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.linked()
}

// linked is Linked with mu held.
func (p *Peers) linked() int {
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
	if err := p.start(ctx); err != nil {
		p.config.Log.Error().Err(err).Msg("no links to other entries; choosing by this entry's own work")
		return
	}
	defer p.node.Close()
	defer p.fetchTimer.Stop()
	go p.maintainLinks(ctx)
	go p.runEvacuationQueries(ctx)
	p.runBroadcasts(ctx)
	p.deregister()
}

func (p *Peers) start(ctx context.Context) error {
	key, err := p.secret(ctx)
	if err != nil {
		return err
	}
	p.node, err = link.Start(link.Config{
		Listen:  p.config.Listen,
		Self:    p.config.Self,
		Keys:    link.NewKeys(key, nil),
		Handler: p,
	})
	return err
}

// OnOpen implements link.Handler.
func (p *Peers) OnOpen(c *link.Conn) {
	vm := c.Peer().VM
	c.Retain() // Keeps heartbeats running, so that a silent link is detected.
	old, added := p.addLink(c)
	if added {
		p.notifyEntries()
	}
	p.config.Log.Info().Str("entry", vm).Uint64("origin", uint64(c.Peer().Incarnation)).Msg("entry linked")
	now := time.Now()
	p.config.Fleet.RecordLink(now, vm)
	if old != 0 && old != c.Peer().Incarnation {
		p.config.Fleet.RemoveOrigin(now, uint64(old))
	}
	p.sendTo(c, &link.DispatchUpdate{
		Origin: p.config.Self.Incarnation, Events: p.config.Fleet.Snapshot(now), Quarantine: p.config.Quarantine.Current(),
		Limits: p.config.Fleet.CurrentLimits(now), Cold: p.config.Fleet.CurrentCold(now), Paces: p.config.Fleet.CurrentPaces(now),
		Evacuation: p.config.Evacuations.Current(),
	})
	if value, version := p.config.Routes(); value != nil {
		p.sendTo(c, &link.Routes{Version: version})
	}
}

// addLink records an open link. It returns the entry's previous incarnation, and whether the entry
// was unknown.
func (p *Peers) addLink(c *link.Conn) (old call.Incarnation, added bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known[c.Peer().VM]
	if known == nil {
		known, added = &peer{}, true
		p.known[c.Peer().VM] = known
	}
	old = known.incarnation
	known.conn, known.incarnation = c, c.Peer().Incarnation
	p.config.Fleet.SetLinked(p.linked())
	return old, added
}

// notifyEntries reports the known entries.
func (p *Peers) notifyEntries() {
	p.notifyMu.Lock() // Keeps an older list from being reported last.
	defer p.notifyMu.Unlock()
	p.config.OnEntries(p.entries())
}

// entries returns the names of the VMs of all known entries, including this one.
func (p *Peers) entries() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	vms := []string{p.config.Self.VM}
	for vm := range p.known {
		vms = append(vms, vm)
	}
	return vms
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
		now := time.Now()
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
			p.forwardInZone(m)
		}
		if m.PartRequest != nil {
			// Packing a large table takes too long for the link's event loop.
			go p.sendPart(c, *m.PartRequest)
		}
	case *link.Routes:
		p.onRoutesAnnounced(c, m)
	case *link.FeedUpdate:
		p.config.OnFeedUpdate(c.Peer().VM, m)
	case *link.RoutesRequest:
		p.sendWhole(c)
	case *link.RoutesPart:
		p.onRoutesPart(c, m)
	default:
		p.config.Log.Warn().Str("entry", c.Peer().VM).Uint8("type", uint8(m.Type())).Msg("unexpected message from an entry")
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
	known.conn = nil
	known.unreachableSince = time.Now()
	p.config.Fleet.SetLinked(p.linked())
	p.fetch.RemoveHolder(vm)
	p.mu.Unlock()
	p.fetchNext()
	p.config.OnLinkLost(vm)
	time.AfterFunc(forgetDelay, func() { p.forgetOrigin(vm) })
	p.config.Log.Info().Err(reason).Str("entry", vm).Msg("entry's link lost")
}

// forgetOrigin drops the placements of an entry that is still without a link. If the entry has
// died, its callers' connections have closed and upstreams cancel their requests. If the placements
// were kept, these upstreams would look busy for as long as the requests could have taken.
func (p *Peers) forgetOrigin(vm string) {
	p.mu.Lock()
	known := p.known[vm]
	unlinked := known != nil && known.conn == nil
	var origin call.Incarnation
	if unlinked {
		origin = known.incarnation
	}
	p.mu.Unlock()
	if unlinked {
		p.config.Fleet.RemoveOrigin(time.Now(), uint64(origin))
	}
}

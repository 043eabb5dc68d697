// Package share keeps links between the entries of a deployment, over which they tell each
// other what they have placed on upstreams, which routes are in force, and what few of them read
// of the platform's feeds.
//
// An entry alone sees a fraction of the requests. Choosing by that, all entries would send
// to the same upstreams in the same moment. Nothing safe hangs on these links: an entry
// that is cut off goes on with what it knows.
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
	"acaciacleat.example/core/fetch"
	"acaciacleat.example/core/quarantine"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/table"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Tables names the tables of the store that belong to this package.
type Tables struct {
	// Entries has a row for each entry, Secrets the key that entries prove to each other.
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
	// Routes returns the encoded routes in force and their version; nil where none are.
	Routes func() (value []byte, version uint64)
	// Offer takes routes that another entry has in force; it reports false where they are dropped.
	Offer func(value []byte) bool
	// Heard takes what another entry has read of the platform's feeds, and Gone is told of an
	// entry whose link has ended.
	Heard func(vm string, news *link.News)
	Gone  func(vm string)
	// Quarantine is what entries tell each other of requests under which upstreams crash.
	Quarantine Quarantine
	// Entries is told how many entries are known, this one included.
	Entries func(n int)
	Log     zerolog.Logger
}

// Quarantine tells and hears of requests under which upstreams crash; quarantine.Keeper implements
// it.
type Quarantine interface {
	// Told has a value when there may be reports.
	Told() <-chan struct{}
	Reports() []quarantine.Report
	// Current returns what an entry that has just come into touch must know.
	Current() []quarantine.Report
	Heard(vm string, reports []quarantine.Report)
}

const (
	// batchFor is how long events wait for others: about a message's way between zones, so
	// that batching at most doubles their age.
	batchFor = 2 * time.Millisecond
	// lookEvery is how often lost links are dialled again.
	lookEvery = time.Second
	// rowsEvery is how often the entries' rows are read again, and this entry's own is
	// written. A new entry dials the others itself, so this mends only what was missed.
	rowsEvery = time.Minute
	// retryEvery is the pause before the store is asked again at a start.
	retryEvery = 500 * time.Millisecond
	// giveUpAfter is how long an entry that can't be reached is dialled; its row is then
	// removed. One that lives writes it again within rowsEvery.
	giveUpAfter = 3 * time.Minute
	// forgetAfter is how long an entry is out of touch before its work is forgotten: two
	// tries to dial it.
	forgetAfter = 2 * time.Second
	// secretRow is the row of the key, secretBytes its length.
	secretRow   = "link"
	secretBytes = 32
)

// row is an entry's row in the store.
type row struct {
	VM   string `json:"vm"`
	Link string `json:"link"`
}

// Peers are the other entries. It is a link.Handler.
type Peers struct {
	config Config
	node   *link.Node

	mu    sync.Mutex
	known map[string]*peer
	// fetch is what is missing of the routes that others have announced.
	fetch *fetch.Fetcher

	// pursuit calls pursue when something is due.
	pursuit *time.Timer
	shelf   shelf
	// asked counts the parts of routes asked for, sent the bytes of routes sent.
	asked, sent atomic.Uint64
}

type peer struct {
	row  row
	conn *link.Conn
	// unreachable is since when no link could be had.
	unreachable time.Time
	dialling    bool
	// incarnation is that of the last link.
	incarnation call.Incarnation
}

// New returns Peers; Run starts them.
func New(config Config) *Peers {
	p := &Peers{config: config, known: make(map[string]*peer), shelf: shelf{Server: fetch.NewServer()}}
	p.fetch = fetch.New(rand.New(rand.NewPCG(uint64(config.Self.Incarnation), 0)))
	p.pursuit = time.AfterFunc(never, p.pursue)
	return p
}

// never is the time until a timer that nothing has set.
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

// unlinkedFor is how long an entry without a link may still serve callers, as far as is known here:
// behind a cut it does, while one that is gone does not.
const unlinkedFor = 30 * time.Second

// Unlinked reports whether there may be entries that serve and to which there is no link.
func (p *Peers) Unlinked() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.known {
		if known.conn == nil && time.Since(known.unreachable) < unlinkedFor {
			return true
		}
	}
	return false
}

// Run keeps links until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	if err := p.start(ctx); err != nil {
		p.config.Log.Error().Err(err).Msg("no links to other entries; choosing by this entry's own work")
		return
	}
	defer p.node.Close()
	defer p.pursuit.Stop()
	go p.look(ctx)
	p.tell(ctx)
	p.leave()
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
	c.Retain() // Heartbeats run, so that a silent link is found.
	n, old := p.linked(c)
	p.config.Entries(n)
	p.config.Log.Info().Str("entry", vm).Uint64("origin", uint64(c.Peer().Incarnation)).Msg("entry linked")
	now := time.Now()
	if old != 0 && old != c.Peer().Incarnation {
		p.config.Fleet.ForgetOrigin(now, uint64(old))
	}
	p.sendOne(c, &link.Works{
		Origin: p.config.Self.Incarnation, Events: p.config.Fleet.Current(now), Quarantine: p.config.Quarantine.Current(),
	})
	if value, version := p.config.Routes(); value != nil {
		p.sendOne(c, &link.Routes{Version: version})
	}
}

// linked takes up a link; it returns the number of entries and the incarnation that the
// entry had before.
func (p *Peers) linked(c *link.Conn) (n int, old call.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known[c.Peer().VM]
	if known == nil {
		known = &peer{}
		p.known[c.Peer().VM] = known
	}
	old = known.incarnation
	known.conn, known.incarnation = c, c.Peer().Incarnation
	return len(p.known) + 1, old
}

func (p *Peers) sendOne(c *link.Conn, message link.Message) {
	if err := c.Send(message); err != nil {
		p.notTold(err, c.Peer().VM)
	}
}

// notTold logs a message that could not be sent. One that is too large for a frame would be lost
// again and again while the link looks sound.
func (p *Peers) notTold(err error, vm string) {
	level := zerolog.DebugLevel
	if errors.Is(err, link.ErrFrame) {
		level = zerolog.WarnLevel
	}
	p.config.Log.WithLevel(level).Err(err).Str("entry", vm).Msg("not told")
}

// OnMessage implements link.Handler.
func (p *Peers) OnMessage(c *link.Conn, message link.Message) {
	switch m := message.(type) {
	case *link.Works:
		now := time.Now()
		p.config.Fleet.Heard(now, uint64(m.Origin), m.Events)
		p.config.Fleet.HeardReports(now, uint64(m.Origin), m.Reports)
		p.config.Quarantine.Heard(c.Peer().VM, m.Quarantine)
		if m.Pass {
			p.pass(m)
		}
		if m.Ask != nil {
			// Not on the link's event loop: a large table takes long to pack.
			go p.sendPart(c, *m.Ask)
		}
	case *link.Routes:
		p.hearRoutes(c, m)
	case *link.News:
		p.config.Heard(c.Peer().VM, m)
	case *link.RoutesAsk:
		p.sendWhole(c)
	case *link.RoutesPart:
		p.hearPart(c, m)
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
	known.unreachable = time.Now()
	p.fetch.RemoveHolder(vm)
	p.mu.Unlock()
	p.pursue()
	p.config.Gone(vm)
	time.AfterFunc(forgetAfter, func() { p.forget(vm) })
	p.config.Log.Info().Err(reason).Str("entry", vm).Msg("entry's link lost")
}

// forget ends the work of an entry that has been out of touch for a while: an entry that
// died has left its callers, and upstreams stop work whose caller has left. Without this,
// upstreams would look busy for as long as its requests could have taken.
func (p *Peers) forget(vm string) {
	p.mu.Lock()
	known := p.known[vm]
	gone := known != nil && known.conn == nil
	var origin call.Incarnation
	if gone {
		origin = known.incarnation
	}
	p.mu.Unlock()
	if gone {
		p.config.Fleet.ForgetOrigin(time.Now(), uint64(origin))
	}
}

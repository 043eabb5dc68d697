// Package share keeps links between the entries of a deployment, over which they tell each
// other what they have placed on upstreams and which routes are in force.
//
// An entry alone sees a fraction of the requests. Choosing by that, all entries would send
// to the same upstreams in the same moment. Nothing safe hangs on these links: an entry
// that is cut off goes on with what it knows.
package share

import (
	"context"
	cryptorand "crypto/rand"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/rendezvous"
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
	// Offer takes routes that another entry has in force.
	Offer func(value []byte)
	// Entries is told how many entries are known, this one included.
	Entries func(n int)
	Log     zerolog.Logger
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

	// asking says that routes will be asked for soon.
	asking atomic.Bool

	mu    sync.Mutex
	known map[string]*peer
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
	return &Peers{config: config, known: make(map[string]*peer)}
}

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

// Run keeps links until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	if err := p.start(ctx); err != nil {
		p.config.Log.Error().Err(err).Msg("no links to other entries; choosing by this entry's own work")
		return
	}
	defer p.node.Close()
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

// secret returns the key of all entries. The first entry that finds none makes it.
func (p *Peers) secret(ctx context.Context) ([]byte, error) {
	for ctx.Err() == nil {
		rows, _, err := p.config.Store.All(ctx, p.config.Tables.Secrets)
		if err != nil {
			p.config.Log.Info().Err(err).Msg("the key of links could not be read yet")
			pause(ctx, retryEvery)
			continue
		}
		for _, r := range rows {
			if r.Key.Row == secretRow {
				return r.Value, nil
			}
		}
		key := table.Key{Table: p.config.Tables.Secrets, Row: secretRow}
		err = p.config.Store.Insert(ctx, key, newSecret())
		if err != nil && !errors.Is(err, table.ErrConflict) {
			p.config.Log.Info().Err(err).Msg("the key of links could not be written yet")
			pause(ctx, retryEvery)
		}
		// What stands in the row now counts, whoever wrote it.
	}
	return nil, ctx.Err()
}

// register writes this entry's row and reads those of the others.
func (p *Peers) register(ctx context.Context) error {
	value, err := json.Marshal(row{VM: p.config.Self.VM, Link: p.node.Addr()})
	if err != nil {
		return errors.Wrap(err, "encode row")
	}
	if err := p.config.Store.Put(ctx, p.key(p.config.Self.VM), value); err != nil {
		return err
	}
	rows, _, err := p.config.Store.All(ctx, p.config.Tables.Entries)
	if err != nil {
		return err
	}
	for _, r := range rows {
		var other row
		if err := json.Unmarshal(r.Value, &other); err != nil {
			p.config.Log.Error().Err(err).Str("row", r.Key.Row).Msg("an entry's row could not be decoded; it is left out")
			continue
		}
		p.meet(other)
	}
	return nil
}

func (p *Peers) key(vm string) table.Key {
	return table.Key{Table: p.config.Tables.Entries, Row: vm}
}

// meet takes up another entry, or its new address.
func (p *Peers) meet(other row) {
	if other.VM == p.config.Self.VM {
		return
	}
	p.mu.Lock()
	known := p.known[other.VM]
	if known == nil {
		known = &peer{unreachable: time.Now()}
		p.known[other.VM] = known
	}
	known.row = other
	n := len(p.known) + 1
	p.mu.Unlock()
	p.config.Entries(n)
}

// look registers and dials, again and again.
func (p *Peers) look(ctx context.Context) {
	var registered time.Time
	for ctx.Err() == nil {
		if now := time.Now(); now.Sub(registered) > rowsEvery {
			if err := p.register(ctx); err != nil {
				p.config.Log.Info().Err(err).Msg("entries' rows could not be read or written yet")
			} else {
				registered = now
			}
		}
		p.dial(ctx)
		pause(ctx, lookEvery)
	}
}

// dial dials the entries without a link and gives up those that are gone for long.
func (p *Peers) dial(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for vm, known := range p.known {
		switch {
		case known.conn != nil, known.dialling:
		case time.Since(known.unreachable) > giveUpAfter:
			delete(p.known, vm)
			go p.remove(ctx, vm)
		default:
			known.dialling = true
			go p.connect(ctx, vm, known.row.Link)
		}
	}
}

func (p *Peers) connect(ctx context.Context, vm, address string) {
	_, err := p.node.Dial(ctx, vm, address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.known[vm]; known != nil {
		known.dialling = false
	}
	if err != nil {
		p.config.Log.Debug().Err(err).Str("entry", vm).Msg("entry not reached")
	}
}

func (p *Peers) remove(ctx context.Context, vm string) {
	if err := p.config.Store.Remove(ctx, p.key(vm)); err != nil {
		p.config.Log.Info().Err(err).Str("entry", vm).Msg("row of an entry that is gone could not be removed")
	}
}

// leaveTime bounds the removal of this entry's own row at its stop.
const leaveTime = 300 * time.Millisecond

func (p *Peers) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
	defer cancel()
	p.remove(ctx, p.config.Self.VM)
}

// tell sends what this entry has placed to all others, in batches.
func (p *Peers) tell(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.config.Fleet.Told():
		}
		pause(ctx, batchFor)
		if events := p.config.Fleet.News(); len(events) > 0 {
			p.spread(events)
		}
	}
}

// spread sends events to the entries of the own availability zone and to one of each other
// zone, which passes them on there. What crosses zones then doesn't grow with the number
// of entries.
func (p *Peers) spread(events []dispatch.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for zone, members := range p.zones() {
		if zone == p.config.Self.Zone {
			p.send(members, &link.Works{Origin: p.config.Self.Incarnation, Events: events})
			continue
		}
		relay := members[rendezvous.Ranked(p.config.Self.VM, members)[0]]
		p.send([]string{relay}, &link.Works{Origin: p.config.Self.Incarnation, Events: events, Pass: len(members) > 1})
	}
}

// zones returns the linked entries by availability zone. It is called with mu held.
func (p *Peers) zones() map[string][]string {
	zones := make(map[string][]string)
	for vm, known := range p.known {
		if known.conn != nil {
			zone := known.conn.Peer().Zone
			zones[zone] = append(zones[zone], vm)
		}
	}
	return zones
}

// send sends a message to linked entries. It is called with mu held.
func (p *Peers) send(vms []string, message link.Message) {
	for _, vm := range vms {
		if err := p.known[vm].conn.Send(message); err != nil {
			p.config.Log.Debug().Err(err).Str("entry", vm).Msg("not told")
		}
	}
}

// pass hands a message of another zone's entry on to the entries of this zone.
func (p *Peers) pass(works *link.Works) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.send(p.zones()[p.config.Self.Zone], &link.Works{Origin: works.Origin, Events: works.Events})
}

// OnOpen implements link.Handler.
func (p *Peers) OnOpen(c *link.Conn) {
	vm := c.Peer().VM
	c.Retain() // Heartbeats run, so that a silent link is found.
	n, old := p.linked(c)
	p.config.Entries(n)
	p.config.Log.Info().Str("entry", vm).Msg("entry linked")
	now := time.Now()
	if old != 0 && old != c.Peer().Incarnation {
		p.config.Fleet.ForgetOrigin(now, uint64(old))
	}
	p.sendOne(c, &link.Works{Origin: p.config.Self.Incarnation, Events: p.config.Fleet.Current(now)})
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
		p.config.Log.Debug().Err(err).Str("entry", c.Peer().VM).Msg("not told")
	}
}

// OnMessage implements link.Handler.
func (p *Peers) OnMessage(c *link.Conn, message link.Message) {
	switch m := message.(type) {
	case *link.Works:
		p.config.Fleet.Heard(time.Now(), uint64(m.Origin), m.Events)
		if m.Pass {
			p.pass(m)
		}
	case *link.Routes:
		p.hearRoutes(c, m)
	case *link.RoutesAsk:
		if value, version := p.config.Routes(); value != nil {
			p.sendOne(c, &link.Routes{Version: version, Value: value})
		}
	default:
		p.config.Log.Warn().Str("entry", c.Peer().VM).Uint8("type", uint8(m.Type())).Msg("unexpected message from an entry")
	}
}

// OnClose implements link.Handler.
func (p *Peers) OnClose(c *link.Conn, reason error) {
	vm := c.Peer().VM
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known[vm]
	if known == nil || known.conn != c {
		return
	}
	known.conn = nil
	known.unreachable = time.Now()
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

func newSecret() []byte {
	secret := make([]byte, secretBytes)
	// crypto/rand.Read never fails on the systems that Go supports.
	_, _ = cryptorand.Read(secret)
	return secret
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

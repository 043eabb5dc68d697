package gateway

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/entry/quarantine"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// suspect is a request that was at an upstream when its answer broke off.
type suspect struct {
	quarantine.Suspect
	// begun says that events of its answer had come.
	begun bool
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (s suspect) MarshalZerologObject(e *zerolog.Event) {
	e.Str("request", s.Request).Stringer("fingerprint", s.Print).Bool("begun", s.begun)
}

type suspects []suspect

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (all suspects) MarshalZerologArray(a *zerolog.Array) {
	for _, s := range all {
		a.Object(s)
	}
}

// proof is what shows that an upstream's process has ended, or why that isn't shown.
type proof string

// The proofs.
const (
	// refusedDial: nobody listens at its address.
	refusedDial proof = "refused"
	// replaced: another incarnation has its address.
	replaced proof = "replaced"
	// restarted: the registry has a later life of it.
	restarted proof = "restarted"
	// listening: it took a new connection, so that only the old one broke.
	listening proof = "listening"
	// noProof: a new connection failed in a way that says nothing.
	noProof proof = "none"
)

func (p proof) ended() bool { return p == refusedDial || p == replaced || p == restarted }

const (
	// confirmAfter is how long after a broken answer the upstream's address is tried: a process
	// that ends closes its sockets one after the other.
	confirmAfter = 20 * time.Millisecond
	// confirmTimeout bounds that try.
	confirmTimeout = 500 * time.Millisecond
	// suspectedFor is how long requests whose answer broke off wait for proof: some times what
	// the registry takes to tell of a restart.
	suspectedFor = 5 * time.Second
	// mostSuspects bounds the requests that are kept for one incarnation: some times the places
	// of an engine.
	mostSuspects = 128
)

// Crashes finds out which upstreams have ended under the requests that they had from this entry.
// A connection that breaks proves nothing: connections are reset, and answers cut short, by
// upstreams that live. It is safe for concurrent use.
type Crashes struct {
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
	leaves func(upstream dispatch.Upstream) bool
	// replaced tells whether the registry has given an upstream's address to another one.
	replaced func(upstream dispatch.Upstream) bool
	now      func() time.Time
	log      zerolog.Logger
	count    func(p proof)
	// crashed takes requests under which an upstream has crashed.
	crashed func(upstream dispatch.Upstream, under []quarantine.Suspect)

	mu     sync.Mutex
	broken map[string]*brokenUpstream
}

// NewCrashes returns Crashes that tell a quarantine which requests upstreams have crashed under.
func NewCrashes(clients *Clients, fleet *dispatch.Fleet, metrics *Metrics, told Quarantine, log zerolog.Logger) *Crashes {
	return &Crashes{
		dial: clients.dial, leaves: fleet.Draining, replaced: fleet.Replaced, now: time.Now, log: log,
		count: metrics.broke, crashed: told.Ended,
		broken: make(map[string]*brokenUpstream),
	}
}

// brokenUpstream is an incarnation with the requests whose answers it broke off.
type brokenUpstream struct {
	upstream dispatch.Upstream
	// leaving says that it was to leave as it broke off the first answer: then its end is no
	// crash.
	leaving  bool
	last     time.Time
	suspects suspects
	// trying says that its address is being tried; proved is what shows that it has ended.
	trying bool
	proved proof
}

// broke takes a request whose answer broke off.
func (c *Crashes) broke(upstream dispatch.Upstream, s suspect) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.of(now, upstream)
	if len(b.suspects) >= mostSuspects {
		return
	}
	b.suspects = append(b.suspects, s)
	if b.proved.ended() {
		c.tell(b, suspects{s})
		return
	}
	if !b.trying {
		b.trying = true
		time.AfterFunc(confirmAfter, func() { c.confirm(upstream) })
	}
}

// of returns the record of an incarnation, and forgets old ones. It is called with mu held.
func (c *Crashes) of(now time.Time, upstream dispatch.Upstream) *brokenUpstream {
	for name, b := range c.broken {
		if now.Sub(b.last) > suspectedFor && !b.trying {
			delete(c.broken, name)
		}
	}
	name := upstream.Incarnation()
	b := c.broken[name]
	if b == nil {
		b = &brokenUpstream{upstream: upstream, leaving: c.leaves(upstream)}
		c.broken[name] = b
	}
	b.last = now
	return b
}

// confirm tries the address of an upstream that broke off answers.
func (c *Crashes) confirm(upstream dispatch.Upstream) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	conn, err := c.dial(ctx, "tcp", upstream.Address)
	found := noProof
	switch {
	case err == nil:
		found = listening
		_ = conn.Close() // Nothing was sent over it.
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		found = refusedDial
	}
	c.concluded(upstream, found, err)
}

// concluded takes what a try of the address has shown.
func (c *Crashes) concluded(upstream dispatch.Upstream, found proof, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.broken[upstream.Incarnation()]
	if b == nil || b.proved.ended() {
		return
	}
	b.trying = false
	c.count(found)
	if found.ended() {
		c.prove(b, found)
		return
	}
	c.log.Info().Err(err).Str("upstream", upstream.ID).Str("proof", string(found)).Int("requests", len(b.suspects)).
		Msg("answers broke off; nothing shows that the upstream has ended")
}

// ended takes proof from elsewhere that an incarnation has ended.
func (c *Crashes) ended(upstream dispatch.Upstream, found proof) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.broken[upstream.Incarnation()]
	if b == nil || b.proved.ended() || now.Sub(b.last) > suspectedFor {
		return
	}
	c.count(found)
	c.prove(b, found)
}

// registryChanged looks for upstreams that broke off answers and whose address the registry has given
// to another incarnation.
func (c *Crashes) registryChanged() {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.broken {
		if !b.proved.ended() && now.Sub(b.last) <= suspectedFor && c.replaced(b.upstream) {
			c.count(replaced)
			c.prove(b, replaced)
		}
	}
}

// prove notes that an incarnation has ended. It is called with mu held.
func (c *Crashes) prove(b *brokenUpstream, found proof) {
	b.proved = found
	c.tell(b, b.suspects)
}

// loggedSuspects bounds the requests that one line lists.
const loggedSuspects = 32

// tell reports requests under which an incarnation has ended. It is called with mu held.
func (c *Crashes) tell(b *brokenUpstream, under suspects) {
	c.log.Warn().Str("upstream", b.upstream.ID).Str("proof", string(b.proved)).Bool("leaving", b.leaving).
		Int("in_hand", len(b.suspects)).Array("requests", under[:min(len(under), loggedSuspects)]).
		Msg("upstream ended under requests")
	if b.leaving {
		return
	}
	all := make([]quarantine.Suspect, len(under))
	for i, s := range under {
		all[i] = s.Suspect
	}
	c.crashed(b.upstream, all)
}

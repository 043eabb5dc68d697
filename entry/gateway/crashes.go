package gateway

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/entry/quarantine"
	"acaciacleat.example/peers/pause"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// suspect is a request whose answer broke off while an upstream served it.
type suspect struct {
	quarantine.Suspect
	// answerBegun reports whether the first event of the answer had arrived.
	answerBegun bool
	// sentAt is when the request was sent to the upstream.
	sentAt time.Time
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (s suspect) MarshalZerologObject(e *zerolog.Event) {
	e.Str("request", s.Request).Stringer("fingerprint", s.Print).Bool("begun", s.answerBegun)
	if len(s.Segments) > 0 {
		e.Strs("segments", s.Segments)
	}
}

type suspects []suspect

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (all suspects) MarshalZerologArray(a *zerolog.Array) {
	for _, s := range all {
		a.Object(s)
	}
}

// proof is the evidence that an upstream's process has ended, or the reason why there is none.
type proof string

// The kinds of proof. The last two don't show that the process has ended.
const (
	// dialRefused means that nothing listens at the upstream's address.
	dialRefused proof = "refused"
	// replaced means that another incarnation has the upstream's address.
	replaced proof = "replaced"
	// restarted means that the registry has a later incarnation of the upstream.
	restarted proof = "restarted"
	// listening means that the address accepted a new connection, so that only the old one
	// broke.
	listening proof = "listening"
	// noProof means that a new connection failed without showing whether the process has ended.
	noProof proof = "none"
)

func (p proof) ended() bool { return p == dialRefused || p == replaced || p == restarted }

const (
	// confirmDelay is how long after a broken answer the upstream's address is dialled: a
	// process that exits closes its sockets one after the other.
	confirmDelay = 20 * time.Millisecond
	// confirmTimeout bounds the dialling.
	confirmTimeout = 500 * time.Millisecond
	// suspectTTL is how long after the last broken answer proof that the upstream has ended still
	// counts as its cause. It is several times as long as the registry takes to report a restart.
	suspectTTL = 5 * time.Second
	// maxSuspects bounds the requests kept per incarnation, at several times the number that an
	// engine runs at once.
	maxSuspects = 128
)

// CrashDetector detects which upstreams have ended while they had requests of this entry in
// flight. A broken connection is no proof: live upstreams reset connections and truncate
// answers too. It is safe for concurrent use.
type CrashDetector struct {
	dial      func(ctx context.Context, network, address string) (net.Conn, error)
	isLeaving func(upstream dispatch.Upstream) bool
	// isReplaced reports whether the registry has given an upstream's address to another one.
	isReplaced func(upstream dispatch.Upstream) bool
	now        func() time.Time
	log        zerolog.Logger
	countProof func(p proof)
	// onCrash receives the requests that an upstream was serving when it crashed.
	onCrash func(upstream dispatch.Upstream, affected []quarantine.Suspect)

	// ctx ends, and running is waited for, when the detector is stopped.
	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup

	mu     sync.Mutex
	broken map[string]*brokenUpstream
}

// NewCrashDetector returns a CrashDetector that reports to a quarantine which requests upstreams
// were serving when they crashed.
func NewCrashDetector(clients *Clients, fleet *dispatch.Fleet, metrics *Metrics, keeper Quarantine, log zerolog.Logger) *CrashDetector {
	ctx, stop := context.WithCancel(context.Background())
	return &CrashDetector{
		ctx: ctx, stop: stop,
		dial: clients.dial, isLeaving: fleet.EndIsPlanned, isReplaced: fleet.Replaced, now: time.Now, log: log,
		countProof: metrics.answerBroken, onCrash: keeper.RecordCrash,
		broken: make(map[string]*brokenUpstream),
	}
}

// Stop ends the dialling and waits until nothing of it runs any more. Answers that break off later are ignored.
func (c *CrashDetector) Stop() {
	c.mu.Lock()
	c.stop()
	c.mu.Unlock()
	c.running.Wait()
}

// brokenUpstream is an incarnation with the requests whose answers it broke off.
type brokenUpstream struct {
	upstream dispatch.Upstream
	// leaving reports whether the upstream was due to leave when its first answer broke off.
	// Its end is then no crash.
	leaving bool
	// last is when an answer last broke off.
	last     time.Time
	suspects suspects
	// probing reports whether the upstream's address is being dialled. proved is the proof that
	// the upstream has ended, if there is any.
	probing bool
	proved  proof
	// provedAt is when that proof was found.
	provedAt time.Time
}

// answerBroken records a request whose answer broke off. If the upstream is known to have ended, it
// reports the request, unless that was sent after the end; otherwise it has the upstream's address dialled after
// confirmDelay.
func (c *CrashDetector) answerBroken(upstream dispatch.Upstream, s suspect) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return
	}
	b := c.recordFor(now, upstream)
	if len(b.suspects) >= maxSuspects || b.proved.ended() && s.sentAt.After(b.provedAt) {
		return
	}
	b.suspects = append(b.suspects, s)
	if b.proved.ended() {
		c.reportSuspects(b, suspects{s})
		return
	}
	if !b.probing {
		b.probing = true
		c.running.Go(func() { c.confirm(upstream) })
	}
}

// recordFor returns the record of an incarnation, which it creates if there is none, and deletes
// expired records. It is called with mu held.
func (c *CrashDetector) recordFor(now time.Time, upstream dispatch.Upstream) *brokenUpstream {
	for name, b := range c.broken {
		if now.Sub(b.last) > suspectTTL && !b.probing {
			delete(c.broken, name)
		}
	}
	name := upstream.Incarnation()
	b := c.broken[name]
	if b == nil {
		b = &brokenUpstream{upstream: upstream, leaving: c.isLeaving(upstream)}
		c.broken[name] = b
	}
	b.last = now
	return b
}

// confirm dials the address of an upstream that broke off answers, after confirmDelay.
func (c *CrashDetector) confirm(upstream dispatch.Upstream) {
	pause.For(c.ctx, confirmDelay)
	if c.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, confirmTimeout)
	defer cancel()
	conn, err := c.dial(ctx, "tcp", upstream.Address)
	found := noProof
	switch {
	case err == nil:
		found = listening
		_ = conn.Close() // Nothing was sent over it, so a failed close loses nothing.
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		found = dialRefused
	case c.ctx.Err() != nil:
		return
	}
	c.handleDialResult(upstream, found, err)
}

// handleDialResult handles the result of dialling an upstream's address.
func (c *CrashDetector) handleDialResult(upstream dispatch.Upstream, found proof, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.broken[upstream.Incarnation()]
	if b == nil || b.proved.ended() {
		return
	}
	b.probing = false
	c.countProof(found)
	if found.ended() {
		c.markEnded(b, found)
		return
	}
	c.log.Info().Err(err).Str("upstream", upstream.ID).Str("proof", string(found)).Int("requests", len(b.suspects)).
		Msg("answers broke off; nothing shows that the upstream has ended")
}

// upstreamEnded records proof from another source that an incarnation has ended.
func (c *CrashDetector) upstreamEnded(upstream dispatch.Upstream, found proof) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.broken[upstream.Incarnation()]
	if b == nil || b.proved.ended() || now.Sub(b.last) > suspectTTL {
		return
	}
	c.countProof(found)
	c.markEnded(b, found)
}

// registryChanged checks for upstreams that broke off answers and whose address the registry
// has since given to another incarnation.
func (c *CrashDetector) registryChanged() {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.broken {
		if !b.proved.ended() && now.Sub(b.last) <= suspectTTL && c.isReplaced(b.upstream) {
			c.countProof(replaced)
			c.markEnded(b, replaced)
		}
	}
}

// markEnded records that an incarnation has ended, and reports the requests whose answers it broke
// off. It is called with mu held.
func (c *CrashDetector) markEnded(b *brokenUpstream, found proof) {
	b.proved, b.provedAt = found, c.now()
	c.reportSuspects(b, b.suspects)
}

// maxLoggedSuspects bounds the number of requests that one log line lists.
const maxLoggedSuspects = 32

// reportSuspects logs requests that an incarnation was serving when it ended, and reports them to
// the quarantine unless the incarnation was due to leave. It is called with mu held.
func (c *CrashDetector) reportSuspects(b *brokenUpstream, affected suspects) {
	c.log.Warn().Str("upstream", b.upstream.ID).Str("proof", string(b.proved)).Bool("leaving", b.leaving).
		Int("in_hand", len(b.suspects)).Array("requests", affected[:min(len(affected), maxLoggedSuspects)]).
		Msg("upstream ended under requests")
	if b.leaving {
		return
	}
	all := make([]quarantine.Suspect, len(affected))
	for i, s := range affected {
		all[i] = s.Suspect
	}
	c.onCrash(b.upstream, all)
}

package share

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"acaciacleat.example/core/ratelimit"
	"acaciacleat.example/peers/link"
)

// permits are the permits that this entry is asking other entries for.
type permits struct {
	lastNumber atomic.Uint64

	mu      sync.Mutex
	waiting map[uint64]chan ratelimit.Reply
}

// permitTimeout bounds the time for a holder's reply: several round trips between zones.
const permitTimeout = 60 * time.Millisecond

// AskPermit asks the entry on a VM to grant a request. The result ok is false if it doesn't reply.
func (p *Peers) AskPermit(ctx context.Context, vm string, ask ratelimit.Ask) (reply ratelimit.Reply, ok bool) {
	ask.Number = p.permits.lastNumber.Add(1)
	replies := p.permits.open(ask.Number)
	defer p.permits.close(ask.Number)
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	if !p.sendToHolder(ctx, vm, &link.DispatchUpdate{Origin: p.config.Self.Incarnation, PermitAsk: &ask}) {
		return reply, false
	}
	select {
	case reply = <-replies:
		return reply, true
	case <-ctx.Done():
	}
	return reply, false
}

// sendToHolder sends a message to a relay. It opens a link if there is none: an entry is usually linked to
// the relays of its own zone only.
func (p *Peers) sendToHolder(ctx context.Context, vm string, message link.Message) bool {
	if p.sendToEntry(vm, message) {
		return true
	}
	p.mu.Lock()
	relay, ok := p.directory.Find(vm)
	node := p.node
	p.mu.Unlock()
	if !ok || node == nil {
		return false
	}
	c, err := node.Dial(ctx, vm, relay.Link)
	if err != nil {
		p.config.Log.Debug().Err(err).Str("entry", vm).Msg("the holder of a share could not be dialled")
		return false
	}
	return c.Send(message) == nil
}

func (s *permits) open(number uint64) <-chan ratelimit.Reply {
	replies := make(chan ratelimit.Reply, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == nil {
		s.waiting = make(map[uint64]chan ratelimit.Reply)
	}
	s.waiting[number] = replies
	return replies
}

func (s *permits) close(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, number)
}

// deliver passes a reply on, unless it comes too late.
func (s *permits) deliver(reply ratelimit.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if replies := s.waiting[reply.Number]; replies != nil {
		delete(s.waiting, reply.Number)
		replies <- reply
	}
}

// handlePermits answers an entry's question for a permit, and delivers the reply to one of this
// entry's own.
func (p *Peers) handlePermits(c *link.Conn, now time.Time, m *link.DispatchUpdate) {
	if m.PermitAsk != nil {
		reply := p.config.Fleet.Grant(now, uint64(m.Origin), *m.PermitAsk)
		p.sendTo(c, &link.DispatchUpdate{Origin: p.config.Self.Incarnation, PermitReply: &reply})
	}
	if m.PermitReply != nil {
		p.permits.deliver(*m.PermitReply)
	}
}

// sendToEntry sends a message to the entry on a VM; it reports whether there is a link.
func (p *Peers) sendToEntry(vm string, message link.Message) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known[vm]
	return known != nil && known.conn != nil && known.conn.Send(message) == nil
}

package share

import (
	"context"
	"time"

	"acaciacleat.example/core/follow"
	"acaciacleat.example/core/overlay"
	"acaciacleat.example/peers/pause"
)

const (
	// startDialInterval and dialInterval are the intervals between attempts to dial entries without a
	// link, until this entry is settled and after that.
	startDialInterval = 100 * time.Millisecond
	dialInterval      = time.Second
	// settleTimeout is how long an entry that has just started waits until it knows whether it is
	// linked to others. Then it reads the store by itself.
	settleTimeout = 3 * time.Second
	// firstSettleTime is the least of these times where all entries start at once: the relays are
	// chosen only then.
	firstSettleTime = 900 * time.Millisecond
)

// maintainLinks claims a slot if there is one, and dials other entries periodically until ctx ends.
func (p *Peers) maintainLinks(ctx context.Context) {
	wasRelay := false
	for ctx.Err() == nil {
		p.updateRelays(ctx)
		if relay := p.isRelay(); relay != wasRelay {
			wasRelay = relay
			p.config.Log.Info().Bool("relay", relay).Msg("whether this entry is a relay has changed")
			p.announce()
		}
		p.dial(ctx)
		now := time.Now()
		p.reportSize(now)
		if p.isSettled() {
			pause.For(ctx, dialInterval)
			continue
		}
		pause.For(ctx, startDialInterval)
		if p.knowsLinks(time.Now()) {
			p.settle()
		}
	}
}

func (p *Peers) isRelay() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, relay := p.directory.Find(p.config.Self.VM)
	return relay
}

func (p *Peers) isSettled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settled
}

// settle records that this entry knows whether it is linked to others.
func (p *Peers) settle() {
	p.mu.Lock()
	p.settled = true
	p.mu.Unlock()
	p.config.OnRole()
}

// knowsLinks reports whether this entry knows how it is linked: half of its links are open, each entry to
// which it should be linked was dialled, or the fleet is so small that each reads for itself. Until a relay
// of the zone is known that can't be said.
func (p *Peers) knowsLinks(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.config.FirstStart && now.Sub(p.startAt) < firstSettleTime || len(p.directory.InZone(p.config.Self.Zone)) == 0 {
		return false
	}
	wanted := p.wanted()
	linked, dialled := 0, 0
	for _, r := range wanted {
		known := p.known[r.VM]
		if known != nil && known.conn != nil {
			linked++
		}
		if known != nil && (known.conn != nil || known.dialled) {
			dialled++
		}
	}
	return len(wanted) < follow.MaxStandalone || dialled == len(wanted) || 2*linked >= len(wanted)
}

// wanted returns the relays to which this entry should be linked. It is called with mu held.
func (p *Peers) wanted() []overlay.Relay {
	relays := p.directory.InZone(p.config.Self.Zone)
	if _, relay := p.directory.Find(p.config.Self.VM); relay {
		relays = p.directory.All()
	}
	for i, r := range relays {
		if r.VM == p.config.Self.VM {
			return append(relays[:i:i], relays[i+1:]...)
		}
	}
	return relays
}

// dial dials the relays to which this entry should be linked, and forgets entries that have been
// without a link for removeAfter. Of two relays the one whose name is less dials; the other one does so
// only if that takes long, or if it alone has just started.
func (p *Peers) dial(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	_, relay := p.directory.Find(p.config.Self.VM)
	wanted := make(map[string]bool)
	for _, r := range p.wanted() {
		wanted[r.VM] = true
		known := p.known[r.VM]
		if known == nil {
			known = &peer{unreachableSince: now, zone: r.Zone}
			p.known[r.VM] = known
		}
		if known.conn != nil || known.dialling {
			continue
		}
		mayWait := p.settled || p.config.FirstStart
		if relay && mayWait && r.VM < p.config.Self.VM && now.Sub(known.unreachableSince) < dialInterval {
			known.dialled = true
			continue
		}
		known.dialling = true
		go p.connect(ctx, r.VM, r.Link)
	}
	for vm, known := range p.known {
		if !wanted[vm] && known.conn == nil && now.Sub(known.unreachableSince) > removeAfter {
			delete(p.known, vm)
		}
	}
}

// connect dials an entry. OnOpen records the link.
func (p *Peers) connect(ctx context.Context, vm, address string) {
	_, err := p.node.Dial(ctx, vm, address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.known[vm]; known != nil {
		known.dialling, known.dialled = false, true
	}
	if err != nil {
		p.config.Log.Debug().Err(err).Str("entry", vm).Msg("entry could not be dialled")
	}
}

// failureMemory is how long a relay whose read of the store has failed doesn't follow the feeds, unless
// it reads again before.
const failureMemory = 10 * time.Second

// relayRole returns the role of this entry as a relay. It is called with mu held.
func (p *Peers) relayRole(now time.Time) follow.Role {
	role := follow.RoleOf(follow.Member{VM: p.config.Self.VM, Zone: p.config.Self.Zone}, p.readingRelays(now))
	failed, ok := p.failing[p.config.Self.VM]
	if role == follow.Follower && ok && now.Sub(failed) < failureMemory {
		return follow.Listener // Others follow in its place.
	}
	return role
}

// readingRelays returns the linked relays that can read the store. It is called with mu held.
func (p *Peers) readingRelays(now time.Time) []follow.Member {
	var reading []follow.Member
	for _, r := range p.currentPaths().Relays() {
		if failed, ok := p.failing[r.VM]; !ok || now.Sub(failed) > failureMemory {
			reading = append(reading, follow.Member(r))
		}
	}
	return reading
}

package share

import (
	"acaciacleat.example/core/follow"
	"acaciacleat.example/peers/link"
)

// Role returns this entry's role in following the platform's feeds for its zone.
func (p *Peers) Role() follow.Role {
	p.mu.Lock()
	defer p.mu.Unlock()
	return follow.RoleOf(p.config.Self.VM, p.config.Self.Zone, p.zones()[p.config.Self.Zone])
}

// ForwardFeedUpdate sends what this entry has read from a feed to the entries of its zone.
func (p *Peers) ForwardFeedUpdate(update *link.FeedUpdate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.send(p.zones()[p.config.Self.Zone], update)
}

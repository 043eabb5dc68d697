package share

import (
	"acaciacleat.example/core/follow"
	"acaciacleat.example/peers/link"
)

// Role returns what this entry does for the others' knowledge of the platform's feeds.
func (p *Peers) Role() follow.Role {
	p.mu.Lock()
	defer p.mu.Unlock()
	return follow.RoleOf(p.config.Self.VM, p.config.Self.Zone, p.zones()[p.config.Self.Zone])
}

// TellNews passes what this entry has read of a feed on to the entries of its zone.
func (p *Peers) TellNews(news *link.News) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.send(p.zones()[p.config.Self.Zone], news)
}

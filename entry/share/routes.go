package share

import (
	"time"

	"acaciacleat.example/peers/link"
)

// Entries announce the version of the routes that they have in force and send the routes
// themselves only to one that asks. Each change reaches nearly all entries by the store's
// feed: sent along with each announcement, a table of a megabyte would cross the links of
// 30 entries 900 times.

// askAfter is how long an entry waits for its own feed before it asks another for routes
// that were announced: some times the store's answer, far under the time in which a change
// must be in force.
const askAfter = 150 * time.Millisecond

// TellRoutes announces the routes in force to all others.
func (p *Peers) TellRoutes() {
	value, version := p.config.Routes()
	if value == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, members := range p.zones() {
		p.send(members, &link.Routes{Version: version})
	}
}

// hearRoutes takes another entry's announcement, or the routes that were asked for.
func (p *Peers) hearRoutes(c *link.Conn, routes *link.Routes) {
	if len(routes.Value) > 0 {
		p.config.Offer(routes.Value)
		return
	}
	if routes.Version <= p.version() || !p.asking.CompareAndSwap(false, true) {
		return
	}
	version := routes.Version
	time.AfterFunc(askAfter, func() {
		p.asking.Store(false)
		if p.version() < version {
			p.sendOne(c, &link.RoutesAsk{})
		}
	})
}

// version returns that of the routes in force; zero for none.
func (p *Peers) version() uint64 {
	_, version := p.config.Routes()
	return version
}

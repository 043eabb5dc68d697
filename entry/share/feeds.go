package share

import (
	"time"

	"acaciacleat.example/core/follow"
	"acaciacleat.example/core/overlay"
	"acaciacleat.example/peers/link"
)

// ForwardFeedUpdate sends what this entry has read from a feed to all entries or to those of its zone.
func (p *Peers) ForwardFeedUpdate(update *link.FeedUpdate, allZones bool) {
	p.mu.Lock()
	paths := p.currentPaths()
	if allZones {
		p.noteFailure(p.config.Self.VM, update)
	}
	p.mu.Unlock()
	route := paths.InZone()
	if allZones {
		route = paths.Own()
	}
	p.sendFeedUpdate(route, "", update)
}

func (p *Peers) sendFeedUpdate(route overlay.Route, except string, update *link.FeedUpdate) {
	outgoing := *update
	if outgoing.Follower == "" {
		outgoing.Follower = p.config.Self.VM
	}
	p.sendAlong(route, except, func(forward bool) link.Message {
		outgoing.Forward = forward
		return &outgoing
	})
}

// onFeedUpdate handles what a follower has read, and passes it on if it is asked to.
func (p *Peers) onFeedUpdate(c *link.Conn, update *link.FeedUpdate) {
	follower := update.Follower
	if follower == "" {
		follower = c.Peer().VM
	}
	if update.Forward {
		p.mu.Lock()
		route := p.currentPaths().Onward(overlay.Peer{VM: c.Peer().VM, Zone: c.Peer().Zone})
		p.mu.Unlock()
		p.counters.forwarded.Add(1)
		p.sendFeedUpdate(route, c.Peer().VM, update)
	}
	p.mu.Lock()
	p.noteFailure(follower, update)
	p.mu.Unlock()
	p.config.OnFeedUpdate(follower, update)
}

// noteFailure records whether an entry can read the store. It is called with mu held.
func (p *Peers) noteFailure(vm string, update *link.FeedUpdate) {
	if update.ReadFailed {
		p.failing[vm] = time.Now()
	} else if update.Recovered {
		delete(p.failing, vm)
	}
}

// AskForState asks another entry for the state of a feed. It reports false if there is none to ask. A
// relay asks a follower, any other entry a relay of its zone, each time another one.
func (p *Peers) AskForState(feed link.Feed) bool {
	p.mu.Lock()
	paths := p.currentPaths()
	candidates := paths.ZoneRelays()
	if paths.Relay() {
		candidates = p.followersToAsk()
	}
	p.asks++
	n := p.asks
	p.mu.Unlock()
	if len(candidates) == 0 {
		return false
	}
	p.counters.stateAsked.Add(1)
	return p.sendToEntry(candidates[n%len(candidates)], &link.Overlay{Ask: []link.Feed{feed}})
}

// followersToAsk returns the linked followers. It is called with mu held.
func (p *Peers) followersToAsk() []string {
	reading := p.readingRelays(time.Now())
	self := follow.Member{VM: p.config.Self.VM, Zone: p.config.Self.Zone}
	var vms []string
	for _, m := range follow.Followers(self, reading) {
		if m != self {
			vms = append(vms, m.VM)
		}
	}
	return vms
}

// SendState sends the state of a feed to an entry that has asked for it, with what belongs to it: the
// evacuated zones to the routes, and the placements of all entries to the upstreams.
func (p *Peers) SendState(vm string, state *link.FeedUpdate) {
	now, fleet := time.Now(), p.config.Fleet
	update := link.DispatchUpdate{Origin: p.config.Self.Incarnation}
	if state.Feed == link.FeedRoutes {
		update.Evacuation = p.config.Evacuations.Current()
		p.sendToEntry(vm, &update)
		p.sendToEntry(vm, state)
		return
	}
	p.sendToEntry(vm, state)
	update.Limits, update.Cold, update.Paces = fleet.CurrentLimits(now), fleet.CurrentCold(now), fleet.CurrentPaces(now)
	p.sendToEntry(vm, &update)
	for origin, events := range fleet.Snapshots(now) {
		p.sendToEntry(vm, &link.DispatchUpdate{Origin: origin, Events: events})
	}
}

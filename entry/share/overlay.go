package share

import (
	"net/netip"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/overlay"
	"acaciacleat.example/peers/link"
)

// belongs reports whether a link to an entry is part of the overlay: the entry is in this zone, or both
// are relays. It is called with mu held.
func (p *Peers) belongs(other link.Identity) bool {
	if other.Zone == p.config.Self.Zone {
		return true
	}
	_, here := p.directory.Find(p.config.Self.VM)
	_, there := p.directory.Find(other.VM)
	return here && there
}

// adoptLinks makes the open links part of the overlay that belong to it. A link of a relay that has just
// claimed its slot does so only once that is known here.
func (p *Peers) adoptLinks() {
	var adopted []*link.Conn
	p.mu.Lock()
	for _, known := range p.known {
		if known.conn != nil && !known.adopted && p.belongs(known.conn.Peer()) {
			known.adopted = true
			adopted = append(adopted, known.conn)
		}
	}
	if len(adopted) > 0 {
		p.linksChanged()
	}
	p.mu.Unlock()
	now := time.Now()
	for _, c := range adopted {
		c.Retain() // Keeps heartbeats running, so that a silent link is detected.
		peer := c.Peer()
		p.config.Log.Info().Str("entry", peer.VM).Uint64("origin", uint64(peer.Incarnation)).Msg("entry linked")
		p.config.Fleet.RecordLink(now, peer.VM)
		p.greet(now, c)
		if value, version := p.config.Routes(); value != nil {
			p.sendTo(c, &link.Routes{Version: version})
		}
	}
	if len(adopted) > 0 {
		p.config.OnRole()
	}
}

// relaysChanged is called after the known relays have changed.
func (p *Peers) relaysChanged() {
	p.notifyEntries()
	p.adoptLinks()
	p.config.OnRole()
}

// greet sends what an entry needs that has just been linked. A relay says what it knows of others; any
// other entry has its placements passed on to all by its relay.
func (p *Peers) greet(now time.Time, c *link.Conn) {
	p.mu.Lock()
	paths := p.currentPaths()
	hello := &link.Overlay{Relays: p.directory.All(), Sizes: p.sizes.All()}
	own := paths.Own()
	p.mu.Unlock()
	fleet := p.config.Fleet
	update := &link.DispatchUpdate{
		Origin: p.config.Self.Incarnation, Quarantine: p.config.Quarantine.Current(), Limits: fleet.CurrentLimits(now),
		Cold: fleet.CurrentCold(now), Paces: fleet.CurrentPaces(now), Evacuation: p.config.Evacuations.Current(),
	}
	switch {
	case paths.Relay():
		p.sendTo(c, hello)
		update.Events = fleet.Snapshot(now)
		p.sendTo(c, update)
	case len(own.Forward) == 1 && own.Forward[0] == c.Peer().VM:
		p.sendTo(c, update)
		p.sendSnapshotToAll()
	}
}

// sendSnapshotToAll sends all placements of this entry to all others.
func (p *Peers) sendSnapshotToAll() {
	if events := p.config.Fleet.Snapshot(time.Now()); len(events) > 0 {
		p.broadcast(link.DispatchUpdate{Origin: p.config.Self.Incarnation, Events: events})
	}
}

// onOverlay handles what another entry says of the overlay.
func (p *Peers) onOverlay(c *link.Conn, m *link.Overlay) {
	now := time.Now()
	p.learnRelays(c.Peer(), m.Relays)
	p.learnSizes(now, c.Peer(), m.Sizes)
	for _, origin := range m.Gone {
		if origin != p.config.Self.Incarnation {
			p.removeOrigin(now, origin)
		}
	}
	for _, feed := range m.Ask {
		p.config.OnAsk(c.Peer().VM, feed)
	}
	if m.Forward {
		onward := link.Overlay{Relays: m.Relays, Sizes: m.Sizes, Gone: m.Gone}
		p.forward(c, func(forward bool) link.Message {
			onward.Forward = forward
			return &onward
		})
	}
}

// maxRelays bounds the known relays, at several times the size that the system is designed for.
const maxRelays = 40 * overlay.RelaysPerZone

// learnRelays records relays that another entry has named, and passes those on that are news.
func (p *Peers) learnRelays(sender link.Identity, relays []overlay.Relay) {
	var news []overlay.Relay
	p.mu.Lock()
	for _, r := range relays {
		if _, err := netip.ParseAddrPort(r.Link); err != nil || r.Zone == "" || p.directory.Len() >= maxRelays {
			p.counters.invalidRelays.Add(1)
			p.config.Log.Warn().Str("entry", sender.VM).Str("relay", r.VM).Str("link", r.Link).
				Msg("a relay that another entry names is not taken up: its zone or address is invalid, or there are too many")
			continue
		}
		if p.directory.Set(r) {
			news = append(news, r)
		}
	}
	if len(news) == 0 {
		p.mu.Unlock()
		return
	}
	p.linksChanged()
	paths := p.currentPaths()
	p.mu.Unlock()
	if paths.Relay() {
		p.sendAlong(paths.InZone(), sender.VM, func(bool) link.Message { return &link.Overlay{Relays: news} })
	}
	p.relaysChanged()
}

// learnSizes records the numbers of entries of zones that relays have counted.
func (p *Peers) learnSizes(now time.Time, sender link.Identity, sizes []overlay.ZoneSize) {
	if len(sizes) == 0 {
		return
	}
	p.mu.Lock()
	for _, size := range sizes {
		if !p.sizes.Report(now, size) {
			p.counters.invalidSizes.Add(1)
			p.config.Log.Warn().Str("entry", sender.VM).Str("zone", size.Zone).Int("entries", size.Entries).
				Msg("the size of a zone is not taken up: the number can't be right")
		}
	}
	p.mu.Unlock()
	p.notifyEntries()
}

// sizeInterval is the interval at which a zone's size is reported again, so that everybody hears it whose
// link to a relay was lost.
const sizeInterval = 10 * time.Second

// reportSize counts the entries of this zone and reports the number, if this relay does so for its zone.
func (p *Peers) reportSize(now time.Time) {
	p.mu.Lock()
	paths := p.currentPaths()
	if !paths.Relay() {
		p.mu.Unlock()
		return
	}
	size := overlay.ZoneSize{Zone: p.config.Self.Zone, Entries: 1}
	for _, known := range p.known {
		if known.zone == size.Zone && (known.conn != nil || now.Sub(known.unreachableSince) < maxUnlinkedServing) {
			size.Entries++
		}
	}
	p.sizes.Report(now, size)
	due := size != p.rows.reportedSize || now.Sub(p.rows.sizeReportedAt) > sizeInterval
	if due {
		p.rows.reportedSize, p.rows.sizeReportedAt = size, now
	}
	p.mu.Unlock()
	if !due {
		return
	}
	p.notifyEntries()
	if paths.Speaks(size.Zone, 1) {
		p.broadcastOverlay(link.Overlay{Sizes: []overlay.ZoneSize{size}})
	}
}

// maxOrigins bounds the remembered origins.
const maxOrigins = 100_000

// noteOrigin records the zone from which an entry's messages are relayed.
func (p *Peers) noteOrigin(c *link.Conn, origin call.Incarnation) {
	zone := c.Peer().Zone
	if zone == p.config.Self.Zone {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.origins[origin] != zone && len(p.origins) < maxOrigins {
		p.origins[origin] = zone
	}
}

// forgetOrigins drops the placements of an entry that is still without a link, and those of all entries
// of its zone if no relay of the zone is linked any more. If an entry has died, its callers' connections
// have closed and upstreams cancel their requests. If the placements were kept, these upstreams would
// look busy for as long as the requests could have taken.
func (p *Peers) forgetOrigins(lost link.Identity) {
	now := time.Now()
	p.mu.Lock()
	known := p.known[lost.VM]
	unlinked := known != nil && known.conn == nil
	var origin call.Incarnation
	if unlinked {
		origin = known.incarnation
	}
	var zoneOrigins []call.Incarnation
	zoneLost := lost.Zone != p.config.Self.Zone && p.currentPaths().Relay()
	for _, r := range p.currentPaths().Relays() {
		zoneLost = zoneLost && r.Zone != lost.Zone
	}
	if zoneLost {
		for origin, zone := range p.origins {
			if zone == lost.Zone {
				zoneOrigins = append(zoneOrigins, origin)
			}
		}
	}
	p.mu.Unlock()
	if unlinked {
		p.originGone(now, lost.VM, origin)
	}
	for _, origin := range zoneOrigins {
		p.removeOrigin(now, origin)
	}
	if len(zoneOrigins) > 0 {
		p.tellZone(lost.Zone, zoneOrigins)
	}
}

// tellZone tells the entries of this zone of placements that are over, if this relay does so for its
// zone.
func (p *Peers) tellZone(subject string, gone []call.Incarnation) {
	p.mu.Lock()
	paths := p.currentPaths()
	p.mu.Unlock()
	if paths.Speaks(subject, 1) {
		p.sendAlong(paths.InZone(), "", func(bool) link.Message { return &link.Overlay{Gone: gone} })
	}
}

// originGone drops the placements of an incarnation that has ended or can't be reached, and tells all
// others if this relay does so for its zone.
func (p *Peers) originGone(now time.Time, vm string, origin call.Incarnation) {
	p.removeOrigin(now, origin)
	p.mu.Lock()
	paths := p.currentPaths()
	known := p.known[vm]
	ofThisZone := known != nil && known.zone == p.config.Self.Zone
	p.mu.Unlock()
	if ofThisZone && paths.Speaks(vm, 1) {
		p.broadcastOverlay(link.Overlay{Gone: []call.Incarnation{origin}})
	}
}

func (p *Peers) removeOrigin(now time.Time, origin call.Incarnation) {
	p.mu.Lock()
	delete(p.origins, origin)
	p.mu.Unlock()
	p.config.Fleet.RemoveOrigin(now, uint64(origin))
}

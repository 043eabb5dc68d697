package share

import (
	"context"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/follow"
	"acaciacleat.example/core/rendezvous"
	"acaciacleat.example/core/slowstart"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/pause"
)

// runBroadcasts sends this entry's placements and its observations of upstreams to all other
// entries, in batches.
func (p *Peers) runBroadcasts(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.config.Fleet.Pending():
		case <-p.config.Quarantine.Pending():
		case <-p.config.Evacuations.Pending():
		}
		pause.For(ctx, batchDelay)
		now := time.Now()
		message := link.DispatchUpdate{
			Origin:     p.config.Self.Incarnation,
			Events:     p.config.Fleet.TakeEvents(),
			Reports:    p.config.Fleet.TakeReports(now),
			Limits:     p.config.Fleet.TakeLimitReports(now),
			Cold:       p.coldReports(now),
			Paces:      p.config.Fleet.TakePaces(now),
			Quarantine: p.config.Quarantine.Reports(),
			Evacuation: p.config.Evacuations.TakeReport(),
			Shares:     p.config.Fleet.TakeShareReports(now),
			Zones:      p.zoneReports(now),
		}
		if !message.IsEmpty() {
			p.broadcast(message)
		}
	}
}

// coldReports returns the cold times to report. Of the entries of a zone, those that read the store for it
// report what they have read.
func (p *Peers) coldReports(now time.Time) []slowstart.Report {
	if !p.config.Fleet.ColdReportsPending() {
		return nil
	}
	return p.config.Fleet.TakeColdReports(now, p.Role() != follow.Listener)
}

// zoneReports returns the cuts to report. Of the entries of a zone, those that read the store for it repeat
// theirs.
func (p *Peers) zoneReports(now time.Time) []dispatch.ZoneReport {
	if p.config.Fleet.CutZones() == 0 {
		return nil
	}
	return p.config.Fleet.ZoneReports(now, p.Role() != follow.Listener)
}

// broadcast sends a message to the entries of this availability zone and to one entry of every
// other zone, which forwards it within its zone. Traffic between zones then doesn't grow with the
// number of entries.
func (p *Peers) broadcast(message link.DispatchUpdate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for zone, members := range p.zones() {
		if zone == p.config.Self.Zone {
			p.send(members, &message)
			continue
		}
		relay := members[rendezvous.Ranked(p.config.Self.VM, members)[0]]
		relayed := message
		relayed.Forward = len(members) > 1
		p.send([]string{relay}, &relayed)
	}
}

// zones groups the linked entries by availability zone. It is called with mu held.
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
			p.logSendFailure(err, vm)
		}
	}
}

// forwardInZone forwards a message from an entry of another zone to the entries of this zone.
func (p *Peers) forwardInZone(message *link.DispatchUpdate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	forwarded := *message
	forwarded.Forward = false
	p.send(p.zones()[p.config.Self.Zone], &forwarded)
}

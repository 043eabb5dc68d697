package share

import (
	"context"
	"time"

	"acaciacleat.example/core/rendezvous"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/pause"
)

// tell sends what this entry has placed, and has seen of upstreams, to all others, in batches.
func (p *Peers) tell(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.config.Fleet.Pending():
		case <-p.config.Quarantine.Told():
		}
		pause.For(ctx, batchFor)
		works := link.Works{
			Origin:     p.config.Self.Incarnation,
			Events:     p.config.Fleet.TakeEvents(),
			Reports:    p.config.Fleet.TakeReports(time.Now()),
			Quarantine: p.config.Quarantine.Reports(),
		}
		if len(works.Events)+len(works.Reports)+len(works.Quarantine) > 0 {
			p.spread(works)
		}
	}
}

// spread sends works to the entries of the own availability zone and to one of each other
// zone, which passes them on there. What crosses zones then doesn't grow with the number
// of entries.
func (p *Peers) spread(works link.Works) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for zone, members := range p.zones() {
		if zone == p.config.Self.Zone {
			p.send(members, &works)
			continue
		}
		relay := members[rendezvous.Ranked(p.config.Self.VM, members)[0]]
		relayed := works
		relayed.Pass = len(members) > 1
		p.send([]string{relay}, &relayed)
	}
}

// zones returns the linked entries by availability zone. It is called with mu held.
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
			p.notTold(err, vm)
		}
	}
}

// pass hands a message of another zone's entry on to the entries of this zone.
func (p *Peers) pass(works *link.Works) {
	p.mu.Lock()
	defer p.mu.Unlock()
	passed := *works
	passed.Pass = false
	p.send(p.zones()[p.config.Self.Zone], &passed)
}

package share

import (
	"context"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/rendezvous"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/pause"
)

// tell sends what this entry has placed to all others, in batches.
func (p *Peers) tell(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.config.Fleet.Told():
		}
		pause.For(ctx, batchFor)
		if events := p.config.Fleet.News(); len(events) > 0 {
			p.spread(events)
		}
	}
}

// spread sends events to the entries of the own availability zone and to one of each other
// zone, which passes them on there. What crosses zones then doesn't grow with the number
// of entries.
func (p *Peers) spread(events []dispatch.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for zone, members := range p.zones() {
		if zone == p.config.Self.Zone {
			p.send(members, &link.Works{Origin: p.config.Self.Incarnation, Events: events})
			continue
		}
		relay := members[rendezvous.Ranked(p.config.Self.VM, members)[0]]
		p.send([]string{relay}, &link.Works{Origin: p.config.Self.Incarnation, Events: events, Pass: len(members) > 1})
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
			p.config.Log.Debug().Err(err).Str("entry", vm).Msg("not told")
		}
	}
}

// pass hands a message of another zone's entry on to the entries of this zone.
func (p *Peers) pass(works *link.Works) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.send(p.zones()[p.config.Self.Zone], &link.Works{Origin: works.Origin, Events: works.Events})
}

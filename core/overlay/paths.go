package overlay

import (
	"slices"

	"acaciacleat.example/core/rendezvous"
)

// Peer is an entry to which there is a link.
type Peer struct {
	VM   string
	Zone string
}

// Paths are the ways of messages from one entry over its open links. They are immutable.
type Paths struct {
	self  Peer
	relay bool
	// zone are all linked entries of the own zone, relays those that are relays by zone, in order.
	zone   []string
	relays map[string][]string
}

// NewPaths returns the paths of an entry. linked are the entries to which it has links.
func NewPaths(self Peer, linked []Peer, directory *Directory) *Paths {
	p := &Paths{self: self, relays: make(map[string][]string)}
	_, p.relay = directory.Find(self.VM)
	for _, peer := range linked {
		if peer.Zone == self.Zone {
			p.zone = append(p.zone, peer.VM)
		}
		if r, ok := directory.Find(peer.VM); ok && r.Zone == peer.Zone {
			p.relays[peer.Zone] = append(p.relays[peer.Zone], peer.VM)
		}
	}
	slices.Sort(p.zone)
	for _, relays := range p.relays {
		slices.Sort(relays)
	}
	return p
}

// Relay reports whether the entry itself is a relay.
func (p *Paths) Relay() bool { return p.relay }

// ZoneRelays returns the linked relays of the own zone.
func (p *Paths) ZoneRelays() []string { return p.relays[p.self.Zone] }

// Relays returns all linked relays.
func (p *Paths) Relays() []Peer {
	var all []Peer
	for zone, relays := range p.relays {
		for _, vm := range relays {
			all = append(all, Peer{VM: vm, Zone: zone})
		}
	}
	return all
}

// Route says to which entries a message goes. Those under Forward pass it on.
type Route struct {
	Direct  []string
	Forward []string
}

// Own returns the route of the entry's own messages to all entries.
func (p *Paths) Own() Route {
	if p.relay {
		return Route{Direct: p.zone, Forward: p.otherZones(p.self.VM)}
	}
	if relays := p.ZoneRelays(); len(relays) > 0 {
		return Route{Forward: []string{first(p.self.VM, relays)}}
	}
	// Nobody passes messages on, so that they reach at least the linked entries.
	return Route{Direct: p.zone}
}

// InZone returns the route of the entry's own messages to the entries of its zone.
func (p *Paths) InZone() Route { return Route{Direct: p.zone} }

// Onward returns the route of a message that an entry has sent to be passed on: to the own zone and,
// if it comes from there, to all other zones.
func (p *Paths) Onward(sender Peer) Route {
	if sender.Zone != p.self.Zone {
		return Route{Direct: p.zone}
	}
	direct := slices.DeleteFunc(slices.Clone(p.zone), func(vm string) bool { return vm == sender.VM })
	return Route{Direct: direct, Forward: p.otherZones(sender.VM)}
}

// otherZones returns one relay of every other zone, another one for each origin, so that they share
// the work.
func (p *Paths) otherZones(origin string) []string {
	var chosen []string
	for zone, relays := range p.relays {
		if zone != p.self.Zone {
			chosen = append(chosen, first(origin, relays))
		}
	}
	slices.Sort(chosen)
	return chosen
}

// Speaks reports whether the entry is among the relays of its zone that report on a subject for the
// zone; count is their number.
func (p *Paths) Speaks(subject string, count int) bool {
	if !p.relay {
		return false
	}
	relays := append(slices.Clone(p.ZoneRelays()), p.self.VM)
	ranked := rendezvous.Ranked(subject, relays)
	for _, i := range ranked[:min(count, len(ranked))] {
		if relays[i] == p.self.VM {
			return true
		}
	}
	return false
}

func first(key string, vms []string) string { return vms[rendezvous.Ranked(key, vms)[0]] }

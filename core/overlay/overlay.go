// Package overlay decides which entries of a deployment are linked, and which way a message takes
// to all of them. It does no I/O.
//
// A few entries of each availability zone are relays. All relays are linked to each other, and every
// other entry to all relays of its own zone. So the number of an entry's links does not grow with the
// fleet. A message reaches everybody in three hops: from its origin to a relay of its zone, from there
// to the zone and to one relay of every other zone, and from that relay to its zone. Where a zone has
// no more entries than relays, all are relays and each message takes one hop less.
package overlay

import (
	"cmp"
	"slices"
)

// RelaysPerZone bounds the relays of an availability zone. The loss of a few at once leaves the others
// of the zone connected, and it is the number of links of an entry that is no relay.
const RelaysPerZone = 8

// Relay is an entry that passes messages on, as stored in one of the slots of its zone.
type Relay struct {
	VM   string
	Zone string
	// Link is the address on which it accepts links.
	Link string
	// Slot is from 0 to RelaysPerZone-1. Version is that of the stored slot: a later one replaces an
	// earlier one.
	Slot    int
	Version uint64
}

// place identifies a slot.
type place struct {
	zone string
	slot int
}

// Directory holds the known relays. It is not safe for concurrent use.
type Directory struct{ slots map[place]Relay }

// Set records the holder of a slot. It reports whether this is news.
func (d *Directory) Set(r Relay) bool {
	at := place{r.Zone, r.Slot}
	if r.Slot < 0 || r.Slot >= RelaysPerZone || r.VM == "" || d.slots[at].Version >= r.Version {
		return false
	}
	if d.slots == nil {
		d.slots = make(map[place]Relay)
	}
	d.slots[at] = r
	return true
}

// SetAll records the holders of all slots as of a version of the store. A slot that isn't among them was
// released, unless it was taken later. SetAll reports whether anything has changed.
func (d *Directory) SetAll(all []Relay, version uint64) bool {
	changed := false
	for at, known := range d.slots {
		listed := slices.ContainsFunc(all, func(r Relay) bool { return r.Zone == at.zone && r.Slot == at.slot })
		if !listed && known.Version <= version {
			delete(d.slots, at)
			changed = true
		}
	}
	for _, r := range all {
		changed = d.Set(r) || changed
	}
	return changed
}

// Len returns the number of known relays.
func (d *Directory) Len() int { return len(d.slots) }

// All returns the known relays, ordered by zone and slot.
func (d *Directory) All() []Relay {
	all := make([]Relay, 0, len(d.slots))
	for _, r := range d.slots {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Relay) int { return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Slot, b.Slot)) })
	return all
}

// zones returns the number of relays of each zone.
func (d *Directory) zones() map[string]int {
	zones := make(map[string]int)
	for at := range d.slots {
		zones[at.zone]++
	}
	return zones
}

// InZone returns the relays of a zone, ordered by slot.
func (d *Directory) InZone(zone string) []Relay {
	return slices.DeleteFunc(d.All(), func(r Relay) bool { return r.Zone != zone })
}

// Find returns the slot that an entry holds; ok is false if it is no relay.
func (d *Directory) Find(vm string) (relay Relay, ok bool) {
	for _, r := range d.slots {
		if r.VM == vm {
			return r, true
		}
	}
	return Relay{}, false
}

package overlay

import (
	"math/rand/v2"
	"time"
)

// Machine is what the machine of an entry can bear; zero where it isn't known.
type Machine struct {
	// Cores is the processor time that the entry may use, in cores.
	Cores float64
	// LinkMbps is the bandwidth of its link in Mbit/s.
	LinkMbps float64
}

// The least that a machine needs so that it claims a slot before others: a relay sends each message to
// all entries of its zone.
const (
	relayCores    = 0.25
	relayLinkMbps = 100
)

// Suited reports whether a machine bears the work of a relay. A machine of which nothing is known does.
func (m Machine) Suited() bool {
	return (m.Cores == 0 || m.Cores >= relayCores) && (m.LinkMbps == 0 || m.LinkMbps >= relayLinkMbps)
}

// The delays before claims. Entries that start at once must not all claim, so the claims are spread;
// machines that are less suited leave the slots to the others for a while.
const (
	claimSpread   = 400 * time.Millisecond
	unsuitedDelay = 1200 * time.Millisecond
)

// ClaimDelay returns how long an entry waits before it reads the slots in order to claim one.
func (m Machine) ClaimDelay(random *rand.Rand) time.Duration {
	delay := time.Duration(random.Int64N(int64(claimSpread)))
	if !m.Suited() {
		delay += unsuitedDelay
	}
	return delay
}

// FreshRead is how old the knowledge of the slots may be when an entry claims one.
const FreshRead = time.Second

// Claim is the attempt to take a slot.
type Claim struct {
	Slot int
	// Replaces is the version of the slot's present holder; zero for a free slot.
	Replaces uint64
}

// abandonedAfter is how long a relay must be unreachable before another entry takes its slot. It
// covers the restart of a VM.
const abandonedAfter = 15 * time.Second

// NextClaim returns the slot of a zone that an entry may claim. unreachable returns for how long a
// relay has had no link to this entry; zero means that it is linked.
//
// A slot is taken from its holder only by an entry that reaches another relay of the zone, or after
// several times abandonedAfter: an entry that is cut off can't tell that the relays are alive.
func (d *Directory) NextClaim(zone string, random *rand.Rand, unreachable func(vm string) time.Duration) (claim Claim, ok bool) {
	const alone = 4 // How many times as long an entry waits that reaches no relay.
	relays := d.InZone(zone)
	taken := make(map[int]bool, len(relays))
	patience := alone * abandonedAfter
	for _, r := range relays {
		taken[r.Slot] = true
		if unreachable(r.VM) == 0 {
			patience = abandonedAfter
		}
	}
	var free []Claim
	for slot := range RelaysPerZone {
		if !taken[slot] {
			free = append(free, Claim{Slot: slot})
		}
	}
	if len(free) == 0 {
		for _, r := range relays {
			if unreachable(r.VM) > patience {
				free = append(free, Claim{Slot: r.Slot, Replaces: r.Version})
			}
		}
	}
	if len(free) == 0 {
		return Claim{}, false
	}
	// A random one, since others claim at the same moment.
	return free[random.IntN(len(free))], true
}

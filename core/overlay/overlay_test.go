package overlay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	_ "acaciacleat.example/core/seeded"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fleet is a deployment whose entries are linked as the overlay says, without a network.
type fleet struct {
	peers     []Peer
	zoneOf    map[string]string
	directory Directory
	down      map[string]bool
	// cut are pairs of entries that can't reach each other.
	cut map[[2]string]bool
}

// newFleet returns a fleet of entries in turn in each zone. Relays have claimed their slots.
func newFleet(entries, zones int) *fleet {
	f := &fleet{zoneOf: make(map[string]string), down: make(map[string]bool), cut: make(map[[2]string]bool)}
	random := rand.New(rand.NewPCG(1, 2))
	reached := func(string) time.Duration { return 0 }
	for i := range entries {
		peer := Peer{VM: fmt.Sprintf("entry-%04d", i), Zone: fmt.Sprintf("zone-%d", i%zones)}
		f.peers = append(f.peers, peer)
		f.zoneOf[peer.VM] = peer.Zone
		if claim, ok := f.directory.NextClaim(peer.Zone, random, reached); ok {
			f.directory.Set(Relay{VM: peer.VM, Zone: peer.Zone, Link: "10.0.0.1:1", Slot: claim.Slot, Version: uint64(i) + 1})
		}
	}
	return f
}

// linked returns the entries to which an entry has links.
func (f *fleet) linked(self Peer) []Peer {
	_, relay := f.directory.Find(self.VM)
	var linked []Peer
	for _, other := range f.peers {
		_, otherRelay := f.directory.Find(other.VM)
		pair := [2]string{min(self.VM, other.VM), max(self.VM, other.VM)}
		wanted := relay && otherRelay || self.Zone == other.Zone && (relay || otherRelay)
		if other != self && wanted && !f.down[other.VM] && !f.cut[pair] {
			linked = append(linked, other)
		}
	}
	return linked
}

func (f *fleet) allPaths() map[string]*Paths {
	paths := make(map[string]*Paths)
	for _, p := range f.peers {
		if !f.down[p.VM] {
			paths[p.VM] = NewPaths(p, f.linked(p), &f.directory)
		}
	}
	return paths
}

// spread sends a message from an entry to all. It returns the number of hops after which each entry got it,
// and how often each one got it.
func (f *fleet) spread(paths map[string]*Paths, origin Peer) (hops, copies map[string]int) {
	type delivery struct {
		from, to Peer
		forward  bool
		hops     int
	}
	hops, copies = make(map[string]int), make(map[string]int)
	var queue []delivery
	send := func(from Peer, route Route, hops int) {
		for _, vm := range route.Direct {
			queue = append(queue, delivery{from, Peer{vm, f.zoneOf[vm]}, false, hops})
		}
		for _, vm := range route.Forward {
			queue = append(queue, delivery{from, Peer{vm, f.zoneOf[vm]}, true, hops})
		}
	}
	send(origin, paths[origin.VM].Own(), 1)
	for len(queue) > 0 {
		d := queue[0]
		queue = queue[1:]
		if copies[d.to.VM]++; copies[d.to.VM] == 1 {
			hops[d.to.VM] = d.hops
		}
		if d.forward {
			send(d.to, paths[d.to.VM].Onward(d.from), d.hops+1)
		}
	}
	return hops, copies
}

// Guards against links, or copies of a message, that grow with the fleet, and against entries that a message
// doesn't reach, or reaches twice.
func TestEverybodyIsReachedOverBoundedLinks(t *testing.T) {
	for _, size := range []struct{ entries, zones, hops int }{{1, 1, 0}, {4, 3, 2}, {20, 5, 2}, {50, 5, 3}, {500, 5, 3}, {1000, 5, 3}} {
		f := newFleet(size.entries, size.zones)
		paths := f.allPaths()
		for i, p := range f.peers {
			if _, relay := f.directory.Find(p.VM); !relay {
				require.Len(t, f.linked(p), RelaysPerZone)
			} else {
				require.LessOrEqual(t, len(f.linked(p)), size.entries/size.zones+RelaysPerZone*(size.zones-1))
			}
			if i%max(size.entries/100, 1) > 0 {
				continue
			}
			hops, copies := f.spread(paths, p)
			require.Len(t, hops, size.entries-1)
			require.Zero(t, copies[p.VM])
			for vm, n := range copies {
				require.Equal(t, 1, n)
				require.LessOrEqual(t, hops[vm], size.hops)
			}
		}
	}
}

// Guards against entries that aren't reached any more because relays of their zone are lost.
func TestLostRelaysLeaveNobodyUnheard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(12, 120).Draw(t, "entries"), rapid.IntRange(1, 4).Draw(t, "zones"))
		zones := make(map[string]int)
		for _, r := range f.directory.All() {
			if zones[r.Zone] < len(f.directory.InZone(r.Zone))-1 && rapid.Bool().Draw(t, "lost") {
				f.down[r.VM] = true
				zones[r.Zone]++
			}
		}
		paths := f.allPaths()
		for _, p := range f.peers {
			if f.down[p.VM] {
				continue
			}
			hops, _ := f.spread(paths, p)
			require.Len(t, hops, len(paths)-1)
		}
	})
}

// Guards against messages that circulate, or senders that get their own, while links are cut at random.
func TestMessagesEndWhateverLinksAreCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 60).Draw(t, "entries"), rapid.IntRange(1, 4).Draw(t, "zones"))
		for range rapid.IntRange(0, 200).Draw(t, "cuts") {
			a, b := rapid.SampledFrom(f.peers).Draw(t, "a").VM, rapid.SampledFrom(f.peers).Draw(t, "b").VM
			f.cut[[2]string{min(a, b), max(a, b)}] = true
		}
		paths := f.allPaths()
		for _, p := range f.peers {
			hops, copies := f.spread(paths, p)
			for vm, n := range copies {
				require.Equal(t, 1, n, vm)
				require.LessOrEqual(t, hops[vm], 3)
			}
		}
	})
}

// Guards against subjects on which all relays of a zone report, or none.
func TestFewRelaysSpeakForAZone(t *testing.T) {
	f := newFleet(100, 3)
	for _, subject := range []string{"zone-0", "entry-0007", ""} {
		speakers := make(map[string]int)
		for vm, p := range f.allPaths() {
			if p.Speaks(subject, 2) {
				speakers[f.zoneOf[vm]]++
			}
		}
		require.Equal(t, map[string]int{"zone-0": 2, "zone-1": 2, "zone-2": 2}, speakers)
	}
}

// Guards against a slot that is given to nobody, and against one that is taken from a relay that is alive.
func TestClaims(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	var d Directory
	unreachable := map[string]time.Duration{}
	of := func(vm string) time.Duration { return unreachable[vm] }
	for i := range RelaysPerZone {
		claim, ok := d.NextClaim("a", random, of)
		require.True(t, ok)
		require.Zero(t, claim.Replaces)
		require.True(t, d.Set(Relay{VM: fmt.Sprint("vm-", i), Zone: "a", Slot: claim.Slot, Version: uint64(i + 1)}))
	}
	_, ok := d.NextClaim("a", random, of)
	require.False(t, ok, "no slot is free")
	_, ok = d.NextClaim("b", random, of)
	require.True(t, ok, "zones have their own slots")

	unreachable["vm-3"] = abandonedAfter
	_, ok = d.NextClaim("a", random, of)
	require.False(t, ok, "a restart takes so long")
	unreachable["vm-3"] = abandonedAfter + 1
	claim, ok := d.NextClaim("a", random, of)
	lost, _ := d.Find("vm-3")
	require.True(t, ok)
	require.Equal(t, Claim{Slot: lost.Slot, Replaces: lost.Version}, claim)

	for i := range RelaysPerZone {
		unreachable[fmt.Sprint("vm-", i)] = 2 * abandonedAfter
	}
	_, ok = d.NextClaim("a", random, of)
	require.False(t, ok, "the entry may be cut off")
	for i := range RelaysPerZone {
		unreachable[fmt.Sprint("vm-", i)] = 5 * abandonedAfter
	}
	_, ok = d.NextClaim("a", random, of)
	require.True(t, ok, "all relays are gone")
}

// Guards against an older holder of a slot that replaces a later one, and against a released slot that is kept.
func TestLaterHoldersOfASlotCount(t *testing.T) {
	var d Directory
	relay := func(vm string, slot int, version uint64) Relay {
		return Relay{VM: vm, Zone: "a", Slot: slot, Version: version}
	}
	require.True(t, d.Set(relay("x", 1, 5)))
	require.False(t, d.Set(relay("w", 1, 5)))
	require.False(t, d.Set(relay("w", 1, 4)))
	require.False(t, d.Set(relay("w", RelaysPerZone, 9)), "no such slot")
	require.False(t, d.Set(relay("", 2, 9)), "no name")
	require.True(t, d.Set(relay("y", 1, 6)))
	require.True(t, d.SetAll([]Relay{relay("z", 2, 7)}, 8))
	require.Equal(t, []Relay{relay("z", 2, 7)}, d.All())
	d.Set(relay("v", 3, 10))
	require.False(t, d.SetAll([]Relay{relay("z", 2, 7)}, 8), "the claim came after this read")
	require.Len(t, d.All(), 2)
}

// Guards against machines that choke as relays while others have room.
func TestSuitedMachinesClaimFirst(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	for range 1000 {
		require.Less(t, Machine{Cores: 0.8, LinkMbps: 1000}.ClaimDelay(random), claimSpread)
		require.Less(t, Machine{}.ClaimDelay(random), claimSpread, "equal machines are assumed")
		require.GreaterOrEqual(t, Machine{Cores: 0.14, LinkMbps: 1000}.ClaimDelay(random), unsuitedDelay)
		require.GreaterOrEqual(t, Machine{Cores: 0.8, LinkMbps: 20}.ClaimDelay(random), unsuitedDelay)
	}
}

// Guards against a common budget of which each entry takes too much, because relays that have just started
// haven't counted all entries, or entries without a link serve on.
func TestSizeOfTheFleetIsNotUnderestimated(t *testing.T) {
	f := newFleet(30, 3)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var s Sizes
	require.Equal(t, 3*unknownZoneEntries, s.Total(&f.directory, false), "nobody has counted")
	for _, zone := range []string{"zone-0", "zone-1", "zone-2"} {
		require.True(t, s.Report(now, ZoneSize{zone, 10}))
	}
	require.Equal(t, 30, s.Total(&f.directory, false))
	require.Equal(t, 3*unknownZoneEntries, s.Total(&f.directory, true))
	s.Report(now.Add(time.Second), ZoneSize{"zone-0", 2})
	require.Equal(t, 30, s.Total(&f.directory, false), "eight may be cut off")
	s.Report(now.Add(sizeMemory+2*time.Second), ZoneSize{"zone-0", 9})
	require.Equal(t, 29, s.Total(&f.directory, false))
	for _, wrong := range []ZoneSize{{"zone-0", -1}, {"zone-0", maxZoneEntries + 1}, {"", 5}} {
		require.False(t, s.Report(now, wrong))
	}
	small := newFleet(4, 3)
	require.Equal(t, 4, new(Sizes).Total(&small.directory, true), "all of a small zone's entries are relays")
}

package share

import "sync/atomic"

// counters count what the overlay does.
type counters struct {
	// storeCalls are the calls to the store for the table of relays, forwarded the messages passed
	// on, and stateAsked the questions for the state of a feed.
	storeCalls, forwarded, stateAsked atomic.Uint64
	// versionsHeard are the announcements of the routes in force at other entries.
	versionsHeard atomic.Uint64
	// invalidRelays and invalidSizes are the relays and sizes of zones that were not taken up.
	invalidRelays, invalidSizes atomic.Uint64
}

// Counts are the counters' values.
type Counts struct {
	StoreCalls, Forwarded, StateAsked uint64
	VersionsHeard                     uint64
	InvalidRelays, InvalidSizes       uint64
}

// Counts returns the counters' values.
func (p *Peers) Counts() Counts {
	c := &p.counters
	return Counts{
		StoreCalls: c.storeCalls.Load(), Forwarded: c.forwarded.Load(), StateAsked: c.stateAsked.Load(),
		VersionsHeard: c.versionsHeard.Load(),
		InvalidRelays: c.invalidRelays.Load(), InvalidSizes: c.invalidSizes.Load(),
	}
}

// Relay reports whether this entry is a relay, and Entries the number of entries that it knows of.
func (p *Peers) Relay() bool { return p.isRelay() }

// Entries returns the number of entries of the fleet, as far as this one knows.
func (p *Peers) Entries() int {
	_, entries := p.entries()
	return entries
}

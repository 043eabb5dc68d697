// Package evacuation keeps an entry's knowledge of the evacuated zones: what the entry reads from the
// platform's store and what other entries report. It applies each change to the entry's choice of
// upstreams at once and passes it on.
package evacuation

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	core "acaciacleat.example/core/evacuation"
	"github.com/rs/zerolog"
)

// Fleet is the part of dispatch.Fleet that the Keeper uses.
type Fleet interface {
	// SetEvacuated sets the names of all evacuated zones.
	SetEvacuated(now time.Time, zones []string)
	// InZone returns the number of upstreams in a zone and that of the requests, and parts of prompts, placed
	// on them.
	InZone(zone string) (upstreams, requests int)
}

// Keeper holds the evacuated zones. It implements directory.Evacuations and share.Evacuations, and is safe
// for concurrent use.
type Keeper struct {
	fleet   Fleet
	log     zerolog.Logger
	pending chan struct{}
	// sourceLost says that this entry's last read has failed and that no follower has been heard since.
	sourceLost atomic.Bool

	// mu guards the fields below, and serialises the updates of the fleet.
	mu  sync.Mutex
	set core.Set
	// outgoing are the changes that wait to be passed on, and heard those of them that this entry has
	// not read itself.
	outgoing []core.Change
	heard    map[core.Change]bool
	// unreadable counts the keys that could not be read, faults those since faultsLogged.
	unreadable   uint64
	faults       int
	faultsLogged time.Time
	rejected     uint64
}

// New returns a Keeper that knows nothing.
func New(fleet Fleet, log zerolog.Logger) *Keeper {
	return &Keeper{fleet: fleet, log: log, pending: make(chan struct{}, 1), heard: make(map[core.Change]bool)}
}

// fromStore is the origin of changes that this entry has read itself, in logs.
const fromStore = "store"

// Read applies what this entry has read from the store: the changes between two versions, or all evacuated
// zones at the version to if from is zero.
func (k *Keeper) Read(now time.Time, changes []core.Change, from, to uint64) {
	k.sourceLost.Store(false)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.apply(now, k.set.Read(changes, from, to), fromStore)
}

// ReadFailed records that this entry could not read the store.
func (k *Keeper) ReadFailed() { k.sourceLost.Store(true) }

// ReceiveUpdate applies the changes that another entry has just read from the store.
func (k *Keeper) ReceiveUpdate(now time.Time, entry string, changes []core.Change) {
	k.sourceLost.Store(false)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.apply(now, k.set.Merge(changes), entry)
}

// Receive applies another entry's report.
func (k *Keeper) Receive(now time.Time, entry string, report core.Report) {
	if len(report.Changes) == 0 && report.Position == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if report.Position > 0 {
		k.apply(now, k.set.Read(report.Changes, 0, report.Position), entry)
		return
	}
	k.apply(now, k.set.Merge(report.Changes), entry)
}

// apply puts changes into force and queues them for the other entries. It is called with mu held.
func (k *Keeper) apply(now time.Time, news []core.Change, from string) {
	k.logRejected(from)
	if len(news) == 0 {
		return
	}
	k.fleet.SetEvacuated(now, k.set.Evacuated())
	for _, change := range news {
		k.logChange(change, from)
	}
	k.queue(news, from != fromStore)
}

// queue queues changes for the other entries. Beyond core.MaxZones the oldest are dropped: their zones
// have changed since, or the receivers keep no more.
func (k *Keeper) queue(news []core.Change, heard bool) {
	for _, change := range news {
		k.heard[change] = heard
	}
	k.outgoing = append(k.outgoing, news...)
	k.outgoing = k.outgoing[max(len(k.outgoing)-core.MaxZones, 0):]
	select {
	case k.pending <- struct{}{}:
	default: // The receiver has been notified already.
	}
}

func (k *Keeper) logChange(change core.Change, from string) {
	upstreams, requests := k.fleet.InZone(change.Zone)
	line := k.log.Info().Str("zone", change.Zone).Uint64("version", change.Version).Str("from", from).
		Int("upstreams", upstreams).Int("requests", requests)
	switch {
	case !change.Evacuated:
		line.Msg("zone is taken back")
	case upstreams == 0:
		line.Msg("zone is evacuated; no upstream is in it, but one may register")
	default:
		line.Msg("zone is evacuated; its upstreams get no more requests")
	}
}

// logRejected logs that changes were not taken up. It is called with mu held.
func (k *Keeper) logRejected(from string) {
	if n := k.set.Rejected(); n > k.rejected {
		k.log.Error().Str("from", from).Uint64("changes", n-k.rejected).Int("max_zones", core.MaxZones).
			Msg("evacuations were not taken up: the zone's name is invalid, or too many zones are evacuated")
		k.rejected = n
	}
}

// faultLogInterval is the minimum time between two log lines about keys that can't be read, so that another
// writer's keys don't flood the log.
const faultLogInterval = 5 * time.Second

// RecordFaults records requests of the operator that name no zone. They evacuate nothing.
func (k *Keeper) RecordFaults(now time.Time, faults []error) {
	if len(faults) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unreadable += uint64(len(faults))
	k.faults += len(faults)
	if now.Sub(k.faultsLogged) < faultLogInterval {
		return
	}
	k.log.Error().Err(faults[0]).Int("keys", k.faults).Msg("requests to evacuate a zone that name no zone; they evacuate nothing")
	k.faults, k.faultsLogged = 0, now
}

// Known reports whether all evacuated zones were known at some time: an entry that has just started doesn't
// know yet where it may send requests.
func (k *Keeper) Known() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.set.Known()
}

// Pending returns a channel that has a value when there may be changes to pass on.
func (k *Keeper) Pending() <-chan struct{} { return k.pending }

// TakeReport returns the changes to pass on since the last call, with or without those that this entry has
// heard from others.
func (k *Keeper) TakeReport(heard bool) core.Report {
	k.mu.Lock()
	defer k.mu.Unlock()
	news := k.outgoing
	if !heard {
		news = slices.DeleteFunc(news, func(change core.Change) bool { return k.heard[change] })
	}
	k.outgoing = nil
	clear(k.heard)
	return core.Report{Changes: news}
}

// Current returns all that is known, for an entry whose link has just opened or that asks for it.
func (k *Keeper) Current() core.Report {
	k.mu.Lock()
	defer k.mu.Unlock()
	changes, position := k.set.Snapshot()
	return core.Report{Changes: changes, Position: position}
}

// SourceLost reports whether neither this entry's own reads nor followers tell it of changes, so that it
// has to ask other entries.
func (k *Keeper) SourceLost() bool { return k.sourceLost.Load() }

// Evacuated returns the number of evacuated zones.
func (k *Keeper) Evacuated() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.set.Evacuated())
}

// Unreadable returns the number of the operator's requests that named no zone.
func (k *Keeper) Unreadable() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.unreadable
}

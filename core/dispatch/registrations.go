package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// ApplyChanges applies changes of registrations. If complete is set, the changes list
// every upstream there is. It returns the incarnations that ended because their upstream
// restarted.
func (f *Fleet) ApplyChanges(now time.Time, changes []Change, complete bool) (ended []Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registryAnswered(now)
	listed := make(map[string]bool, len(changes))
	for _, change := range changes {
		listed[change.ID] = true
		switch {
		case change.Unreadable:
			// The registry did answer, so the upstream is removed without the grace period that
			// remove grants after an outage.
			delete(f.upstreams, change.ID)
		case change.Removed:
			f.remove(now, change.ID)
		default:
			if previous, restarted := f.put(now, change); restarted {
				ended = append(ended, previous)
			}
		}
	}
	if complete {
		for id := range f.upstreams {
			if !listed[id] {
				f.remove(now, id)
			}
		}
		f.cold.listed = true
	}
	f.expireLapsed(now)
	f.rebuildIndex()
	return ended
}

// RegistryUnavailable records that a read of this entry has failed.
func (f *Fleet) RegistryUnavailable() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registry.readFailed()
}

// RegistryAnswered records that the registry has answered a read of this entry, or of another one whose reads
// have not failed before.
func (f *Fleet) RegistryAnswered(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registryAnswered(now)
}

// registryAnswered records an answer of the registry. After another outage the grace of the upstreams that are
// held back begins anew: live ones could not register in it.
func (f *Fleet) registryAnswered(now time.Time) {
	if !f.registry.answered(now) {
		return
	}
	for _, u := range f.upstreams {
		if !u.lapsesAt.IsZero() {
			u.lapsesAt = now.Add(recoveryGrace)
		}
	}
}

// RegistryReturned records that the registry has answered another entry, whose reads had failed.
func (f *Fleet) RegistryReturned(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registry.returned(now)
	f.registryAnswered(now)
}

// put applies a registration. If the upstream has restarted under its ID, it returns the
// incarnation that ended.
//
// The new incarnation starts with fresh state. It would otherwise inherit the load, the full
// memory and the failures of the previous one, and the requests that died with the previous one
// would wait for their answers.
func (f *Fleet) put(now time.Time, change Change) (previous Upstream, restarted bool) {
	upstream := change.Upstream
	u := f.upstreams[upstream.ID]
	switch {
	case u == nil:
		u = &upstreamState{}
	case change.Revision < u.revision:
		return previous, false // A delayed answer; a newer registration is known.
	case upstream.StartedAtMs == 0:
		upstream.StartedAtMs = u.StartedAtMs // Without a start time, no restart is assumed.
	case u.StartedAtMs != 0 && u.StartedAtMs != upstream.StartedAtMs:
		previous, restarted = u.Upstream, true
		u = &upstreamState{}
	}
	if change.Revision > u.revision && !upstream.Draining {
		u.health.Registered(now)
	}
	f.upstreams[upstream.ID] = u
	u.Upstream, u.revision = upstream, change.Revision
	u.incarnation = upstream.Incarnation()
	u.tag = TagOf(u.incarnation)
	u.lapsesAt, u.registry = time.Time{}, &f.registry
	u.evacuated = f.evacuations.zones[u.Zone]
	started := false
	if u.statements == nil {
		started = f.statements[u.incarnation] == nil && (restarted || f.cold.listed)
		u.statements = f.statementsOf(u.incarnation)
		f.refreshRate(now, u)
	}
	f.statements[u.incarnation] = u.statements // The start time may have been unknown before.
	f.registeredCold(now, u, change.ColdFor, started)
	return previous, restarted
}

// remove removes an upstream, or schedules its removal if the registry has just had an outage
// and the upstream is not draining.
func (f *Fleet) remove(now time.Time, id string) {
	u := f.upstreams[id]
	if u == nil {
		return
	}
	if grace := f.registry.removalGrace(now); grace > 0 && !u.draining() {
		if u.lapsesAt.IsZero() {
			u.lapsesAt = now.Add(grace)
		}
		return
	}
	delete(f.upstreams, id)
}

// expireLapsed removes the upstreams that were not registered again in time.
func (f *Fleet) expireLapsed(now time.Time) {
	for id, u := range f.upstreams {
		if u.lapsed(now) {
			delete(f.upstreams, id)
		}
	}
}

// HeldBack returns the number of upstreams that stay in use although the registry has removed them, and
// the time since its return from which that counts; zero if none are.
func (f *Fleet) HeldBack(now time.Time) (upstreams int, since time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		if !u.lapsesAt.IsZero() && !u.lapsed(now) {
			upstreams++
		}
	}
	if upstreams > 0 {
		since = now.Sub(f.registry.recoveredAt)
	}
	return upstreams, since
}

// rebuildIndex rebuilds the lists by service. Lists are replaced, never changed in place.
func (f *Fleet) rebuildIndex() {
	f.services = make(map[string][]*upstreamState)
	f.tags = make(map[Tag]*upstreamState, len(f.upstreams))
	f.zoneNames = make(map[Tag]string)
	for _, u := range f.upstreams {
		f.zoneNames[TagOf(u.Zone)] = u.Zone
		u.cutOff = f.zones.Cut(u.Zone)
		f.tags[u.tag] = u
		f.services[u.Service] = append(f.services[u.Service], u)
	}
	f.findSuperseded()
	for _, all := range f.services {
		slices.SortFunc(all, func(a, b *upstreamState) int { return cmp.Compare(a.ID, b.ID) })
		for i, u := range all {
			u.position = i
		}
	}
}

// findSuperseded finds the upstreams whose address has a later registration by another one.
func (f *Fleet) findSuperseded() {
	newest := make(map[string]*upstreamState, len(f.upstreams))
	for _, u := range f.upstreams {
		if other := newest[u.Address]; other == nil || u.revision > other.revision {
			newest[u.Address] = u
		}
	}
	for _, u := range f.upstreams {
		u.supersededBy = nil
		if other := newest[u.Address]; other.revision > u.revision {
			u.supersededBy = other
		}
	}
}

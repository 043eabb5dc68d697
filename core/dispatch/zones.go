package dispatch

import (
	"slices"
	"time"

	"acaciacleat.example/core/reachability"
)

// ZoneReport tells other entries that the upstreams of one availability zone can't be reached from
// another. The zones are given by their tags.
type ZoneReport struct{ From, To Tag }

// ZoneChange is a zone that this entry can't reach any more, or can reach again.
type ZoneChange struct {
	Zone string
	Cut  bool
	At   time.Time
}

// maxZoneChanges bounds the changes that wait to be logged.
const maxZoneChanges = 64

// ZoneAnswered records that an upstream of a zone has answered.
func (f *Fleet) ZoneAnswered(now time.Time, zone string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.zones.Answered(now, zone) {
		f.applyZoneChange(now, zone)
	}
}

// BeginZoneCheck returns the upstreams to dial because a dial to a zone has been unanswered since a time;
// none if no check is due.
func (f *Fleet) BeginZoneCheck(now time.Time, zone string, unansweredSince time.Time) []Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.zones.BeginCheck(now, zone, unansweredSince) {
		return nil
	}
	size := reachability.CheckSize
	if f.zones.Cut(zone) {
		size = 1 // Its return is enough.
	}
	upstreams := f.sampleUpstreams(size, func(u *upstreamState) bool { return u.Zone == zone })
	if len(upstreams) == 0 && f.zones.Answered(now, zone) {
		f.applyZoneChange(now, zone) // Upstreams that register there later are unknown, not cut off.
	}
	return upstreams
}

// ZoneWitnesses returns the upstreams of other zones to dial beside a check of a zone, which tell whether this
// entry can reach anything; none if the zone is cut off already.
func (f *Fleet) ZoneWitnesses(zone string) []Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.zones.Cut(zone) {
		return nil
	}
	return f.sampleUpstreams(reachability.CheckSize, func(u *upstreamState) bool { return u.Zone != zone })
}

// sampleUpstreams returns up to size random upstreams that are registered and fit.
func (f *Fleet) sampleUpstreams(size int, fits func(u *upstreamState) bool) []Upstream {
	var upstreams []Upstream
	for _, u := range f.upstreams {
		if u.lapsesAt.IsZero() && fits(u) {
			upstreams = append(upstreams, u.Upstream)
		}
	}
	f.search.random.Shuffle(len(upstreams), func(i, j int) { upstreams[i], upstreams[j] = upstreams[j], upstreams[i] })
	return upstreams[:min(size, len(upstreams))]
}

// EndZoneCheck records whether an upstream answered in a check that began at a time. It reports whether the
// zone has become cut off.
func (f *Fleet) EndZoneCheck(now, began time.Time, zone string, answered bool) (cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.zones.EndCheck(now, began, zone, answered)
	if changed {
		f.applyZoneChange(now, zone)
	}
	if f.zones.Cut(zone) {
		f.signalPending() // The other entries are told again.
	}
	return changed && f.zones.Cut(zone)
}

// ZoneCut reports whether this entry can't reach a zone.
func (f *Fleet) ZoneCut(zone string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.zones.Cut(zone)
}

// CutZones returns the number of zones that this entry can't reach.
func (f *Fleet) CutZones() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.zones.Own())
}

// applyZoneChange marks the upstreams of a zone that has become, or is no longer, cut off.
func (f *Fleet) applyZoneChange(now time.Time, zone string) {
	cut := f.zones.Cut(zone)
	f.newCut = f.newCut || cut
	for _, u := range f.upstreams {
		if u.Zone == zone {
			u.cutOff = cut
		}
	}
	if len(f.zoneChanges) < maxZoneChanges {
		f.zoneChanges = append(f.zoneChanges, ZoneChange{Zone: zone, Cut: cut, At: now})
	}
	f.signalPending()
	f.wakeWaiters()
}

// TakeZoneChanges returns the changes since the last call.
func (f *Fleet) TakeZoneChanges() []ZoneChange {
	f.mu.Lock()
	defer f.mu.Unlock()
	changes := f.zoneChanges
	f.zoneChanges = nil
	return changes
}

// ZoneReports returns the cuts that this entry sees if they are due to be reported: when one is new, and
// again at each CheckInterval if repeated is set. Few entries of a zone repeat them, so that the number of
// messages doesn't grow with the square of the entries.
func (f *Fleet) ZoneReports(now time.Time, repeated bool) []ZoneReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.newCut && (!repeated || now.Sub(f.zonesReportedAt) < reachability.CheckInterval) {
		return nil
	}
	f.newCut = false
	var reports []ZoneReport
	for _, pair := range f.zones.Own() {
		reports = append(reports, ZoneReport{From: TagOf(pair.From), To: TagOf(pair.To)})
		f.zonesReportedAt = now
	}
	return reports
}

// ApplyZoneReports applies the reports of the entry with the given origin. It returns the zones that this
// entry should check itself.
func (f *Fleet) ApplyZoneReports(now time.Time, origin uint64, reports []ZoneReport) (check []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range reports[:min(len(reports), maxZoneChanges)] {
		from, to := f.zoneOf(r.From), f.zoneOf(r.To)
		if from == "" || to == "" || from == to {
			f.zoneReportsDropped++
			continue
		}
		if f.zones.Report(now, origin, reachability.Pair{From: from, To: to}) {
			check = append(check, to)
		}
	}
	return check
}

// ZoneReportsDropped returns how many reports named a zone without upstreams, or one zone twice.
func (f *Fleet) ZoneReportsDropped() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.zoneReportsDropped
}

// zoneOf returns the name of the zone with a tag, or "" if no upstream is in it.
func (f *Fleet) zoneOf(tag Tag) string { return f.zoneNames[tag] }

// separateZones leaves the engines of a zone out of the candidates for a long prompt if they can't reach
// those of another one: of the two zones the one with fewer candidates, or the one that the request isn't
// pinned to.
func (s *search) separateZones() {
	for _, pair := range s.fleet.zones.Pairs(s.now) {
		dropped := pair.From
		switch {
		case s.pinned != nil && s.pinned.Zone == pair.From,
			(s.pinned == nil || s.pinned.Zone != pair.To) && s.candidatesIn(pair.To) < s.candidatesIn(pair.From):
			dropped = pair.To
		}
		if s.candidatesIn(dropped) < len(s.candidates) {
			s.candidates = slices.DeleteFunc(s.candidates, func(u *upstreamState) bool { return u.Zone == dropped })
		}
	}
}

func (s *search) candidatesIn(zone string) int {
	n := 0
	for _, u := range s.candidates {
		if u.Zone == zone {
			n++
		}
	}
	return n
}

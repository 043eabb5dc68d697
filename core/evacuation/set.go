package evacuation

import (
	"cmp"
	"slices"
	"unicode/utf8"
)

const (
	// MaxZones bounds the zones that a Set keeps, at many times the number of any deployment.
	MaxZones = 1024
	// MaxZoneBytes bounds the length of a zone's name.
	MaxZoneBytes = 128
)

// ValidZone reports whether a text can be the name of a zone. Text that isn't UTF-8 contains the
// replacement character once it has been decoded from JSON.
func ValidZone(zone string) bool {
	if zone == "" || len(zone) > MaxZoneBytes {
		return false
	}
	for _, r := range zone {
		if r == utf8.RuneError {
			return false
		}
	}
	return true
}

// Set holds the evacuated zones as far as an entry knows them. It may learn of changes in any order and
// repeatedly: a change never replaces a later one. The zero Set knows nothing. It is not safe for
// concurrent use.
type Set struct {
	// position is the version of the store up to which all changes are known; zero for none.
	position uint64
	// zones holds the last known change of each zone: the evacuated ones, and the ended evacuations after
	// position, which keep an older report from evacuating the zone again.
	zones    map[string]Change
	rejected uint64
}

// Read applies what was read from the store: the changes between two versions. If from is zero, changes
// lists all evacuated zones at the version to instead, or what they were a little later. It returns the
// changes that are new.
func (s *Set) Read(changes []Change, from, to uint64) (news []Change) {
	listed := make(map[string]bool, len(changes))
	for _, change := range changes {
		listed[change.Zone] = true
		if s.apply(change) {
			news = append(news, change)
		}
	}
	if from == 0 {
		news = append(news, s.endUnlisted(listed, to)...)
	}
	if from <= s.position && to > s.position {
		s.position = to
		s.forgetEnded()
	}
	return news
}

// endUnlisted ends the evacuations that the store doesn't list at a version.
func (s *Set) endUnlisted(listed map[string]bool, at uint64) (news []Change) {
	if at <= s.position {
		return nil
	}
	for zone, known := range s.zones {
		if known.Evacuated && !listed[zone] && known.Version <= at {
			s.zones[zone] = Change{Zone: zone, Version: at}
			news = append(news, s.zones[zone])
		}
	}
	slices.SortFunc(news, byZone)
	return news
}

// Merge applies changes that another entry reports and returns those that are new.
func (s *Set) Merge(changes []Change) (news []Change) {
	for _, change := range changes {
		if s.apply(change) {
			news = append(news, change)
		}
	}
	return news
}

// apply applies a change and reports whether it is new.
func (s *Set) apply(change Change) bool {
	known, ok := s.zones[change.Zone]
	switch {
	case !ValidZone(change.Zone) || change.Version == 0:
		s.rejected++
		return false
	case change.Version <= s.position, change.Version <= known.Version:
		return false
	case !ok && len(s.zones) >= MaxZones && !s.dropOldestEnded():
		s.rejected++
		return false
	}
	if s.zones == nil {
		s.zones = make(map[string]Change)
	}
	s.zones[change.Zone] = change
	return true
}

// dropOldestEnded makes room by dropping the ended evacuation with the lowest version. It reports false
// if there is none.
func (s *Set) dropOldestEnded() bool {
	oldest := Change{Evacuated: true}
	for _, known := range s.zones {
		if !known.Evacuated && (oldest.Evacuated || known.Version < oldest.Version) {
			oldest = known
		}
	}
	delete(s.zones, oldest.Zone)
	return !oldest.Evacuated
}

// forgetEnded drops the ended evacuations up to the position: no older report is applied any more.
func (s *Set) forgetEnded() {
	for zone, known := range s.zones {
		if !known.Evacuated && known.Version <= s.position {
			delete(s.zones, zone)
		}
	}
}

// Known reports whether the store's state was known completely at some time.
func (s *Set) Known() bool { return s.position > 0 }

// Evacuated returns the names of the evacuated zones in alphabetical order.
func (s *Set) Evacuated() []string {
	var zones []string
	for zone, known := range s.zones {
		if known.Evacuated {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// Snapshot returns all that is known, for another entry: Read(changes, 0, position) applies it if position
// isn't zero, otherwise Merge(changes).
func (s *Set) Snapshot() (changes []Change, position uint64) {
	for _, known := range s.zones {
		changes = append(changes, known)
	}
	slices.SortFunc(changes, byZone)
	return changes, s.position
}

// Rejected returns the number of changes that were not applied because their zone's name is invalid or
// MaxZones are known.
func (s *Set) Rejected() uint64 { return s.rejected }

func byZone(a, b Change) int { return cmp.Compare(a.Zone, b.Zone) }

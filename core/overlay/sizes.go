package overlay

import "time"

// ZoneSize is the number of entries of a zone, as its relays count them.
type ZoneSize struct {
	Zone    string
	Entries int
}

// sizeMemory is how long a larger size counts after a smaller one was reported. The relays that report
// it may have just started and not know all entries yet, and entries that they have lost may serve on.
const sizeMemory = 30 * time.Second

// maxZoneEntries bounds the size of a zone that another entry reports.
const maxZoneEntries = 100_000

// Sizes tracks the number of entries in the fleet. It is not safe for concurrent use.
type Sizes struct{ zones map[string]*zoneSize }

type zoneSize struct {
	latest int
	// peak is the largest size since peakAt.
	peak   int
	peakAt time.Time
}

// Report records the size of a zone. It reports false if the size is implausible.
func (s *Sizes) Report(now time.Time, size ZoneSize) bool {
	if size.Entries < 0 || size.Entries > maxZoneEntries || size.Zone == "" {
		return false
	}
	if s.zones == nil {
		s.zones = make(map[string]*zoneSize)
	}
	known := s.zones[size.Zone]
	if known == nil {
		known = &zoneSize{}
		s.zones[size.Zone] = known
	}
	known.latest = size.Entries
	if size.Entries >= known.peak || now.Sub(known.peakAt) > sizeMemory {
		known.peak, known.peakAt = size.Entries, now
	}
	return true
}

// All returns the latest sizes.
func (s *Sizes) All() []ZoneSize {
	all := make([]ZoneSize, 0, len(s.zones))
	for zone, size := range s.zones {
		all = append(all, ZoneSize{Zone: zone, Entries: size.latest})
	}
	return all
}

// unknownZoneEntries is the size that a zone may have whose relays have not counted its entries yet.
// What entries may use of a common budget must not be too much meanwhile.
const unknownZoneEntries = 100

// Total returns the number of entries that may serve callers. counting is set while relays that have just
// started may not have counted all entries of a zone.
func (s *Sizes) Total(directory *Directory, counting bool) int {
	zones := make(map[string]int)
	for zone, size := range s.zones {
		zones[zone] = size.peak
	}
	for zone, relays := range directory.zones() {
		zones[zone] = max(zones[zone], relays)
		if relays == RelaysPerZone && (counting || s.zones[zone] == nil) {
			zones[zone] = max(zones[zone], unknownZoneEntries)
		}
	}
	total := 0
	for _, entries := range zones {
		total += entries
	}
	return total
}

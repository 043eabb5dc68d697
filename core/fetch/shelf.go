package fetch

import (
	"hash/crc32"
	"slices"
	"time"
)

const (
	// mostAskers bounds the entries that are served at once, askerFor is how long one that has asked
	// counts as served: what waits on a holder's link stays small beside its callers' answers.
	mostAskers = 8
	askerFor   = 300 * time.Millisecond
	// mostKept bounds the versions that are kept for those who have begun to fetch them, keptFor is
	// for how long after the last ask. In a series of changes nobody would ever get one otherwise.
	mostKept = 4
	keptFor  = 2 * time.Second
)

// Shelf is what one entry has for others to fetch. Its methods are called with increasing times
// and not concurrently.
type Shelf struct {
	// kept are versions in rising order.
	kept   []encoded
	askers map[string]time.Time
}

type encoded struct {
	version uint64
	sum     uint32
	data    []byte
	asked   time.Time
}

// NewShelf returns an empty Shelf.
func NewShelf() *Shelf { return &Shelf{askers: make(map[string]time.Time)} }

// Newest returns the newest version on the shelf; zero for none.
func (s *Shelf) Newest() uint64 {
	if len(s.kept) == 0 {
		return 0
	}
	return s.kept[len(s.kept)-1].version
}

// Put adds a version that is newer than all others.
func (s *Shelf) Put(now time.Time, version uint64, data []byte) {
	s.kept = slices.DeleteFunc(s.kept, func(e encoded) bool { return now.Sub(e.asked) >= keptFor })
	if len(s.kept) >= mostKept {
		i := s.leastRecentlyAsked()
		s.kept = slices.Delete(s.kept, i, i+1)
	}
	s.kept = append(s.kept, encoded{version: version, sum: crc32.ChecksumIEEE(data), data: data})
}

func (s *Shelf) leastRecentlyAsked() int {
	least := 0
	for i := range s.kept {
		if s.kept[i].asked.Before(s.kept[least].asked) {
			least = i
		}
	}
	return least
}

// Get returns the part that an entry asks for.
func (s *Shelf) Get(now time.Time, name string, ask Ask) *Part {
	if len(s.kept) == 0 || !s.admit(now, name) {
		return &Part{}
	}
	e, at := &s.kept[len(s.kept)-1], 0
	for i := range s.kept {
		if ask.Part > 0 && s.kept[i].version == ask.Version && ask.Part < s.kept[i].parts() {
			e, at = &s.kept[i], ask.Part
		}
	}
	e.asked = now
	begin := at * PartBytes
	return &Part{
		Version: e.version, Sum: e.sum, Part: at, Parts: e.parts(),
		Data: e.data[begin:min(begin+PartBytes, len(e.data))],
	}
}

func (e *encoded) parts() int { return max(1, (len(e.data)+PartBytes-1)/PartBytes) }

func (s *Shelf) admit(now time.Time, name string) bool {
	for asker, at := range s.askers {
		if now.Sub(at) >= askerFor {
			delete(s.askers, asker)
		}
	}
	if _, served := s.askers[name]; !served && len(s.askers) >= mostAskers {
		return false
	}
	s.askers[name] = now
	return true
}

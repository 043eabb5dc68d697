package fetch

import (
	"hash/crc32"
	"slices"
	"time"
)

const (
	// maxClients bounds the entries that are served at once; an entry counts as served for
	// clientTTL after a request. This keeps the parts queued on a holder's links small compared
	// with the answers to its callers.
	maxClients = 8
	clientTTL  = 300 * time.Millisecond
	// maxKeptVersions bounds the versions that are kept for entries that are fetching them;
	// keepTTL is how long a version is kept after the last request for it. If only the newest
	// version were kept, no entry could complete a fetch during a series of changes.
	maxKeptVersions = 4
	keepTTL         = 2 * time.Second
)

// Server keeps encoded versions of a value and serves their parts to other entries. Its methods
// must be called with increasing times and not concurrently.
type Server struct {
	// kept are the versions in ascending order.
	kept    []encoded
	clients map[string]time.Time
}

type encoded struct {
	version       uint64
	sum           uint32
	data          []byte
	lastRequested time.Time
}

// NewServer returns a Server without versions.
func NewServer() *Server { return &Server{clients: make(map[string]time.Time)} }

// Newest returns the newest version; zero for none.
func (s *Server) Newest() uint64 {
	if len(s.kept) == 0 {
		return 0
	}
	return s.kept[len(s.kept)-1].version
}

// Put adds a version that is newer than all others. It drops the versions that were not requested
// within keepTTL, and the least recently requested one if there are still maxKeptVersions.
func (s *Server) Put(now time.Time, version uint64, data []byte) {
	s.kept = slices.DeleteFunc(s.kept, func(e encoded) bool { return now.Sub(e.lastRequested) >= keepTTL })
	if len(s.kept) >= maxKeptVersions {
		i := s.leastRecentlyRequested()
		s.kept = slices.Delete(s.kept, i, i+1)
	}
	s.kept = append(s.kept, encoded{version: version, sum: crc32.ChecksumIEEE(data), data: data})
}

func (s *Server) leastRecentlyRequested() int {
	least := 0
	for i := range s.kept {
		if s.kept[i].lastRequested.Before(s.kept[least].lastRequested) {
			least = i
		}
	}
	return least
}

// Get returns the part that an entry requests, as described at Request. It returns an empty part
// if there is no version or too many entries are being served.
func (s *Server) Get(now time.Time, name string, request Request) *Part {
	if len(s.kept) == 0 || !s.admit(now, name) {
		return &Part{}
	}
	e, at := &s.kept[len(s.kept)-1], 0
	for i := range s.kept {
		if request.Part > 0 && s.kept[i].version == request.Version && request.Part < s.kept[i].parts() {
			e, at = &s.kept[i], request.Part
		}
	}
	e.lastRequested = now
	begin := at * PartBytes
	return &Part{
		Version: e.version, Sum: e.sum, Part: at, Parts: e.parts(),
		Data: e.data[begin:min(begin+PartBytes, len(e.data))],
	}
}

func (e *encoded) parts() int { return max(1, (len(e.data)+PartBytes-1)/PartBytes) }

// admit reports whether an entry may be served now, and if so counts it for clientTTL.
func (s *Server) admit(now time.Time, name string) bool {
	for client, at := range s.clients {
		if now.Sub(at) >= clientTTL {
			delete(s.clients, client)
		}
	}
	if _, served := s.clients[name]; !served && len(s.clients) >= maxClients {
		return false
	}
	s.clients[name] = now
	return true
}

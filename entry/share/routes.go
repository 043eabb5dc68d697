package share

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"acaciacleat.example/core/fetch"
	"acaciacleat.example/peers/link"
	"github.com/pkg/errors"
)

// An entry that has read routes from the store announces their version to all other entries. An
// entry that has fetched them from another entry announces the version in its own availability
// zone. An entry that lacks an announced version fetches it in compressed parts and at its own
// pace. If whole tables of a megabyte were sent at once, they would fill the links of entries that
// are behind until these links are lost and the transfer starts over.

// AnnounceRoutes announces the version of the routes in force to the entries of this zone, or
// to those of all zones.
func (p *Peers) AnnounceRoutes(allZones bool) {
	value, version := p.config.Routes()
	if value == nil {
		return
	}
	p.mu.Lock()
	paths := p.currentPaths()
	p.mu.Unlock()
	vms := paths.InZone().Direct
	if allZones {
		for _, relay := range paths.Relays() {
			if relay.Zone != p.config.Self.Zone {
				vms = append(vms[:len(vms):len(vms)], relay.VM)
			}
		}
	}
	p.sendEncoded(vms, "", &link.Routes{Version: version})
}

const (
	// announceInterval is the interval at which the version in force is announced again, to announceTo entries: an entry may miss
	// a change that the store reports, and an announcement.
	announceInterval = 2 * time.Second
	announceTo       = 4
)

// repeatAnnouncements announces the version in force to a few linked entries at a time until ctx ends.
func (p *Peers) repeatAnnouncements(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	random := rand.New(rand.NewPCG(uint64(p.config.Self.Incarnation), 2))
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, version := p.config.Routes(); version > 0 {
			vms := p.linkedEntries()
			random.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
			p.sendEncoded(vms[:min(len(vms), announceTo)], "", &link.Routes{Version: version})
		}
	}
}

// linkedEntries returns the entries to which there is a link of the overlay, in order.
func (p *Peers) linkedEntries() (vms []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for vm, known := range p.known {
		if known.conn != nil && known.adopted {
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms)
	return vms
}

// onRoutesAnnounced handles another entry's announcement of a version.
func (p *Peers) onRoutesAnnounced(c *link.Conn, routes *link.Routes) {
	p.counters.versionsHeard.Add(1)
	p.config.OnVersion(routes.Version)
	inForce, peer := p.version(), c.Peer()
	p.mu.Lock()
	p.fetch.Announce(time.Now(), inForce, peer.VM, peer.Zone == p.config.Self.Zone, routes.Version)
	p.mu.Unlock()
	p.fetchNext()
}

// fetchNext requests the next part of the missing routes if a request is due.
func (p *Peers) fetchNext() {
	if missing := p.requestNext(); missing > 0 {
		p.config.OnVersionMissing(missing)
	}
}

// requestNext does so, and returns the missing version if it has requested the first part.
func (p *Peers) requestNext() (missing uint64) {
	now, inForce := time.Now(), p.version()
	p.mu.Lock()
	defer p.mu.Unlock()
	request, vm, nextAt := p.fetch.Next(now, inForce)
	for vm != "" && !p.requestPart(vm, request, now, inForce) {
		p.fetch.RemoveHolder(vm)
		request, vm, nextAt = p.fetch.Next(now, inForce)
	}
	if !nextAt.IsZero() {
		p.fetchTimer.Reset(nextAt.Sub(now))
	}
	if vm != "" && request.Part == 0 {
		missing, _ = p.fetch.Missing(inForce)
	}
	return missing
}

// requestPart requests a part from an entry. It reports false if there is no link to the entry
// or the request can't be sent. It is called with mu held.
func (p *Peers) requestPart(vm string, request fetch.Request, now time.Time, inForce uint64) bool {
	known := p.known[vm]
	if known == nil || known.conn == nil {
		return false
	}
	if request.Part == 0 {
		version, since := p.fetch.Missing(inForce)
		p.config.Log.Info().Str("entry", vm).Uint64("version", version).
			Int64("behind_ms", now.Sub(since).Milliseconds()).Msg("asking an entry for routes")
	}
	p.partsRequested.Add(1)
	return known.conn.Send(&link.DispatchUpdate{Origin: p.config.Self.Incarnation, PartRequest: &request}) == nil
}

// onRoutesPart handles a received part of the routes.
func (p *Peers) onRoutesPart(c *link.Conn, part *link.RoutesPart) {
	inForce := p.version()
	p.mu.Lock()
	packed, version := p.fetch.Receive(time.Now(), inForce, c.Peer().VM, (*fetch.Part)(part))
	p.mu.Unlock()
	if packed != nil {
		// Unpacking a large table takes too long for the link's event loop.
		go p.applyRoutes(c.Peer().VM, packed, version)
	}
	p.fetchNext()
}

// applyRoutes unpacks received routes and offers them to this entry's directory. If they are
// dropped, their version is fetched again.
func (p *Peers) applyRoutes(vm string, packed []byte, version uint64) {
	value, err := unpack(packed)
	if err != nil {
		p.config.Log.Error().Err(err).Str("entry", vm).Uint64("version", version).Msg("routes of an entry could not be unpacked")
		return
	}
	if p.config.Offer(value) {
		return
	}
	p.mu.Lock()
	p.fetch.Reject(time.Now(), version)
	p.mu.Unlock()
	p.fetchNext()
}

// sendPart sends the part of the routes in force that an entry has requested.
func (p *Peers) sendPart(c *link.Conn, request fetch.Request) {
	value, version := p.config.Routes()
	if value == nil {
		return
	}
	part, err := p.packed.part(c.Peer().VM, request, value, version)
	if err != nil {
		p.config.Log.Error().Err(err).Uint64("version", version).Msg("routes could not be packed")
		return
	}
	if part.Part == 0 && part.Parts > 0 {
		p.config.Log.Info().Str("entry", c.Peer().VM).Uint64("version", part.Version).
			Int("bytes", len(value)).Int("parts", part.Parts).Msg("sending routes to an entry")
	}
	p.bytesSent.Add(uint64(len(part.Data)))
	p.sendTo(c, (*link.RoutesPart)(part))
}

// packedRoutes compresses each version of the routes once, when it is first requested.
type packedRoutes struct {
	mu sync.Mutex
	*fetch.Server
}

// part returns the requested part of the routes, which it compresses if their version is new.
func (s *packedRoutes) part(vm string, request fetch.Request, value []byte, version uint64) (*fetch.Part, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version > s.Newest() {
		packed, err := pack(value)
		if err != nil {
			return nil, err
		}
		s.Put(time.Now(), version, packed)
	}
	return s.Get(time.Now(), vm, request), nil
}

func pack(value []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack routes")
	}
	if _, err := writer.Write(value); err != nil {
		return nil, errors.Wrap(err, "pack routes")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "pack routes")
	}
	return packed.Bytes(), nil
}

// maxUnpackedBytes bounds the size of an unpacked table.
const maxUnpackedBytes = 64 << 20

func unpack(packed []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack routes")
	}
	if len(value) > maxUnpackedBytes {
		return nil, errors.Errorf("unpack routes: more than %d bytes", maxUnpackedBytes)
	}
	return value, nil
}

// version returns the version of the routes in force, or zero if there are none.
func (p *Peers) version() uint64 {
	_, version := p.config.Routes()
	return version
}

// RoutesLag returns how long ago another entry announced a version of the routes that is not
// yet in force here, or zero if none is missing.
func (p *Peers) RoutesLag() time.Duration {
	inForce := p.version()
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, since := p.fetch.Missing(inForce); !since.IsZero() {
		return time.Since(since)
	}
	return 0
}

// RoutePartsRequested returns the number of parts of routes that this entry has requested from
// others.
func (p *Peers) RoutePartsRequested() uint64 { return p.partsRequested.Load() }

// RouteBytesSent returns the number of bytes of routes that this entry has sent to others.
func (p *Peers) RouteBytesSent() uint64 { return p.bytesSent.Load() }

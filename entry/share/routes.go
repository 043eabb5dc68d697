package share

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"
	"time"

	"acaciacleat.example/core/fetch"
	"acaciacleat.example/peers/link"
	"github.com/pkg/errors"
)

// Entries that have read routes from the store announce the version to all others; those that
// have fetched them, to their availability zone. An entry that lacks what was announced fetches
// it in compressed parts, at its own pace: sent whole, and by whoever is asked, tables of a
// megabyte fill the links of those that are behind, until these are lost and all begins anew.

// TellRoutes announces the routes in force to the entries of this zone, and with far set to all.
func (p *Peers) TellRoutes(far bool) {
	value, version := p.config.Routes()
	if value == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for zone, members := range p.zones() {
		if far || zone == p.config.Self.Zone {
			p.send(members, &link.Routes{Version: version})
		}
	}
}

// hearRoutes takes another entry's announcement.
func (p *Peers) hearRoutes(c *link.Conn, routes *link.Routes) {
	inForce, peer := p.version(), c.Peer()
	p.mu.Lock()
	p.fetch.Announce(time.Now(), inForce, peer.VM, peer.Zone == p.config.Self.Zone, routes.Version)
	p.mu.Unlock()
	p.pursue()
}

// pursue asks for the next part of routes that are missing, if it is time to.
func (p *Peers) pursue() {
	now, inForce := time.Now(), p.version()
	p.mu.Lock()
	defer p.mu.Unlock()
	ask, vm, again := p.fetch.Next(now, inForce)
	for vm != "" && !p.askPart(vm, ask, now, inForce) {
		p.fetch.RemoveHolder(vm)
		ask, vm, again = p.fetch.Next(now, inForce)
	}
	if !again.IsZero() {
		p.pursuit.Reset(again.Sub(now))
	}
}

// askPart asks an entry for a part; it reports false where there is no link. It is called with mu
// held.
func (p *Peers) askPart(vm string, ask fetch.Request, now time.Time, inForce uint64) bool {
	known := p.known[vm]
	if known == nil || known.conn == nil {
		return false
	}
	if ask.Part == 0 {
		version, since := p.fetch.Missing(inForce)
		p.config.Log.Info().Str("entry", vm).Uint64("version", version).
			Int64("behind_ms", now.Sub(since).Milliseconds()).Msg("asking an entry for routes")
	}
	p.asked.Add(1)
	return known.conn.Send(&link.Works{Origin: p.config.Self.Incarnation, Ask: &ask}) == nil
}

// hearPart takes a part of routes.
func (p *Peers) hearPart(c *link.Conn, part *link.RoutesPart) {
	inForce := p.version()
	p.mu.Lock()
	packed, version := p.fetch.Receive(time.Now(), inForce, c.Peer().VM, (*fetch.Part)(part))
	p.mu.Unlock()
	if packed != nil {
		// Not on the link's event loop: a large table takes long to unpack.
		go p.takeUp(c.Peer().VM, packed, version)
	}
	p.pursue()
}

func (p *Peers) takeUp(vm string, packed []byte, version uint64) {
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
	p.pursue()
}

// sendPart answers an entry that has asked for a part of the routes in force.
func (p *Peers) sendPart(c *link.Conn, ask fetch.Request) {
	value, version := p.config.Routes()
	if value == nil {
		return
	}
	part, err := p.shelf.get(c.Peer().VM, ask, value, version)
	if err != nil {
		p.config.Log.Error().Err(err).Uint64("version", version).Msg("routes could not be packed")
		return
	}
	if part.Part == 0 && part.Parts > 0 {
		p.config.Log.Info().Str("entry", c.Peer().VM).Uint64("version", part.Version).
			Int("bytes", len(value)).Int("parts", part.Parts).Msg("sending routes to an entry")
	}
	p.sent.Add(uint64(len(part.Data)))
	p.sendOne(c, (*link.RoutesPart)(part))
}

// sendWhole answers an entry of an earlier version, which knows no parts.
func (p *Peers) sendWhole(c *link.Conn) {
	if value, version := p.config.Routes(); value != nil {
		p.sent.Add(uint64(len(value)))
		p.sendOne(c, &link.Routes{Version: version, Value: value})
	}
}

// shelf packs each version once, when it is first asked for.
type shelf struct {
	mu sync.Mutex
	*fetch.Server
}

func (s *shelf) get(vm string, ask fetch.Request, value []byte, version uint64) (*fetch.Part, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version > s.Newest() {
		packed, err := pack(value)
		if err != nil {
			return nil, err
		}
		s.Put(time.Now(), version, packed)
	}
	return s.Get(time.Now(), vm, ask), nil
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

// mostUnpacked bounds what a packed table may become, in bytes.
const mostUnpacked = 64 << 20

func unpack(packed []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), mostUnpacked+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack routes")
	}
	if len(value) > mostUnpacked {
		return nil, errors.Errorf("unpack routes: more than %d bytes", mostUnpacked)
	}
	return value, nil
}

// version returns that of the routes in force; zero for none.
func (p *Peers) version() uint64 {
	_, version := p.config.Routes()
	return version
}

// Behind returns for how long a version of the routes that another entry has announced has not been
// in force here; zero if none is missing.
func (p *Peers) Behind() time.Duration {
	inForce := p.version()
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, since := p.fetch.Missing(inForce); !since.IsZero() {
		return time.Since(since)
	}
	return 0
}

// RoutesAsked returns how many parts of routes this entry has asked others for.
func (p *Peers) RoutesAsked() uint64 { return p.asked.Load() }

// RoutesSent returns how many bytes of routes this entry has sent to others.
func (p *Peers) RoutesSent() uint64 { return p.sent.Load() }

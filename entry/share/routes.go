package share

import (
	"time"

	"acaciacleat.example/peers/link"
)

// Entries that read routes from the store announce the version to all others and send the routes
// themselves only to one that asks. Each change reaches nearly all entries by the store's
// feed or by who follows it for their zone: sent along with each announcement, a table of a
// megabyte would cross the links of 30 entries 900 times.

// askAfter is how long an entry waits for a feed or a follower before it asks another for routes
// that were announced: some times the store's answer, far under the time in which a change
// must be in force.
const askAfter = 150 * time.Millisecond

// TellRoutes announces the routes in force to all others.
func (p *Peers) TellRoutes() {
	value, version := p.config.Routes()
	if value == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, members := range p.zones() {
		p.send(members, &link.Routes{Version: version})
	}
}

// hearRoutes takes another entry's announcement, or the routes that were asked for.
func (p *Peers) hearRoutes(c *link.Conn, routes *link.Routes) {
	if len(routes.Value) > 0 {
		p.config.Offer(routes.Value)
		return
	}
	now := time.Now()
	p.mu.Lock()
	start := p.newer.announced(now, routes.Version, p.version(), c)
	p.mu.Unlock()
	if start {
		time.AfterFunc(askAfter, p.askForRoutes)
	}
}

// askForRoutes asks for the newest routes announced, unless they are in force by now, and
// looks again later: whoever is asked may be lost too.
func (p *Peers) askForRoutes() {
	p.mu.Lock()
	whom := p.newer.next(p.version())
	version, since := p.newer.version, p.newer.since
	p.mu.Unlock()
	if whom == nil {
		return
	}
	p.asked.Add(1)
	p.config.Log.Info().Str("entry", whom.Peer().VM).Uint64("version", version).
		Int64("behind_ms", time.Since(since).Milliseconds()).Msg("asking an entry for routes")
	p.sendOne(whom, &link.RoutesAsk{})
	time.AfterFunc(askAfter, p.askForRoutes)
}

// announcedRoutes is the newest version that others have announced, with those who may be asked
// for it. Its holder looks at it askAfter after an announcement, and again while it waits.
//
// What goes wrong if an announcement is dropped while an older one waits: the own feed
// brings the older version in that time and fails for the newer one, nobody asks, and the
// entry stays on old routes until the next change.
type announcedRoutes struct {
	version uint64
	// since is when a version that is not in force was first announced.
	since time.Time
	from  []*link.Conn
	// waiting says that its holder will look at it.
	waiting bool
}

// announced notes an announcement; it returns true if the holder must begin to look.
func (w *announcedRoutes) announced(now time.Time, version, inForce uint64, from *link.Conn) bool {
	switch {
	case version <= inForce || version < w.version:
		return false
	case version > w.version:
		if w.version <= inForce {
			w.since = now
		}
		w.version, w.from = version, nil
	}
	w.from = append(w.from, from)
	start := !w.waiting
	w.waiting = true
	return start
}

// next returns whom to ask; nil ends the looking: the routes are in force, or all who
// announced them were asked.
func (w *announcedRoutes) next(inForce uint64) *link.Conn {
	if w.version <= inForce || len(w.from) == 0 {
		// The version stays: how long it has not been in force is told by Behind.
		w.from, w.waiting = nil, false
		return nil
	}
	whom := w.from[0]
	w.from = w.from[1:]
	return whom
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
	if p.newer.version <= inForce {
		return 0
	}
	return time.Since(p.newer.since)
}

// RoutesAsked returns how often this entry has asked another for routes, RoutesSent how many bytes
// of routes it has sent to others.
func (p *Peers) RoutesAsked() uint64 { return p.asked.Load() }

// RoutesSent is described with RoutesAsked.
func (p *Peers) RoutesSent() uint64 { return p.sent.Load() }

// sendRoutes answers an entry that has asked for the routes.
func (p *Peers) sendRoutes(c *link.Conn) {
	value, version := p.config.Routes()
	if value == nil {
		return
	}
	p.sent.Add(uint64(len(value)))
	p.config.Log.Info().Str("entry", c.Peer().VM).Uint64("version", version).Int("bytes", len(value)).Msg("sending routes to an entry")
	p.sendOne(c, &link.Routes{Version: version, Value: value})
}

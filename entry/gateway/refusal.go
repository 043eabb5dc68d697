package gateway

import (
	"strings"
	"sync"
	"time"

	"acaciacleat.example/core/result"
	"acaciacleat.example/core/routes"
	"github.com/rs/zerolog"
)

// verdict is what the routing table before the one in force made of a request that is refused now.
type verdict string

const (
	// verdictUnknown: there was no table before, or it has been superseded more than once since.
	verdictUnknown verdict = "unknown"
	// verdictRefused: the table before refuses the request as well.
	verdictRefused verdict = "refused"
	// verdictRemoved: it allowed what the one in force is known to have removed.
	verdictRemoved verdict = "removed"
	// verdictUnexplained: it allowed what the one in force isn't known to have removed.
	verdictUnexplained verdict = "unexplained"
)

var verdicts = []verdict{verdictUnknown, verdictRefused, verdictRemoved, verdictUnexplained}

// refusal explains why the routes don't allow a request.
type refusal struct {
	code result.Code
	// version is the version of the table that refuses the request, newest the newest one heard of then.
	version, newest uint64
	// beforeVersion is the version of the table before; zero if there was none. before is its verdict.
	beforeVersion uint64
	before        verdict
	// limit and size are those of a body that is too large, in bytes; size is negative if the caller didn't state it.
	limit, size int64
}

// explainRefusal compares the refusal by a table with what the table before it says.
func (e *exchange) explainRefusal(table *routes.Table, code result.Code) *refusal {
	r := &refusal{code: code, version: table.Version(), newest: e.g.config.Directory.Newest(), before: verdictUnknown}
	if code == result.BodyTooLarge {
		r.limit, r.size = e.bodyLimit(table), e.r.ContentLength
	}
	if last := e.g.config.Directory.Superseded(); last != nil && last.By == table.Version() {
		r.beforeVersion, r.before = last.Table.Version(), e.verdictBefore(r, last)
	}
	return r
}

// doubtful reports whether nothing that this entry knows explains why the request is refused.
func (r *refusal) doubtful() bool {
	return r.before == verdictUnknown || r.before == verdictUnexplained
}

// verdictBefore returns the verdict of the table before the one that refuses the request.
func (e *exchange) verdictBefore(r *refusal, last *routes.Superseded) verdict {
	route := last.Table.Match(e.r.Host, pathOf(e.target))
	if route == nil {
		return verdictRefused
	}
	open := route.Anonymous || !last.Table.RequiresKeys()
	removed := last.Changes.RemovesRoute(route) || e.route != nil && last.Changes.AddsRoute(e.route)
	switch {
	case r.code != result.NotFound && !open && last.Table.OrganisationOf(e.meta.Key) == nil:
		return verdictRefused
	case r.code == result.BodyTooLarge && e.bodyLimit(last.Table) <= r.limit:
		return verdictRefused
	case r.code == result.BodyTooLarge:
		removed = true
	case r.code == result.BadKey:
		removed = removed || !last.Table.RequiresKeys() || last.Changes.RemovesKey(e.meta.Key)
	}
	if removed {
		return verdictRemoved
	}
	return verdictUnexplained
}

// maxLoggedName bounds the bytes that a line shows of a host or a path.
const maxLoggedName = 200

// addTo adds the refusal of a request to its line.
func (r *refusal) addTo(line *zerolog.Event, e *exchange) *zerolog.Event {
	line = line.Str("host", clip(e.r.Host)).Str("path", clip(pathOf(e.target))).Uint64("judged_by", r.version).Uint64("newest", r.newest).
		Uint64("version_before", r.beforeVersion).Str("before", string(r.before))
	if e.meta.Key != "" {
		line = line.Str("key", routes.KeyDigest(e.meta.Key))
	}
	if r.code == result.BodyTooLarge {
		line = line.Int64("limit", r.limit).Int64("size", r.size)
	}
	return line
}

func clip(text string) string { return text[:min(len(text), maxLoggedName)] }

// confirmRefusal reports whether the routes that refuse the request were the newest after it had come. What was refused a short
// while ago by the same routes needs no further confirmation.
func (e *exchange) confirmRefusal() bool {
	what, directory := e.refusalSubject(), e.g.config.Directory
	if e.g.confirmed.has(e.now(), e.refusal.version, what) && !directory.RoutesLagging(e.now()) {
		return true
	}
	if !directory.ConfirmRoutes(e.r.Context(), e.arrived, e.refusal.doubtful()) {
		return false
	}
	if table := directory.Table(); table.Version() == e.refusal.version {
		e.g.confirmed.add(e.now(), table.Version(), what)
	}
	return true
}

// refusalSubject identifies what is refused, in a few bytes: for paths their host and first segment, since routes are rarely told apart
// below it.
func (e *exchange) refusalSubject() string {
	name := result.Lookup(e.refusal.code).Name
	switch e.refusal.code {
	case result.NotFound:
		return name + routes.KeyDigest(e.r.Host+firstSegment(pathOf(e.target)))
	case result.BadKey:
		return name + routes.KeyDigest(e.meta.Key)
	default:
		return name
	}
}

// firstSegment returns a path up to its second slash.
func firstSegment(path string) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return "/" + first
}

const (
	// confirmedFor is how long a confirmed refusal needs no further confirmation.
	confirmedFor = time.Second
	// maxConfirmed bounds the refusals that are remembered.
	maxConfirmed = 4096
)

// confirmedRefusals are the refusals by one version of the routes that were confirmed, with the times at which they were. The zero
// value has none. It is safe for concurrent use.
type confirmedRefusals struct {
	mu      sync.Mutex
	version uint64
	at      map[string]time.Time
}

func (c *confirmedRefusals) has(now time.Time, version uint64, what string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.at[what]
	return ok && c.version == version && now.Sub(at) < confirmedFor
}

func (c *confirmedRefusals) add(now time.Time, version uint64, what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version != version || len(c.at) >= maxConfirmed {
		c.version, c.at = version, make(map[string]time.Time)
	}
	c.at[what] = now
}

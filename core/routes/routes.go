// Package routes holds the HTTP routes: which service answers a host and path, which
// organisations may call it, and which requests may be retried. A Table is immutable: a
// new version is built completely before it replaces the old one.
package routes

import (
	"cmp"
	"hash/fnv"
	"iter"
	"net"
	"slices"
	"strings"
	"time"

	"acaciacleat.example/core/enginemodel"
	"github.com/pkg/errors"
)

// Kind says whether the requests of a route may be retried, and whether they are streamed.
type Kind uint8

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once for each request of a caller.
	NonIdempotent
	// Streaming requests are answered by a stream of events. They run at most once, unless
	// the route is resumable.
	Streaming
)

// String returns the name of the kind in metrics and logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	case Streaming:
		return "streaming"
	default:
		return "unknown"
	}
}

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route says how requests to the paths below one prefix of one host are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the time within which a request must have its final answer.
	Timeout time.Duration
	// TargetLatency is the target latency of the answer, or of a stream's first event.
	TargetLatency time.Duration
	// TargetGap is the target for the longest gap between two events of a stream.
	TargetGap time.Duration
	// Priority is the priority of requests; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxUpstreams is the number of upstreams to which one request may be sent.
	MaxUpstreams int
	// Anonymous routes require no key.
	Anonymous bool
	// Resumable streams may be continued at another upstream after the last event.
	Resumable bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service returns the service for a request. The same id always gets the same service, so
// that a retry by the caller is sent to the same service. If no target has a weight, it is the
// first one.
func (r *Route) Service(id string) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	if total == 0 {
		return r.Targets[0].Service
	}
	h := fnv.New32a()
	h.Write([]byte(id))
	rest := int(h.Sum32() % uint32(total))
	for _, target := range r.Targets {
		if rest < target.Weight {
			return target.Service
		}
		rest -= target.Weight
	}
	return r.Targets[0].Service
}

// Service is a service to which routes send requests.
type Service struct {
	Name string
	// MaxConnections bounds the connections for all callers to one upstream.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *enginemodel.Spec
	// Cold is what an upstream of the service bears while it is cold.
	Cold Cold
}

// Cold says what an upstream bears in the time after its start.
type Cold struct {
	// Duration is how long an upstream is cold after a start.
	Duration time.Duration
	// PerSecond is the number of requests per second that a cold upstream bears from all entries
	// together; zero for no limit.
	PerSecond float64
}

// Organisation is a caller with its keys.
type Organisation struct {
	Name     string
	Keys     []string
	Priority int
	// HasPriority says that Priority is set and overrides the route's.
	HasPriority bool
}

// Limits bounds the requests of callers. Zero means that the document sets no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is what a Table is built from.
type Document struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	// RequiresKeys is set if callers need a key even though no organisation may have one.
	RequiresKeys bool
	Limits       Limits
}

// Table is one version of all routes, ready for use.
type Table struct {
	version  uint64
	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]*Organisation
	// requiresKeys doesn't follow from keys: the last of them may have been revoked.
	requiresKeys bool
	limits       Limits
}

// Build validates a document and returns its Table. The document must not change afterwards.
func Build(d *Document) (*Table, error) {
	t := &Table{
		version:  d.Version,
		hosts:    make(map[string][]*Route),
		services: make(map[string]*Service, len(d.Services)),
		keys:     make(map[string]*Organisation),
		limits:   d.Limits,

		requiresKeys: d.RequiresKeys || len(d.Organisations) > 0,
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Routes {
		if err := t.add(&d.Routes[i]); err != nil {
			return nil, err
		}
	}
	for _, all := range t.hosts {
		slices.SortFunc(all, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range d.Organisations {
		for _, key := range d.Organisations[i].Keys {
			if key != "" { // It would be the key of every request without one.
				t.keys[key] = &d.Organisations[i]
			}
		}
	}
	return t, nil
}

func (t *Table) add(route *Route) error {
	if len(route.Targets) == 0 {
		return errors.Errorf("route %q names no service", route.Name)
	}
	for _, target := range route.Targets {
		if t.services[target.Service] == nil {
			return errors.Errorf("route %q names service %q, which does not exist in the document", route.Name, target.Service)
		}
	}
	host := hostOnly(route.Host)
	t.hosts[host] = append(t.hosts[host], route)
	return nil
}

// Version returns the document's version.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the bounds on the requests of callers.
func (t *Table) Limits() Limits { return t.limits }

// Len returns the number of routes.
func (t *Table) Len() int {
	n := 0
	for _, all := range t.hosts {
		n += len(all)
	}
	return n
}

// Match returns the host's route with the longest prefix that the path begins with, or nil. The
// path is the one in the request, unchanged and without the query.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.hosts[hostOnly(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// hostOnly returns a Host header's name in lower case, without a port and the dot that may end a whole domain name.
func hostOnly(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// Service returns the named service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Cold returns the figures of all services whose upstreams are limited while they are cold.
func (t *Table) Cold() map[string]Cold {
	figures := make(map[string]Cold)
	for name, service := range t.services {
		if service.Cold.PerSecond > 0 {
			figures[name] = service.Cold
		}
	}
	return figures
}

// RequiresKeys reports whether callers need keys. They need none only if the document says nothing of
// organisations.
func (t *Table) RequiresKeys() bool { return t.requiresKeys }

// OrganisationOf returns the organisation that holds the key, or nil.
func (t *Table) OrganisationOf(key string) *Organisation { return t.keys[key] }

// OrganisationNames returns the names of all organisations with a key, some of them repeatedly.
func (t *Table) OrganisationNames() iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, organisation := range t.keys {
			if !yield(organisation.Name) {
				return
			}
		}
	}
}

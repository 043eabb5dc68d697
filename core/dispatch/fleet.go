package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"acaciacleat.example/core/decay"
	"acaciacleat.example/core/enginemodel"
	"acaciacleat.example/core/evidence"
)

// Change is news of one upstream.
type Change struct {
	Upstream
	// Revision rises with each change of the entry; zero where it is not known.
	Revision uint64
	// Removed says that the registry no longer lists it.
	Removed bool
	// Unreadable says that it is listed and the entry could not be decoded: whoever wrote it,
	// it names no upstream to use.
	Unreadable bool
}

// Rule names a way to choose upstreams.
type Rule string

// The rules.
const (
	// LeastOutstanding takes the upstream with the fewest requests; it is the baseline.
	LeastOutstanding Rule = "least-outstanding"
	// Predicted weighs what a choice costs in late requests, by the engine model.
	Predicted Rule = "predicted"
)

// Settings of a Fleet.
type Settings struct {
	Rule Rule
	// Zone is the entry's availability zone.
	Zone string
	// Origin names this entry among those that tell each other of their work.
	Origin uint64
}

// Fleet knows the upstreams and the work on them. It is safe for concurrent use.
type Fleet struct {
	settings Settings

	mu       sync.Mutex
	units    map[string]*unit
	tags     map[Tag]*unit
	services map[string][]*unit
	works    map[WorkID]*work
	waiters  map[WorkID]*waiter
	order    []*waiter
	inTime   []*waiter
	changed  chan struct{}
	next     uint64
	registry registry
	news     []Event
	told     chan struct{}
	search   search
	evidence *evidence.Book
	// placements are those of single engines by other entries, and longReading the reading
	// time in seconds of prompts that take turns, of all entries.
	placements  decay.Sum
	longReading decay.Sum
}

// unit is an upstream with what is known of it.
type unit struct {
	Upstream
	// name is that of the incarnation, and revision that of the entry that told of it.
	name     string
	revision uint64
	tag      Tag
	// order is the unit's place among those of its service by ID: the same at all entries.
	order int
	loads []*load
	// backlog is the reading time ahead of a new request; streams the number of streams
	// that the unit writes or will write, context the tokens of their prompts, and memory
	// the tokens that its requests will fill at the most. They are sums over loads.
	backlog time.Duration
	// ahead is the part of backlog that parts of long prompts make up, as of the choice in
	// hand: a new part is read before it.
	ahead time.Duration
	// gap is the least longest good pause of its streams, as of the choice in hand.
	gap     time.Duration
	streams int
	context int
	memory  int
	// drained is the time up to which the reading on it was worked off in the model, and busy
	// the share of the time before that in which it read.
	drained time.Time
	busy    float64
	// health is the evidence against it, of this entry and of others.
	health evidence.Record
	// full is until when the unit's memory counts as taken.
	full time.Time
	// newer is the upstream to which the registry has given its address since; nil for none.
	newer *unit
	// lapsing is when the unit is taken out unless the registry lists it again.
	lapsing time.Time
}

// NewFleet returns an empty Fleet.
func NewFleet(settings Settings) *Fleet {
	f := &Fleet{
		settings: settings,
		units:    make(map[string]*unit),
		services: make(map[string][]*unit),
		works:    make(map[WorkID]*work),
		waiters:  make(map[WorkID]*waiter),
		changed:  make(chan struct{}),
		told:     make(chan struct{}, 1),
	}
	f.search.fleet = f
	f.search.random = rand.New(rand.NewPCG(settings.Origin, 0))
	f.evidence = evidence.NewBook(f.search.random)
	f.search.freed = make([]time.Duration, 0, partCounts[len(partCounts)-1])
	return f
}

// Upstreams returns how many upstreams a service has that take work.
func (f *Fleet) Upstreams(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, u := range f.services[service] {
		if !u.Leaving {
			n++
		}
	}
	return n
}

// Born returns the start of an upstream's life as the registry tells it, in Unix
// milliseconds; zero where it isn't told.
func (f *Fleet) Born(id string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u := f.units[id]; u != nil {
		return u.Born
	}
	return 0
}

// Outstanding returns the number of placed requests whose end is not known yet.
func (f *Fleet) Outstanding() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.works)
}

// Waiting returns the number of requests, of all entries, that wait for their turn.
func (f *Fleet) Waiting() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.waiters)
}

// fullFor is how long an engine that refused to reserve memory counts as full: about the
// time in which one of its requests ends.
const fullFor = time.Second

// Full reports that an engine refused to reserve memory: it holds more than is known here.
func (f *Fleet) Full(now time.Time, upstream Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u := f.living(upstream); u != nil {
		u.full = now.Add(fullFor)
	}
}

// living returns the unit of an incarnation, or nil if it has ended.
func (f *Fleet) living(upstream Upstream) *unit {
	if u := f.units[upstream.ID]; u != nil && u.name == upstream.Incarnation() {
		return u
	}
	return nil
}

// Lists reports whether the registry lists an upstream.
func (f *Fleet) Lists(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.units[id] != nil
}

// Leaves reports whether the registry says that an incarnation takes no more work, or no longer
// lists it. One that a later life has followed did not leave.
func (f *Fleet) Leaves(upstream Upstream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.units[upstream.ID]
	return u == nil || u.name == upstream.Incarnation() && u.Leaving
}

// Replaced reports whether the registry has given an incarnation's address to another one since.
func (f *Fleet) Replaced(upstream Upstream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var revision uint64
	if u := f.living(upstream); u != nil {
		revision = u.revision
	}
	for _, u := range f.units {
		if u.Address == upstream.Address && u.name != upstream.Incarnation() && u.revision > revision && !u.Leaving {
			return true
		}
	}
	return false
}

// Apply takes news of upstreams. whole says that they list every upstream there is. It
// returns the incarnations that have ended because their upstream started again.
func (f *Fleet) Apply(now time.Time, changes []Change, whole bool) (ended []Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registry.answered(now)
	listed := make(map[string]bool, len(changes))
	for _, change := range changes {
		listed[change.ID] = true
		switch {
		case change.Unreadable:
			// The registry says so itself: there is nothing to doubt.
			delete(f.units, change.ID)
		case change.Removed:
			f.remove(now, change.ID)
		default:
			if last, restarted := f.put(now, change); restarted {
				ended = append(ended, last)
			}
		}
	}
	if whole {
		for id := range f.units {
			if !listed[id] {
				f.remove(now, id)
			}
		}
	}
	f.expire(now)
	f.index()
	return ended
}

// SourceLost tells that the registry did not answer.
func (f *Fleet) SourceLost(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registry.lost(now)
}

// put takes up an entry of the registry. It returns the incarnation that has ended where the
// upstream has started again under its id.
//
// What goes wrong without it: the new life, which holds and knows nothing, counts as loaded
// with what the earlier one had to read and to write, as full, or as ill; and requests that
// died with the earlier one wait for their answers.
func (f *Fleet) put(now time.Time, change Change) (last Upstream, restarted bool) {
	upstream := change.Upstream
	u := f.units[upstream.ID]
	switch {
	case u == nil:
		u = &unit{}
	case change.Revision < u.revision:
		return last, false // An answer that was under way for long: newer news are in force.
	case upstream.Born == 0:
		upstream.Born = u.Born // It doesn't tell; nothing says that it has started again.
	case u.Born != 0 && u.Born != upstream.Born:
		last, restarted = u.Upstream, true
		u = &unit{}
	}
	if change.Revision > u.revision && !upstream.Leaving {
		u.health.Registered(now)
	}
	f.units[upstream.ID] = u
	u.Upstream, u.revision = upstream, change.Revision
	u.name = upstream.Incarnation()
	u.tag = TagOf(u.name)
	u.lapsing = time.Time{}
	return last, restarted
}

// remove takes a unit out, or lets it lapse where the registry has just been away.
func (f *Fleet) remove(now time.Time, id string) {
	u := f.units[id]
	if u == nil {
		return
	}
	if grace := f.registry.grace(now); grace > 0 && !u.Leaving {
		if u.lapsing.IsZero() {
			u.lapsing = now.Add(grace)
		}
		return
	}
	delete(f.units, id)
}

// expire takes out the units whose lapse was not mended.
func (f *Fleet) expire(now time.Time) {
	for id, u := range f.units {
		if !u.lapsing.IsZero() && !now.Before(u.lapsing) {
			delete(f.units, id)
		}
	}
}

// index rebuilds the lists by service. Lists are replaced, never changed in place.
func (f *Fleet) index() {
	f.services = make(map[string][]*unit)
	f.tags = make(map[Tag]*unit, len(f.units))
	for _, u := range f.units {
		f.tags[u.tag] = u
		f.services[u.Service] = append(f.services[u.Service], u)
	}
	f.findNewer()
	for _, all := range f.services {
		slices.SortFunc(all, func(a, b *unit) int { return cmp.Compare(a.ID, b.ID) })
		for i, u := range all {
			u.order = i
		}
	}
}

// findNewer finds the upstreams whose address the registry has given to another one since.
func (f *Fleet) findNewer() {
	newest := make(map[string]*unit, len(f.units))
	for _, u := range f.units {
		if other := newest[u.Address]; other == nil || u.revision > other.revision {
			newest[u.Address] = u
		}
	}
	for _, u := range f.units {
		u.newer = nil
		if other := newest[u.Address]; other.revision > u.revision {
			u.newer = other
		}
	}
}

// superseded tells whether another upstream has the unit's address by now, as far as nobody has
// found that it hasn't: the entry may be another writer's.
//
// What goes wrong without it: an upstream starts again under another id, and its earlier entry
// stays until it lapses. A prompt that both are to read is refused as malformed, since it names one
// address twice.
func (u *unit) superseded() bool { return u.newer != nil && !u.newer.health.Proved() }

// candidates returns the units that may take a request: neither leaving nor left by it
// nor ejected nor superseded. Where none is left, those serve: a doubt must not empty a service.
func (f *Fleet) candidates(now time.Time, request *Request, into []*unit) []*unit {
	all := f.services[request.Service]
	for _, u := range all {
		if u.open(now, request) && !u.health.Out(now) && !u.superseded() {
			into = append(into, u)
		}
	}
	if len(into) > 0 {
		return into
	}
	for _, u := range all {
		if u.open(now, request) {
			into = append(into, u)
		}
	}
	return into
}

// Elsewhere tells whether there is an upstream for a request that leaves those it excludes.
func (f *Fleet) Elsewhere(now time.Time, request *Request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.services[request.Service], func(u *unit) bool { return u.open(now, request) })
}

func (u *unit) open(now time.Time, request *Request) bool {
	if u.Leaving || !u.lapsing.IsZero() && !now.Before(u.lapsing) {
		return false
	}
	return !slices.Contains(request.Exclude, u.name)
}

// Verdict says whether a request was placed.
type Verdict uint8

// The verdicts.
const (
	// Place requests were placed.
	Place Verdict = iota
	// NoUpstream means that no upstream takes requests.
	NoUpstream
	// TooBusy means that the request would take more from others than it is worth: refuse
	// it at once and let it come back.
	TooBusy
	// Hold means that the engines are better used by what is placed already: ask again at
	// the request's turn, under the id that was returned.
	Hold
)

// Choose decides where a request goes and books it there.
func (f *Fleet) Choose(now time.Time, request *Request, spec *enginemodel.Spec) (choice Choice, id WorkID, verdict Verdict) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.plan(now, request, spec)
	switch {
	case !ok:
		f.withdraw(request.Turn)
		return Choice{}, WorkID{}, NoUpstream
	case p.refused:
		f.withdraw(request.Turn)
		return Choice{Why: p.why}, WorkID{}, TooBusy
	case p.hold > 0:
		id := f.hold(now, request)
		return Choice{Turn: f.turn(p), Why: p.why}, id, Hold
	}
	p.why.Candidates = len(f.search.units)
	p.why.Backlog = p.first.backlog
	p.why.Streams = p.first.streams
	p.why.Memory = p.first.memory
	p.why.AgainstProof = p.first.health.AgainstProof(now) || slices.ContainsFunc(p.helpers, func(u *unit) bool {
		return u.health.AgainstProof(now)
	})
	w := f.book(now, request, p)
	choice = p.choice(w.id)
	choice.Ask = f.chanceGone(now, &p) > askFrom
	return choice, w.id, Place
}

// plan decides without booking. Its slices are valid until the next call.
func (f *Fleet) plan(now time.Time, request *Request, spec *enginemodel.Spec) (plan, bool) {
	f.search.units = f.candidates(now, request, f.search.units[:0])
	units := f.search.units
	f.search.keep = nil
	if request.Keep != "" {
		i := slices.IndexFunc(units, func(u *unit) bool { return u.name == request.Keep })
		if i < 0 {
			return plan{}, false
		}
		f.search.keep = units[i]
	}
	switch {
	case len(units) == 0:
		return plan{}, false
	case f.search.keep != nil && spec == nil:
		return plan{first: f.search.keep}, true
	case spec == nil || f.settings.Rule == LeastOutstanding:
		return plan{first: f.leastOutstanding(now, units)}, true
	default:
		return f.search.predicted(now, request, spec), true
	}
}

// leastOutstanding returns the unit with the least requests for its slots, in the entry's
// own zone where several are alike.
//
// Each entry looks at the units from another one on. What goes wrong where all begin with
// the same: of units that are alike all entries take the first, before they can hear of each
// other, and it refuses for lack of slots while the others are idle.
func (f *Fleet) leastOutstanding(now time.Time, units []*unit) *unit {
	var best *unit
	var least float64
	from := int(f.settings.Origin % uint64(len(units)))
	for i := range units {
		u := units[(from+i)%len(units)]
		value := float64(len(u.loads)+1) / float64(max(u.Slots, 1))
		if u.Zone != f.settings.Zone {
			value += sameLoad
		}
		value += u.health.Doubt(now)
		if best == nil || value < least {
			best, least = u, value
		}
	}
	return best
}

// sameLoad is the difference of load, as a share of slots, that the own zone is worth.
const sameLoad = 0.05

package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"acaciacleat.example/core/cooldown"
	"acaciacleat.example/core/decay"
	"acaciacleat.example/core/enginemodel"
	"acaciacleat.example/core/evidence"
	"acaciacleat.example/core/pace"
	"acaciacleat.example/core/ratelimit"
	"acaciacleat.example/core/reachability"
)

// Change is a change of one registration.
type Change struct {
	Upstream
	// Revision rises with each change of the registration; zero if unknown.
	Revision uint64
	// Removed is set if the registry no longer lists the upstream.
	Removed bool
	// Unreadable is set if the registration exists but can't be decoded, so that it names no
	// usable upstream.
	Unreadable bool
	// ColdFor is how much longer the upstream is cold, as it says in its registration. It is not part
	// of the encoding for other entries, whose decoders know the fields above only.
	ColdFor time.Duration `msgpack:"-"`
}

// Rule names a way to choose upstreams.
type Rule string

const (
	// LeastOutstanding takes the upstream with the fewest requests; it is the baseline.
	LeastOutstanding Rule = "least-outstanding"
	// Predicted minimises the expected loss from late requests, predicted by the engine model.
	Predicted Rule = "predicted"
)

// Settings holds the settings of a Fleet.
type Settings struct {
	Rule Rule
	// VM is the name of the entry's VM.
	VM string
	// Zone is the entry's availability zone.
	Zone string
	// Origin identifies this entry to the entries with which it exchanges events.
	Origin uint64
}

// Fleet tracks the upstreams and the requests placed on them. It is safe for concurrent use.
type Fleet struct {
	settings Settings

	mu         sync.Mutex
	upstreams  map[string]*upstreamState
	tags       map[Tag]*upstreamState
	services   map[string][]*upstreamState
	placements map[PlacementID]*placement
	waiters    map[PlacementID]*waiter
	// byTarget and onTime are buffers of queueAheadOf.
	byTarget []*waiter
	onTime   []*waiter
	// queueChanged is closed and replaced when a waiting request should call Choose again.
	queueChanged        chan struct{}
	lastPlacementNumber uint64
	// slotQueues are the queues for slots by service, lastTicket is the highest ticket known, and
	// droppedTurns is the number of events on turns that were dropped.
	slotQueues   map[string]*slotQueue
	lastTicket   int
	droppedTurns uint64
	// scarcityRefused counts the refusals in scarcity.
	scarcityRefused map[ScarcityRefusal]uint64
	// droppedShares is the number of reports on shares that were dropped.
	droppedShares uint64
	registry      registry
	pendingEvents []Event
	pendingSignal chan struct{}
	search        search
	evidence      *evidence.Tracker
	// remoteSingles is the decaying number of requests that other entries placed on a single
	// engine. prefillDemand is the decaying sum of the prefill times, in seconds, of queueable
	// prompts of all entries.
	remoteSingles decay.Sum
	prefillDemand decay.Sum
	// limitChanges are the changes of rate limits that TakeLimitChanges has not returned yet.
	limitChanges []LimitChange
	// limitReports are the upstreams whose limits TakeLimitReports is to report.
	limitReports []*upstreamState
	// statements are those of all incarnations by name.
	statements map[string]*statements
	// statementChanges are those that TakeStatementChanges has not returned yet.
	statementChanges []StatementChange
	// entries are the names of the VMs of all known entries; empty until they are known.
	entries []string
	// linked is the number of other entries whose placements this entry receives.
	linked int
	// zones tracks the availability zones that can't reach each other, zoneNames are those of the upstreams
	// by tag.
	zones     *reachability.Tracker
	zoneNames map[Tag]string
	// zoneChanges are those that TakeZoneChanges has not returned yet.
	zoneChanges     []ZoneChange
	zonesReportedAt time.Time
	// newCut is set while a cut has not been reported yet.
	newCut             bool
	zoneReportsDropped uint64
	// retryPaces space the Retry-After of the requests of a service that its limits refuse.
	retryPaces  map[string]*ratelimit.Share
	evacuations evacuations
	cold        coldState
	paces       pace.Tracker
}

// upstreamState is an upstream with its tracked state.
type upstreamState struct {
	Upstream
	// incarnation is the name of the incarnation; revision is that of its latest registration.
	incarnation string
	revision    uint64
	tag         Tag
	// position is the index among the upstreams of the service, sorted by ID. It is the same at
	// all entries.
	position int
	loads    []*load
	speed    speed
	// backlog is the prefill time ahead of a new request at the published pace, streams the number
	// of streams that the upstream decodes or will decode, contextTokens the tokens of their
	// prompts, and memoryTokens the most tokens that its requests can occupy. They are sums over
	// loads.
	backlog time.Duration
	// partBacklog is the share of backlog from parts of long prompts, computed for the current
	// choice. A new part is prefilled before it.
	partBacklog time.Duration
	// minGapTarget is the least gap target of its streams, computed for the current choice.
	minGapTarget  time.Duration
	streams       int
	contextTokens int
	memoryTokens  int
	// modelledUntil is the time up to which the model has advanced the prefill work, and
	// prefillUtilisation is the share of the time before it that was spent on prefill.
	modelledUntil      time.Time
	prefillUtilisation float64
	// health is the evidence against the upstream from this and other entries.
	health evidence.Record
	// statements are what the upstream has said of itself.
	*statements
	// holders are the entries that hold the shares of the limit, and share is the one of this
	// entry. permitBackoff is when the others are asked again, and permitsAsked the number of
	// requests for which they are being asked.
	holders       []string
	share         ratelimit.Share
	permitBackoff ratelimit.Backoff
	permitsAsked  int
	upstreamCold
	// cutOff is set while this entry can't reach the upstream's zone.
	cutOff bool
	// fullUntil is the time until which its memory counts as full.
	fullUntil time.Time
	// supersededBy is the upstream with the latest registration of the same address, if that is
	// later than its own; otherwise nil.
	supersededBy *upstreamState
	// freedAt is when a stream of this entry last ended there.
	freedAt time.Time
	// lapsesAt is when the upstream is removed unless it is registered again; zero if it isn't
	// lapsing.
	lapsesAt time.Time
	// evacuated is set while the operator evacuates its zone.
	evacuated bool
}

// NewFleet returns an empty Fleet.
func NewFleet(settings Settings) *Fleet {
	f := &Fleet{
		settings:        settings,
		upstreams:       make(map[string]*upstreamState),
		services:        make(map[string][]*upstreamState),
		placements:      make(map[PlacementID]*placement),
		waiters:         make(map[PlacementID]*waiter),
		statements:      make(map[string]*statements),
		zones:           reachability.New(settings.Zone),
		evacuations:     evacuations{pauses: make(map[string]*cooldown.Period)},
		slotQueues:      make(map[string]*slotQueue),
		scarcityRefused: make(map[ScarcityRefusal]uint64),
		retryPaces:      make(map[string]*ratelimit.Share),
		queueChanged:    make(chan struct{}),
		pendingSignal:   make(chan struct{}, 1),
	}
	f.search.fleet = f
	f.search.random = rand.New(rand.NewPCG(settings.Origin, 0))
	f.evidence = evidence.NewTracker(f.search.random)
	f.search.freeTimes = make([]time.Duration, 0, partCounts[len(partCounts)-1])
	return f
}

// Upstreams returns the number of upstreams of a service that are not draining.
func (f *Fleet) Upstreams(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, u := range f.services[service] {
		if !u.draining() {
			n++
		}
	}
	return n
}

// StartedAtMs returns the registered start time of an upstream in Unix milliseconds; zero if
// unknown.
func (f *Fleet) StartedAtMs(id string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u := f.upstreams[id]; u != nil {
		return u.StartedAtMs
	}
	return 0
}

// Outstanding returns the number of placed requests whose end is not known yet.
func (f *Fleet) Outstanding() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.placements)
}

// Waiting returns the number of long prompts of all entries that wait in the queue.
func (f *Fleet) Waiting() int { return f.countWaiters(func(w *waiter) bool { return w.service == 0 }) }

// WaitingForSlots returns the number of short prompts of all entries that wait for a free slot.
func (f *Fleet) WaitingForSlots() int {
	return f.countWaiters(func(w *waiter) bool { return w.service != 0 })
}

func (f *Fleet) countWaiters(counts func(*waiter) bool) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.waiters {
		if counts(w) {
			n++
		}
	}
	return n
}

// fullFor is how long an engine that refused to reserve memory counts as full: about the time
// until one of its requests ends.
const fullFor = time.Second

// MarkFull records that an engine refused to reserve memory: it holds more than is tracked
// here.
func (f *Fleet) MarkFull(now time.Time, upstream Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u := f.findIncarnation(upstream); u != nil {
		u.fullUntil = now.Add(fullFor)
	}
}

// findIncarnation returns the state of an incarnation, or nil if it has ended.
func (f *Fleet) findIncarnation(upstream Upstream) *upstreamState {
	if u := f.upstreams[upstream.ID]; u != nil && u.incarnation == upstream.Incarnation() {
		return u
	}
	return nil
}

// Registered reports whether the registry lists an upstream.
func (f *Fleet) Registered(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstreams[id] != nil
}

// Draining reports whether an incarnation is draining, by its registration or its own answers, or its
// upstream is no longer registered. An incarnation replaced by a later one under the same ID is not draining.
func (f *Fleet) Draining(upstream Upstream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.upstreams[upstream.ID]
	return u == nil || u.incarnation == upstream.Incarnation() && u.draining()
}

// Replaced reports whether a later registration, by another incarnation that is not draining,
// has the address of the given one.
func (f *Fleet) Replaced(upstream Upstream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var revision uint64
	if u := f.findIncarnation(upstream); u != nil {
		revision = u.revision
	}
	for _, u := range f.upstreams {
		if u.Address == upstream.Address && u.incarnation != upstream.Incarnation() && u.revision > revision && !u.Draining {
			return true
		}
	}
	return false
}

// ApplyChanges applies changes of registrations. If complete is set, the changes list
// every upstream there is. It returns the incarnations that ended because their upstream
// restarted.
func (f *Fleet) ApplyChanges(now time.Time, changes []Change, complete bool) (ended []Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registry.markAvailable(now)
	listed := make(map[string]bool, len(changes))
	for _, change := range changes {
		listed[change.ID] = true
		switch {
		case change.Unreadable:
			// The registry did answer, so the upstream is removed without the grace period that
			// remove grants after an outage.
			delete(f.upstreams, change.ID)
		case change.Removed:
			f.remove(now, change.ID)
		default:
			if previous, restarted := f.put(now, change); restarted {
				ended = append(ended, previous)
			}
		}
	}
	if complete {
		for id := range f.upstreams {
			if !listed[id] {
				f.remove(now, id)
			}
		}
		f.cold.listed = true
	}
	f.expireLapsed(now)
	f.rebuildIndex()
	return ended
}

// RegistryUnavailable records that the registry did not answer.
func (f *Fleet) RegistryUnavailable(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registry.markUnavailable(now)
}

// put applies a registration. If the upstream has restarted under its ID, it returns the
// incarnation that ended.
//
// The new incarnation starts with fresh state. It would otherwise inherit the load, the full
// memory and the failures of the previous one, and the requests that died with the previous one
// would wait for their answers.
func (f *Fleet) put(now time.Time, change Change) (previous Upstream, restarted bool) {
	upstream := change.Upstream
	u := f.upstreams[upstream.ID]
	switch {
	case u == nil:
		u = &upstreamState{}
	case change.Revision < u.revision:
		return previous, false // A delayed answer; a newer registration is known.
	case upstream.StartedAtMs == 0:
		upstream.StartedAtMs = u.StartedAtMs // Without a start time, no restart is assumed.
	case u.StartedAtMs != 0 && u.StartedAtMs != upstream.StartedAtMs:
		previous, restarted = u.Upstream, true
		u = &upstreamState{}
	}
	if change.Revision > u.revision && !upstream.Draining {
		u.health.Registered(now)
	}
	f.upstreams[upstream.ID] = u
	u.Upstream, u.revision = upstream, change.Revision
	u.incarnation = upstream.Incarnation()
	u.tag = TagOf(u.incarnation)
	u.lapsesAt = time.Time{}
	u.evacuated = f.evacuations.zones[u.Zone]
	started := false
	if u.statements == nil {
		started = f.statements[u.incarnation] == nil && (restarted || f.cold.listed)
		u.statements = f.statementsOf(u.incarnation)
		f.refreshRate(now, u)
	}
	f.statements[u.incarnation] = u.statements // The start time may have been unknown before.
	f.registeredCold(now, u, change.ColdFor, started)
	return previous, restarted
}

// remove removes an upstream, or schedules its removal if the registry has just had an outage
// and the upstream is not draining.
func (f *Fleet) remove(now time.Time, id string) {
	u := f.upstreams[id]
	if u == nil {
		return
	}
	if grace := f.registry.removalGrace(now); grace > 0 && !u.draining() {
		if u.lapsesAt.IsZero() {
			u.lapsesAt = now.Add(grace)
		}
		return
	}
	delete(f.upstreams, id)
}

// expireLapsed removes the upstreams that were not registered again in time.
func (f *Fleet) expireLapsed(now time.Time) {
	for id, u := range f.upstreams {
		if !u.lapsesAt.IsZero() && !now.Before(u.lapsesAt) {
			delete(f.upstreams, id)
		}
	}
}

// rebuildIndex rebuilds the lists by service. Lists are replaced, never changed in place.
func (f *Fleet) rebuildIndex() {
	f.services = make(map[string][]*upstreamState)
	f.tags = make(map[Tag]*upstreamState, len(f.upstreams))
	f.zoneNames = make(map[Tag]string)
	for _, u := range f.upstreams {
		f.zoneNames[TagOf(u.Zone)] = u.Zone
		u.cutOff = f.zones.Cut(u.Zone)
		f.tags[u.tag] = u
		f.services[u.Service] = append(f.services[u.Service], u)
	}
	f.findSuperseded()
	for _, all := range f.services {
		slices.SortFunc(all, func(a, b *upstreamState) int { return cmp.Compare(a.ID, b.ID) })
		for i, u := range all {
			u.position = i
		}
	}
}

// findSuperseded finds the upstreams whose address has a later registration by another one.
func (f *Fleet) findSuperseded() {
	newest := make(map[string]*upstreamState, len(f.upstreams))
	for _, u := range f.upstreams {
		if other := newest[u.Address]; other == nil || u.revision > other.revision {
			newest[u.Address] = u
		}
	}
	for _, u := range f.upstreams {
		u.supersededBy = nil
		if other := newest[u.Address]; other.revision > u.revision {
			u.supersededBy = other
		}
	}
}

// Verdict says whether a request was placed.
type Verdict uint8

const (
	// Place means that the request was placed.
	Place Verdict = iota
	// NoUpstream means that no upstream takes requests.
	NoUpstream
	// Overloaded means that the request is refused because engines are too busy to serve it in
	// time. The caller should retry later.
	Overloaded
	// Queue means that the request waits in the queue: call Choose again, under the returned
	// ID, as Choice.Retry says.
	Queue
	// NeedsPermit means that the request may go to Choice.Upstream once a holder of the upstream's
	// limit has granted it, see Choice.Permit: call RecordPermit, and Choose again.
	NeedsPermit
	// RateLimited means that the request is refused because of the upstreams' rate limits. The
	// caller should retry after Explanation.ClearTime.
	RateLimited
	// CoolingDown means that the request is refused because all upstreams have asked for a pause. The
	// caller should retry after Explanation.ClearTime.
	CoolingDown
	// Evacuated means that the request is refused because all upstreams are in zones that the operator
	// evacuates. The caller should retry after Explanation.ClearTime.
	Evacuated
)

// Choose decides where a request goes and records the placement.
func (f *Fleet) Choose(now time.Time, request *Request, spec *enginemodel.Spec) (choice Choice, id PlacementID, verdict Verdict) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.makePlan(now, request, spec)
	if ok && !f.takePermit(now, request, &p) {
		f.withdraw(request.QueueID)
		return f.askForPermit(now, request, &p), PlacementID{}, NeedsPermit
	}
	switch {
	case !ok:
		f.withdraw(request.QueueID)
		return Choice{}, PlacementID{}, NoUpstream
	case p.rateLimited:
		f.withdraw(request.QueueID)
		return Choice{Explanation: p.rationale}, PlacementID{}, RateLimited
	case p.cooldown:
		f.withdraw(request.QueueID)
		return Choice{Explanation: p.rationale}, PlacementID{}, CoolingDown
	case p.evacuated:
		f.withdraw(request.QueueID)
		return Choice{Explanation: p.rationale}, PlacementID{}, Evacuated
	case p.refused:
		f.withdraw(request.QueueID)
		return Choice{Explanation: p.rationale}, PlacementID{}, Overloaded
	case p.retryAfter > 0:
		id := f.enqueue(now, request)
		return Choice{Retry: f.retryFor(p), Explanation: p.rationale}, id, Queue
	}
	p.rationale.Candidates = len(f.search.candidates)
	p.rationale.Backlog = p.primary.prefillBacklog()
	p.rationale.Pace = p.primary.paceFactor()
	p.rationale.Streams = p.primary.streams
	p.rationale.MemoryTokens = p.primary.memoryTokens
	p.rationale.Limit = p.primary.limit.Rate
	p.rationale.Cold = p.primary.warming
	for _, u := range p.helpers {
		if u.limit.Rate > 0 {
			p.rationale.LimitedHelpers++
		}
	}
	p.rationale.KnownDown = p.primary.health.KnownDown(now) || slices.ContainsFunc(p.helpers, func(u *upstreamState) bool {
		return u.health.KnownDown(now)
	})
	pl := f.commit(now, request, p)
	pl.spec = spec
	choice = p.choice(pl.id)
	choice.Probe = f.downProbability(now, &p) > probeThreshold
	return choice, pl.id, Place
}

// makePlan decides without recording the placement; it returns false if no upstream may take the
// request. The slices of the plan are valid until the next call.
func (f *Fleet) makePlan(now time.Time, request *Request, spec *enginemodel.Spec) (plan, bool) {
	f.refreshRates(now, request.Service)
	f.search.candidates = f.candidates(now, request, f.search.candidates[:0])
	candidates := f.search.candidates
	if len(candidates) == 0 || request.PinnedTo != "" && !slices.ContainsFunc(candidates, request.pins) {
		return f.limitedPlan(now, request)
	}
	f.search.pinned = nil
	if request.PinnedTo != "" {
		f.search.pinned = candidates[slices.IndexFunc(candidates, request.pins)]
	} else if spec != nil && spec.Read(request.PromptTokens) >= splitThreshold {
		f.search.pinned = f.helpColdPrimary(now, request)
		candidates = f.search.candidates
	}
	switch {
	case f.search.pinned != nil && spec == nil:
		return plan{primary: f.search.pinned}, true
	case spec == nil || f.settings.Rule == LeastOutstanding:
		return plan{primary: f.leastOutstanding(now, candidates)}, true
	default:
		return f.search.predicted(now, request, spec), true
	}
}

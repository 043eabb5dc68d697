package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"acaciacleat.example/core/cooldown"
	"acaciacleat.example/core/decay"
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
	// entries are the names of the VMs of the entries that may hold shares of rate limits; empty until
	// they are known. entryCount is the number of all entries.
	entries    []string
	entryCount int
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
	// registry is that of the fleet.
	registry *registry
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

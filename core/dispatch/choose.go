package dispatch

import (
	"slices"
	"time"

	"acaciacleat.example/core/enginemodel"
)

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
	if spec != nil {
		p.rationale.FullPause = p.primary.atPace(spec.PassTime(spec.Slots, spec.Slots*(spec.MeanPromptTokens+spec.MeanAnswerTokens)))
	}
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
	if len(candidates) == 0 && request.Beside {
		return plan{}, false
	}
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

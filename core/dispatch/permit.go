package dispatch

import (
	"slices"
	"time"

	"acaciacleat.example/core/ratelimit"
)

// GrantedPermit is a permit that a holder has granted.
type GrantedPermit struct {
	Upstream Upstream
	// Rate is the rate for which it was granted.
	Rate ratelimit.Rate
}

// Permit says how a request may be granted within its upstream's rate limit.
type Permit struct {
	// Holders are the other entries to ask, in this order.
	Holders []string
	// Limit is the limit as it is known here, and Within the longest wait that is of use.
	Limit  ratelimit.Report
	Within time.Duration
	// Rate is the rate that the upstream bears as it is known here; lower than the limit if it is cold.
	Rate ratelimit.Rate
	// Cold is set if the upstream is cold, or was shortly before, and ColdMs how much longer it is cold.
	Cold   bool
	ColdMs int64
}

// Ask returns the question for the permit.
func (p *Permit) Ask() ratelimit.Ask {
	return ratelimit.Ask{Limit: p.Limit, Cold: p.Cold, ColdMs: p.ColdMs}
}

const (
	// permitTargetShare is the share of the time to the target that a request may wait for a
	// permit; the rest is for the upstream's work.
	permitTargetShare = 0.5
	// UnknownPermitWait is the assumed wait for a permit if no holder answers.
	UnknownPermitWait = 250 * time.Millisecond
)

// permitWithin returns how long a request may wait for a permit and still be in time. One that an
// upstream may have worked on waits for longer, so that the work isn't lost.
func (r *Request) permitWithin() time.Duration {
	left := r.FirstEventTarget
	if r.Committed {
		left = r.TimeToDeadline
	}
	return min(max(time.Duration(permitTargetShare*float64(left)), 0), ratelimit.MaxWait)
}

// permitted returns the upstream for which the request has a permit, or nil. A permit doesn't hold
// once the upstream has named a lower limit.
func (f *Fleet) permitted(now time.Time, request *Request) *upstreamState {
	if request.Permit == (GrantedPermit{}) {
		return nil
	}
	u := f.findIncarnation(request.Permit.Upstream)
	if u == nil || !u.accepts(now, request) || request.Permit.Rate > u.rate && u.rate > 0 {
		return nil
	}
	return u
}

// withinLimit reports whether an upstream's rate allows a request now: it has none, or a
// permit is likely to be granted at once.
func (u *upstreamState) withinLimit(now time.Time) bool {
	return u.rate == 0 || u.ownPermitWait(now) == 0 || u.permitsAsked == 0 && u.permitWait(now) == 0
}

// noPermit is longer than any wait.
const noPermit = time.Hour

// ownPermitWait returns the wait for a permit of this entry's own share.
func (u *upstreamState) ownPermitWait(now time.Time) time.Duration {
	if u.share.Rate() == 0 {
		return noPermit
	}
	return u.share.Wait(now)
}

// permitWait returns the expected wait for a permit of any holder.
func (u *upstreamState) permitWait(now time.Time) time.Duration {
	wait := u.ownPermitWait(now)
	others := len(u.holders)
	if u.share.Rate() > 0 {
		others--
	}
	if others > 0 {
		wait = min(wait, u.permitBackoff.Wait(now))
	}
	return wait
}

// limitedPlan plans a request whose upstreams' rate limits allow none at once. It waits for the
// upstream that is expected to grant a permit first, or is refused if that would take too long. It
// returns false if no upstream may take the request.
func (f *Fleet) limitedPlan(now time.Time, request *Request) (plan, bool) {
	var best *upstreamState
	least, rate := noPermit, ratelimit.Rate(0)
	for _, sound := range []bool{true, false} {
		for _, u := range f.services[request.Service] {
			usable := u.accepts(now, request) && (!sound || u.sound(now)) && (request.PinnedTo == "" || request.pins(u))
			if !usable || u.rate == 0 {
				continue
			}
			rate += u.rate
			if wait := u.permitWait(now); best == nil || wait < least {
				best, least = u, wait
			}
		}
		if best != nil {
			break
		}
	}
	if best == nil {
		return f.cooldownPlan(now, request)
	}
	p := plan{primary: best}
	if least > request.permitWithin() {
		p.rateLimited = true
		p.rationale = Explanation{Limit: best.rate, Cold: best.warming, ClearTime: max(least, f.retryPace(now, request, rate))}
	}
	return p, true
}

// cooldownPlan refuses a request whose upstreams have all asked for a pause, or are in evacuated zones. It
// returns false if neither is the case.
func (f *Fleet) cooldownPlan(now time.Time, request *Request) (plan, bool) {
	if wait, ok := f.cooldownWait(now, request); ok {
		return plan{cooldown: true, rationale: Explanation{ClearTime: wait}}, true
	}
	return f.evacuationPlan(now, request)
}

// retryPace returns when a refused request should come again: one after another, at this entry's
// part of the rate that the service's upstreams allow, within the time that its caller waits.
func (f *Fleet) retryPace(now time.Time, request *Request, rate ratelimit.Rate) time.Duration {
	pace := f.retryPaces[request.Service]
	if pace == nil {
		pace = &ratelimit.Share{}
		f.retryPaces[request.Service] = pace
	}
	pace.SetRate(now, rate/ratelimit.Rate(max(f.countEntries(), 1)), 0)
	horizon := request.TimeToDeadline / maxRetryShare
	wait, _ := pace.Take(now, horizon)
	return min(wait, horizon)
}

// maxRetryShare is the part of their time left, as a divisor, for which callers wait before they
// retry.
const maxRetryShare = 3

// takePermit takes the permit that a plan needs, if any, from this entry's own share. It returns
// false if another entry must grant it.
func (f *Fleet) takePermit(now time.Time, request *Request, p *plan) bool {
	u := p.primary
	if u == nil || p.refused || p.retryAfter > 0 || p.rateLimited || u.rate == 0 || f.permitted(now, request) == u {
		return true
	}
	_, granted := u.share.Take(now, 0)
	return granted
}

// askForPermit returns the choice of a request that needs a permit. Choose is called again after
// RecordPermit. The request doesn't wait for a permit while an upstream without a limit is free.
func (f *Fleet) askForPermit(now time.Time, request *Request, p *plan) Choice {
	u := p.primary
	u.permitsAsked++
	within := request.permitWithin()
	if slices.ContainsFunc(f.search.candidates, func(u *upstreamState) bool { return u.rate == 0 }) {
		within = 0
	}
	permit := Permit{Holders: u.otherHolders(f.settings.VM), Limit: u.limitReport(now), Within: within, Rate: u.rate}
	if u.warming {
		permit.Holders = f.withoutSilent(now, permit.Holders)
		permit.Cold, permit.ColdMs = true, f.coldReport(now, u).RestMs
	}
	return Choice{Upstream: u.Upstream, Permit: permit}
}

// otherHolders returns the holders other than this entry. Each entry begins with another one, so
// that they share the load.
func (u *upstreamState) otherHolders(self string) []string {
	others := slices.DeleteFunc(slices.Clone(u.holders), func(vm string) bool { return vm == self })
	if n := len(others); n > 1 {
		first := int(TagOf(self)) % n
		others = append(others[first:], others[:first]...)
	}
	return others
}

func (u *upstreamState) limitReport(now time.Time) ratelimit.Report {
	age := min(max(now.Sub(u.limit.StatedAt()), 0), ratelimit.MaxReportAge)
	return ratelimit.Report{Tag: uint32(u.tag), Rate: u.limit.Rate, AgeMs: age.Milliseconds()}
}

// OwnPermit grants a request from this entry's own share of an upstream's limit. If it isn't granted,
// wait is how long the next one would have to wait, negative if there is no share.
func (f *Fleet) OwnPermit(now time.Time, upstream Upstream, within time.Duration) (wait time.Duration, granted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.findIncarnation(upstream)
	if u == nil {
		return -1, false
	}
	f.refreshRate(now, u)
	if u.share.Rate() == 0 {
		return -1, false
	}
	return u.share.Take(now, within)
}

// RecordPermit records the end of a wait for a permit. If none was granted, wait is the least wait
// that a holder stated, negative if none answered.
func (f *Fleet) RecordPermit(now time.Time, upstream Upstream, granted bool, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.findIncarnation(upstream)
	if u == nil {
		return
	}
	u.permitsAsked = max(u.permitsAsked-1, 0)
	if granted {
		u.permitBackoff.Granted()
		return
	}
	if u.warming {
		f.cold.denied++
	}
	if wait < 0 {
		wait = UnknownPermitWait
	}
	u.permitBackoff.Denied(now, wait, f.countEntries(), f.search.random)
}

// Grant answers another entry's request for a permit.
func (f *Fleet) Grant(now time.Time, origin uint64, ask ratelimit.Ask) ratelimit.Reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	reply := ratelimit.Reply{Number: ask.Number, WaitMs: UnknownPermitWait.Milliseconds()}
	u := f.tags[Tag(ask.Limit.Tag)]
	if u == nil || !ask.Limit.Valid() {
		return reply
	}
	if ask.Limit.Rate > 0 {
		f.applyLimit(now, u, origin, ask.Limit)
	}
	if !f.applyAskedCold(now, u, origin, ask) {
		return reply
	}
	if u.rate == 0 {
		reply.Granted, reply.WaitMs = true, 0
		return reply
	}
	if u.share.Rate() == 0 {
		return reply
	}
	wait, granted := u.share.Take(now, ask.Within())
	reply.Granted, reply.WaitMs = granted, ceilMilliseconds(wait)
	return reply
}

// ceilMilliseconds rounds up, so that nobody comes too early.
func ceilMilliseconds(d time.Duration) int64 {
	return (d + time.Millisecond - time.Nanosecond).Milliseconds()
}

// TakeLimitReports returns the limits that have changed here since the last call.
func (f *Fleet) TakeLimitReports(now time.Time) []ratelimit.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	var reports []ratelimit.Report
	for _, u := range f.limitReports {
		reports = append(reports, u.limitReport(now))
	}
	f.limitReports = nil
	return reports
}

// CurrentLimits returns all limits that are known here, for an entry whose link opens.
func (f *Fleet) CurrentLimits(now time.Time) []ratelimit.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	var reports []ratelimit.Report
	for _, u := range f.upstreams {
		if !u.limit.StatedAt().IsZero() {
			reports = append(reports, u.limitReport(now))
		}
	}
	return reports
}

// ApplyLimits applies the limits that the entry with the given origin reports.
func (f *Fleet) ApplyLimits(now time.Time, origin uint64, reports []ratelimit.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, report := range reports {
		if u := f.tags[Tag(report.Tag)]; u != nil && report.Valid() {
			f.applyLimit(now, u, origin, report)
		}
	}
}

// reportDelay bounds the time that a report takes between two entries.
const reportDelay = 50 * time.Millisecond

// applyLimit applies a reported limit. One that isn't lower counts as older by reportDelay: while
// the report was on its way, this entry may have learned of a lower one.
func (f *Fleet) applyLimit(now time.Time, u *upstreamState, origin uint64, report ratelimit.Report) {
	at := report.StatedAt(now)
	if !u.limit.Lowers(ratelimit.Statement{Rate: report.Rate}) {
		at = at.Add(-reportDelay)
	}
	f.setLimit(now, u, at, report.Rate, origin)
}

// avoidLimited leaves limited and cold engines out of the candidates for a long prompt, as long as others
// remain.
func (s *search) avoidLimited() {
	limited := func(u *upstreamState) bool { return u.limit.Rate > 0 }
	avoided := func(u *upstreamState) bool { return limited(u) || s.fleet.isCold(s.now, u) }
	s.limitedOnly = !slices.ContainsFunc(s.candidates, func(u *upstreamState) bool { return !limited(u) })
	if s.limitedOnly || s.prefillTime < splitThreshold || s.pinned != nil {
		return
	}
	if !slices.ContainsFunc(s.candidates, func(u *upstreamState) bool { return !avoided(u) }) {
		avoided = limited
	}
	s.candidates = slices.DeleteFunc(s.candidates, avoided)
}

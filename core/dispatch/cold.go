package dispatch

import (
	"maps"
	"time"

	"acaciacleat.example/core/ratelimit"
	"acaciacleat.example/core/routes"
	"acaciacleat.example/core/slowstart"
)

// ColdSource says how an entry learned that an upstream is cold.
type ColdSource string

// The sources.
const (
	ColdByRegistration ColdSource = "registration"
	ColdByAnswer       ColdSource = "answer"
	// ColdByStart means that the upstream is a new incarnation.
	ColdByStart ColdSource = "start"
	// ColdByReturn means that its zone takes requests again.
	ColdByReturn ColdSource = "return"
	// ColdByEntry means that another entry has reported it.
	ColdByEntry ColdSource = "entry"
)

// ColdChange is a change of an upstream's cold time.
type ColdChange struct {
	// Upstream is the name of the incarnation.
	Upstream string
	Service  string
	// Rest is how much longer it is cold; zero if it isn't any more.
	Rest time.Duration
	// PerSecond is the rate that it bears; zero if the configuration has no figures for its service.
	PerSecond ratelimit.Rate
	Source    ColdSource
	At        time.Time
	// Origin is the entry that reported it; zero if none did.
	Origin uint64
}

const (
	// maxColdChanges bounds the changes that wait to be logged or reported.
	maxColdChanges = 256
	// coldTolerance is the change of an end from which it is reported and logged again: statements of
	// the same end differ by the delay of their messages.
	coldTolerance = 100 * time.Millisecond
)

// coldState is what a fleet keeps of cold upstreams.
type coldState struct {
	// figures are those of all services that have any, once configured is set.
	figures    map[string]routes.Cold
	configured bool
	// changes are those that TakeColdChanges has not returned yet, and reports the upstreams that
	// TakeColdReports is to report.
	changes []ColdChange
	reports []*upstreamState
	// unbounded counts the statements on upstreams of services without figures, logged has these
	// services, and denied counts the requests that got no permit for a cold upstream.
	unbounded uint64
	logged    map[string]bool
	denied    uint64
	// listed is set once all upstreams have been listed: those that come later have just started.
	listed bool
	// linked are the known entries to which there has been a link, and which know of this one.
	linked map[string]bool
	// silentUntil says until when a holder isn't asked.
	silentUntil map[string]time.Time
}

// upstreamCold is the state of an upstream that may be cold.
type upstreamCold struct {
	// rate is the stricter of the upstream's rate limit and the rate that it bears while it is cold;
	// zero for none. warming is set if it is cold or was shortly before.
	rate    ratelimit.Rate
	warming bool
	// reportedEnd is the end of the cold time that was last logged and reported; source and origin say
	// where it came from.
	reportedEnd time.Time
	source      ColdSource
	origin      uint64
}

// SetCold sets what upstreams bear while they are cold, by service.
func (f *Fleet) SetCold(now time.Time, figures map[string]routes.Cold) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cold.configured && maps.Equal(figures, f.cold.figures) {
		return
	}
	f.cold.figures, f.cold.configured, f.cold.logged = maps.Clone(figures), true, nil
	for _, u := range f.upstreams {
		f.refreshRate(now, u)
		f.noteCold(now, u)
	}
}

// ObserveCold records that an answer of an incarnation, received now, says that it is cold.
func (f *Fleet) ObserveCold(now time.Time, upstream Upstream, rest time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if rest <= 0 {
		return
	}
	if u := f.findIncarnation(upstream); u != nil {
		f.extendCold(now, u, rest, ColdByAnswer, 0)
		return
	}
	f.statementsOf(upstream.Incarnation()).cold.Extend(now, rest)
}

// zoneMayBeCold records that the upstreams of a zone may have started until now, because none of them has
// got requests.
func (f *Fleet) zoneMayBeCold(now time.Time, zone string) {
	for _, u := range f.upstreams {
		if u.Zone == zone {
			f.startCold(now, u, ColdByReturn)
		}
	}
}

// registeredCold applies a registration to what is known of its upstream's cold time. started is set if
// the incarnation wasn't known before.
func (f *Fleet) registeredCold(now time.Time, u *upstreamState, rest time.Duration, started bool) {
	if started {
		f.startCold(now, u, ColdByStart)
	}
	if rest > 0 {
		f.extendCold(now, u, rest, ColdByRegistration, 0)
	}
}

func (f *Fleet) startCold(now time.Time, u *upstreamState, source ColdSource) {
	known := u.cold
	known.MayHaveStarted(now)
	f.setColdTime(now, u, known, source, 0)
}

func (f *Fleet) extendCold(now time.Time, u *upstreamState, rest time.Duration, source ColdSource, origin uint64) {
	known := u.cold
	known.Extend(now, rest)
	f.setColdTime(now, u, known, source, origin)
}

func (f *Fleet) setColdTime(now time.Time, u *upstreamState, known slowstart.Known, source ColdSource, origin uint64) {
	if known != u.cold {
		u.cold, u.source, u.origin = known, source, origin
	}
	f.refreshRate(now, u)
	f.noteCold(now, u)
}

// noteCold queues a log line and a report if the end of an upstream's cold time has changed.
func (f *Fleet) noteCold(now time.Time, u *upstreamState) {
	figures := f.cold.figures[u.Service]
	end := u.cold.End(figures)
	if !end.After(now) {
		return
	}
	change := ColdChange{Upstream: u.incarnation, Service: u.Service, Rest: end.Sub(now), PerSecond: u.cold.Rate(now, figures), Source: u.source, At: now, Origin: u.origin}
	if !slowstart.Bounds(figures) {
		if !f.cold.configured {
			return // The configuration, read beside the registrations, may have figures.
		}
		f.cold.unbounded++
		if !f.cold.logged[u.Service] {
			f.cold.logged = mark(f.cold.logged, u.Service)
			f.recordColdChange(change)
		}
		return
	}
	if end.Sub(u.reportedEnd) < coldTolerance {
		return
	}
	u.reportedEnd = end
	f.recordColdChange(change)
	if u.origin == 0 && len(f.cold.reports) < maxColdChanges {
		f.cold.reports = append(f.cold.reports, u)
		f.signalPending()
	}
}

func mark(set map[string]bool, name string) map[string]bool {
	if set == nil {
		set = make(map[string]bool)
	}
	set[name] = true
	return set
}

func (f *Fleet) recordColdChange(change ColdChange) {
	if len(f.cold.changes) < maxColdChanges {
		f.cold.changes = append(f.cold.changes, change)
	}
}

// refreshRates brings the rates of a service's upstreams up to now.
func (f *Fleet) refreshRates(now time.Time, service string) {
	if slowstart.Bounds(f.cold.figures[service]) {
		for _, u := range f.services[service] {
			f.refreshRate(now, u)
		}
	}
}

// refreshRate brings the rate of an upstream, and this entry's share of it, up to now.
func (f *Fleet) refreshRate(now time.Time, u *upstreamState) {
	rate := u.limit.Rate
	cold := u.cold.Rate(now, f.cold.figures[u.Service])
	if cold > 0 && (rate == 0 || cold < rate) {
		rate = cold
	}
	warming := cold > 0
	if rate == u.rate && warming == u.warming {
		return
	}
	u.rate, u.warming = rate, warming
	f.updateShare(now, u)
}

// endColdTimes brings all rates up to now and records which upstreams are not cold any more.
func (f *Fleet) endColdTimes(now time.Time) {
	for _, u := range f.upstreams {
		if u.reportedEnd.IsZero() {
			continue
		}
		f.refreshRate(now, u)
		if !now.Before(u.cold.End(f.cold.figures[u.Service])) {
			u.reportedEnd = time.Time{}
			f.recordColdChange(ColdChange{Upstream: u.incarnation, Service: u.Service, Source: u.source, Origin: u.origin, At: now})
		}
	}
}

// isCold reports whether an upstream is cold.
func (f *Fleet) isCold(now time.Time, u *upstreamState) bool {
	return u.warming && u.cold.Cold(now, f.cold.figures[u.Service])
}

// Cold returns the number of upstreams that are cold.
func (f *Fleet) Cold(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, u := range f.upstreams {
		if f.isCold(now, u) {
			n++
		}
	}
	return n
}

// ColdDenied returns how many requests got no permit for a cold upstream.
func (f *Fleet) ColdDenied() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cold.denied
}

// ColdUnbounded returns how many statements were made by cold upstreams whose services have no figures.
func (f *Fleet) ColdUnbounded() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cold.unbounded
}

// TakeColdChanges returns the changes of cold times since the last call.
func (f *Fleet) TakeColdChanges() []ColdChange {
	f.mu.Lock()
	defer f.mu.Unlock()
	changes := f.cold.changes
	f.cold.changes = nil
	return changes
}

// ColdReportsPending reports whether TakeColdReports may return any.
func (f *Fleet) ColdReportsPending() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.cold.reports) > 0
}

// TakeColdReports returns the cold times that have changed here since the last call. What the registry shows
// to all entries is among them only if fromRegistry is set: if each entry told all others when the upstreams
// of a zone return, the messages would grow with the square of the entries.
func (f *Fleet) TakeColdReports(now time.Time, fromRegistry bool) []slowstart.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	var reports []slowstart.Report
	for _, u := range f.cold.reports {
		if fromRegistry || u.source == ColdByAnswer {
			reports = append(reports, f.coldReport(now, u))
		}
	}
	f.cold.reports = nil
	return reports
}

// CurrentCold returns the cold times that are known here, for an entry whose link opens.
func (f *Fleet) CurrentCold(now time.Time) []slowstart.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	var reports []slowstart.Report
	for _, u := range f.upstreams {
		if f.isCold(now, u) {
			reports = append(reports, f.coldReport(now, u))
		}
	}
	return reports
}

func (f *Fleet) coldReport(now time.Time, u *upstreamState) slowstart.Report {
	return slowstart.NewReport(uint32(u.tag), u.cold.Rest(now, f.cold.figures[u.Service]))
}

// ApplyCold applies the cold times that the entry with the given origin reports.
func (f *Fleet) ApplyCold(now time.Time, origin uint64, reports []slowstart.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, report := range reports {
		if u := f.tags[Tag(report.Tag)]; u != nil && report.Valid() {
			f.extendCold(now, u, report.Rest(), ColdByEntry, origin)
		}
	}
}

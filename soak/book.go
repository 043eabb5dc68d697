package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Check names what a violation breaks.
type Check string

// The checks.
const (
	// Twice: a request that may run once has run again.
	Twice Check = "twice"
	// Refused: a request that was said not to have run has run.
	Refused Check = "refused"
	// Foreign: an answer is not that of its request, or not its upstream's.
	Foreign Check = "foreign"
	// Short: an answer ended like a whole one and is not.
	Short Check = "short"
	// Denied: a proper request was called wrong.
	Denied Check = "denied"
	// Unadvised: a refusal that promises not to have run does not say when to come back.
	Unadvised Check = "unadvised"
	// CutOff: a request was cut off where nothing but a planned stop was going on.
	CutOff Check = "cut-off"
	// Late: the final answer came long after the request's time.
	Late Check = "late"
	// Stale: a configuration is not in force in time; Back: an older one is again.
	Stale Check = "stale"
	Back  Check = "back"
	// LeftAlone: an upstream that leaves still gets requests.
	LeftAlone Check = "leaving"
	// Outlived: a request waits for the answer of a life that is over.
	Outlived Check = "outlived"
	// Crashing: a request that ends upstreams reaches more and more of them.
	Crashing Check = "crashing"
	// Held: memory or places at upstreams are not given back.
	Held Check = "held"
	// Ended: a process has ended by itself, or badly, or not in its time.
	Ended Check = "ended"
	// Unwell: a request failed long after the last disruption.
	Unwell Check = "unwell"
)

// Violation is one promise broken.
type Violation struct {
	AtMs   int    `json:"atMs"`
	Check  Check  `json:"check"`
	Detail string `json:"detail"`
}

// hop is where a disruption strikes.
type hop uint8

const (
	hopCallers hop = iota
	hopStore
	hopUpstreams
	// hopProcess is struck by kills and pauses. Planned stops are no excuse.
	hopProcess
)

// everyEntry is struck by what strikes the store itself, or upstreams.
const everyEntry = -1

// disturbance is a time in which something was not as it should be.
type disturbance struct {
	hop      hop
	entry    int
	from, to time.Time
}

// configuredAt tells when a version was acknowledged.
type configuredAt struct {
	version uint64
	at      time.Time
}

// book holds what was promised, what was disrupted and what was broken. It is safe for
// concurrent use.
type book struct {
	begin time.Time

	mu         sync.Mutex
	violations []Violation
	outcomes   map[string]int
	// once holds the URIs of requests that may run once, unrun those that were said not to
	// have run, with who said so.
	once  map[string]struct{}
	unrun map[string]string

	disturbances []*disturbance
	configured   []configuredAt
	// quietFrom is when everything must work again; zero before it is known.
	quietFrom time.Time
}

func newBook() *book {
	return &book{
		begin:    time.Now(),
		outcomes: make(map[string]int),
		once:     make(map[string]struct{}),
		unrun:    make(map[string]string),
	}
}

// broken notes a violation.
func (b *book) broken(check Check, format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.violations = append(b.violations, Violation{
		AtMs: int(time.Since(b.begin).Milliseconds()), Check: check, Detail: fmt.Sprintf(format, args...),
	})
}

// count notes how a request ended.
func (b *book) count(outcome string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outcomes[outcome]++
}

// aftermath is how long a disruption is felt after its end: connections must be found dead
// and opened anew.
const aftermath = 1500 * time.Millisecond

// disturb notes that a disruption begins; the function returned notes its end.
func (b *book) disturb(where hop, entry int) (over func()) {
	d := &disturbance{hop: where, entry: entry, from: time.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.disturbances = append(b.disturbances, d)
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		d.to = time.Now().Add(aftermath)
	}
}

// calm tells whether nothing disrupted an entry's hops between two times.
func (b *book) calm(entry int, from, to time.Time, hops ...hop) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, d := range b.disturbances {
		concerned := slices.Contains(hops, d.hop) && (d.entry == everyEntry || d.entry == entry)
		if concerned && d.from.Before(to) && (d.to.IsZero() || d.to.After(from)) {
			return false
		}
	}
	return true
}

// isQuiet tells whether a request that began at a time must have been served.
func (b *book) isQuiet(began time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.quietFrom.IsZero() && began.After(b.quietFrom)
}

// mayRunOnce notes a request before it is sent.
func (b *book) mayRunOnce(uri string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.once[uri] = struct{}{}
}

// saidNotRun notes that a request was answered as not run.
func (b *book) saidNotRun(uri, who string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unrun[uri] = who
}

// judgeRuns compares what ran with what was promised. Each fault is told once.
func (b *book) judgeRuns(runs map[string]int) {
	b.mu.Lock()
	var twice, refused []string
	for uri, n := range runs {
		if _, once := b.once[uri]; once && n > 1 {
			twice = append(twice, fmt.Sprintf("%s ran %d times", uri, n))
			delete(b.once, uri)
		}
		if who, said := b.unrun[uri]; said {
			refused = append(refused, fmt.Sprintf("%s ran, though %s", uri, who))
			delete(b.unrun, uri)
		}
	}
	b.mu.Unlock()
	for _, detail := range twice {
		b.broken(Twice, "%s", detail)
	}
	for _, detail := range refused {
		b.broken(Refused, "%s", detail)
	}
}

// configurationMade notes that a version was acknowledged.
func (b *book) configurationMade(version uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.configured = append(b.configured, configuredAt{version, time.Now()})
}

// inForce is the time in which a configuration must be in force.
const inForce = 5 * time.Second

// judgeVersion judges the version that an entry's life obeys now.
func (b *book) judgeVersion(e *entry, life *process, before, version uint64) {
	now := time.Now()
	if version < before {
		b.broken(Back, "entry %d obeys version %d after %d", e.index, version, before)
	}
	if now.Sub(life.started) < inForce {
		return
	}
	b.mu.Lock()
	var due configuredAt
	for _, c := range b.configured {
		if now.Sub(c.at) > inForce {
			due = c
		}
	}
	b.mu.Unlock()
	if due.version > version && b.calm(e.index, due.at, now, hopStore, hopProcess) {
		b.broken(Stale, "entry %d obeys version %d; %d was made %s ago", e.index, version, due.version, now.Sub(due.at).Round(time.Millisecond))
	}
}

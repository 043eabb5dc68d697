package soak

import (
	"context"
	"slices"
	"sync"
	"time"

	"acaciacleat.example/platform/standin"
)

const (
	// minLimitDuration is the shortest duration of a NameLimit event: the platform's bound applies 3 s
	// after an upstream first names a limit.
	minLimitDuration = 4500 * time.Millisecond
	// maxLimit is the highest first limit that is drawn, in requests per second.
	maxLimit = 12
	// passOnDelay is the time after an entry has passed on an answer that names a limit from which its
	// requests count.
	passOnDelay = 500 * time.Millisecond
	// limitExcuse is how long before a request a disruption of its entry excuses it: the window of the
	// platform's bound.
	limitExcuse = 4 * time.Second
)

// statementRecord records which entry got each request, and when its process first passed on an answer
// that names an upstream's limit, or says that the upstream leaves. It is safe for concurrent use.
type statementRecord struct {
	mu     sync.Mutex
	sentTo map[string]sender
	// limitedAt holds by process and upstream when an answer was first passed on that names the upstream's limit,
	// and leavingAt when one that says that it leaves.
	limitedAt map[processUpstream]time.Time
	leavingAt map[processUpstream]time.Time
}

// sender is an entry with the process that it had when it got a request.
type sender struct {
	entry   int
	process *process
	at      time.Time
}

func newStatementRecord() *statementRecord {
	return &statementRecord{
		sentTo: make(map[string]sender), limitedAt: make(map[processUpstream]time.Time), leavingAt: make(map[processUpstream]time.Time),
	}
}

// recordSent records a request before it is sent.
func (l *statementRecord) recordSent(id string, s sender) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sentTo[id] = s
}

// recordLimit records that a process has passed on an answer that names its upstream's limit.
func (l *statementRecord) recordLimit(p *process, seal string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := processUpstream{p, seal}
	if _, told := l.limitedAt[key]; !told {
		l.limitedAt[key] = at
	}
}

// sender returns who got the request of an arrival at an upstream, if its process had passed on an answer that names
// the upstream's limit passOnDelay before.
func (l *statementRecord) sender(arrival standin.Arrival, seal string) (s sender, told bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, known := l.sentTo[arrival.ID]
	at, told := l.limitedAt[processUpstream{s.process, seal}]
	return s, known && told && arrival.At.Sub(at) >= passOnDelay
}

// nameLimit makes an upstream name a limit, then another one, and checks that the entries keep them.
func (h *harness) nameLimit(ctx context.Context, replica *standin.Replica, event Event) {
	duration := time.Duration(event.ForMs) * time.Millisecond
	replica.NameLimit(event.PerSecond)
	wait(ctx, duration*2/3)
	replica.NameLimit(event.secondLimit())
	wait(ctx, duration/3)
	replica.NameLimit(0)
	h.recorder.checkLimit(replica.Seal(), replica.Limits(), replica.Arrivals(), h.statements)
}

// secondLimit returns the limit that replaces the first one: half or twice as much.
func (e *Event) secondLimit() float64 {
	if e.AtMs%2 == 0 {
		return e.PerSecond / 2
	}
	return e.PerSecond * 2
}

// checkLimit checks the arrivals at the upstream with a seal against the limits that it has named. Requests of
// entries whose process was disrupted shortly before don't count.
func (r *recorder) checkLimit(seal string, limits []standin.NamedLimit, arrivals []standin.Arrival, sent *statementRecord) {
	counted := slices.DeleteFunc(arrivals, func(a standin.Arrival) bool {
		s, told := sent.sender(a, seal)
		return !told || !r.undisrupted(s.entry, a.At.Add(-limitExcuse), a.At, partProcess)
	})
	worst := standin.WorstLimitWindow(limits, counted)
	r.recordLimitShare(worst.Share())
	if worst.Share() > 1 {
		r.addViolation(LimitExceeded, "%s got %d requests in the window that ends %d ms after the start; %.1f named, %.1f tolerated",
			seal, worst.Arrivals, worst.End.Sub(r.startedAt).Milliseconds(), worst.Named, worst.Bound)
	}
}

// recordLimitShare records the worst window of an upstream as a share of the bound.
func (r *recorder) recordLimitShare(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limitShare = max(r.limitShare, share)
}

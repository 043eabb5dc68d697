package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"acaciacleat.example/core/attempt"
	"acaciacleat.example/core/retry"
)

// Allowance bounds the retries of all entries together.
type Allowance struct {
	// Ratio is the number of retries for each first attempt.
	Ratio float64
	// Slack is the number of retries in ten seconds beyond the ratio.
	Slack float64
}

// Budgets keeps the retry budget of each service. It is safe for concurrent use.
type Budgets struct {
	mu        sync.Mutex
	allowance Allowance
	entries   int
	budgets   map[string]*retry.Budget
}

// cautious is the part of the whole allowance that entries use: what they count of one
// request may fall into another window than what the upstreams count.
const cautious = 0.7

// noMinimum: the slack takes the place of a least rate of retries.
const noMinimum = 0

// NewBudgets returns Budgets for one entry of the given number.
func NewBudgets(allowance Allowance, entries int) *Budgets {
	return &Budgets{allowance: allowance, entries: max(entries, 1), budgets: make(map[string]*retry.Budget)}
}

// SetEntries splits the slack over another number of entries.
func (b *Budgets) SetEntries(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = max(n, 1)
	for _, budget := range b.budgets {
		budget.SetSlack(b.slack())
	}
}

func (b *Budgets) slack() float64 { return b.allowance.Slack * cautious / float64(b.entries) }

func (b *Budgets) of(service string) *retry.Budget {
	budget := b.budgets[service]
	if budget == nil {
		budget = retry.NewBudget(b.allowance.Ratio*cautious, noMinimum)
		budget.SetSlack(b.slack())
		b.budgets[service] = budget
	}
	return budget
}

// First records a first attempt at a service.
func (b *Budgets) First(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).RecordFirst(now)
}

// Of returns what a request of the service asks before it tries another upstream.
func (b *Budgets) Of(service string) *Retries {
	return &Retries{budgets: b, service: service}
}

// Retries is the budget as one request sees it. It implements attempt.Retries.
type Retries struct {
	budgets *Budgets
	service string
	// taken says that a retry was taken out of the budget for later.
	taken atomic.Bool
}

var _ attempt.Retries = (*Retries)(nil)

// Take takes a retry out of the budget for the next Allow; it reports whether one is there.
// Who leaves an upstream of his own will asks before: without it, an answer that its
// upstream might have finished is broken off for a retry that nobody may make.
func (s *Retries) Take(now time.Time) bool {
	if s.taken.Load() {
		return true
	}
	s.taken.Store(s.Allow(now))
	return s.taken.Load()
}

// Allow implements attempt.Retries.
func (s *Retries) Allow(now time.Time) bool {
	if s.taken.Swap(false) {
		return true
	}
	s.budgets.mu.Lock()
	defer s.budgets.mu.Unlock()
	return s.budgets.of(s.service).Allow(now)
}

// Delay implements attempt.Retries: another upstream is tried at once. What refused or
// failed is left alone meanwhile, so that waiting would only lose time.
func (*Retries) Delay(int) time.Duration { return 0 }

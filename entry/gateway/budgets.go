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
	// Ratio is the number of retries per first attempt.
	Ratio float64
	// Slack is the number of retries per ten seconds allowed beyond the ratio.
	Slack float64
}

// Budgets holds the retry budget of each service. It is safe for concurrent use.
type Budgets struct {
	mu        sync.Mutex
	allowance Allowance
	entries   int
	budgets   map[string]*retry.Budget
}

// budgetShare is the fraction of the allowance that entries use. An entry and an upstream may
// count the same request in different windows. If the entries used the whole allowance, an
// upstream could count more retries than are allowed.
const budgetShare = 0.7

// noMinimum disables the budget's minimum rate of retries, which the slack replaces.
const noMinimum = 0

// NewBudgets returns the Budgets of one of the given number of entries.
func NewBudgets(allowance Allowance, entries int) *Budgets {
	return &Budgets{allowance: allowance, entries: max(entries, 1), budgets: make(map[string]*retry.Budget)}
}

// SetEntries divides the slack by another number of entries.
func (b *Budgets) SetEntries(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = max(n, 1)
	for _, budget := range b.budgets {
		budget.SetSlack(b.slack())
	}
}

// slack returns the slack of this entry.
func (b *Budgets) slack() float64 { return b.allowance.Slack * budgetShare / float64(b.entries) }

// budgetFor returns the budget of a service and creates it if there is none. It is called with mu
// held.
func (b *Budgets) budgetFor(service string) *retry.Budget {
	budget := b.budgets[service]
	if budget == nil {
		budget = retry.NewBudget(b.allowance.Ratio*budgetShare, noMinimum)
		budget.SetSlack(b.slack())
		b.budgets[service] = budget
	}
	return budget
}

// RecordFirst records a first attempt at a service.
func (b *Budgets) RecordFirst(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetFor(service).RecordFirst(now)
}

// ForService returns the retry budget of a service as one request uses it.
func (b *Budgets) ForService(service string) *Retries {
	return &Retries{budgets: b, service: service}
}

// Retries is the retry budget as one request uses it. It implements attempt.Retries.
type Retries struct {
	budgets *Budgets
	service string
	// prepaid reports whether the next Allow is free.
	prepaid atomic.Bool
}

var _ attempt.Retries = (*Retries)(nil)

// prepay makes the next Allow free: the retry has been charged already.
func (s *Retries) prepay() { s.prepaid.Store(true) }

// Allow implements attempt.Retries.
func (s *Retries) Allow(now time.Time) bool {
	if s.prepaid.Swap(false) {
		return true
	}
	s.budgets.mu.Lock()
	defer s.budgets.mu.Unlock()
	return s.budgets.budgetFor(s.service).Allow(now)
}

// Delay implements attempt.Retries. Another upstream is tried at once: the upstream that
// refused or failed is excluded, so waiting would only lose time.
func (*Retries) Delay(int) time.Duration { return 0 }

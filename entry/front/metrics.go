package front

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// The histograms cover 10 microseconds to 1 hour with two significant digits. Their unit is the
// microsecond.
const (
	firstTokenLowest  = 10
	firstTokenHighest = int64(time.Hour / time.Microsecond)
	significantDigits = 2
)

// firstTokenHistogram is the time to first token of one length class, in microseconds.
type firstTokenHistogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics {
	m := &Metrics{}
	for i := range m.firstToken {
		m.firstToken[i].histogram = hdrhistogram.New(firstTokenLowest, firstTokenHighest, significantDigits)
	}
	return m
}

func (m *Metrics) countResult(code result.Code) {
	counter, ok := m.byCode.Load(code)
	if !ok {
		counter, _ = m.byCode.LoadOrStore(code, new(atomic.Int64))
	}
	counter.(*atomic.Int64).Add(1)
}

func (m *Metrics) recordFirstToken(class call.Class, d time.Duration) {
	f := &m.firstToken[class]
	f.mu.Lock()
	defer f.mu.Unlock()
	// A value out of range is not recorded; the request must not fail because of it.
	_ = f.histogram.RecordValue(d.Microseconds())
}

// FirstTokenSummary summarises times to first token, in milliseconds.
type FirstTokenSummary struct {
	Count int64   `json:"count"`
	P50Ms float64 `json:"p50_ms"`
	P95Ms float64 `json:"p95_ms"`
	P99Ms float64 `json:"p99_ms"`
}

// FirstTokens returns the summary of each length class.
func (m *Metrics) FirstTokens() map[string]FirstTokenSummary {
	all := make(map[string]FirstTokenSummary, len(m.firstToken))
	for i := range m.firstToken {
		f := &m.firstToken[i]
		f.mu.Lock()
		all[call.Class(i).String()] = FirstTokenSummary{
			Count: f.histogram.TotalCount(),
			P50Ms: float64(f.histogram.ValueAtQuantile(50)) / 1000,
			P95Ms: float64(f.histogram.ValueAtQuantile(95)) / 1000,
			P99Ms: float64(f.histogram.ValueAtQuantile(99)) / 1000,
		}
		f.mu.Unlock()
	}
	return all
}

// Results returns how many requests ended with each code.
func (m *Metrics) Results() map[string]int64 {
	all := make(map[string]int64)
	m.byCode.Range(func(code, counter any) bool {
		name := strconv.Itoa(int(code.(result.Code))) + " " + result.Lookup(code.(result.Code)).Name
		all[name] = counter.(*atomic.Int64).Load()
		return true
	})
	return all
}

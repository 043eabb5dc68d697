package orders

import (
	"time"

	"acaciacleat.example/core/result"
	"acaciacleat.example/peers/engine"
	"acaciacleat.example/peers/link"
)

const (
	// engineDownTimeout is how long an engine may give no report before it counts as down. It
	// equals five intervals between two reads of the report.
	engineDownTimeout = 5 * time.Second
	// Statistics cover the last bucketCount periods of bucketLength.
	bucketLength = time.Minute
	bucketCount  = 5
)

// engineStats holds the engine's last report and the statistics of recent calls.
type engineStats struct {
	report        engine.Report
	reportedAt    time.Time
	firstPolledAt time.Time
	buckets       [bucketCount]bucket
}

// bucket counts the calls of one minute.
type bucket struct {
	minute   int64
	requests int
	errors   int
	// firstTokens is the number of calls that had a first token, and firstTokenMs the sum of
	// their times to first token in milliseconds.
	firstTokens  int
	firstTokenMs float64
}

// RecordReport records an engine's report, or the error of reading it. A change of model or
// version resets the statistics.
func (x *Executor) RecordReport(now time.Time, report engine.Report, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := &x.stats
	if s.firstPolledAt.IsZero() {
		s.firstPolledAt = now
	}
	if err != nil {
		return
	}
	if report.Model != s.report.Model || report.Version != s.report.Version {
		s.buckets = [bucketCount]bucket{}
	}
	s.report = report
	s.reportedAt = now
}

// RecordEnd adds a call that ran at the engine to the statistics.
func (x *Executor) RecordEnd(now time.Time, end *link.End) {
	x.mu.Lock()
	defer x.mu.Unlock()
	b := x.stats.bucket(now)
	switch end.Code {
	case result.OK:
		if end.FirstTokenMs > 0 {
			b.firstTokens++
			b.firstTokenMs += end.FirstTokenMs
		}
	case result.UpstreamFailed, result.UpstreamTimeout, result.UpstreamRejected, result.UpstreamCrashed:
		b.errors++
	default:
		// Cancellations and expired deadlines are not failures of the engine.
		return
	}
	b.requests++
}

// bucket returns the bucket of the current minute, emptied if it held an older one.
func (s *engineStats) bucket(now time.Time) *bucket {
	minute := now.UnixNano() / int64(bucketLength)
	at := &s.buckets[minute%bucketCount]
	if at.minute != minute {
		*at = bucket{minute: minute}
	}
	return at
}

// Status returns the status of the engine and of its orders.
func (x *Executor) Status(now time.Time) *link.Status {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := &x.stats
	status := &link.Status{
		Model:      s.report.Model,
		Version:    s.report.Version,
		Adapters:   s.report.Adapters,
		Role:       s.report.Role,
		Reported:   !s.reportedAt.IsZero(),
		EngineDown: s.down(now),
	}
	if x.lastErr != nil {
		status.OrderError = x.lastErr.Error()
	}
	s.summarize(now, status)
	return status
}

// down reports whether the engine has given no report for engineDownTimeout, counted from its
// last report or, without one, from the first poll.
func (s *engineStats) down(now time.Time) bool {
	since := s.reportedAt
	if since.IsZero() {
		since = s.firstPolledAt
	}
	return !since.IsZero() && now.Sub(since) > engineDownTimeout
}

// summarize sums up the buckets of the last bucketCount minutes.
func (s *engineStats) summarize(now time.Time, status *link.Status) {
	oldest := now.UnixNano()/int64(bucketLength) - bucketCount
	errors, firstTokens, firstTokenMs := 0, 0, 0.0
	for i := range s.buckets {
		at := &s.buckets[i]
		if at.minute <= oldest {
			continue
		}
		status.Requests += at.requests
		errors += at.errors
		firstTokens += at.firstTokens
		firstTokenMs += at.firstTokenMs
	}
	if status.Requests > 0 {
		status.ErrorRate = float64(errors) / float64(status.Requests)
	}
	if firstTokens > 0 {
		status.FirstTokenMs = firstTokenMs / float64(firstTokens)
	}
}

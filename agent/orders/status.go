package orders

import (
	"time"

	"acaciacleat.example/core/result"
	"acaciacleat.example/peers/engine"
	"acaciacleat.example/peers/link"
)

const (
	// engineSilence is how long an engine may give no report before it counts as down:
	// five reports at the interval at which agents read them.
	engineSilence = 5 * time.Second
	// bucketLength and bucketCount make up the last minutes over which figures are kept.
	bucketLength = time.Minute
	bucketCount  = 5
)

// book holds what is known of the engine.
type book struct {
	report     engine.Report
	reportedAt time.Time
	firstAsked time.Time
	buckets    [bucketCount]bucket
}

// bucket counts the calls of one minute.
type bucket struct {
	minute   int64
	requests int
	errors   int
	// firsts are the calls that had a first token, firstMs the sum of their times to it.
	firsts  int
	firstMs float64
}

// Reported takes the outcome of asking the engine for its report.
func (x *Executor) Reported(now time.Time, report engine.Report, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	b := &x.book
	if b.firstAsked.IsZero() {
		b.firstAsked = now
	}
	if err != nil {
		return
	}
	if report.Model != b.report.Model || report.Version != b.report.Version {
		b.buckets = [bucketCount]bucket{}
	}
	b.report = report
	b.reportedAt = now
}

// Ended counts a call that ran at the engine.
func (x *Executor) Ended(now time.Time, end *link.End) {
	x.mu.Lock()
	defer x.mu.Unlock()
	b := x.book.bucket(now)
	switch end.Code {
	case result.OK:
		if end.FirstTokenMs > 0 {
			b.firsts++
			b.firstMs += end.FirstTokenMs
		}
	case result.UpstreamFailed, result.UpstreamTimeout, result.UpstreamRejected, result.UpstreamCrashed:
		b.errors++
	default:
		// Cancelled, or out of time: that says nothing of the engine.
		return
	}
	b.requests++
}

func (b *book) bucket(now time.Time) *bucket {
	minute := now.UnixNano() / int64(bucketLength)
	at := &b.buckets[minute%bucketCount]
	if at.minute != minute {
		*at = bucket{minute: minute}
	}
	return at
}

// Status returns what is known of the engine.
func (x *Executor) Status(now time.Time) *link.Status {
	x.mu.Lock()
	defer x.mu.Unlock()
	b := &x.book
	status := &link.Status{
		Model:      b.report.Model,
		Version:    b.report.Version,
		Adapters:   b.report.Adapters,
		Role:       b.report.Role,
		Reported:   !b.reportedAt.IsZero(),
		EngineDown: b.down(now),
	}
	if x.lastErr != nil {
		status.OrderError = x.lastErr.Error()
	}
	b.sum(now, status)
	return status
}

func (b *book) down(now time.Time) bool {
	since := b.reportedAt
	if since.IsZero() {
		since = b.firstAsked
	}
	return !since.IsZero() && now.Sub(since) > engineSilence
}

// sum adds up the minutes that are not over for too long.
func (b *book) sum(now time.Time, status *link.Status) {
	oldest := now.UnixNano()/int64(bucketLength) - bucketCount
	errors, firsts, firstMs := 0, 0, 0.0
	for i := range b.buckets {
		at := &b.buckets[i]
		if at.minute <= oldest {
			continue
		}
		status.Requests += at.requests
		errors += at.errors
		firsts += at.firsts
		firstMs += at.firstMs
	}
	if status.Requests > 0 {
		status.ErrorRate = float64(errors) / float64(status.Requests)
	}
	if firsts > 0 {
		status.FirstTokenMs = firstMs / float64(firsts)
	}
}

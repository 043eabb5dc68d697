package gateway

import (
	"sync"
	"time"

	"acaciacleat.example/core/attempt"
	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/result"
	"acaciacleat.example/peers/framing"
	"github.com/rs/zerolog"
)

// attemptRecord is one attempt at an upstream as it is logged. Times are relative to the request's
// arrival.
type attemptRecord struct {
	choice dispatch.Choice
	// at is when the upstream was chosen.
	at time.Duration
	// queued is how long before that the request waited to be placed.
	queued time.Duration
	// firstEvent is when the first event arrived; zero if none did.
	firstEvent time.Duration
	// framing is that of the upstream's answer, end how the answer ended; empty if there was none, or
	// if this entry did not read it to its end.
	framing framing.Framing
	end     answerEnd
	failure attempt.Outcome
}

// fail records why the attempt was given up.
func (a *attemptRecord) fail(failure attempt.Outcome) { a.failure = failure }

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (a *attemptRecord) MarshalZerologObject(e *zerolog.Event) {
	why := a.choice.Explanation
	e.Str("upstream", a.choice.Upstream.ID).Int64("at_ms", a.at.Milliseconds()).
		Int("candidates", why.Candidates).Int64("backlog_ms", why.Backlog.Milliseconds()).
		Int("streams", why.Streams).Int("memory", why.MemoryTokens).Float64("cost", why.ExpectedLoss)
	if a.queued > 0 {
		e.Int64("held_ms", a.queued.Milliseconds())
	}
	if why.FirstEvent > 0 {
		e.Int64("expected_ms", (a.at + why.FirstEvent).Milliseconds())
	}
	if a.firstEvent > 0 {
		e.Int64("first_ms", a.firstEvent.Milliseconds())
	}
	if a.framing != "" {
		e.Str("framing", string(a.framing))
	}
	if a.end != "" {
		e.Str("ended", string(a.end))
	}
	if why.Pace != 0 && why.Pace != 1 {
		e.Float64("pace", why.Pace)
	}
	if why.KnownDown {
		e.Bool("against_proof", true)
	}
	if why.Limit > 0 {
		e.Float64("limit", float64(why.Limit))
	}
	if why.Cold {
		e.Bool("cold", true)
	}
	if n := len(a.choice.Helpers); n > 0 {
		e.Int("helpers", n).Strs("parts_at", helperIDs(a.choice.Helpers))
	}
	if a.failure.Code != result.OK {
		e.Str("left", result.Lookup(a.failure.Code).Name).Str("execution", string(a.failure.Execution)).Str("detail", a.failure.Detail)
	}
}

func helperIDs(helpers []dispatch.Helper) []string {
	ids := make([]string, len(helpers))
	for i := range helpers {
		ids[i] = helpers[i].Upstream.ID
	}
	return ids
}

// attemptRecords are the attempts of one request.
type attemptRecords []attemptRecord

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (all attemptRecords) MarshalZerologArray(a *zerolog.Array) {
	for i := range all {
		a.Object(&all[i])
	}
}

// logEnd counts the request in the metrics, and logs in one line how it ended and which decisions
// were made for it. Under load, lines of successful requests are left out, but never those of
// failed ones.
func (e *exchange) logEnd(err *result.Error) {
	took := e.now().Sub(e.arrived)
	e.g.config.Metrics.requestEnded(e, err, took)
	line := e.g.logLimiter.line(e.now(), &e.g.config.Log, e.ending(err, took))
	if line == nil {
		return
	}
	line = line.Str("request", e.meta.ID).Int64("took_ms", took.Milliseconds()).
		Int64("routes_age_ms", e.routesAge.Milliseconds()).Int64("upstreams_age_ms", e.upstreamsAge.Milliseconds())
	if err != nil {
		line = line.Str("result", result.Lookup(err.Code).Name).Str("execution", string(err.Execution)).Str("detail", err.Detail)
	}
	if e.route != nil {
		line = line.Str("route", e.route.Name).Uint64("routes", e.version).
			Int64("routes_since_ms", e.arrived.Sub(e.routesSince).Milliseconds()).Int64("allowed_ms", e.deadline.Sub(e.arrived).Milliseconds()).Int64("aim_ms", e.route.TargetLatency.Milliseconds())
	}
	if e.caller != nil {
		line = line.Str("organisation", e.caller.Name)
	}
	if e.sendCount > 0 || e.hasPrint.Load() {
		line = line.Stringer("fingerprint", e.fingerprint())
	}
	if e.meta.PromptTokens > 0 {
		line = line.Int("prompt_tokens", e.meta.PromptTokens)
	}
	if len(e.meta.Segments) > 0 {
		line = line.Strs("segments", e.meta.Segments)
	}
	if e.longestGap > 0 {
		line = line.Int64("pause_ms", e.longestGap.Milliseconds()).Int64("good_pause_ms", e.route.TargetGap.Milliseconds())
	}
	if len(e.attempts) > 0 {
		line = line.Array("tries", attemptRecords(e.attempts)).Bool("headed", e.headSent).Str("last_event", e.lastEventID)
	}
	if e.refusal != nil {
		line = e.refusal.addTo(line, e)
	}
	if e.lagging {
		line = e.g.config.Directory.Explain(line)
	}
	line.Msg("request ended")
}

// ending classifies how a request ended, for the log.
type ending uint8

const (
	endedWell ending = iota
	// endedOnOld is a request that was served while the entry's routes or upstreams were known to be old.
	endedOnOld
	endedLate
	endedBadly
	endings
)

// ending classifies the request. It is late if it missed its target latency or if a gap between
// events was longer than the target.
func (e *exchange) ending(err *result.Error, took time.Duration) ending {
	switch {
	case err != nil:
		return endedBadly
	case e.lagging:
		return endedOnOld
	case e.route == nil:
		return endedWell
	case !e.firstEventAt.IsZero():
		took = e.firstEventAt.Sub(e.arrived)
	}
	if e.route.TargetLatency > 0 && took > e.route.TargetLatency || e.route.TargetGap > 0 && e.longestGap > e.route.TargetGap {
		return endedLate
	}
	return endedWell
}

// maxLinesPerSecond bounds the lines of successful requests, and separately those of late ones,
// to about 20 KB per second each. An entry usually serves fewer requests per second.
const maxLinesPerSecond = 40

// logLimiter drops the log lines of successful requests beyond maxLinesPerSecond and counts
// them. It is safe for concurrent use.
type logLimiter struct {
	mu sync.Mutex
	// second is the start of the current interval of one second. written and omitted count the
	// lines written and dropped in it.
	second  time.Time
	written [endings]int
	omitted int
}

// line returns the log line to write, or nil if it is dropped.
func (b *logLimiter) line(now time.Time, log *zerolog.Logger, class ending) *zerolog.Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.second) >= time.Second {
		if b.omitted > 0 {
			log.Info().Int("lines", b.omitted).Msg("lines of requests that were served were left out")
		}
		b.second, b.written, b.omitted = now, [endings]int{}, 0
	}
	if class == endedBadly {
		return log.Warn()
	}
	if b.written[class] >= maxLinesPerSecond {
		b.omitted++
		return nil
	}
	b.written[class]++
	return log.Info()
}

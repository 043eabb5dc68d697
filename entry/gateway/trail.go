package gateway

import (
	"sync"
	"time"

	"acaciacleat.example/core/attempt"
	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/result"
	"github.com/rs/zerolog"
)

// try is one upstream to which a request went, as the log tells it. Times count from the
// request's arrival.
type try struct {
	choice dispatch.Choice
	at     time.Duration
	// held is how long of that it waited for its turn.
	held time.Duration
	// first is when its first event came; zero for none.
	first time.Duration
	word  attempt.Word
}

// left records why the try was given up.
func (t *try) left(word attempt.Word) { t.word = word }

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (t *try) MarshalZerologObject(e *zerolog.Event) {
	why := t.choice.Why
	e.Str("upstream", t.choice.Upstream.ID).Int64("at_ms", t.at.Milliseconds()).
		Int("candidates", why.Candidates).Int64("backlog_ms", why.Backlog.Milliseconds()).
		Int("streams", why.Streams).Int("memory", why.Memory).Float64("cost", why.Cost)
	if t.held > 0 {
		e.Int64("held_ms", t.held.Milliseconds())
	}
	if why.First > 0 {
		e.Int64("expected_ms", (t.at + why.First).Milliseconds())
	}
	if t.first > 0 {
		e.Int64("first_ms", t.first.Milliseconds())
	}
	if why.AgainstProof {
		e.Bool("against_proof", true)
	}
	if n := len(t.choice.Helpers); n > 0 {
		e.Int("helpers", n)
	}
	if t.word.Code != result.OK {
		e.Str("left", result.Lookup(t.word.Code).Name).Str("execution", string(t.word.Execution)).Str("detail", t.word.Detail)
	}
}

// tries is the list of a request's tries.
type tries []try

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (all tries) MarshalZerologArray(a *zerolog.Array) {
	for i := range all {
		a.Object(&all[i])
	}
}

// logEnd tells how a request ended and what was decided on its way, in one line. Under
// load, lines of requests that ended well are left out, never those of failed ones.
func (e *exchange) logEnd(err *result.Error) {
	took := e.now().Sub(e.arrived)
	e.g.config.Metrics.ended(e, err, took)
	line := e.g.lines.line(e.now(), &e.g.config.Log, e.ending(err, took))
	if line == nil {
		return
	}
	line = line.Str("request", e.meta.ID).Int64("took_ms", took.Milliseconds())
	if err != nil {
		line = line.Str("result", result.Lookup(err.Code).Name).Str("execution", string(err.Execution)).Str("detail", err.Detail)
	}
	if e.route != nil {
		line = line.Str("route", e.route.Name).Uint64("routes", e.version).
			Int64("allowed_ms", e.deadline.Sub(e.arrived).Milliseconds()).Int64("aim_ms", e.route.TargetLatency.Milliseconds())
	}
	if e.caller != nil {
		line = line.Str("organisation", e.caller.Name)
	}
	if e.sends > 0 || e.printed {
		line = line.Stringer("fingerprint", e.fingerprint())
	}
	if e.meta.PromptTokens > 0 {
		line = line.Int("prompt_tokens", e.meta.PromptTokens)
	}
	if e.pause > 0 {
		line = line.Int64("pause_ms", e.pause.Milliseconds()).Int64("good_pause_ms", e.route.TargetGap.Milliseconds())
	}
	if len(e.tries) > 0 {
		line = line.Array("tries", tries(e.tries)).Bool("headed", e.headed).Str("last_event", e.lastEvent)
	}
	line.Msg("request ended")
}

// ending is how a request ended, for the log.
type ending uint8

const (
	endedWell ending = iota
	endedLate
	endedBadly
	endings
)

// ending tells how the request ended: late is what came after its aim, or with a pause that is
// longer than a good one.
func (e *exchange) ending(err *result.Error, took time.Duration) ending {
	switch {
	case err != nil:
		return endedBadly
	case e.route == nil:
		return endedWell
	case !e.first.IsZero():
		took = e.first.Sub(e.arrived)
	}
	if e.route.TargetLatency > 0 && took > e.route.TargetLatency || e.route.TargetGap > 0 && e.pause > e.route.TargetGap {
		return endedLate
	}
	return endedWell
}

// linesPerSecond bounds the lines of requests that ended well, and of those that were late:
// some 20 KB a second each, and more than an entry has requests of at today's size.
const linesPerSecond = 40

// lineBudget leaves out lines of requests that were served beyond linesPerSecond and counts
// them. It is safe for concurrent use.
type lineBudget struct {
	mu      sync.Mutex
	second  time.Time
	written [endings]int
	omitted int
}

// line returns the line to write, or nil.
func (b *lineBudget) line(now time.Time, log *zerolog.Logger, how ending) *zerolog.Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.second) >= time.Second {
		if b.omitted > 0 {
			log.Info().Int("lines", b.omitted).Msg("lines of requests that were served were left out")
		}
		b.second, b.written, b.omitted = now, [endings]int{}, 0
	}
	if how == endedBadly {
		return log.Warn()
	}
	if b.written[how] >= linesPerSecond {
		b.omitted++
		return nil
	}
	b.written[how]++
	return log.Info()
}

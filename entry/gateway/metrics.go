package gateway

import (
	"net/http"
	"strconv"
	"time"

	"acaciacleat.example/core/attempt"
	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/result"
	"acaciacleat.example/peers/framing"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Metrics holds a gateway's metrics and serves them as text.
type Metrics struct {
	registry         *prometheus.Registry
	requests         *prometheus.CounterVec
	attempts         *prometheus.CounterVec
	duration         *prometheus.HistogramVec
	firstEvent       *prometheus.HistogramVec
	sends            *prometheus.CounterVec
	hedges           *prometheus.CounterVec
	broken           *prometheus.CounterVec
	answers          *prometheus.CounterVec
	toLimited        *prometheus.CounterVec
	toCold           prometheus.Counter
	malformed        prometheus.Counter
	permits          *prometheus.CounterVec
	evacuated        prometheus.Counter
	malformedAnswers prometheus.Counter
	// against counts control calls against statements, invalid the statements that are malformed.
	against *prometheus.CounterVec
	invalid *prometheus.CounterVec
	// refusals counts requests that the routes don't allow.
	refusals *prometheus.CounterVec
}

// latencyBuckets are upper bounds in seconds. They are close together around the target
// latencies of short requests and extend to the longest timeout.
var latencyBuckets = []float64{.01, .03, .06, .1, .15, .2, .25, .3, .4, .6, 1, 1.5, 2, 3, 4, 6, 10, 15}

// NewMetrics returns Metrics whose values are all zero.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciacleat_requests_total", Help: "Requests by their route's kind, result and execution.",
		}, []string{"kind", "result", "execution"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciacleat_attempts_left_total", Help: "Attempts that were given up, by result and execution.",
		}, []string{"result", "execution"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "acaciacleat_request_seconds", Help: "Time to the final answer.", Buckets: latencyBuckets,
		}, []string{"kind"}),
		firstEvent: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "acaciacleat_first_event_seconds", Help: "Time to a stream's first event.", Buckets: latencyBuckets,
		}, []string{"aim_ms"}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "acaciacleat_sends_total",
			Help: "Sends to upstreams, by whether another entry had proof against one of them for 100 ms.",
		}, []string{"against_proof"}),
	}
	m.hedges = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "acaciacleat_hedges_total",
		Help: "Requests that were sent to another upstream while theirs was silent, by how that ended: the other one serves, " +
			"it fails, or it is overtaken by the first.",
	}, []string{"end"})
	m.broken = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "acaciacleat_upstreams_broke_off_total",
		Help: "Upstreams that broke off answers, by what shows that they have ended; listening and none: nothing does.",
	}, []string{"proof"})
	m.answers = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "acaciacleat_answers_ended_total",
		Help: "Answers of upstreams that were read to their end, by what marks the end of the body and how it ended.",
	}, []string{"framing", "ended"})
	m.toLimited = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "acaciacleat_sends_to_limited_total",
		Help: "Sends to upstreams that have named a rate limit, by what the upstream does with the request.",
	}, []string{"role"})
	m.toCold = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "acaciacleat_sends_to_cold_total", Help: "Sends to upstreams that are cold or were shortly before.",
	})
	m.malformed = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "acaciacleat_limits_malformed_total", Help: "Answers that name a rate limit that is no valid rate.",
	})
	m.permits = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "acaciacleat_limit_permits_asked_total",
		Help: "Questions to other entries for a permit of an upstream's rate limit, by their outcome.",
	}, []string{"outcome"})
	m.malformedAnswers = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "acaciacleat_answers_malformed_total", Help: "Answers of upstreams that were given up because they aren't well-formed.",
	})
	m.evacuated = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "acaciacleat_requests_refused_evacuated_total",
		Help: "Requests that were refused because all upstreams of their service are in evacuated zones.",
	})
	m.against = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "acaciacleat_control_against_statement_total",
		Help: "Control calls to upstreams that have said that they are draining or want a pause, by that statement.",
	}, []string{"statement"})
	m.invalid = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "acaciacleat_statements_malformed_total",
		Help: "Answers whose statement on draining or on a pause can't be read, by the statement.",
	}, []string{"statement"})
	m.refusals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "acaciacleat_requests_not_allowed_total",
		Help: "Requests that the routes in force don't allow, by result and by what the version before made of them; " +
			"unexplained: it allowed what this one isn't known to have removed.",
	}, []string{"result", "before"})
	m.registry.MustRegister(m.against, m.invalid, m.malformedAnswers, m.refusals)
	for _, code := range []result.Code{result.NotFound, result.BadKey, result.BodyTooLarge} {
		for _, before := range verdicts {
			m.refusals.WithLabelValues(result.Lookup(code).Name, string(before))
		}
	}
	m.registry.MustRegister(m.requests, m.attempts, m.duration, m.firstEvent, m.sends, m.hedges, m.broken, m.answers, m.toLimited, m.toCold, m.malformed, m.permits, m.evacuated)
	return m
}

// Gauge adds a gauge whose value is read on each scrape.
func (m *Metrics) Gauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// GaugeOf adds a gauge for one value of a label, which is read on each scrape.
func (m *Metrics) GaugeOf(name, help, label, of string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: name, Help: help, ConstLabels: prometheus.Labels{label: of},
	}, value))
}

// Counter adds a counter for one value of a label, whose count is read on each scrape.
func (m *Metrics) Counter(name, help, label, value string, count func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: name, Help: help, ConstLabels: prometheus.Labels{label: value},
	}, count))
}

// Handler serves the metrics as text.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// sendStarted counts a send. knownDown reports whether another entry has proved that one of the
// upstreams is down.
func (m *Metrics) sendStarted(knownDown bool) {
	m.sends.WithLabelValues(strconv.FormatBool(knownDown)).Inc()
}

// The roles of an upstream that has named a rate limit.
const (
	rolePrimary = "primary"
	roleHelper  = "helper"
	roleControl = "control"
)

// sentToLimited counts sends to upstreams that have named a rate limit.
func (m *Metrics) sentToLimited(role string, n int) {
	m.toLimited.WithLabelValues(role).Add(float64(n))
}

// permitAsked counts a question for a permit; answered is false if the holder didn't reply.
func (m *Metrics) permitAsked(granted, answered bool) {
	outcome := "granted"
	switch {
	case !answered:
		outcome = "unanswered"
	case !granted:
		outcome = "denied"
	}
	m.permits.WithLabelValues(outcome).Inc()
}

// evacuationRefused counts a refusal because all upstreams are in evacuated zones.
func (m *Metrics) evacuationRefused() { m.evacuated.Inc() }

// controlAgainst counts a control call to an upstream in spite of its statement.
func (m *Metrics) controlAgainst(statement dispatch.Statement) {
	m.against.WithLabelValues(string(statement)).Inc()
}

func (m *Metrics) malformedStatement(statement dispatch.Statement) {
	m.invalid.WithLabelValues(string(statement)).Inc()
}

func (m *Metrics) hedgeEnded(end hedgeEnd) { m.hedges.WithLabelValues(string(end)).Inc() }

func (m *Metrics) answerBroken(p proof) { m.broken.WithLabelValues(string(p)).Inc() }

func (m *Metrics) answerEnded(by framing.Framing, end answerEnd) {
	m.answers.WithLabelValues(string(by), string(end)).Inc()
}

func (m *Metrics) attemptFailed(failure attempt.Outcome) {
	m.attempts.WithLabelValues(result.Lookup(failure.Code).Name, string(failure.Execution)).Inc()
}

func (m *Metrics) refused(r *refusal) {
	m.refusals.WithLabelValues(result.Lookup(r.code).Name, string(r.before)).Inc()
}

func (m *Metrics) requestEnded(e *exchange, err *result.Error, took time.Duration) {
	code, execution := result.OK, result.Ran
	if err != nil {
		code, execution = err.Code, err.Execution
	}
	if e.refusal != nil {
		m.refused(e.refusal)
	}
	kind := "none"
	if e.route != nil {
		kind = e.route.Kind.String()
	}
	m.requests.WithLabelValues(kind, result.Lookup(code).Name, string(execution)).Inc()
	m.duration.WithLabelValues(kind).Observe(took.Seconds())
	if !e.firstEventAt.IsZero() {
		target := strconv.FormatInt(e.route.TargetLatency.Milliseconds(), 10)
		m.firstEvent.WithLabelValues(target).Observe(e.firstEventAt.Sub(e.arrived).Seconds())
	}
}

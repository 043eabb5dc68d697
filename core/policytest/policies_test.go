package policytest

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/document"
	"acaciacleat.example/core/routing"
	"acaciacleat.example/core/scheduling"
	"github.com/stretchr/testify/require"
)

// traceSeedCount is the number of seeds over which medians are taken.
const traceSeedCount = 5

var usualWorkload = workload{duration: 2 * time.Minute, utilisation: 0.7}

func newPriority(objective document.Objective) func() scheduling.Queue {
	return func() scheduling.Queue {
		return scheduling.NewPriority(scheduling.SettingsFor(objective, capacityTokens))
	}
}

func newFIFO() scheduling.Queue { return scheduling.NewFIFO(scheduling.DefaultLimit) }

// quantile returns the q-quantile of the time to first token, in seconds, of the samples for
// which keep returns true, or 0 without any.
func quantile(samples []sample, q float64, keep func(*sample) bool) float64 {
	var times []float64
	for i := range samples {
		if keep(&samples[i]) {
			times = append(times, samples[i].ttft.Seconds())
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(len(times)-1, int(q*float64(len(times))))]
}

func inClass(class call.Class) func(*sample) bool {
	return func(s *sample) bool { return call.ClassOf(s.promptTokens) == class }
}

func anySample(*sample) bool { return true }

// median returns the upper median of the values, which it sorts in place.
func median[T cmp.Ordered](values []T) T {
	slices.Sort(values)
	return values[len(values)/2]
}

// policyFactory returns a policy for one entry.
type policyFactory = func(seed uint64) routing.Policy

func byName(name string) policyFactory {
	return func(seed uint64) routing.Policy {
		policy, _ := routing.ByName(name, seed)
		return policy
	}
}

// metrics holds the values of each metric of one policy, one for each seed.
type metrics struct {
	names  []string
	values map[string][]float64
}

func (m *metrics) add(name string, value float64) {
	if m.values == nil {
		m.values = make(map[string][]float64)
	}
	if m.values[name] == nil {
		m.names = append(m.names, name)
	}
	m.values[name] = append(m.values[name], value)
}

// recordMetrics simulates a workload with and without its long prompts and adds the metrics of
// one seed to m.
func recordMetrics(m *metrics, policy policyFactory, seed uint64, engines int, workload workload, objective document.Objective, queue func() scheduling.Queue) {
	arrivals := drawTrace(seed, engines, workload)
	withLong := simulateTrace(policy, seed, engines, arrivals, objective, queue)
	workload.noLong = true
	withoutLong := simulateTrace(policy, seed, engines, drawTrace(seed, engines, workload), objective, queue)
	m.add("all-p50-s", quantile(withLong, 0.5, anySample))
	m.add("all-p95-s", quantile(withLong, 0.95, anySample))
	for class := call.Short; class <= call.Long; class++ {
		m.add(class.String()+"-p50-s", quantile(withLong, 0.5, inClass(class)))
		m.add(class.String()+"-p95-s", quantile(withLong, 0.95, inClass(class)))
	}
	m.add("short-slowdown-p95", quantile(withLong, 0.95, inClass(call.Short))/quantile(withoutLong, 0.95, inClass(call.Short)))
	cached, prompts := 0, 0
	for _, s := range withLong {
		cached += s.cachedTokens
		prompts += s.promptTokens
	}
	m.add("cached-share", float64(cached)/float64(prompts))
	m.add("unfinished", float64(len(arrivals)-len(withLong)))
}

// An eleventh organisation requests 90 % of the fleet's prefill on top of a load of 70 %. If
// the agents' queues or the engines served prompts in order of arrival, or if routing counted
// the flood as load, the short prompts of all other organisations would slow down.
func TestFloodDoesNotRaiseOtherOrganisationsShortP95(t *testing.T) {
	ratios := floodRatios(call.Short)
	t.Logf("p95 of the others' short prompts with a flood / without: %.2f", ratios)
	require.LessOrEqual(t, median(ratios), 1.2)
}

// floodRatios returns, for each seed, the ratio of the p95 of a class with a flood to that
// without, over all organisations except the flooding one.
func floodRatios(class call.Class) []float64 {
	flood := usualWorkload
	flood.floodShare = 0.9
	others := func(s *sample) bool {
		return s.organisation != floodingOrganisation && call.ClassOf(s.promptTokens) == class
	}
	var ratios []float64
	for seed := range uint64(traceSeedCount) {
		p95 := func(workload workload) float64 {
			samples := simulateTrace(byName(routing.NameCombined), seed, 14, drawTrace(seed, 14, workload), document.ShortSlowdown, newPriority(document.ShortSlowdown))
			return quantile(samples, 0.95, others)
		}
		ratios = append(ratios, p95(flood)/p95(usualWorkload))
	}
	return ratios
}

// BenchmarkFlood reports, for each length class, the median factor by which a flood raises the
// p95 time to first token of the other organisations.
func BenchmarkFlood(b *testing.B) {
	for b.Loop() {
		for class := call.Short; class <= call.Long; class++ {
			b.ReportMetric(median(floodRatios(class)), class.String()+"-p95-ratio")
		}
	}
	b.ReportMetric(0, "ns/op")
}

// Guards against results of the evaluator that can't be repeated from its seed, and against lost
// requests.
func TestEvaluatorIsDeterministic(t *testing.T) {
	short := usualWorkload
	short.duration = 10 * time.Second
	arrivals := drawTrace(1, 14, short)
	simulate := func() []sample {
		return simulateTrace(byName(routing.NameCombined), 1, 14, arrivals, document.TimeToFirstToken, newPriority(document.TimeToFirstToken))
	}
	require.Equal(t, simulate(), simulate())
	require.Len(t, simulate(), len(arrivals))
}

// BenchmarkPolicies reports the median of each metric over the seeds. Run it with
// -benchtime 1x: it is deterministic, so further runs give the same results.
func BenchmarkPolicies(b *testing.B) {
	busy, hot := usualWorkload, usualWorkload
	busy.utilisation = 0.95
	hot.hotDocument = true
	for _, setup := range []struct {
		name     string
		engines  int
		workload workload
	}{{"engines=14", 14, usualWorkload}, {"engines=18", 18, usualWorkload}, {"engines=14,busy", 14, busy}, {"engines=14,hot", 14, hot}} {
		for _, objective := range []document.Objective{document.ShortSlowdown, document.TimeToFirstToken} {
			for _, policy := range routing.Names[:len(routing.Names)-1] {
				b.Run(setup.name+"/"+string(objective)+"/"+policy, func(b *testing.B) {
					reportMetrics(b, byName(policy), setup.engines, setup.workload, objective, newPriority(objective))
				})
			}
		}
		b.Run(setup.name+"/fifo/naive", func(b *testing.B) {
			reportMetrics(b, byName(routing.NameNaive), setup.engines, setup.workload, document.ShortSlowdown, newFIFO)
		})
	}
}

func reportMetrics(b *testing.B, policy policyFactory, engines int, workload workload, objective document.Objective, queue func() scheduling.Queue) {
	for b.Loop() {
		var m metrics
		for seed := range uint64(traceSeedCount) {
			recordMetrics(&m, policy, seed, engines, workload, objective, queue)
		}
		for _, name := range m.names {
			b.ReportMetric(median(m.values[name]), name)
		}
	}
	b.ReportMetric(0, "ns/op")
}

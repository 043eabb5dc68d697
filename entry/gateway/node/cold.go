package node

import (
	"time"

	"acaciacleat.example/entry/gateway"
)

// registerColdMetrics registers the metrics of cold upstreams.
func (n *Node) registerColdMetrics(metrics *gateway.Metrics) {
	metrics.Gauge("acaciacleat_upstreams_cold", "Upstreams that are cold and whose services have figures for that.", func() float64 {
		return float64(n.Fleet.Cold(time.Now()))
	})
	metrics.Counter("acaciacleat_cold_permits_denied_total", "Requests that got no permit for a cold upstream and went elsewhere or were refused.",
		"by", "entry", func() float64 { return float64(n.Fleet.ColdDenied()) })
	metrics.Counter("acaciacleat_cold_without_figures_total", "Statements on cold upstreams whose services have no figures, so that no rate is kept.",
		"by", "entry", func() float64 { return float64(n.Fleet.ColdUnbounded()) })
	metrics.Counter("acaciacleat_registrations_corrected_total", "Values in registrations that don't count as they are.",
		"by", "entry", func() float64 { return float64(n.Keeper.Corrections()) })
	metrics.Gauge("acaciacleat_registrations_unreadable", "Registrations that can't be decoded and name no upstream to use.",
		func() float64 { return float64(n.Keeper.Unreadable()) })
}

// logColdChanges logs which upstreams are cold, and which are not any more.
func (n *Node) logColdChanges(now time.Time) {
	for _, change := range n.Fleet.TakeColdChanges() {
		if change.Rest > 0 && change.PerSecond == 0 {
			n.log.Warn().Str("upstream", change.Upstream).Str("service", change.Service).Int64("rest_ms", change.Rest.Milliseconds()).
				Str("remedy", "add its requests per second to the configuration").
				Msg("upstream is cold, but its service has no requests per second for that; it isn't limited")
			continue
		}
		line := n.log.Info().Str("upstream", change.Upstream).Str("source", string(change.Source)).Int64("age_ms", now.Sub(change.At).Milliseconds())
		if change.Origin != 0 {
			line = line.Uint64("said_by", change.Origin)
		}
		if change.Rest == 0 {
			line.Msg("upstream is no longer cold")
			continue
		}
		line.Int64("rest_ms", change.Rest.Milliseconds()).Float64("per_second", float64(change.PerSecond)).Msg("upstream is cold")
	}
}

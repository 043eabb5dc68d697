package node

import (
	"time"

	"acaciacleat.example/entry/gateway"
)

// logPaces logs which upstreams have become slow or are back at their pace, and how many reports of
// other entries on paces were dropped since the last line.
func (n *Node) logPaces(now time.Time) {
	for _, change := range n.Fleet.TakePaceChanges(now) {
		line := n.log.Info().Str("upstream", change.Name).Float64("pace", change.Pace).Int64("age_ms", now.Sub(change.At).Milliseconds())
		if change.Slow {
			line.Msg("upstream is slow")
			continue
		}
		line.Msg("upstream is back at its pace")
	}
	if dropped := n.Fleet.DroppedPaces(); dropped > n.droppedPaces && now.Sub(n.droppedPacesLoggedAt) > droppedPacesInterval {
		n.log.Warn().Uint64("reports", dropped-n.droppedPaces).
			Msg("reports of other entries on the paces of upstreams are out of bounds and were dropped")
		n.droppedPaces, n.droppedPacesLoggedAt = dropped, now
	}
}

// droppedPacesInterval is the least time between two lines on dropped reports.
const droppedPacesInterval = time.Minute

func (n *Node) registerPaceMetrics(metrics *gateway.Metrics) {
	metrics.Gauge("acaciacleat_upstreams_slow", "Upstreams that take much longer than their service publishes.", func() float64 {
		return float64(n.Fleet.Slow())
	})
	metrics.Counter("acaciacleat_pace_reports_dropped_total", "Reports of other entries on the paces of upstreams that were not taken up, by reason.",
		"reason", "malformed", func() float64 { return float64(n.Fleet.DroppedPaces()) })
}

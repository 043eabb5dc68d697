package node

import (
	"time"

	"acaciacleat.example/core/dispatch"
)

// logVerdicts logs which upstreams were excluded or readmitted, and why.
func (n *Node) logVerdicts(now time.Time) {
	for _, v := range n.Fleet.TakeVerdicts() {
		line := n.log.Info().Str("upstream", v.Name).Stringer("evidence", v.Kind).
			Int64("age_ms", (v.Age + now.Sub(v.At)).Milliseconds())
		if v.Origin != 0 {
			line = line.Uint64("said_by", v.Origin)
		}
		if v.Duration == 0 {
			line.Msg("upstream is taken back")
			continue
		}
		line.Int64("for_ms", v.Duration.Milliseconds()).Msg("upstream is left out")
	}
}

// logZoneChanges logs which availability zones this entry can't reach any more, or can reach again.
func (n *Node) logZoneChanges(now time.Time) {
	for _, change := range n.Fleet.TakeZoneChanges() {
		line := n.log.Warn().Str("zone", change.Zone).Int64("age_ms", now.Sub(change.At).Milliseconds())
		if change.Cut {
			line.Msg("availability zone can't be reached; its upstreams are left out")
			continue
		}
		line.Msg("availability zone can be reached again")
	}
}

// logLimitChanges logs which upstreams have named a rate limit, changed it or lifted it.
func (n *Node) logLimitChanges(now time.Time) {
	for _, change := range n.Fleet.TakeLimitChanges() {
		line := n.log.Info().Str("upstream", change.Upstream).Float64("previous", float64(change.Previous)).
			Float64("per_second", float64(change.Rate)).Int64("age_ms", now.Sub(change.At).Milliseconds())
		if change.Origin != 0 {
			line = line.Uint64("said_by", change.Origin)
		}
		if change.Rate == 0 {
			line.Msg("upstream names no rate limit any more")
			continue
		}
		line.Msg("upstream names a rate limit")
	}
}

// logStatements logs which upstreams have said that they are draining or want a pause.
func (n *Node) logStatements(now time.Time) {
	for _, change := range n.Fleet.TakeStatementChanges() {
		line := n.log.Info().Str("upstream", change.Upstream).Int64("age_ms", now.Sub(change.At).Milliseconds())
		if change.Statement == dispatch.StatesCooldown {
			line.Int64("pause_ms", change.Pause.Milliseconds()).Msg("upstream wants no requests for a time")
			continue
		}
		line.Msg("upstream says that it is draining")
	}
}

package node

import (
	"strconv"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/evidence"
	"acaciacleat.example/core/footprint"
	"acaciacleat.example/entry/gateway"
	"acaciacleat.example/peers/httpserver"
	"acaciacleat.example/peers/link"
)

// registerMetrics registers the metrics that are read from the node's state.
func (n *Node) registerMetrics(metrics *gateway.Metrics) {
	metrics.Gauge("acaciacleat_routes_version", "Version of the routes in force; 0 for none.", func() float64 {
		_, version := n.routes()
		return float64(version)
	})
	metrics.Gauge("acaciacleat_routes_newest_version", "Newest version of the routes that the entry has heard of from anyone; 0 for none.", func() float64 {
		return float64(n.Keeper.Newest())
	})
	for reason := range n.Keeper.NotApplied() {
		metrics.Counter("acaciacleat_routes_not_applied_total", "Routes that have arrived and were not applied, by reason.", "reason", reason,
			func() float64 { return float64(n.Keeper.NotApplied()[reason]) })
	}
	metrics.Gauge("acaciacleat_routes_behind_seconds", "For how long a version of the routes that another entry has announced is not in force; 0 if none is missing.", func() float64 {
		return n.Peers.RoutesLag().Seconds()
	})
	metrics.Counter("acaciacleat_routes_asked_total", "Parts of routes that other entries were asked for.", "by", "entry", func() float64 { return float64(n.Peers.RoutePartsRequested()) })
	metrics.Counter("acaciacleat_routes_sent_bytes_total", "Bytes of routes sent to other entries.", "by", "entry", func() float64 { return float64(n.Peers.RouteBytesSent()) })
	for _, feed := range []link.Feed{link.FeedRoutes, link.FeedUpstreams} {
		metrics.Counter("acaciacleat_feed_reads_failed_total", "Reads of the store's feeds that have failed.", "feed", feed.String(),
			func() float64 { return float64(n.Keeper.ReadsFailed(feed)) })
		metrics.Counter("acaciacleat_changes_passed_over_total", "Changes that became known after a read had named a newer version without them.", "feed", feed.String(),
			func() float64 { return float64(n.Keeper.PassedOver(feed)) })
		metrics.GaugeOf("acaciacleat_feed_age_seconds", "Time since this entry last knew that its copy of a feed had missed nothing; negative if it never did.",
			"feed", feed.String(), func() float64 { return n.Keeper.Age(time.Now(), feed).Seconds() })
	}
	confirmations := func(confirmedOnes bool) func() float64 {
		return func() float64 {
			confirmed, failed := n.Keeper.Confirmations()
			if confirmedOnes {
				return float64(confirmed)
			}
			return float64(failed)
		}
	}
	for outcome, confirmed := range map[string]bool{"confirmed": true, "failed": false} {
		metrics.Counter("acaciacleat_routes_confirmations_total", "Reads of the store before requests are refused that the routes don't allow, by whether they showed the newest routes.",
			"outcome", outcome, confirmations(confirmed))
	}
	metrics.Counter("acaciacleat_standstills_total", "Times in which the process did not run, by reason.", "reason", "not_scheduled",
		func() float64 { return float64(n.Keeper.Standstills()) })
	metrics.Gauge("acaciacleat_linked_entries", "Entries to which there is a link.", func() float64 {
		return float64(n.Peers.Linked())
	})
	metrics.Gauge("acaciacleat_feeds_heard", "Feeds of the store that other entries read for this one; 0 to 2.", func() float64 {
		return float64(n.Keeper.ListeningFeeds())
	})
	metrics.Gauge("acaciacleat_work_outstanding", "Placed requests of all entries whose end is not known yet.", func() float64 {
		return float64(n.Fleet.Outstanding())
	})
	metrics.Gauge("acaciacleat_prompts_waiting", "Long prompts of all entries that wait for engines.", func() float64 {
		return float64(n.Fleet.Waiting())
	})
	metrics.Gauge("acaciacleat_engines_scarce", "1 while short prompts wait in turn because engines lack free slots.", func() float64 {
		if n.Fleet.Scarce(time.Now()) {
			return 1
		}
		return 0
	})
	metrics.Gauge("acaciacleat_turns_waiting", "Short prompts of all entries that wait for a free slot.", func() float64 {
		return float64(n.Fleet.WaitingForSlots())
	})
	for _, reason := range dispatch.ScarcityRefusals() {
		metrics.Counter("acaciacleat_scarcity_refusals_total", "Short prompts that were refused because no slot is free in time, by reason.",
			"reason", string(reason), func() float64 { return float64(n.Fleet.ScarcityRefused(reason)) })
	}
	metrics.Counter("acaciacleat_share_reports_dropped_total", "Reports of other entries on shares of engine time that were not taken up.",
		"reason", "invalid", func() float64 { return float64(n.Fleet.DroppedShares()) })
	metrics.Gauge("acaciacleat_upstreams_left_out", "Upstreams that are left out for what this entry or others have seen.", func() float64 {
		return float64(n.Fleet.Excluded(time.Now()))
	})
	metrics.Gauge("acaciacleat_upstreams_held_back", "Upstreams that stay in use although the registry has removed them, because it was away.", func() float64 {
		held, _ := n.Fleet.HeldBack(time.Now())
		return float64(held)
	})
	metrics.Gauge("acaciacleat_zones_unreachable", "Availability zones that this entry can't reach.", func() float64 {
		return float64(n.Fleet.CutZones())
	})
	metrics.Counter("acaciacleat_zone_reports_dropped_total", "Reports of other entries on zones that were not taken up, by reason.",
		"reason", "unknown", func() float64 { return float64(n.Fleet.ZoneReportsDropped()) })
	metrics.Gauge("acaciacleat_upstreams_limited", "Upstreams that have named a rate limit.", func() float64 {
		return float64(n.Fleet.Limited())
	})
	n.registerClientMetrics(metrics)
	n.registerPaceMetrics(metrics)
	n.registerOverlayMetrics(metrics)
	n.registerColdMetrics(metrics)
	metrics.Gauge("acaciacleat_zones_evacuated", "Availability zones that the operator evacuates.", func() float64 {
		return float64(n.Evacuations.Evacuated())
	})
	metrics.Counter("acaciacleat_evacuations_malformed_total", "Requests of the operator to evacuate a zone that name no zone, by reason.",
		"reason", "malformed", func() float64 { return float64(n.Evacuations.Unreadable()) })
	for _, statement := range []dispatch.Statement{dispatch.StatesDraining, dispatch.StatesCooldown, dispatch.ZoneEvacuated} {
		metrics.GaugeOf("acaciacleat_upstreams_stating", "Upstreams that say that they are draining or want a pause, or whose zone is evacuated.",
			"statement", string(statement), func() float64 { return float64(n.Fleet.Stated(time.Now(), statement)) })
	}
	metrics.Gauge("acaciacleat_requests_held_back", "Requests, by their content, that are held back because upstreams crash under them.", func() float64 {
		held, _ := n.Quarantine.Counts()
		return float64(held)
	})
	metrics.Gauge("acaciacleat_requests_suspected", "Requests, by their content, that were in hand at upstreams that crashed and were not answered since.", func() float64 {
		_, suspected := n.Quarantine.Counts()
		return float64(suspected)
	})
	metrics.Gauge("acaciacleat_segments_held_back", "Segments of prompts that are held back because upstreams crash under the prompts that have them.", func() float64 {
		held, _ := n.Quarantine.SegmentCounts()
		return float64(held)
	})
	metrics.Gauge("acaciacleat_segments_suspected", "Segments of prompts that were in hand at upstreams that crashed and were not answered since.", func() float64 {
		_, suspected := n.Quarantine.SegmentCounts()
		return float64(suspected)
	})
	metrics.Counter("acaciacleat_quarantine_reports_dropped_total", "Reports of other entries on requests that were not taken up, by reason.",
		"reason", "malformed", func() float64 { return float64(n.Quarantine.Dropped()) })
	for _, why := range evidence.DropReasons() {
		metrics.Counter("acaciacleat_reports_dropped_total", "Reports of other entries on upstreams that were not taken up, by reason.",
			"reason", why.String(), func() float64 { return float64(n.Fleet.DroppedReports(why)) })
	}
}

// registerClientMetrics registers what callers hold and what was ended because of them.
func (n *Node) registerClientMetrics(metrics *gateway.Metrics) {
	metrics.Gauge("acaciacleat_callers_held_bytes", "Bytes that the callers' connections and requests are charged with.", func() float64 {
		return float64(n.callers.Usage().Bytes)
	})
	for _, phase := range footprint.Phases() {
		metrics.GaugeOf("acaciacleat_callers_connections", "Connections of callers, by what they are doing.", "phase", phase.String(),
			func() float64 { return float64(n.callers.Usage().Phases[phase]) })
	}
	for name, server := range map[string]**httpserver.Server{"callers": &n.callers, "ready": &n.ready, "metrics": &n.metrics} {
		metrics.Counter("acaciacleat_handler_panics_total", "Requests that ended because their handler panicked, by server.",
			"server", name, func() float64 { return float64((*server).Panics()) })
	}
	for _, status := range httpserver.UnreadStatuses() {
		metrics.Counter("acaciacleat_callers_unread_total", "Requests of callers that the HTTP library answered by itself because it can't read or doesn't support them, by status; 0 for others.",
			"status", strconv.Itoa(status), func() float64 { return float64(n.callers.Unread(status)) })
	}
	for name, server := range map[string]**httpserver.Server{"ready": &n.ready, "metrics": &n.metrics} {
		metrics.Counter("acaciacleat_unread_total", "Requests of operators that the HTTP library answered by itself because it can't read or doesn't support them, by server.",
			"server", name, func() float64 { return float64((*server).UnreadTotal()) })
	}
	for _, reason := range footprint.Reasons() {
		metrics.Counter("acaciacleat_callers_ended_total", "Connections of callers that were closed and requests that were refused because of them, by reason.",
			"reason", reason.String(), func() float64 { return float64(n.callers.Ended()[reason]) })
	}
}

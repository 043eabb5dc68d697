package node

import "acaciacleat.example/entry/gateway"

// registerOverlayMetrics registers the metrics on this entry's place among the others.
func (n *Node) registerOverlayMetrics(metrics *gateway.Metrics) {
	metrics.Gauge("acaciacleat_relay", "1 while this entry is a relay.", func() float64 {
		if n.Peers.Relay() {
			return 1
		}
		return 0
	})
	metrics.Gauge("acaciacleat_entries", "Entries of the fleet, as far as this one knows.", func() float64 { return float64(n.Peers.Entries()) })
	metrics.Counter("acaciacleat_messages_forwarded_total", "Messages of other entries that this relay has passed on.", "by", "relay",
		func() float64 { return float64(n.Peers.Counts().Forwarded) })
	metrics.Counter("acaciacleat_state_asked_total", "Questions to other entries for the state of a feed.", "by", "entry",
		func() float64 { return float64(n.Peers.Counts().StateAsked) })
	metrics.Counter("acaciacleat_store_calls_total", "Calls to the store by their reason.", "reason", "relays",
		func() float64 { return float64(n.Peers.Counts().StoreCalls) })
	for reason, count := range map[string]func() uint64{
		"feeds":      n.Keeper.Reads,
		"quarantine": n.Quarantine.StoreCalls,
	} {
		metrics.Counter("acaciacleat_store_calls_total", "Calls to the store by their reason.", "reason", reason,
			func() float64 { return float64(count()) })
	}
	metrics.Counter("acaciacleat_overlay_dropped_total", "What other entries or rows said of the overlay and was not taken up, by reason.", "reason", "relay",
		func() float64 { return float64(n.Peers.Counts().InvalidRelays) })
	metrics.Counter("acaciacleat_overlay_dropped_total", "What other entries or rows said of the overlay and was not taken up, by reason.", "reason", "size",
		func() float64 { return float64(n.Peers.Counts().InvalidSizes) })
}

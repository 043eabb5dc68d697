package engine

import (
	"sort"
	"time"

	peer "acaciacleat.example/peers/engine"
)

// eventsPerRead bounds the events in one answer to GET PathCacheEvents.
const eventsPerRead = 4096

// eventLog keeps the latest cache events. It is guarded by Engine.mu.
type eventLog struct {
	config Config
	seq    uint64
	events []timedEvent
}

type timedEvent struct {
	peer.CacheEvent
	at time.Time
}

// add records an event. A lost event uses up its sequence number, so that readers see a gap.
func (l *eventLog) add(block uint64, evicted bool, now time.Time) {
	l.seq++
	if l.lost() {
		return
	}
	l.events = append(l.events, timedEvent{peer.CacheEvent{Seq: l.seq, Block: block, Evicted: evicted}, now})
	if len(l.events) >= 2*l.config.EventsRetained {
		l.events = append([]timedEvent(nil), l.events[len(l.events)-l.config.EventsRetained:]...)
	}
}

func (l *eventLog) lost() bool {
	const scale = 1 << 32
	return float64(mix(l.config.Seed+l.seq)>>32) < l.config.EventLoss*scale
}

// after returns the events with higher sequence numbers that are old enough to be visible.
func (l *eventLog) after(seq uint64, now time.Time) []peer.CacheEvent {
	first := sort.Search(len(l.events), func(i int) bool { return l.events[i].Seq > seq })
	visible := now.Add(-l.config.EventDelay)
	events := []peer.CacheEvent{}
	for _, e := range l.events[first:] {
		if e.at.After(visible) || len(events) == eventsPerRead {
			break
		}
		events = append(events, e.CacheEvent)
	}
	return events
}

package gateway

import "time"

// observePause records the time since the stream's last event, which shows how fast the engine works.
// Events that arrive together were delayed on their way, so the times before and after them say
// nothing. delivered is the number of pieces received before this one.
func (e *exchange) observePause(now time.Time, delivered uint64, piece []byte) {
	single := countEvents(piece) == 1
	if delivered > 0 && single && e.lastWasSingle {
		e.g.config.Fleet.RecordPause(now, e.placementID, now.Sub(e.lastEventAt))
	}
	e.lastWasSingle = single
}

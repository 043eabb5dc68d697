package engine

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	peer "acaciacleat.example/peers/engine"
)

// snapshot is the engine's state from a time until the next snapshot.
type snapshot struct {
	at     time.Time
	report peer.Report
}

// recordState records the state after a change, for reports that lag. The caller holds e.mu.
func (e *Engine) recordState() {
	if e.config.ReportLag == 0 {
		return
	}
	now := time.Now()
	e.history = append(e.history, snapshot{now, e.state()})
	e.history = slices.Delete(e.history, 0, e.visibleIndex(now))
}

// visibleIndex returns the index of the newest snapshot that a report at now may show.
func (e *Engine) visibleIndex(now time.Time) int {
	limit := now.Add(-e.config.ReportLag)
	i := len(e.history) - 1
	for i > 0 && e.history[i].at.After(limit) {
		i--
	}
	return i
}

func (e *Engine) state() peer.Report {
	report := peer.Report{
		Model:          e.model,
		Version:        e.version,
		Role:           e.role,
		Adapters:       slices.Sorted(maps.Keys(e.adapters)),
		CapacityTokens: e.config.EngineTokens,
		UsedTokens:     e.usedTokens,
		CachedTokens:   e.cache.tokens(),
		Allocations:    make([]peer.Allocation, 0, len(e.running)+len(e.reservations)),
		Fence:          e.fencingToken,
	}
	for _, seq := range e.running {
		report.Allocations = append(report.Allocations, peer.Allocation{ID: seq.id, Tokens: seq.memoryTokens})
	}
	for _, id := range slices.Sorted(maps.Keys(e.reservations)) {
		allocation := peer.Allocation{ID: id, Tokens: e.reservations[id].tokens, Reserved: true}
		report.Allocations = append(report.Allocations, allocation)
	}
	return report
}

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.laggingReport()) }

func (e *Engine) laggingReport() peer.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ReportLag == 0 {
		return e.state()
	}
	report := e.history[e.visibleIndex(time.Now())].report
	report.AgeMs = e.config.ReportLag.Milliseconds()
	return report
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	seq, err := strconv.ParseUint(orDefault(r.URL.Query().Get("after"), "0"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, peer.TypeInvalid, "after is not a number")
		return
	}
	e.mu.Lock()
	events := e.events.after(seq, time.Now())
	e.mu.Unlock()
	writeJSON(w, events)
}

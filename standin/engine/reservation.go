package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	peer "acaciacleat.example/peers/engine"
)

// reservation holds memory for a request that is still to come, or for the part of a
// group request that another engine runs. It does not change; renewing replaces it.
type reservation struct {
	tokens int64
	timer  *time.Timer
	// gone is closed when the reservation ends.
	gone chan struct{}
}

func (e *Engine) reserve(w http.ResponseWriter, r *http.Request) {
	var body peer.ReserveBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		refuse(w, http.StatusBadRequest, peer.TypeInvalid, err.Error())
		return
	}
	if body.ID == "" || body.Tokens <= 0 || body.TTLMs <= 0 {
		refuse(w, http.StatusBadRequest, peer.TypeInvalid, "id, tokens and ttl_ms must be set and positive")
		return
	}
	if !e.setReservation(body.ID, body.Tokens, time.Duration(body.TTLMs)*time.Millisecond) {
		refuse(w, http.StatusInsufficientStorage, peer.TypeMemory, "no room for the reservation")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// setReservation makes or renews a reservation; false means that there is no room.
func (e *Engine) setReservation(id string, tokens int64, ttl time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.used-e.reservedFor(id)+tokens > e.config.EngineTokens {
		return false
	}
	if old := e.reservations[id]; old != nil {
		e.renew(old, id, tokens, ttl)
		return true
	}
	made := &reservation{tokens: tokens, gone: make(chan struct{})}
	made.timer = time.AfterFunc(ttl, func() { e.expire(id, made) })
	e.reservations[id] = made
	e.used += tokens
	e.changed()
	return true
}

func (e *Engine) renew(old *reservation, id string, tokens int64, ttl time.Duration) {
	e.used += tokens - old.tokens
	old.timer.Stop()
	// A new timer and not a reset: the old one may be waiting for the lock by now, and
	// its expire must not end the renewed reservation.
	renewed := &reservation{tokens: tokens, gone: old.gone}
	renewed.timer = time.AfterFunc(ttl, func() { e.expire(id, renewed) })
	e.reservations[id] = renewed
	e.changed()
}

func (e *Engine) expire(id string, expected *reservation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reservations[id] == expected {
		e.stats.Expired++
		e.dropReservation(id)
		e.changed()
	}
}

func (e *Engine) reservationOf(id string) *reservation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reservations[id]
}

func (e *Engine) reservedFor(id string) int64 {
	if r := e.reservations[id]; r != nil {
		return r.tokens
	}
	return 0
}

// dropReservation ends a reservation if there is one. The lock is held.
func (e *Engine) dropReservation(id string) bool {
	r := e.reservations[id]
	if r == nil {
		return false
	}
	r.timer.Stop()
	close(r.gone)
	delete(e.reservations, id)
	e.used -= r.tokens
	return true
}

// watchReservation answers 200 if a reservation of at least ?tokens= exists, and keeps
// the answer open until it ends.
func (e *Engine) watchReservation(w http.ResponseWriter, r *http.Request) {
	tokens, err := strconv.ParseInt(r.URL.Query().Get("tokens"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, peer.TypeInvalid, "tokens is not a number")
		return
	}
	held := e.reservationOf(r.PathValue("id"))
	if held == nil || held.tokens < tokens {
		refuse(w, http.StatusNotFound, peer.TypeMemory, "no such reservation")
		return
	}
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	select {
	case <-held.gone:
	case <-r.Context().Done():
	}
}

package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	peer "acaciacleat.example/peers/engine"
)

// reservation reserves memory for a future request, or for this engine's part of a group request,
// which another engine runs. It is immutable; a renewal replaces it.
type reservation struct {
	tokens int64
	timer  *time.Timer
	// done is closed when the reservation ends; a renewal keeps it.
	done chan struct{}
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

// setReservation creates or renews a reservation; false means that memory is insufficient.
func (e *Engine) setReservation(id string, tokens int64, ttl time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.usedTokens-e.reservedFor(id)+tokens > e.config.EngineTokens {
		return false
	}
	if old := e.reservations[id]; old != nil {
		e.renew(old, id, tokens, ttl)
		return true
	}
	created := &reservation{tokens: tokens, done: make(chan struct{})}
	created.timer = time.AfterFunc(ttl, func() { e.expire(id, created) })
	e.reservations[id] = created
	e.usedTokens += tokens
	e.memoryChanged()
	return true
}

func (e *Engine) renew(old *reservation, id string, tokens int64, ttl time.Duration) {
	e.usedTokens += tokens - old.tokens
	old.timer.Stop()
	// A new timer instead of a reset: the old one may already wait for the lock, and its call of
	// expire must not end the renewed reservation.
	renewed := &reservation{tokens: tokens, done: old.done}
	renewed.timer = time.AfterFunc(ttl, func() { e.expire(id, renewed) })
	e.reservations[id] = renewed
	e.memoryChanged()
}

func (e *Engine) expire(id string, expected *reservation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reservations[id] == expected {
		e.stats.Expired++
		e.dropReservation(id)
		e.memoryChanged()
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

// dropReservation ends a reservation and reports whether there was one. The caller holds e.mu.
func (e *Engine) dropReservation(id string) bool {
	r := e.reservations[id]
	if r == nil {
		return false
	}
	r.timer.Stop()
	close(r.done)
	delete(e.reservations, id)
	e.usedTokens -= r.tokens
	return true
}

// watchReservation answers 200 if a reservation of at least the tokens in the query exists, and
// keeps the response open until the reservation ends.
func (e *Engine) watchReservation(w http.ResponseWriter, r *http.Request) {
	tokens, err := strconv.ParseInt(r.URL.Query().Get("tokens"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, peer.TypeInvalid, "tokens is not a number")
		return
	}
	reserved := e.reservationOf(r.PathValue("id"))
	if reserved == nil || reserved.tokens < tokens {
		refuse(w, http.StatusNotFound, peer.TypeMemory, "no such reservation")
		return
	}
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	select {
	case <-reserved.done:
	case <-r.Context().Done():
	}
}

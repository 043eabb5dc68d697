package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"acaciacleat.example/platform/standin"
)

const (
	// evacuationLimit is half of the platform's bound for requests that reach a zone after the operator has
	// asked to evacuate it. An entry counts if nothing has disrupted it or the store for that time.
	evacuationLimit = 2500 * time.Millisecond
	// minEvacuation is the shortest duration of an Evacuate event, maxEvacuation the longest.
	minEvacuation = 2 * evacuationLimit
	maxEvacuation = 4 * evacuationLimit
	// maxEvacuations is the largest number of Evacuate events of a plan.
	maxEvacuations = 2
)

// zones are the availability zones of the upstreams, which alternate between them.
var zones = []string{"zone-a", "zone-b"}

// zoneOf returns the zone of an upstream by its index.
func zoneOf(target int) string { return zones[target%len(zones)] }

// zoneLocks has a lock for each zone, so that events evacuate it one at a time.
type zoneLocks [2]sync.Mutex

// drawEvacuations adds Evacuate events between two times, from a random source of its own.
func (p *Plan) drawEvacuations(from, to time.Duration) {
	random := rand.New(rand.NewPCG(p.Seed, 3))
	spare := to - from - minEvacuation
	if spare <= 0 {
		return
	}
	for range 1 + random.IntN(maxEvacuations) {
		at := time.Duration(random.Int64N(int64(spare)))
		lasts := minEvacuation + time.Duration(random.Int64N(int64(min(maxEvacuation-minEvacuation, spare-at)+1)))
		p.Events = append(p.Events, Event{
			AtMs: int((from + at).Milliseconds()), ForMs: int(lasts.Milliseconds()), Kind: Evacuate, Target: random.IntN(1 << 16),
		})
	}
}

// evacuate evacuates the zone of an upstream, every other time by a row whose value can't be read, and
// checks that its upstreams get nothing more once evacuationLimit has passed.
func (h *harness) evacuate(ctx context.Context, event Event) {
	lock := &h.zoneLocks[event.Target%len(zones)]
	lock.Lock()
	defer lock.Unlock()
	zone, store := zoneOf(event.Target), h.standins.Store
	if event.AtMs%2 == 0 {
		store.Evacuate(zone)
	} else {
		store.PutRaw("op", "evacuate/"+zone, json.RawMessage("17"))
	}
	began := time.Now()
	wait(ctx, time.Duration(event.ForMs)*time.Millisecond)
	ended := time.Now()
	store.TakeBack(zone)
	for _, replica := range h.standins.Replicas() {
		if replica.Zone != zone {
			continue
		}
		if late, last := h.lateRuns(replica, began, ended); late > 0 {
			h.recorder.addViolation(UsedWhileEvacuated, "%s got %d requests, the last %s after %s was evacuated", replica.ID, late, last.Round(time.Millisecond), zone)
		}
	}
}

// lateRuns returns how many requests ran at an upstream later than evacuationLimit after a time and before
// another, from entries in touch, and how long after it the last one began.
func (h *harness) lateRuns(replica *standin.Replica, from, to time.Time) (late int, last time.Duration) {
	for _, run := range replica.Runs() {
		after := run.At.Sub(from)
		if after <= evacuationLimit || !run.At.Before(to) {
			continue
		}
		s, known := h.statements.senderOf(run.ID)
		if known && h.recorder.undisrupted(s.entry, run.At.Add(-evacuationLimit), run.At, partStore, partProcess) {
			late, last = late+1, max(last, after)
		}
	}
	return late, last
}

package attempt_test

import (
	"testing"

	"pgregory.net/rapid"

	"acaciacleat.example/core/attempt"
	"acaciacleat.example/core/idempotency"
)

// TestRandomFaults drives calls of all kinds through entries, agents and the table
// service under random faults, and compares each answer with what really ran.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { randomFaults(t) })
}

func randomFaults(t *rapid.T) {
	p := func(name string, most int) float64 {
		return float64(rapid.IntRange(0, most).Draw(t, name)) / 100
	}
	w := newWorld(rapid.Uint64().Draw(t, "seed"), odds{
		drop: p("drop", 40), duplicate: p("duplicate", 60), delay: p("delay", 50), silent: p("silent", 30),
		refuse: p("refuse", 60), fail: p("fail", 20), noUpstream: p("noUpstream", 40), storeDown: p("storeDown", 50),
		storeLost: p("storeLost", 50), storeLate: p("storeLate", 50), staleView: p("staleView", 80),
	}, testLimits)
	keys := []string{"k0", "k1", "", ""}
	bad := p("body", 20)
	for range rapid.IntRange(1, 12).Draw(t, "tries") {
		w.after(w.upTo(1000), func() {
			key := keys[w.rng.IntN(len(keys))]
			e := w.entries[w.rng.IntN(len(w.entries))]
			if e.dead || w.now.Before(e.paused) {
				return
			}
			body := byte(0)
			if w.chance(bad) {
				body = 1
			}
			tr := w.start(e, key, body, key != "", key == "" && w.chance(0.4), 50*tick+w.upTo(2000))
			if w.chance(0.1) {
				e.soon(w.upTo(300), func() { tr.perform(tr.m.CallerGone(w.now)) })
			}
		})
	}
	for range rapid.IntRange(0, 3).Draw(t, "restarts") {
		w.after(w.upTo(1500), func() { w.agents[w.rng.IntN(len(w.agents))].die() })
	}
	for range rapid.IntRange(0, 3).Draw(t, "pauses") {
		w.after(w.upTo(1500), func() { w.entries[w.rng.IntN(len(w.entries))].pause(w.upTo(1500)) })
	}
	if rapid.IntRange(0, 3).Draw(t, "death") == 0 {
		w.after(w.upTo(1500), func() { w.entries[0].dead = true })
	}
	w.run()
	for i, tr := range w.tries {
		if fault := tr.fault(); fault != "" {
			t.Fatalf("try %d (key %q, repeatable %v): %s", i, tr.key, tr.request.Repeatable, fault)
		}
	}
}

// TestNoFaults makes sure that the rules above are not kept by refusing everything:
// without faults each call is answered, and a second try with a key replays the first.
func TestNoFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), odds{}, idempotency.DefaultLimits)
		for i := range 4 {
			key := []string{"k0", "k0", "", ""}[i]
			w.after(w.upTo(100), func() {
				w.start(w.entries[i%2], key, 0, key != "", i == 2, 1000*tick)
			})
		}
		w.run()
		for _, tr := range w.tries {
			if fault := tr.fault(); fault != "" || tr.finals[0].Kind != attempt.Answer {
				t.Fatalf("%s: %+v %v", fault, tr.finals[0], tr.finals[0].Err)
			}
		}
	})
}

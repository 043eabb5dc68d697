package attempt_test

import (
	"testing"

	"pgregory.net/rapid"

	"acaciacleat.example/core/attempt"
	"acaciacleat.example/core/idempotency"
)

// TestRandomFaults runs calls of all kinds through simulated entries, agents and the table
// service under random faults, and compares each answer with the actual runs.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { randomFaults(t) })
}

func randomFaults(t *rapid.T) {
	p := func(name string, most int) float64 {
		return float64(rapid.IntRange(0, most).Draw(t, name)) / 100
	}
	sim := newSimulation(rapid.Uint64().Draw(t, "seed"), faultRates{
		drop: p("drop", 40), duplicate: p("duplicate", 60), delay: p("delay", 50), silent: p("silent", 30),
		refuse: p("refuse", 60), fail: p("fail", 20), noUpstream: p("noUpstream", 40), storeDown: p("storeDown", 50),
		storeLost: p("storeLost", 50), storeLate: p("storeLate", 50), staleView: p("staleView", 80),
	}, testLimits)
	keys := []string{"k0", "k1", "", ""}
	bad := p("body", 20)
	for range rapid.IntRange(1, 12).Draw(t, "tries") {
		sim.after(sim.randomDelay(1000), func() {
			key := keys[sim.rng.IntN(len(keys))]
			e := sim.entries[sim.rng.IntN(len(sim.entries))]
			if e.dead || sim.now.Before(e.pausedUntil) {
				return
			}
			body := byte(0)
			if sim.chance(bad) {
				body = 1
			}
			tr := sim.startTry(e, key, body, key != "", key == "" && sim.chance(0.4), 50*tick+sim.randomDelay(2000))
			if sim.chance(0.1) {
				e.after(sim.randomDelay(300), func() { tr.perform(tr.machine.CallerGone(sim.now)) })
			}
		})
	}
	for range rapid.IntRange(0, 3).Draw(t, "restarts") {
		sim.after(sim.randomDelay(1500), func() { sim.agents[sim.rng.IntN(len(sim.agents))].crash() })
	}
	for range rapid.IntRange(0, 3).Draw(t, "pauses") {
		sim.after(sim.randomDelay(1500), func() { sim.entries[sim.rng.IntN(len(sim.entries))].pause(sim.randomDelay(1500)) })
	}
	if rapid.IntRange(0, 3).Draw(t, "death") == 0 {
		sim.after(sim.randomDelay(1500), func() { sim.entries[0].dead = true })
	}
	sim.run()
	for i, tr := range sim.tries {
		if fault := tr.violation(); fault != "" {
			t.Fatalf("try %d (key %q, repeatable %v): %s", i, tr.key, tr.request.Repeatable, fault)
		}
	}
}

// TestNoFaults ensures that TestRandomFaults does not pass merely because every call is
// refused: without faults each call is answered, and a second try with a key replays the
// first.
func TestNoFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), faultRates{}, idempotency.DefaultLimits)
		for i := range 4 {
			key := []string{"k0", "k0", "", ""}[i]
			sim.after(sim.randomDelay(100), func() {
				sim.startTry(sim.entries[i%2], key, 0, key != "", i == 2, 1000*tick)
			})
		}
		sim.run()
		for _, tr := range sim.tries {
			if fault := tr.violation(); fault != "" || tr.finalActions[0].Kind != attempt.Answer {
				t.Fatalf("%s: %+v %v", fault, tr.finalActions[0], tr.finalActions[0].Err)
			}
		}
	})
}

package membership

import (
	"fmt"
	"testing"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/routing"
	_ "acaciacleat.example/core/seeded"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func newVMs(n int) []VM {
	vms := make([]VM, n)
	for i := range vms {
		vms[i] = VM{ID: ID(fmt.Sprintf("vm-%02d", i)), Zone: fmt.Sprint("zone-", i%2)}
	}
	return vms
}

func newView(n int) *View {
	v := New(DefaultConfig())
	v.HandleList(at(0), newVMs(n))
	return v
}

func tickUntil(v *View, from, to int) (actions []Action) {
	for ms := from; ms <= to; ms += 100 {
		actions = append(actions, v.Tick(at(ms))...)
	}
	return actions
}

// Each case applies events to one VM of ten and checks its state afterwards.
func TestStateOfOneVM(t *testing.T) {
	const id = ID("vm-03")
	leaving := newVMs(10)
	leaving[3].Leaving = true
	without := append(newVMs(10)[:3:3], newVMs(10)[4:]...)
	for name, c := range map[string]struct {
		events func(v *View)
		want   routing.State
	}{
		"new":                          {func(v *View) {}, routing.Live},
		"connection refused":           {func(v *View) { v.HandleRefusal(at(500), id) }, routing.Dead},
		"one silence":                  {func(v *View) { v.HandleTimeout(at(500), id, at(0)) }, routing.Suspect},
		"silent, 1.5 s after the call": {func(v *View) { v.HandleTimeout(at(500), id, at(0)); tickUntil(v, 600, 1500) }, routing.Dead},
		"silent connection, new one replies": {func(v *View) {
			v.HandleMessage(at(300), id, 1)
			v.HandleTimeout(at(500), id, at(0))
			tickUntil(v, 600, 3000)
		}, routing.Live},
		"falsely dead, probe replies": {func(v *View) {
			v.HandleTimeout(at(500), id, at(0))
			tickUntil(v, 600, 3000)
			v.HandleMessage(at(3100), id, 1)
		}, routing.Live},
		"restart after refusal": {func(v *View) {
			v.HandleMessage(at(0), id, 1)
			v.HandleRefusal(at(500), id)
			v.HandleMessage(at(700), id, 2)
		}, routing.Live},
		"agent announces that it leaves": {func(v *View) {
			v.HandleLeaving(at(100), id, 1)
			v.HandleMessage(at(200), id, 1)
			v.HandleList(at(300), newVMs(10))
		}, routing.Leaving},
		"new process stays": {func(v *View) { v.HandleLeaving(at(100), id, 1); v.HandleMessage(at(200), id, 2) }, routing.Live},
		"late announcement of the old process": {func(v *View) {
			v.HandleMessage(at(0), id, 1)
			v.HandleMessage(at(100), id, 2)
			v.HandleLeaving(at(200), id, 1)
		}, routing.Live},
		"list shows it as leaving": {func(v *View) { v.HandleList(at(100), leaving); v.HandleList(at(200), newVMs(10)) }, routing.Leaving},
		"list drops it, replies": {func(v *View) {
			v.HandleList(at(100), without)
			v.HandleMessage(at(200), id, 1)
			tickUntil(v, 300, 90_000)
		}, routing.Live},
		"list drops it, silent": {func(v *View) {
			v.HandleList(at(100), without)
			require.Equal(t, []Action{Probe{VM: newVMs(10)[3]}}, v.Tick(at(200)))
			v.HandleTimeout(at(700), id, at(200))
			require.Contains(t, tickUntil(v, 800, 62_000), Removed{ID: id})
		}, routing.Dead},
	} {
		t.Run(name, func(t *testing.T) {
			v := newView(10)
			c.events(v)
			require.Equal(t, c.want, v.State(id))
			require.Equal(t, routing.Live, v.State("vm-04"))
		})
	}
}

// When the platform's list is truncated to a few VMs for a minute, the entries must not drop the
// others and answer that no replica is live.
func TestListMissingMostVMsIsRejected(t *testing.T) {
	v := newView(40)
	for ms := 1000; ms < 60_000; ms += 1000 {
		require.Empty(t, v.HandleList(at(ms), newVMs(3)))
		require.Empty(t, v.Tick(at(ms)))
		require.True(t, v.ListImplausible())
	}
	v.HandleRefusal(at(60_000), "vm-30")
	require.Equal(t, routing.Dead, v.State("vm-30"), "own evidence still counts")
	require.Equal(t, routing.Live, v.State("vm-31"))
	v.HandleList(at(61_000), newVMs(40))
	require.False(t, v.ListImplausible())
}

// In a partition each side keeps using its own VMs although the list shows all of them, and the
// VMs of the other side become live again once they reply.
func TestNetworkPartition(t *testing.T) {
	v := newView(20)
	for ms := 1000; ms < 20_000; ms += 500 {
		for _, vm := range newVMs(20) {
			if vm.Zone == "zone-1" {
				v.HandleTimeout(at(ms), vm.ID, at(ms-500))
			} else {
				v.HandleMessage(at(ms), vm.ID, 1)
			}
		}
		probes := 0
		for _, action := range v.Tick(at(ms)) {
			if _, ok := action.(Probe); ok {
				probes++
			}
		}
		require.LessOrEqual(t, probes, 16)
	}
	v.Each(func(vm VM, state routing.State) {
		require.Equal(t, vm.Zone == "zone-0", state == routing.Live)
		v.HandleMessage(at(20_000), vm.ID, 1)
		require.Equal(t, routing.Live, v.State(vm.ID))
	})
}

// eventLog is a reference implementation that keeps all events of one VM and derives its state
// from all of them each time.
type eventLog struct{ events []event }

type event struct {
	kind        string
	at, sent    time.Time
	incarnation call.Incarnation
}

func (log *eventLog) state(now time.Time) routing.State {
	var seen []call.Incarnation
	var reply, silentSince time.Time
	listedLeaving, agentLeaving, dead := false, false, false
	for _, e := range log.events {
		if e.incarnation != 0 {
			old := false
			for i, s := range seen {
				old = old || (s == e.incarnation && i < len(seen)-1)
			}
			if old {
				continue
			}
			if len(seen) == 0 || seen[len(seen)-1] != e.incarnation {
				seen = append(seen, e.incarnation)
				agentLeaving = false
			}
		}
		switch e.kind {
		case "reply":
			reply, silentSince, dead = e.at, time.Time{}, false
		case "left":
			agentLeaving = true
		case "list-leaving":
			listedLeaving = true
		case "refused":
			dead = true
		case "silent":
			if silentSince.IsZero() && !reply.After(e.sent) && !dead {
				silentSince = e.at
			}
		}
	}
	switch {
	case dead, !silentSince.IsZero() && now.Sub(silentSince) >= DefaultConfig().SuspectTimeout:
		return routing.Dead
	case agentLeaving || listedLeaving:
		return routing.Leaving
	case !silentSince.IsZero():
		return routing.Suspect
	}
	return routing.Live
}

// The view must agree with the event log after any events, must report every change, and must
// keep probing a VM that counts as dead, so that a false suspicion ends.
func TestViewAgainstEventLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, log := newView(1), &eventLog{}
		reported := routing.Live
		incarnation := call.Incarnation(1)
		lastProbe, downSince := at(0), at(0)
		for ms := 0; ms < 10_000; ms += 100 {
			now := at(ms)
			e := event{kind: rapid.SampledFrom([]string{"", "", "", "", "reply", "left", "list-leaving", "refused", "silent"}).Draw(t, "kind"), at: now}
			actions := v.Tick(now)
			switch e.kind {
			case "reply", "left":
				e.incarnation = max(1, incarnation-call.Incarnation(rapid.IntRange(0, 2).Draw(t, "old")))
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 && incarnation < maxPastIncarnations {
					incarnation++
					e.incarnation = incarnation
				}
				if e.kind == "reply" {
					actions = append(actions, v.HandleMessage(now, "vm-00", e.incarnation)...)
				} else {
					actions = append(actions, v.HandleLeaving(now, "vm-00", e.incarnation)...)
				}
			case "list-leaving":
				actions = append(actions, v.HandleList(now, []VM{{ID: "vm-00", Leaving: true}})...)
			case "refused":
				actions = append(actions, v.HandleRefusal(now, "vm-00")...)
			case "silent":
				e.sent = now.Add(-time.Duration(rapid.IntRange(1, 9).Draw(t, "age")) * 100 * time.Millisecond)
				actions = append(actions, v.HandleTimeout(now, "vm-00", e.sent)...)
			}
			log.events = append(log.events, e)
			for _, action := range actions {
				switch a := action.(type) {
				case StateChanged:
					reported = a.State
				case Probe:
					lastProbe = now
				}
			}
			require.Equal(t, log.state(now), v.State("vm-00"))
			require.Equal(t, reported, v.State("vm-00"))
			if v.State("vm-00") != routing.Dead {
				downSince = now
			}
			require.Less(t, now.Sub(downSince)-max(0, lastProbe.Sub(downSince)), 5500*time.Millisecond)
		}
	})
}

func BenchmarkTick1200(b *testing.B) {
	v := newView(1200)
	for b.Loop() {
		v.Tick(at(100))
	}
}

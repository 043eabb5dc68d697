package placement

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/core/routing"
	_ "acaciacleat.example/core/seeded"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const interval = 10 * time.Second

// fleet simulates the environment of placers: engines that take a few rounds to load, and
// slots that are taken by conditional writes.
type fleet struct {
	t       require.TestingT
	now     time.Time
	in      Input
	running map[string]runningOrder
	orders  []Order
	// tableDown prevents rejections from being stored.
	tableDown bool
}

type runningOrder struct {
	order      Order
	roundsLeft int
}

func newFleet(t require.TestingT, engines, slots int, models ...document.Model) *fleet {
	f := &fleet{t: t, now: time.Unix(1000, 0), running: map[string]runningOrder{}}
	f.in.Service = &document.Service{Name: "chat", Models: models}
	for i := range engines {
		f.in.Replicas = append(f.in.Replicas, Replica{VM: fmt.Sprintf("vm-%02d", i), Zone: fmt.Sprint("zone-", i%3)})
	}
	for i := range slots {
		f.in.Slots = append(f.in.Slots, Slot{Index: i})
	}
	return f
}

func (f *fleet) replica(vm string) *Replica {
	for i := range f.in.Replicas {
		if f.in.Replicas[i].VM == vm {
			return &f.in.Replicas[i]
		}
	}
	return nil
}

// runRound runs one round of a placer on the given view and carries out the actions.
func (f *fleet) runRound(p *Placer, view Input) []Action {
	actions := p.Decide(f.now, &view)
	for _, action := range actions {
		switch a := action.(type) {
		case SlotOrder:
			slot := &f.in.Slots[a.Slot]
			if slot.Version != a.Version {
				p.OrderDropped(a.Order.VM)
				continue
			}
			slot.Version++
			slot.Service, slot.Order = "chat", &a.Order
			f.startOrder(a.Order)
		case ReleaseSlot:
			if slot := &f.in.Slots[a.Slot]; slot.Version == a.Version {
				slot.Version++
				slot.Order = nil
			}
		case RejectCanary:
			if f.tableDown {
				continue
			}
			f.in.Rejected = append(f.in.Rejected, a.ModelVersion)
		case Order:
			f.startOrder(a)
		}
	}
	fetching := 0
	for _, o := range f.running {
		if o.order.Kind != SetRole {
			fetching++
		}
	}
	require.LessOrEqual(f.t, fetching, len(f.in.Slots), "more fetches than slots")
	return actions
}

func (f *fleet) startOrder(order Order) {
	require.NotEmpty(f.t, order.Reason)
	f.orders = append(f.orders, order)
	if o, ok := f.running[order.VM]; !ok || o.order != order {
		f.running[order.VM] = runningOrder{order: order, roundsLeft: 3}
	}
}

func (f *fleet) view() Input {
	view := f.in
	view.Replicas = append([]Replica(nil), f.in.Replicas...)
	view.Slots = append([]Slot(nil), f.in.Slots...)
	return view
}

// advance advances the time and completes orders.
func (f *fleet) advance() {
	f.now = f.now.Add(interval)
	for vm, o := range f.running {
		if o.roundsLeft--; o.roundsLeft > 0 {
			f.running[vm] = o
			continue
		}
		delete(f.running, vm)
		r := f.replica(vm)
		switch o.order.Kind {
		case LoadModel:
			r.Model, r.Version, r.Adapters, r.Requests = o.order.Model, o.order.Version, nil, 0
		case LoadAdapter:
			r.Adapters = append(r.Adapters, o.order.Adapter)
		case SetRole:
			r.Role = o.order.Role
		}
	}
}

// runUntilIdle runs rounds until no order has been given for a while, and fails if that never
// happens.
func (f *fleet) runUntilIdle(p *Placer) {
	idle := 0
	for range 2000 {
		orders := len(f.orders)
		f.runRound(p, f.view())
		if len(f.orders) == orders && len(f.running) == 0 {
			idle++
		} else {
			idle = 0
		}
		f.advance()
		if idle > 20 {
			return
		}
	}
	require.Fail(f.t, "placement does not become idle")
}

func (f *fleet) count(match func(*Replica) bool) (n int) {
	for i := range f.in.Replicas {
		if r := &f.in.Replicas[i]; r.State == routing.Live && match(r) {
			n++
		}
	}
	return n
}

func model(name string, replicas int) document.Model {
	return document.Model{Name: name, Version: "1", Replicas: replicas}
}

// Models must get their replicas, evenly over the zones, with their adapters and roles, and a
// replica that stays dead must be replaced.
func TestAddsSpreadsAndReplacesReplicas(t *testing.T) {
	a := model("a", 6)
	a.Adapters = []string{"x", "y"}
	f := newFleet(t, 12, 3, a, model("b", 3))
	f.in.Roles = []RoleShare{{Model: "a", Role: "prefill", Share: 0.5}}
	p := New(DefaultConfig())
	f.runUntilIdle(p)
	for _, zone := range []string{"zone-0", "zone-1", "zone-2"} {
		require.Equal(t, 2, f.count(func(r *Replica) bool { return r.Model == "a" && r.Zone == zone }))
		require.Equal(t, 1, f.count(func(r *Replica) bool { return r.Model == "b" && r.Zone == zone }))
	}
	require.Equal(t, 6, f.count(func(r *Replica) bool { return len(r.Adapters) == 2 }))
	require.Equal(t, 3, f.count(func(r *Replica) bool { return r.Role == "prefill" }))

	f.replica("vm-00").State = routing.Dead
	require.Empty(t, f.runRound(p, f.view()), "a dead replica is not replaced at once")
	f.runUntilIdle(p)
	require.Equal(t, 6, f.count(func(r *Replica) bool { return r.Model == "a" }))
}

// A canary is tried on its share of the replicas, kept while it performs well and rolled
// back for good when it performs worse, also by the next lease holder.
func TestCanary(t *testing.T) {
	for name, c := range map[string]struct {
		requests int
		errors   float64
		first    time.Duration
		bad      bool
		down     bool
	}{
		"as good":                   {requests: 1000, errors: 0.01, first: time.Second},
		"errors within the margin":  {requests: 1000, errors: 0.03, first: time.Second},
		"too few requests to judge": {requests: 50, errors: 1, first: time.Minute},
		"more errors":               {requests: 1000, errors: 0.05, first: time.Second, bad: true},
		"late first tokens":         {requests: 1000, errors: 0.01, first: 2 * time.Second, bad: true},
		"more errors, table down":   {requests: 1000, errors: 0.05, first: time.Second, bad: true, down: true},
	} {
		t.Run(name, func(t *testing.T) {
			m := model("a", 10)
			f := newFleet(t, 10, 2, m)
			p := New(DefaultConfig())
			f.runUntilIdle(p)
			f.in.Service.Models[0].Canary, f.in.Service.Models[0].CanaryShare = "2", 0.2
			f.runUntilIdle(p)
			canary := func(r *Replica) bool { return r.Version == "2" }
			require.Equal(t, 2, f.count(canary))
			for i := range f.in.Replicas {
				r := &f.in.Replicas[i]
				r.Requests, r.ErrorRate, r.FirstToken = 1000, 0.01, time.Second
				if canary(r) {
					r.Requests, r.ErrorRate, r.FirstToken = c.requests, c.errors, c.first
				}
			}
			f.tableDown = c.down
			f.runUntilIdle(p)
			if !c.down {
				f.runUntilIdle(New(DefaultConfig()))
			}
			if !c.bad {
				require.Equal(t, 2, f.count(canary))
				return
			}
			require.Zero(t, f.count(canary))
			require.Equal(t, 10, f.count(func(r *Replica) bool { return r.Version == "1" }))
		})
	}
}

// A lease holder is paused, its lease expires, and it gives orders at the same time as the
// next holder. If each kept to the rate on its own, they would overload the weight store
// together. Both placers act on the same view, so that neither sees the other's writes.
func TestTwoLeaseHoldersKeepTheFetchRate(t *testing.T) {
	f := newFleet(t, 20, 2, model("a", 20))
	one, two := New(DefaultConfig()), New(DefaultConfig())
	for range 200 {
		view := f.view()
		f.runRound(one, view)
		f.runRound(two, view)
		f.advance()
	}
	require.Equal(t, 20, f.count(func(r *Replica) bool { return r.Model == "a" }))
}

// An order is done, and a second lease holder by mistake clears its slot and takes it for an
// order of its own. If the first holder cleared the slot whatever it contains by then, more
// fetches than slots would run at once.
func TestSlotOfAnotherOrderIsNotReleased(t *testing.T) {
	f := newFleet(t, 3, 1, model("a", 3))
	p := New(DefaultConfig())
	order := f.runRound(p, f.view())[0].(SlotOrder).Order
	other := order
	other.VM = "vm-02"
	for _, slot := range []Slot{{Version: 2, Service: "chat", Order: &other}, {Version: 2, Service: "search", Order: &order}} {
		view := f.view()
		view.Replicas[0].Model, view.Replicas[0].Version = "a", "1"
		view.Slots[0] = slot
		q := *p
		q.pending = maps.Clone(p.pending)
		for _, action := range q.Decide(f.now, &view) {
			require.NotEqual(t, ReleaseSlot{Slot: 0, Version: 2}, action)
		}
	}
}

// Two models that together need more engines than exist must not take them from each other.
func TestModelsDoNotTakeEnginesFromEachOther(t *testing.T) {
	f := newFleet(t, 6, 2, model("a", 4), model("b", 4))
	f.runUntilIdle(New(DefaultConfig()))
	require.Len(t, f.orders, 6)
}

func TestPendingOrdersAreBounded(t *testing.T) {
	f := newFleet(t, 30, 30, model("a", 30))
	p := New(DefaultConfig())
	p.config.MaxPendingOrders = 3
	for range 200 {
		f.runRound(p, f.view())
		require.LessOrEqual(t, len(f.running), 3)
		f.advance()
	}
	require.Equal(t, 30, f.count(func(r *Replica) bool { return r.Model == "a" }))
}

// A lease holder takes a slot and crashes before it gives the order. If the next holder did
// not take over the order from the slot, placement would stop.
func TestNextLeaseHolderReissuesTheOrder(t *testing.T) {
	f := newFleet(t, 3, 1, model("a", 1))
	view := f.view()
	reserved := New(DefaultConfig()).Decide(f.now, &view)[0].(SlotOrder)
	f.in.Slots[0] = Slot{Version: 1, Service: "chat", Order: &reserved.Order}
	require.Equal(t, []Action{reserved.Order}, f.runRound(New(DefaultConfig()), f.view()))
	f.runUntilIdle(New(DefaultConfig()))
	require.Nil(t, f.in.Slots[0].Order)
	require.Equal(t, 1, f.count(func(r *Replica) bool { return r.Model == "a" }))
}

// From any state and after any failures, placement reaches the document's desired state
// as far as the fleet allows, within the bounds on orders, and then gives no more orders.
func TestConvergesAndStaysIdle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := model("a", rapid.IntRange(0, 8).Draw(t, "a")), model("b", rapid.IntRange(0, 4).Draw(t, "b"))
		if a.Replicas > 1 && rapid.Bool().Draw(t, "canary") {
			a.Canary, a.CanaryShare = "2", 0.3
		}
		f := newFleet(t, 16, rapid.IntRange(1, 4).Draw(t, "slots"), a, b)
		states := []routing.State{routing.Live, routing.Live, routing.Suspect, routing.Leaving, routing.Dead}
		for i := range f.in.Replicas {
			f.in.Replicas[i].Model = rapid.SampledFrom([]string{"", "a", "b", "gone"}).Draw(t, "model")
			f.in.Replicas[i].Version = rapid.SampledFrom([]string{"0", "1", "2"}).Draw(t, "version")
		}
		p := New(DefaultConfig())
		for range 30 {
			hit := rapid.IntRange(0, 15).Draw(t, "vm")
			f.in.Replicas[hit].State = rapid.SampledFrom(states).Draw(t, "state")
			if rapid.IntRange(0, 9).Draw(t, "holder") == 0 {
				p = New(DefaultConfig())
			}
			before := len(f.orders)
			f.runRound(p, f.view())
			require.LessOrEqual(t, len(f.orders)-before, p.config.MaxOrdersPerRound+len(f.in.Slots))
			require.LessOrEqual(t, len(p.pending), p.config.MaxPendingOrders)
			f.advance()
		}
		for i := range f.in.Replicas {
			f.in.Replicas[i].State = routing.Live
		}
		f.runUntilIdle(p)
		for _, m := range []document.Model{a, b} {
			require.GreaterOrEqual(t, f.count(func(r *Replica) bool { return r.Model == m.Name }), m.Replicas)
			if n := canaryReplicas(&m); n > 0 {
				require.Equal(t, n, f.count(func(r *Replica) bool { return r.Model == m.Name && r.Version == "2" }))
			}
			require.Zero(t, f.count(func(r *Replica) bool { return r.Model == m.Name && r.Version == "0" }))
		}
		orders := len(f.orders)
		f.runUntilIdle(New(DefaultConfig()))
		require.Len(t, f.orders, orders, "a new holder gives no orders")
	})
}

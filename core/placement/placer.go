package placement

import (
	"cmp"
	"slices"
	"time"

	"acaciacleat.example/core/routing"
)

// pending is an order that isn't yet seen to be done.
type pending struct {
	order Order
	since time.Time
	// slot is the slot that the order holds, -1 for none.
	slot int
	// again says that the order was found in a slot and is to be given once more.
	again bool
}

// slotSeen is when a version of a slot's row was first seen, by this process's clock:
// the clocks of two holders differ, so that a row can't say when it ends.
type slotSeen struct {
	version uint64
	since   time.Time
}

// Placer is the state of the process that places a service. It is not safe for
// concurrent use. A new holder of the lease starts with a new one and learns the orders
// under way from the slots.
type Placer struct {
	config    Config
	pending   map[string]pending
	restUntil map[string]time.Time
	deadSince map[string]time.Time
	slots     map[int]slotSeen
	// rejected repeats Input.Rejected until that shows what this process rejected.
	rejected map[ModelVersion]Reason
}

// New returns a Placer that knows of no orders.
func New(config Config) *Placer {
	return &Placer{
		config: config, pending: make(map[string]pending), restUntil: make(map[string]time.Time),
		deadSince: make(map[string]time.Time), slots: make(map[int]slotSeen), rejected: make(map[ModelVersion]Reason),
	}
}

// Decide returns what to do now. It is to be called every few seconds.
func (p *Placer) Decide(now time.Time, in *Input) []Action {
	p.watchSlots(now, in)
	r := p.newRound(now, in)
	r.finishOrders()
	r.judgeCanaries()
	for _, step := range []func(*target){r.fill, r.correctVersion, r.addAdapters, r.spreadOverZones, r.setRoles} {
		for i := range r.targets {
			step(&r.targets[i])
		}
	}
	return r.actions
}

// Dropped takes that an order was not given, because its slot was taken or its lease had
// ended.
func (p *Placer) Dropped(vm string) { delete(p.pending, vm) }

// watchSlots notes changes of the slots' rows and takes over orders of this service that
// it doesn't know of. They are given again unless they are done: an earlier holder, or this
// one when the answer to its write was lost, may have taken the slot and gone no further.
func (p *Placer) watchSlots(now time.Time, in *Input) {
	for _, slot := range in.Slots {
		if seen, ok := p.slots[slot.Index]; ok && seen.version == slot.Version {
			continue
		}
		p.slots[slot.Index] = slotSeen{version: slot.Version, since: now}
		if slot.Order == nil || slot.Service != in.Service.Name {
			continue
		}
		if _, known := p.pending[slot.Order.VM]; !known {
			p.pending[slot.Order.VM] = pending{order: *slot.Order, since: now, slot: slot.Index, again: true}
		}
	}
}

func (p *Placer) slotExpired(now time.Time, slot Slot) bool {
	return now.Sub(p.slots[slot.Index].since) >= p.config.SlotLife
}

// engine is a replica as it will be once the orders under way are done.
type engine struct {
	*Replica
	model, version string
	busy           bool
	// present is false for engines that can't be counted on.
	present bool
}

// free reports whether the engine may get an order.
func (r *round) free(e *engine) bool {
	return e.State == routing.Live && !e.busy && !r.now.Before(r.placer.restUntil[e.VM])
}

// round is one decision.
type round struct {
	placer  *Placer
	now     time.Time
	in      *Input
	engines []*engine
	zones   []string
	targets []target
	slots   []Slot // those that are free
	budget  int
	actions []Action
}

func (p *Placer) newRound(now time.Time, in *Input) *round {
	r := &round{placer: p, now: now, in: in}
	known := make(map[string]bool, len(in.Replicas))
	for i := range in.Replicas {
		replica := &in.Replicas[i]
		known[replica.VM] = true
		e := &engine{Replica: replica, model: replica.Model, version: replica.Version, present: p.present(now, replica)}
		r.engines = append(r.engines, e)
		if e.present && !slices.Contains(r.zones, e.Zone) {
			r.zones = append(r.zones, e.Zone)
		}
	}
	slices.SortFunc(r.engines, func(a, b *engine) int { return cmp.Compare(a.VM, b.VM) })
	slices.Sort(r.zones)
	p.forget(known)
	for _, slot := range in.Slots {
		if slot.Order == nil || p.slotExpired(now, slot) {
			r.slots = append(r.slots, slot)
		}
	}
	return r
}

// present reports whether a replica counts. A dead one does for a while: its engine may
// be back, with its weights, before another could have loaded them.
func (p *Placer) present(now time.Time, replica *Replica) bool {
	if replica.State != routing.Dead {
		delete(p.deadSince, replica.VM)
		return replica.State != routing.Leaving
	}
	if _, ok := p.deadSince[replica.VM]; !ok {
		p.deadSince[replica.VM] = now
	}
	return now.Sub(p.deadSince[replica.VM]) < p.config.DeadGrace
}

// forget drops what is kept of VMs that are gone, but for orders, which end by themselves.
func (p *Placer) forget(known map[string]bool) {
	for vm := range p.deadSince {
		if !known[vm] {
			delete(p.deadSince, vm)
		}
	}
	for vm := range p.restUntil {
		if !known[vm] {
			delete(p.restUntil, vm)
		}
	}
}

// finishOrders ends the orders that are seen to be done or too old and enters the others
// into the engines.
func (r *round) finishOrders() {
	p := r.placer
	for _, e := range r.engines {
		under, ok := p.pending[e.VM]
		if !ok {
			continue
		}
		switch {
		case Done(&under.order, e.Replica):
			r.release(&under)
			r.end(e.VM)
		case r.now.Sub(under.since) >= p.config.OrderLife:
			// The slot stays taken until SlotLife: the engine may still be fetching.
			r.end(e.VM)
		default:
			e.enter(&under.order)
			r.giveAgain(under)
		}
	}
	for vm, under := range p.pending {
		if r.now.Sub(under.since) >= p.config.OrderLife {
			r.end(vm)
		}
	}
	r.budget = max(0, min(p.config.OrdersPerRound, p.config.OrdersAtOnce-len(p.pending)))
}

func (r *round) giveAgain(under pending) {
	if !under.again {
		return
	}
	under.again = false
	r.placer.pending[under.order.VM] = under
	r.actions = append(r.actions, under.order)
}

func (r *round) end(vm string) {
	delete(r.placer.pending, vm)
	r.placer.restUntil[vm] = r.now.Add(r.placer.config.Rest)
}

// release empties the slot of an order that is done, if the slot still holds it. What goes
// wrong otherwise: another holder by mistake has emptied the slot and taken it for the next
// order, and this one frees it under a fetch; the loads then take more than the rate.
func (r *round) release(under *pending) {
	for _, slot := range r.in.Slots {
		mine := slot.Order != nil && slot.Service == r.in.Service.Name && *slot.Order == under.order
		if slot.Index == under.slot && mine {
			r.actions = append(r.actions, ReleaseSlot{Slot: slot.Index, Version: slot.Version})
		}
	}
}

// Done reports whether a replica is seen to be as an order asks.
func Done(order *Order, replica *Replica) bool {
	switch order.Kind {
	case LoadModel:
		return replica.Model == order.Model && replica.Version == order.Version
	case LoadAdapter:
		return slices.Contains(replica.Adapters, order.Adapter)
	default:
		return replica.Role == order.Role
	}
}

// enter shows the engine as it will be after the order.
func (e *engine) enter(order *Order) {
	e.busy = true
	if order.Kind == LoadModel {
		e.model, e.version = order.Model, order.Version
	}
}

// order gives an order if the round has room and, where weights are fetched, a slot.
func (r *round) order(e *engine, order Order) bool {
	if r.budget == 0 || (order.Kind != SetRole && len(r.slots) == 0) {
		return false
	}
	r.budget--
	order.VM = e.VM
	e.enter(&order)
	if order.Kind == SetRole {
		r.placer.pending[e.VM] = pending{order: order, since: r.now, slot: -1}
		r.actions = append(r.actions, order)
		return true
	}
	slot := r.slots[0]
	r.slots = r.slots[1:]
	r.placer.pending[e.VM] = pending{order: order, since: r.now, slot: slot.Index}
	r.actions = append(r.actions, Reserved{Order: order, Slot: slot.Index, Version: slot.Version})
	return true
}

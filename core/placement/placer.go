package placement

import (
	"cmp"
	"slices"
	"time"

	"acaciacleat.example/core/routing"
)

// pendingOrder is an order that is not yet observed as done.
type pendingOrder struct {
	order Order
	since time.Time
	// slot is the slot that the order holds, -1 for none.
	slot int
	// reissue is set when the order was found in a slot and must be given once more.
	reissue bool
}

// slotObservation records when a version of a slot's row was first seen, by this process's
// clock. A row can't contain its own expiry time, since the clocks of two holders differ.
type slotObservation struct {
	version uint64
	since   time.Time
}

// Placer is the state of the process that places a service. It is not safe for concurrent
// use. A new lease holder starts with a new Placer, which finds the pending orders in the
// slots.
type Placer struct {
	config        Config
	pending       map[string]pendingOrder
	cooldownUntil map[string]time.Time
	deadSince     map[string]time.Time
	slotsSeen     map[int]slotObservation
	// rejected holds this process's rejections, since Input.Rejected shows them only once
	// they are stored.
	rejected map[ModelVersion]Reason
}

// New returns a Placer without pending orders.
func New(config Config) *Placer {
	return &Placer{
		config: config, pending: make(map[string]pendingOrder), cooldownUntil: make(map[string]time.Time),
		deadSince: make(map[string]time.Time), slotsSeen: make(map[int]slotObservation), rejected: make(map[ModelVersion]Reason),
	}
}

// Decide returns the actions to take now. Call it every few seconds.
func (p *Placer) Decide(now time.Time, in *Input) []Action {
	p.observeSlots(now, in)
	r := p.newRound(now, in)
	r.finishOrders()
	r.evaluateCanaries()
	for _, step := range []func(*target){r.addReplicas, r.correctVersion, r.addAdapters, r.spreadOverZones, r.setRoles} {
		for i := range r.targets {
			step(&r.targets[i])
		}
	}
	return r.actions
}

// OrderDropped records that an order was not given, because its slot was taken or the lease had
// ended.
func (p *Placer) OrderDropped(vm string) { delete(p.pending, vm) }

// observeSlots records changes of the slots' rows and takes over unknown orders of this
// service. These are given again unless they are done: an earlier lease holder, or this one
// if the answer to its write was lost, may have taken the slot without giving the order.
func (p *Placer) observeSlots(now time.Time, in *Input) {
	for _, slot := range in.Slots {
		if seen, ok := p.slotsSeen[slot.Index]; ok && seen.version == slot.Version {
			continue
		}
		p.slotsSeen[slot.Index] = slotObservation{version: slot.Version, since: now}
		if slot.Order == nil || slot.Service != in.Service.Name {
			continue
		}
		if _, known := p.pending[slot.Order.VM]; !known {
			p.pending[slot.Order.VM] = pendingOrder{order: *slot.Order, since: now, slot: slot.Index, reissue: true}
		}
	}
}

// slotExpired reports whether a slot's row has not changed for SlotTimeout.
func (p *Placer) slotExpired(now time.Time, slot Slot) bool {
	return now.Sub(p.slotsSeen[slot.Index].since) >= p.config.SlotTimeout
}

// engine is a replica with the state it will have once its pending order is done.
type engine struct {
	*Replica
	model, version string
	busy           bool
	// present is false for engines that do not count as replicas: those that are leaving, and
	// those that have been dead for DeadGracePeriod.
	present bool
}

// canTakeOrder reports whether the engine may get an order now.
func (r *round) canTakeOrder(e *engine) bool {
	return e.State == routing.Live && !e.busy && !r.now.Before(r.placer.cooldownUntil[e.VM])
}

// round is the state of one decision.
type round struct {
	placer     *Placer
	now        time.Time
	in         *Input
	engines    []*engine
	zones      []string
	targets    []target
	freeSlots  []Slot // slots without an order, and those whose order has expired
	ordersLeft int
	actions    []Action
}

func (p *Placer) newRound(now time.Time, in *Input) *round {
	r := &round{placer: p, now: now, in: in}
	known := make(map[string]bool, len(in.Replicas))
	for i := range in.Replicas {
		replica := &in.Replicas[i]
		known[replica.VM] = true
		e := &engine{Replica: replica, model: replica.Model, version: replica.Version, present: p.isPresent(now, replica)}
		r.engines = append(r.engines, e)
		if e.present && !slices.Contains(r.zones, e.Zone) {
			r.zones = append(r.zones, e.Zone)
		}
	}
	slices.SortFunc(r.engines, func(a, b *engine) int { return cmp.Compare(a.VM, b.VM) })
	slices.Sort(r.zones)
	p.pruneVMs(known)
	for _, slot := range in.Slots {
		if slot.Order == nil || p.slotExpired(now, slot) {
			r.freeSlots = append(r.freeSlots, slot)
		}
	}
	return r
}

// isPresent reports whether a replica counts. A dead replica counts for DeadGracePeriod: its
// engine may return with its weights before another engine could have loaded them.
func (p *Placer) isPresent(now time.Time, replica *Replica) bool {
	if replica.State != routing.Dead {
		delete(p.deadSince, replica.VM)
		return replica.State != routing.Leaving
	}
	if _, ok := p.deadSince[replica.VM]; !ok {
		p.deadSince[replica.VM] = now
	}
	return now.Sub(p.deadSince[replica.VM]) < p.config.DeadGracePeriod
}

// pruneVMs drops the state of VMs that no longer exist, except their orders, which time out.
func (p *Placer) pruneVMs(known map[string]bool) {
	for vm := range p.deadSince {
		if !known[vm] {
			delete(p.deadSince, vm)
		}
	}
	for vm := range p.cooldownUntil {
		if !known[vm] {
			delete(p.cooldownUntil, vm)
		}
	}
}

// finishOrders ends the orders that are done or have timed out, applies the others to the engines
// and computes how many orders this round may give.
func (r *round) finishOrders() {
	p := r.placer
	for _, e := range r.engines {
		pending, ok := p.pending[e.VM]
		if !ok {
			continue
		}
		switch {
		case Done(&pending.order, e.Replica):
			r.releaseSlot(&pending)
			r.endOrder(e.VM)
		case r.now.Sub(pending.since) >= p.config.OrderTimeout:
			// The slot stays taken until SlotTimeout: the engine may still be fetching.
			r.endOrder(e.VM)
		default:
			e.apply(&pending.order)
			r.reissueOrder(pending)
		}
	}
	for vm, pending := range p.pending {
		if r.now.Sub(pending.since) >= p.config.OrderTimeout {
			r.endOrder(vm)
		}
	}
	r.ordersLeft = max(0, min(p.config.MaxOrdersPerRound, p.config.MaxPendingOrders-len(p.pending)))
}

// reissueOrder gives an order found in a slot once more.
func (r *round) reissueOrder(pending pendingOrder) {
	if !pending.reissue {
		return
	}
	pending.reissue = false
	r.placer.pending[pending.order.VM] = pending
	r.actions = append(r.actions, pending.order)
}

// endOrder drops the order of a VM and starts its cooldown.
func (r *round) endOrder(vm string) {
	delete(r.placer.pending, vm)
	r.placer.cooldownUntil[vm] = r.now.Add(r.placer.config.Cooldown)
}

// releaseSlot clears the slot of an order that is done, if the slot still holds that order.
// A second lease holder may by mistake have cleared the slot and taken it for its own next
// order. Clearing it again would free the slot during that fetch, and the fetches would
// exceed the rate of the weight store.
func (r *round) releaseSlot(pending *pendingOrder) {
	for _, slot := range r.in.Slots {
		holdsOrder := slot.Order != nil && slot.Service == r.in.Service.Name && *slot.Order == pending.order
		if slot.Index == pending.slot && holdsOrder {
			r.actions = append(r.actions, ReleaseSlot{Slot: slot.Index, Version: slot.Version})
		}
	}
}

// Done reports whether a replica is observed in the state that an order asks for.
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

// apply sets the engine to the state it will have after the order.
func (e *engine) apply(order *Order) {
	e.busy = true
	if order.Kind == LoadModel {
		e.model, e.version = order.Model, order.Version
	}
}

// placeOrder gives an order if the round has orders left and, for orders that fetch weights,
// a free slot. It reports whether it did.
func (r *round) placeOrder(e *engine, order Order) bool {
	if r.ordersLeft == 0 || (order.Kind != SetRole && len(r.freeSlots) == 0) {
		return false
	}
	r.ordersLeft--
	order.VM = e.VM
	e.apply(&order)
	if order.Kind == SetRole {
		r.placer.pending[e.VM] = pendingOrder{order: order, since: r.now, slot: -1}
		r.actions = append(r.actions, order)
		return true
	}
	slot := r.freeSlots[0]
	r.freeSlots = r.freeSlots[1:]
	r.placer.pending[e.VM] = pendingOrder{order: order, since: r.now, slot: slot.Index}
	r.actions = append(r.actions, SlotOrder{Order: order, Slot: slot.Index, Version: slot.Version})
	return true
}

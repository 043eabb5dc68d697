package placement

import (
	"math"
	"slices"

	"acaciacleat.example/core/document"
)

// target is the desired state of one model.
type target struct {
	model *document.Model
	// canaryReplicas is the number of replicas that should serve the canary; 0 once it is
	// rejected.
	canaryReplicas int
}

func (t *target) stableReplicas() int { return t.model.Replicas - t.canaryReplicas }

// wantsVersion reports whether a version is one of the desired ones.
func (t *target) wantsVersion(version string) bool {
	return version == t.model.Version || (t.canaryReplicas > 0 && version == t.model.Canary)
}

// enginesOf returns the present engines that serve the model or are loading it.
func (r *round) enginesOf(model string) []*engine {
	return slices.DeleteFunc(slices.Clone(r.engines), func(e *engine) bool { return !e.present || e.model != model })
}

func countVersion(engines []*engine, version string) int {
	return len(slices.DeleteFunc(slices.Clone(engines), func(e *engine) bool { return e.version != version }))
}

func countZone(engines []*engine, zone string) int {
	return len(slices.DeleteFunc(slices.Clone(engines), func(e *engine) bool { return e.Zone != zone }))
}

// minPerZone returns the minimum number of replicas that each zone should have.
func (r *round) minPerZone(model *document.Model) int {
	return model.Replicas / max(1, len(r.zones))
}

// nextVersion returns the version that the next replica to load should serve, and the reason for
// an order that changes a replica to it.
func (t *target) nextVersion(engines []*engine) (string, Reason) {
	if t.canaryReplicas > 0 && countVersion(engines, t.model.Version) >= t.stableReplicas() && countVersion(engines, t.model.Canary) < t.canaryReplicas {
		return t.model.Canary, ReasonCanary
	}
	return t.model.Version, ReasonVersion
}

// addReplicas loads the model on more engines while it has too few replicas.
func (r *round) addReplicas(t *target) {
	for {
		engines := r.enginesOf(t.model.Name)
		if len(engines) >= t.model.Replicas {
			return
		}
		version, _ := t.nextVersion(engines)
		e := r.engineToLoad(engines, "")
		if e == nil || !r.placeOrder(e, Order{Kind: LoadModel, Model: t.model.Name, Version: version, Reason: ReasonTooFew}) {
			return
		}
	}
}

// spreadOverZones loads the model in zones that have less than the minimum, on engines that
// can be spared. It removes no replica elsewhere, so that it can't undo another step's work.
func (r *round) spreadOverZones(t *target) {
	for _, zone := range r.zones {
		engines := r.enginesOf(t.model.Name)
		if countZone(engines, zone) >= r.minPerZone(t.model) {
			continue
		}
		version, _ := t.nextVersion(engines)
		if e := r.engineToLoad(engines, zone); e != nil {
			r.placeOrder(e, Order{Kind: LoadModel, Model: t.model.Name, Version: version, Reason: ReasonZone})
		}
	}
}

// engineToLoad returns the engine to load a model on, or nil. It looks in the given zone; if
// zone is empty, it prefers the zone with the fewest of the model's engines. It prefers an
// engine that serves no model over one that its own model can spare.
func (r *round) engineToLoad(engines []*engine, zone string) *engine {
	var best *engine
	var bestCost [2]int
	for _, e := range r.engines {
		if !r.canTakeOrder(e) || (zone != "" && e.Zone != zone) || slices.Contains(engines, e) || !r.isSpare(e) {
			continue
		}
		cost := [2]int{countZone(engines, e.Zone), 0}
		if e.model != "" {
			cost[1] = 1
		}
		if best == nil || slices.Compare(cost[:], bestCost[:]) < 0 {
			best, bestCost = e, cost
		}
	}
	return best
}

// isSpare reports whether an engine's model has enough replicas without it, in total and in
// the engine's zone. An engine without a model, or with one that the document does not name, is
// spare.
func (r *round) isSpare(e *engine) bool {
	for i := range r.targets {
		model := r.targets[i].model
		if model.Name != e.model {
			continue
		}
		engines := r.enginesOf(model.Name)
		return len(engines) > model.Replicas && countZone(engines, e.Zone) > r.minPerZone(model)
	}
	return true
}

// correctVersion changes replicas whose version is not desired or has too many replicas. It
// changes only a few at a time, since a replica serves no requests while it loads.
func (r *round) correctVersion(t *target) {
	engines := r.enginesOf(t.model.Name)
	loading := 0
	for _, e := range engines {
		if e.busy {
			loading++
		}
	}
	maxLoading := max(1, int(float64(t.model.Replicas)*r.placer.config.LoadingShare))
	for ; loading < maxLoading; loading++ {
		e, order := r.wrongVersion(t, engines)
		if e == nil || !r.placeOrder(e, order) {
			return
		}
	}
}

// wrongVersion returns the next replica whose version must change and the order for it, or nil if
// there is none.
func (r *round) wrongVersion(t *target, engines []*engine) (*engine, Order) {
	version, reason := t.nextVersion(engines)
	tooManyCanaries := t.canaryReplicas > 0 && countVersion(engines, t.model.Canary) > t.canaryReplicas
	for _, e := range engines {
		surplus := e.version != version && (reason == ReasonCanary || (tooManyCanaries && e.version == t.model.Canary))
		if r.canTakeOrder(e) && (!t.wantsVersion(e.version) || surplus) {
			if t.wantsVersion(e.version) {
				reason = ReasonCanary
			}
			return e, Order{Kind: LoadModel, Model: t.model.Name, Version: version, Reason: reason}
		}
	}
	return nil, Order{}
}

// addAdapters loads the adapters that a replica lacks, one at a time.
func (r *round) addAdapters(t *target) {
	for _, e := range r.enginesOf(t.model.Name) {
		if !r.canTakeOrder(e) {
			continue
		}
		for _, adapter := range t.model.Adapters {
			if !slices.Contains(e.Adapters, adapter) {
				r.placeOrder(e, Order{Kind: LoadAdapter, Model: t.model.Name, Adapter: adapter, Reason: ReasonAdapter})
				break
			}
		}
	}
}

// setRoles assigns a role to more replicas while fewer than its share have it.
func (r *round) setRoles(t *target) {
	for _, share := range r.in.Roles {
		if share.Model != t.model.Name {
			continue
		}
		missing := int(math.Round(share.Share * float64(t.model.Replicas)))
		engines := r.enginesOf(t.model.Name)
		for _, e := range engines {
			if e.Role == share.Role || r.placer.pending[e.VM].order.Role == share.Role {
				missing--
			}
		}
		for _, e := range engines {
			if missing > 0 && r.canTakeOrder(e) && !r.hasRoleShare(t, e.Role) {
				r.placeOrder(e, Order{Kind: SetRole, Model: t.model.Name, Role: share.Role, Reason: ReasonRole})
				missing--
			}
		}
	}
}

// hasRoleShare reports whether a role has a share of its own. Replicas are not moved from
// one share to another, which would oscillate.
func (r *round) hasRoleShare(t *target, role string) bool {
	return slices.ContainsFunc(r.in.Roles, func(s RoleShare) bool { return s.Model == t.model.Name && s.Role == role })
}

package placement

import (
	"math"
	"slices"

	"acaciacleat.example/core/document"
)

// target is what the document wants of one model.
type target struct {
	model *document.Model
	// canaries of the replicas should serve the canary; 0 once it was rejected.
	canaries int
}

func (t *target) stable() int { return t.model.Replicas - t.canaries }

// wanted reports whether a version is one of those to be served.
func (t *target) wanted(version string) bool {
	return version == t.model.Version || (t.canaries > 0 && version == t.model.Canary)
}

// of returns the engines that serve the model or will.
func (r *round) of(model string) []*engine {
	return slices.DeleteFunc(slices.Clone(r.engines), func(e *engine) bool { return !e.present || e.model != model })
}

func countVersion(engines []*engine, version string) int {
	return len(slices.DeleteFunc(slices.Clone(engines), func(e *engine) bool { return e.version != version }))
}

func countZone(engines []*engine, zone string) int {
	return len(slices.DeleteFunc(slices.Clone(engines), func(e *engine) bool { return e.Zone != zone }))
}

// zonePart is the number of replicas that each zone should have at least.
func (r *round) zonePart(model *document.Model) int {
	return model.Replicas / max(1, len(r.zones))
}

// nextVersion is the version that one more replica of the model should serve.
func (t *target) nextVersion(engines []*engine) (string, Reason) {
	if t.canaries > 0 && countVersion(engines, t.model.Version) >= t.stable() && countVersion(engines, t.model.Canary) < t.canaries {
		return t.model.Canary, ReasonCanary
	}
	return t.model.Version, ReasonVersion
}

// fill gives the model more engines while it has too few.
func (r *round) fill(t *target) {
	for {
		engines := r.of(t.model.Name)
		if len(engines) >= t.model.Replicas {
			return
		}
		version, _ := t.nextVersion(engines)
		e := r.donor(engines, "")
		if e == nil || !r.order(e, Order{Kind: LoadModel, Model: t.model.Name, Version: version, Reason: ReasonTooFew}) {
			return
		}
	}
}

// spreadOverZones loads the model in zones that have less than their part, on engines
// that nobody needs. It moves nothing away, so that it can't undo another step's work.
func (r *round) spreadOverZones(t *target) {
	for _, zone := range r.zones {
		engines := r.of(t.model.Name)
		if countZone(engines, zone) >= r.zonePart(t.model) {
			continue
		}
		version, _ := t.nextVersion(engines)
		if e := r.donor(engines, zone); e != nil {
			r.order(e, Order{Kind: LoadModel, Model: t.model.Name, Version: version, Reason: ReasonZone})
		}
	}
}

// donor returns the engine to load a model on, or nil: in the given zone, or, where that
// is empty, in the zone that has fewest of the model's engines; one that serves nothing
// before one that its own model can spare.
func (r *round) donor(engines []*engine, zone string) *engine {
	var best *engine
	var bestCost [2]int
	for _, e := range r.engines {
		if !r.free(e) || (zone != "" && e.Zone != zone) || slices.Contains(engines, e) || !r.spare(e) {
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

// spare reports whether an engine's model can do without it.
func (r *round) spare(e *engine) bool {
	for i := range r.targets {
		model := r.targets[i].model
		if model.Name != e.model {
			continue
		}
		engines := r.of(model.Name)
		return len(engines) > model.Replicas && countZone(engines, e.Zone) > r.zonePart(model)
	}
	return true
}

// correctVersion changes replicas whose version isn't wanted or of which there are too
// many, a few at a time: a replica that loads serves nobody.
func (r *round) correctVersion(t *target) {
	engines := r.of(t.model.Name)
	loading := 0
	for _, e := range engines {
		if e.busy {
			loading++
		}
	}
	most := max(1, int(float64(t.model.Replicas)*r.placer.config.LoadingShare))
	for ; loading < most; loading++ {
		e, order := r.wrongVersion(t, engines)
		if e == nil || !r.order(e, order) {
			return
		}
	}
}

// wrongVersion returns the next replica to change and the order for it.
func (r *round) wrongVersion(t *target, engines []*engine) (*engine, Order) {
	version, reason := t.nextVersion(engines)
	tooManyCanaries := t.canaries > 0 && countVersion(engines, t.model.Canary) > t.canaries
	for _, e := range engines {
		surplus := e.version != version && (reason == ReasonCanary || (tooManyCanaries && e.version == t.model.Canary))
		if r.free(e) && (!t.wanted(e.version) || surplus) {
			if t.wanted(e.version) {
				reason = ReasonCanary
			}
			return e, Order{Kind: LoadModel, Model: t.model.Name, Version: version, Reason: reason}
		}
	}
	return nil, Order{}
}

// addAdapters loads the adapters that a replica lacks, one at a time.
func (r *round) addAdapters(t *target) {
	for _, e := range r.of(t.model.Name) {
		if !r.free(e) {
			continue
		}
		for _, adapter := range t.model.Adapters {
			if !slices.Contains(e.Adapters, adapter) {
				r.order(e, Order{Kind: LoadAdapter, Model: t.model.Name, Adapter: adapter, Reason: ReasonAdapter})
				break
			}
		}
	}
}

// setRoles gives a role to more replicas while fewer have it than its share wants.
func (r *round) setRoles(t *target) {
	for _, share := range r.in.Roles {
		if share.Model != t.model.Name {
			continue
		}
		missing := int(math.Round(share.Share * float64(t.model.Replicas)))
		engines := r.of(t.model.Name)
		for _, e := range engines {
			if e.Role == share.Role || r.placer.pending[e.VM].order.Role == share.Role {
				missing--
			}
		}
		for _, e := range engines {
			if missing > 0 && r.free(e) && !r.hasShare(t, e.Role) {
				r.order(e, Order{Kind: SetRole, Model: t.model.Name, Role: share.Role, Reason: ReasonRole})
				missing--
			}
		}
	}
}

// hasShare reports whether a role has a share of its own: replicas are not taken from
// one share for another, which would go back and forth.
func (r *round) hasShare(t *target, role string) bool {
	return slices.ContainsFunc(r.in.Roles, func(s RoleShare) bool { return s.Model == t.model.Name && s.Role == role })
}

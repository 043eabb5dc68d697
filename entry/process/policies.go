package process

import (
	"time"

	"acaciacleat.example/core/routing"
	"acaciacleat.example/entry/fleet"
)

// naive is the policy that is blind to load for plain services too.
const naive = "naive"

// Policies returns the factory of the named routing policy; see routing.ByName for the
// names. Each of its policies has the same seed.
func Policies(name string, seed uint64) fleet.PolicyFactory {
	return func(string) routing.Policy {
		if name == naive {
			return &routing.Naive{}
		}
		return &byKind{name: name, seed: seed, plain: routing.NewPlain()}
	}
}

// newModels returns the named policy for models, or the blind one for an unknown name.
func newModels(name string, seed uint64) routing.Policy {
	models, ok := routing.ByName(name, seed)
	if !ok {
		return &routing.Naive{}
	}
	return routing.NewEjecting(models)
}

// byKind routes calls of models and of plain services by policies of their own. It goes
// by the request, because an agent can be in the list of VMs before its service's
// document has been read.
//
// The policy for models is made at the first call of one. It holds an estimate of caches
// of 2.3 MB: made at once, 27 services, most of them plain, took 62 MB of each entry.
type byKind struct {
	name   string
	seed   uint64
	models routing.Policy
	plain  *routing.Plain
}

// Choose implements routing.Policy.
func (b *byKind) Choose(request *routing.Request, replicas []routing.Replica, now time.Time) routing.Choice {
	if request.Model == "" {
		return b.plain.Choose(request, replicas, now)
	}
	if b.models == nil {
		b.models = newModels(b.name, b.seed)
	}
	return b.models.Choose(request, replicas, now)
}

// Finished implements routing.Learner. An agent has one service, so that the other
// policy does not know it or never asks.
func (b *byKind) Finished(agent string, failed bool, now time.Time) {
	if learner, ok := b.models.(routing.OutcomeObserver); ok {
		learner.Finished(agent, failed, now)
	}
	b.plain.Finished(agent, failed, now)
}

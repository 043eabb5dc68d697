package process

import (
	"time"

	"acaciacleat.example/core/routing"
	"acaciacleat.example/entry/fleet"
)

// naive is the name of the policy that ignores load. It applies to plain services too.
const naive = "naive"

// Policies returns the factory of the named routing policy; see routing.ByName for the names.
// All policies of the factory have the same seed.
func Policies(name string, seed uint64) fleet.PolicyFactory {
	return func(string) routing.Policy {
		if name == naive {
			return &routing.Naive{}
		}
		return &byKind{name: name, seed: seed, plain: routing.NewPlain()}
	}
}

// newModelPolicy returns the named policy for models. For an unknown name it returns the policy
// that ignores load.
func newModelPolicy(name string, seed uint64) routing.Policy {
	models, ok := routing.ByName(name, seed)
	if !ok {
		return &routing.Naive{}
	}
	return routing.NewEjecting(models)
}

// byKind routes calls of models and of plain services by separate policies. It decides by the
// request, because an agent may be in the list of VMs before its service's document was read.
//
// The policy for models is created at the first call of a model, because its estimate of
// caches takes 2.3 MB. With one for each of 27 services, most of them plain, an entry held
// 62 MB.
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
		b.models = newModelPolicy(b.name, b.seed)
	}
	return b.models.Choose(request, replicas, now)
}

// Finished implements routing.OutcomeObserver. It reports to both policies. An agent has only one
// service, so the policy of the other kind either does not know it or never uses the report.
func (b *byKind) Finished(agent string, failed bool, now time.Time) {
	if observer, ok := b.models.(routing.OutcomeObserver); ok {
		observer.Finished(agent, failed, now)
	}
	b.plain.Finished(agent, failed, now)
}

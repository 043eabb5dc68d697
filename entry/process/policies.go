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
		models, ok := routing.ByName(name, seed)
		if !ok || name == naive {
			return &routing.Naive{}
		}
		return &byKind{models: models, plain: routing.NewPlain()}
	}
}

// byKind routes calls of models and of plain services by policies of their own. It goes
// by the request, because an agent can be in the list of VMs before its service's
// document has been read.
type byKind struct {
	models routing.Policy
	plain  routing.Policy
}

// Choose implements routing.Policy.
func (b *byKind) Choose(request *routing.Request, replicas []routing.Replica, now time.Time) routing.Choice {
	if request.Model == "" {
		return b.plain.Choose(request, replicas, now)
	}
	return b.models.Choose(request, replicas, now)
}

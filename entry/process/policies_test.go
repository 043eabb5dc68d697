package process

import (
	"testing"
	"time"

	"acaciacleat.example/core/routing"
	"github.com/stretchr/testify/require"
)

// Symptom: an entry holds 62 MB of cache estimates at 27 services, most of them plain.
// Sequence: services are put; none of them has been asked for a model.
// Cause: each service gets a policy for models at once.
func TestPolicyForModelsIsMadeAtTheFirstCallOfOne(t *testing.T) {
	now := time.Now()
	policy := Policies(routing.NameCombined, 1)("parts").(*byKind)
	replicas := []routing.Replica{{Agent: "a", Incarnation: 1}}
	require.Zero(t, policy.Choose(&routing.Request{Service: "parts"}, replicas, now).Index)
	policy.Finished("a", true, now)
	require.Nil(t, policy.models)
	policy.Choose(&routing.Request{Service: "parts", Model: "m"}, replicas, now)
	policy.Finished("a", true, now)
	require.NotNil(t, policy.models)
}

func TestUnknownPolicyIsBlind(t *testing.T) {
	policy := Policies("unknown", 1)("s")
	replicas := []routing.Replica{{Agent: "a", Model: "m", Incarnation: 1}}
	require.Zero(t, policy.Choose(&routing.Request{Model: "m"}, replicas, time.Now()).Index)
}

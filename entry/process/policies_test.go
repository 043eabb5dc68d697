package process

import (
	"testing"
	"time"

	"acaciacleat.example/core/routing"
	"github.com/stretchr/testify/require"
)

// Guards against the memory of unused policies: a policy for models holds 2.3 MB of cache
// estimates, and with one for each of 27 mostly plain services an entry held 62 MB.
func TestModelPolicyIsCreatedAtFirstModelCall(t *testing.T) {
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

// Guards against an entry that can't route because its settings name an unknown policy.
func TestUnknownPolicyIgnoresLoad(t *testing.T) {
	policy := Policies("unknown", 1)("s")
	replicas := []routing.Replica{{Agent: "a", Model: "m", Incarnation: 1}}
	require.Zero(t, policy.Choose(&routing.Request{Model: "m"}, replicas, time.Now()).Index)
}

package process

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"acaciacleat.example/agent/server"
	"acaciacleat.example/core/call"
	"acaciacleat.example/core/scheduling"
	"acaciacleat.example/peers/engine"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/vmlist"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

const (
	capacity = 1000
	// testTimeout bounds the waits of a test. Only a failing test reaches it.
	testTimeout  = 20 * time.Second
	pollInterval = 5 * time.Millisecond
)

// orphanEngine is an engine that holds memory for a request without a reservation.
type orphanEngine struct{ engine.Engine }

func (orphanEngine) Cancel(context.Context, call.ID) error { return nil }

func (orphanEngine) Report(context.Context) (engine.Report, error) {
	held := []engine.Allocation{{ID: call.ID{7}.String(), Tokens: 300}}
	return engine.Report{Model: "m", CapacityTokens: capacity, Allocations: held}, nil
}

// emptyVMList is an empty list of VMs.
type emptyVMList struct{}

func (emptyVMList) List(context.Context) ([]vmlist.VM, error) { return nil, nil }

func get(t *testing.T, url string) (status int, body []byte) {
	t.Helper()
	answer, err := http.Get(url)
	require.NoError(t, err)
	defer answer.Body.Close()
	body, err = io.ReadAll(answer.Body)
	require.NoError(t, err)
	return answer.StatusCode, body
}

// Operators must be able to see why calls wait at an agent, here because its engine holds
// orphaned memory, and that an agent is leaving.
func TestAgentServesHealthAndVariables(t *testing.T) {
	agent, err := Start(server.Config{
		VM: "agent", Service: "s", Model: "m", Listen: "127.0.0.1:0", Incarnation: 3,
		Keys:   link.NewKeys([]byte("k"), nil),
		Engine: orphanEngine{},
		Queue:  scheduling.NewFIFO(10),
		Log:    zerolog.Nop(),
	}, emptyVMList{})
	require.NoError(t, err)
	defer agent.Stop()
	require.Empty(t, agent.MetricsAddr())
	require.NoError(t, agent.ServeMetrics("127.0.0.1:0", zerolog.Nop()))
	base := "http://" + agent.MetricsAddr()
	vars := awaitOrphan(t, base)
	require.EqualValues(t, 0, vars["queue_length"])
	require.EqualValues(t, 0, vars["live_calls"])
	require.EqualValues(t, 0, vars["memory_used"])
	require.EqualValues(t, capacity-300, vars["memory_free"])
	require.EqualValues(t, capacity, vars["memory_capacity"])
	require.EqualValues(t, 0, vars["prefill_rate"])
	require.EqualValues(t, 0, vars["reservations_expired"])
	require.Equal(t, false, vars["engine_down"])
	require.Equal(t, true, vars["ready"])
	require.Contains(t, vars, "memstats")
	status, _ := get(t, base+"/readyz")
	require.Equal(t, http.StatusOK, status)
	agent.Leave()
	status, _ = get(t, base+"/readyz")
	require.Equal(t, http.StatusServiceUnavailable, status)
	status, _ = get(t, base+"/healthz")
	require.Equal(t, http.StatusOK, status)
}

// awaitOrphan returns the variables once the agent has read the engine's first report.
func awaitOrphan(t *testing.T, base string) map[string]any {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for {
		status, body := get(t, base+"/debug/vars")
		require.Equal(t, http.StatusOK, status)
		var vars map[string]any
		require.NoError(t, json.Unmarshal(body, &vars))
		if vars["orphans_cancelled"].(float64) > 0 {
			return vars
		}
		require.True(t, time.Now().Before(deadline), "no report was read")
		time.Sleep(pollInterval)
	}
}

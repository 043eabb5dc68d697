package gateway

import (
	"context"
	"testing"
	"time"

	"acaciacleat.example/core/attempt"
	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/result"
	"acaciacleat.example/entry/quarantine"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// holdingQuarantine holds all requests back.
type holdingQuarantine struct{ Quarantine }

func (holdingQuarantine) Held(quarantine.Request) (time.Duration, bool) { return time.Minute, true }

// currentDirectory is a directory that has missed nothing.
type currentDirectory struct{ Directory }

func (currentDirectory) Current() bool                { return true }
func (currentDirectory) AwaitCurrent(context.Context) {}

// Guards against a prompt that is sent although it was held back while the memory for it was reserved.
func TestNothingIsSentOnceTheRequestIsHeldBack(t *testing.T) {
	now := time.Now()
	upstream := dispatch.Upstream{ID: "engine-1", Service: "model", Address: "127.0.0.1:1", Zone: "zone-a", Slots: 1}
	fleet := dispatch.NewFleet(dispatch.Settings{Rule: dispatch.Predicted})
	fleet.ApplyChanges(now, []dispatch.Change{{Upstream: upstream}}, true)
	g := New(Config{
		Fleet: fleet, Clients: NewClients(), Reserver: forbiddenReserver{t}, Metrics: NewMetrics(), Log: zerolog.Nop(),
		Budgets: NewBudgets(Allowance{}, 1), Quarantine: holdingQuarantine{}, Directory: currentDirectory{},
	})
	e := chosenExchange(g, now, dispatch.Choice{Upstream: upstream})
	action := e.send()
	require.Contains(t, e.attempts[0].failure.Detail, "held back")
	require.Zero(t, fleet.Excluded(now))
	require.Equal(t, attempt.Fail, action.Kind)
	require.Equal(t, result.RequestHeldBack, action.Err.Code)
	require.Equal(t, result.NotRun, action.Err.Execution)
	require.Equal(t, time.Minute, action.Err.RetryAfter)
}

package gateway

import (
	"net/http/httptest"
	"testing"
	"time"

	"acaciacleat.example/core/attempt"
	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/result"
	"acaciacleat.example/core/routes"
	"acaciacleat.example/peers/service"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// forbiddenReserver fails the test if anything is sent to an upstream.
type forbiddenReserver struct{ t *testing.T }

func (r forbiddenReserver) call(what string) service.Call {
	r.t.Errorf("%s was sent", what)
	return service.Call{}
}

func (r forbiddenReserver) Reserve(dispatch.Upstream, dispatch.Helper, time.Duration) service.Call {
	return r.call("a reservation")
}
func (r forbiddenReserver) Release(dispatch.Upstream, string) service.Call {
	return r.call("a release")
}
func (r forbiddenReserver) Probe(dispatch.Upstream) service.Call { return r.call("a probe") }

// chosenExchange returns an exchange whose upstreams have just been chosen.
func chosenExchange(g *Gateway, now time.Time, choice dispatch.Choice) *exchange {
	e := &exchange{
		g: g, r: httptest.NewRequest("POST", "/ask/x", nil), route: &routes.Route{Kind: routes.Streaming}, service: &routes.Service{Name: "model"},
		deadline: now.Add(time.Minute), choice: choice, chosenAt: now, attempts: []attemptRecord{{choice: choice}},
		retries: g.config.Budgets.ForService("model"),
	}
	e.machine = attempt.New(attempt.Request{Deadline: e.deadline, Retries: e.retries, ChargeEveryRetry: true})
	e.machine.Start(now)
	e.machine.Chosen(now, attempt.Replica{Agent: choice.Upstream.Incarnation()})
	return e
}

// Guards against a probe, a memory order or a request that is sent into a zone which was evacuated after its
// upstreams were chosen.
func TestNothingIsSentOnceTheZoneIsEvacuated(t *testing.T) {
	helper := dispatch.Upstream{ID: "helper", Service: "model", Address: "127.0.0.1:1", Zone: "zone-b", Slots: 1}
	primary := dispatch.Upstream{ID: "primary", Service: "model", Address: "127.0.0.1:1", Zone: "zone-a", Slots: 1}
	for _, zone := range []string{primary.Zone, helper.Zone} {
		t.Run(zone, func(t *testing.T) {
			now := time.Now()
			fleet := dispatch.NewFleet(dispatch.Settings{Rule: dispatch.Predicted})
			fleet.ApplyChanges(now, []dispatch.Change{{Upstream: primary}, {Upstream: helper}}, true)
			g := New(Config{
				Fleet: fleet, Clients: NewClients(), Reserver: forbiddenReserver{t}, Metrics: NewMetrics(), Log: zerolog.Nop(),
				Budgets: NewBudgets(Allowance{}, 1),
			})
			choice := dispatch.Choice{Upstream: primary, Helpers: []dispatch.Helper{{Upstream: helper, Reservation: "r", Tokens: 5}}}
			fleet.SetEvacuated(now, []string{primary.Zone, helper.Zone})
			sound := g.probeAll(t.Context(), choice)
			fleet.SetEvacuated(now, []string{zone})
			e := chosenExchange(g, now, choice)
			action := e.send()
			g.Wait(t.Context())
			require.False(t, sound)
			require.Equal(t, attempt.None, action.Kind)
			require.Equal(t, attempt.Choose, e.machine.Timer(time.Now()).Kind, "it may go elsewhere: nothing was sent")
			require.Equal(t, result.NotRun, e.machine.Execution())
			require.Contains(t, e.attempts[0].failure.Detail, "evacuated")
			require.Zero(t, fleet.Excluded(now))
		})
	}
}

package gateway

import (
	"net/http/httptest"
	"testing"
	"time"

	"acaciacleat.example/core/attempt"
	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/result"
	"github.com/stretchr/testify/require"
)

// Guards against a process that wakes from a freeze and sends to a cold upstream on a permit from before.
func TestOldPermitIsNotUsed(t *testing.T) {
	for name, c := range map[string]struct {
		cold    bool
		age     time.Duration
		expired bool
	}{
		"in time":  {true, permitValidity, false},
		"too late": {true, permitValidity + time.Millisecond, true},
		"not cold": {false, time.Hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			g := New(Config{Fleet: dispatch.NewFleet(dispatch.Settings{}), Metrics: NewMetrics(), Now: func() time.Time { return now }})
			e := &exchange{g: g, r: httptest.NewRequest("POST", "/ask", nil), grantedAt: now.Add(-c.age), attempts: make([]attemptRecord, 1)}
			e.choice.Explanation.Cold = c.cold
			e.sendCount = 1
			e.machine = attempt.New(attempt.Request{Deadline: now.Add(time.Second), Retries: NewBudgets(Allowance{}, 1).ForService("model")})
			e.machine.Start(now)
			e.machine.Chosen(now, attempt.Replica{Agent: "u"})
			e.machine.Accepted(now, 1)
			action, expired := e.permitExpired()
			require.Equal(t, c.expired, expired)
			if expired {
				require.Equal(t, attempt.None, action.Kind)
				require.Equal(t, attempt.Choose, e.machine.Timer(now).Kind, "nothing was sent, so it goes on without a retry")
				require.Equal(t, result.NotRun, e.machine.Execution())
			}
		})
	}
}

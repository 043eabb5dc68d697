package leaserow

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"acaciacleat.example/core/lease"
	"acaciacleat.example/peers/table"
	"acaciacleat.example/standin/faults"
	"acaciacleat.example/standin/platform"
)

var (
	key      = table.Key{Table: "leases", Row: "placement"}
	settings = lease.DefaultSettings
)

// Two processes compete for the lease while every call of the table meets a fault. They must never
// both hold it. Once the table works again, one must hold it, and after a planned stop of the holder
// the other must take over within two poll intervals.
func TestTwoRunnersUnderFaults(t *testing.T) {
	cases := []struct {
		fault faults.Fault
		// heldDuringFault is set if calls succeed in spite of the fault, so that a process holds the
		// lease.
		heldDuringFault bool
	}{
		{faults.Fault{Kind: faults.Outage}, false},
		{faults.Fault{Kind: faults.Die}, false},
		{faults.Fault{Kind: faults.Silent}, false},
		{faults.Fault{Kind: faults.AnswerLost}, false},
		{faults.Fault{Kind: faults.Slow, Delay: time.Second}, true},
	}
	for _, c := range cases {
		t.Run(string(c.fault.Kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := platform.New(1)
				runners, stops := [2]*Runner{}, [2]context.CancelFunc{}
				var running sync.WaitGroup
				for i, self := range []string{"vm-1/7", "vm-2/9"} {
					runner, err := New(p.Table, key, self, settings)
					require.NoError(t, err)
					ctx, stop := context.WithCancel(t.Context())
					running.Go(func() { runner.Run(ctx) })
					runners[i], stops[i] = runner, stop
				}
				// watch checks for d that at most one process holds the lease. It returns the last
				// holder's index, or -1 if there was none, and the grant.
				watch := func(d time.Duration) (holder int, held lease.Grant) {
					for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(settings.RetryEvery / 5) {
						synctest.Wait()
						first, a := runners[0].Held()
						second, b := runners[1].Held()
						require.False(t, a && b)
						holder, held = 0, first
						if b {
							holder, held = 1, second
						} else if !a {
							holder = -1
						}
					}
					return holder, held
				}
				holder, before := watch(settings.PollEvery)
				require.NotEqual(t, -1, holder)

				c.fault.Operation = "*"
				p.Faults.Set(c.fault)
				holder, _ = watch(3 * settings.Length)
				require.Equal(t, c.heldDuringFault, holder >= 0)
				p.Faults.Set()
				holder, after := watch(2 * settings.Length)
				require.NotEqual(t, -1, holder)
				require.GreaterOrEqual(t, after.Fence, before.Fence)
				fence, err := ReadFence(t.Context(), p.Table, key)
				require.NoError(t, err)
				require.Equal(t, after.Fence, fence)

				stops[holder]()
				next, last := watch(2 * settings.PollEvery)
				require.Equal(t, 1-holder, next)
				require.Equal(t, after.Fence+1, last.Fence)
				stops[next]()
				running.Wait()
			})
		})
	}
}

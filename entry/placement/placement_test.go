package placement

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"acaciacleat.example/agent/orders"
	"acaciacleat.example/core/document"
	"acaciacleat.example/core/lease"
	"acaciacleat.example/core/result"
	"acaciacleat.example/core/routing"
	"acaciacleat.example/peers/engine"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/table"
	"acaciacleat.example/peers/table/leaserow"
	"acaciacleat.example/standin/faults"
	"acaciacleat.example/standin/platform"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// slotCount is the number of concurrent fetches: 0.8 of the weight store's rate of 250, divided
// by the rate of one fetch, 100.
const slotCount = 2

// loadTime is how long an engine takes to load a model.
const loadTime = 20 * time.Second

// cluster holds engines, the order executors of their agents, and the platform. It implements
// agents.
type cluster struct {
	t           *testing.T
	platform    *platform.Platform
	service     document.Service
	engines     map[string]*fakeEngine
	executors   map[string]*orders.Executor
	replicaList []routing.Replica
	start       time.Time
	// agentWithoutReport is the VM of an agent that has not received its engine's report yet.
	agentWithoutReport string
	// intercept, if set, is called for each order; the order reaches its agent when intercept calls
	// execute. An error stands for a lost answer.
	intercept func(vm string, execute func() error) error

	mu          sync.Mutex
	fetching    int
	maxFetching int
}

// fakeEngine executes every order. It records the fencing numbers of the orders but does not check
// them.
type fakeEngine struct {
	engine.Engine
	cluster *cluster

	mu     sync.Mutex
	report engine.Report
	fences []uint64
}

func (e *fakeEngine) Order(_ context.Context, order engine.Order) error {
	e.mu.Lock()
	e.fences = append(e.fences, order.Fence)
	e.mu.Unlock()
	e.cluster.fetch(1)
	time.Sleep(loadTime)
	e.cluster.fetch(-1)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.Model, e.report.Version = order.Name, order.Version
	return nil
}

// fetch adds n to the number of concurrent fetches.
func (c *cluster) fetch(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fetching += n
	c.maxFetching = max(c.maxFetching, c.fetching)
}

// maxFetches returns the largest number of concurrent fetches so far.
func (c *cluster) maxFetches() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maxFetching
}

func newCluster(t *testing.T, engines int, model document.Model) *cluster {
	c := &cluster{
		t: t, platform: platform.New(250), start: time.Now(),
		engines: map[string]*fakeEngine{}, executors: map[string]*orders.Executor{},
		service: document.Service{Name: "chat", Kind: document.KindModel, Models: []document.Model{model}},
	}
	for i := range engines {
		vm := fmt.Sprintf("vm-%d", i)
		c.engines[vm] = &fakeEngine{cluster: c, report: engine.Report{Model: "m", Version: "1"}}
		c.replicaList = append(c.replicaList, routing.Replica{Agent: vm, Zone: fmt.Sprint("zone-", i%3)})
		c.startAgent(vm)
	}
	c.setFence(1)
	return c
}

func (c *cluster) startAgent(vm string) {
	c.executors[vm] = orders.New(orders.Config{
		Engine: c.engines[vm],
		ReadFence: func(ctx context.Context) (uint64, error) {
			return leaserow.ReadFence(ctx, c.platform.Table, leaserow.Placement("chat"))
		},
		Log: zerolog.Nop(),
	})
}

// setFence writes the lease's row as a holder with this fencing number does.
func (c *cluster) setFence(fence uint64) {
	value, err := json.Marshal(lease.Record{Holder: fmt.Sprint("entry-", fence), Fence: fence})
	require.NoError(c.t, err)
	write := table.Write{Key: leaserow.Placement("chat"), Value: value}
	_, err = c.platform.Table.Commit(c.t.Context(), table.Tx{Token: fmt.Sprint("lease-", fence), Writes: []table.Write{write}})
	require.NoError(c.t, err)
}

func (c *cluster) clock() int64 { return int64(time.Since(c.start)) }

func (c *cluster) replicas(string) []routing.Replica {
	return append([]routing.Replica(nil), c.replicaList...)
}

func (c *cluster) status(_ context.Context, vm string) (*link.Status, error) {
	if vm == c.agentWithoutReport {
		return c.executors[vm].Status(time.Now()), nil
	}
	e := c.engines[vm]
	e.mu.Lock()
	defer e.mu.Unlock()
	c.executors[vm].RecordReport(time.Now(), e.report, nil)
	return c.executors[vm].Status(time.Now()), nil
}

func (c *cluster) sendOrder(ctx context.Context, vm string, order link.Order) (*link.OrderAnswer, error) {
	order.Stamp = c.clock()
	refusal := error(nil)
	execute := func() error {
		refusal = c.executors[vm].Accept(context.WithoutCancel(ctx), c.clock, &order)
		return nil
	}
	intercept := c.intercept
	if intercept == nil {
		intercept = func(_ string, execute func() error) error { return execute() }
	}
	if err := intercept(vm, execute); err != nil {
		return nil, err
	}
	if refusal != nil {
		return &link.OrderAnswer{Detail: refusal.Error()}, nil
	}
	return &link.OrderAnswer{OK: true}, nil
}

// fakeLease is a lease that a placer considers as held until ended is set.
type fakeLease struct {
	fence uint64
	ended bool
}

func (l *fakeLease) Held() (lease.Grant, bool) { return lease.Grant{Fence: l.fence}, !l.ended }

func (c *cluster) newPlacer(l *fakeLease) *placer {
	settings := DefaultSettings()
	settings.FetchRate = 100
	settings.Decisions.Cooldown = 0
	settings.Decisions.MinRequests = 20
	settings.Decisions.LoadingShare = 1
	config := &Config{Table: c.platform.Table, Weights: c.platform.Weights, Settings: settings, Log: zerolog.Nop()}
	return newPlacer("chat", fmt.Sprint("life-", l.fence), config, l, c)
}

// runRounds runs n rounds of each holder in turn, 5 s apart.
func (c *cluster) runRounds(n int, holders ...*placer) {
	for range n {
		for _, p := range holders {
			p.round(c.t.Context(), &c.service)
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
	}
}

func (c *cluster) countVersion(version string) (n int) {
	for _, e := range c.engines {
		e.mu.Lock()
		if e.report.Model == "m" && e.report.Version == version {
			n++
		}
		e.mu.Unlock()
	}
	return n
}

// Guards against two processes that both act as holder, because the first has not noticed
// that its lease expired: replicas must not switch back and forth between versions, and the
// fetches must not exceed the weight store's rate. Agents must refuse the former holder, and
// a slot must go to one of them only.
func TestTwoConcurrentLeaseHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 8, document.Model{Name: "m", Version: "2", Replicas: 8})
		former, holder := c.newPlacer(&fakeLease{fence: 1}), c.newPlacer(&fakeLease{fence: 2})
		c.runRounds(3, former)
		require.NotZero(t, c.maxFetches())
		c.setFence(2)
		c.runRounds(200, holder, former)
		require.Equal(t, 8, c.countVersion("2"))
		require.Equal(t, slotCount, c.maxFetches())
		for vm, e := range c.engines {
			require.IsNonDecreasing(t, e.fences, vm)
		}
	})
}

// Guards against the return of a replaced version when a holder is paused between its last check
// of the lease and its order. The agent must refuse the order even if it has received none
// from a newer holder.
func TestOrderOfPausedHolderIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, document.Model{Name: "m", Version: "2", Replicas: 1})
		l := &fakeLease{fence: 1}
		c.intercept = func(_ string, execute func() error) error {
			time.Sleep(time.Minute)
			l.ended = true
			return execute()
		}
		c.newPlacer(l).round(t.Context(), &c.service)
		require.Empty(t, c.engines["vm-0"].fences)
		c.intercept = nil
		c.setFence(2)
		c.runRounds(20, c.newPlacer(&fakeLease{fence: 2}))
		require.Equal(t, []uint64{2}, c.engines["vm-0"].fences, "the next holder finds the order in its slot")
		require.Equal(t, 1, c.countVersion("2"))
	})
}

// Guards against an agent that executes orders of a former lease holder because it has forgotten
// the newer fencing number in a restart.
func TestRestartedAgentReadsTheFenceFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, document.Model{Name: "m", Version: "2", Replicas: 1})
		c.setFence(2)
		c.startAgent("vm-0")
		former := c.newPlacer(&fakeLease{fence: 1})
		c.runRounds(10, former)
		require.Empty(t, c.engines["vm-0"].fences)
		require.Contains(t, former.history.steps[0].Outcome, lease.ErrStaleFence.Error())
	})
}

// Guards against a replica that stays unloaded for minutes because its order, or the answer to
// it, was lost.
func TestOrderWithLostAnswerIsSentAgain(t *testing.T) {
	for _, arrives := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 1, document.Model{Name: "m", Version: "2", Replicas: 1})
			lost := false
			c.intercept = func(_ string, execute func() error) error {
				if !lost {
					lost = true
					if arrives {
						_ = execute()
					}
					return errors.New("lost")
				}
				return execute()
			}
			c.runRounds(10, c.newPlacer(&fakeLease{fence: 1}))
			require.Equal(t, 1, c.countVersion("2"))
			require.Len(t, c.engines["vm-0"].fences, 1)
		})
	}
}

// Guards against a new lease holder that starts a rolled-back canary again, and against keeping
// the rejection after the operator has removed the canary and named it again.
func TestFailingCanaryStaysRolledBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, document.Model{Name: "m", Version: "1", Canary: "2", CanaryShare: 0.25, Replicas: 4})
		first := c.newPlacer(&fakeLease{fence: 1})
		c.runRounds(10, first)
		require.Equal(t, 1, c.countVersion("2"))
		for vm, x := range c.executors {
			end := link.End{FirstTokenMs: 100}
			if c.engines[vm].report.Version == "2" {
				end.Code = result.UpstreamFailed
			}
			for range 30 {
				x.RecordEnd(time.Now(), &end)
			}
		}
		c.runRounds(10, first)
		require.Equal(t, 4, c.countVersion("1"))

		c.setFence(2)
		next := c.newPlacer(&fakeLease{fence: 2})
		c.runRounds(50, next)
		require.Empty(t, next.history.steps, "the next holder doesn't retry the rejected canary")

		c.service.Models[0].Canary = ""
		c.runRounds(1, next)
		c.service.Models[0].Canary = "2"
		c.runRounds(10, next)
		require.Equal(t, 1, c.countVersion("2"), "the operator removed the canary and named it again")
	})
}

// Guards against needless loads after each change of holder: in the new holder's first round
// an agent may not have its engine's report yet, and such an engine must not count as one
// that serves no model.
func TestNoOrdersWhileStateIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, document.Model{Name: "m", Version: "1", Replicas: 4})
		spare := c.engines["vm-3"]
		spare.report = engine.Report{Model: "spare"}
		c.agentWithoutReport = "vm-2"
		p := c.newPlacer(&fakeLease{fence: 1})
		c.runRounds(2, p)
		require.Empty(t, p.history.steps)
		c.agentWithoutReport = ""
		c.platform.Faults.Set(faults.Fault{Operation: platform.OpTableScan, Kind: faults.Outage})
		c.runRounds(2, p)
		require.Empty(t, p.history.steps, "the table is down")
		c.platform.Faults.Set()
		c.runRounds(10, p)
		require.Equal(t, 4, c.countVersion("1"))
		require.Len(t, p.history.steps, 1)
	})
}

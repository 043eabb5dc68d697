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

// slots is the number of fetches that the weight store's rate allows: 0.8 of 250 over 100.
const slots = 2

// loadTime is how long an engine of these tests loads.
const loadTime = 20 * time.Second

// world is engines with their agents' executors, and the platform.
type world struct {
	t         *testing.T
	platform  *platform.Platform
	service   document.Service
	engines   map[string]*fakeEngine
	executors map[string]*orders.Executor
	list      []routing.Replica
	start     time.Time
	// untold is an agent that has not read its engine's report yet.
	untold string
	// deliver, if set, stands between a holder and an agent.
	deliver func(vm string, take func() error) error

	mu       sync.Mutex
	fetching int
	most     int
}

// fakeEngine ignores fencing numbers.
type fakeEngine struct {
	engine.Engine
	world *world

	mu     sync.Mutex
	report engine.Report
	fences []uint64
}

func (e *fakeEngine) Order(_ context.Context, order engine.Order) error {
	e.mu.Lock()
	e.fences = append(e.fences, order.Fence)
	e.mu.Unlock()
	e.world.fetch(1)
	time.Sleep(loadTime)
	e.world.fetch(-1)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.Model, e.report.Version = order.Name, order.Version
	return nil
}

func (w *world) fetch(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fetching += n
	w.most = max(w.most, w.fetching)
}

// mostFetches is the largest number of fetches that there was at once.
func (w *world) mostFetches() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.most
}

func newWorld(t *testing.T, engines int, model document.Model) *world {
	w := &world{
		t: t, platform: platform.New(250), start: time.Now(),
		engines: map[string]*fakeEngine{}, executors: map[string]*orders.Executor{},
		service: document.Service{Name: "chat", Kind: document.KindModel, Models: []document.Model{model}},
	}
	for i := range engines {
		vm := fmt.Sprintf("vm-%d", i)
		w.engines[vm] = &fakeEngine{world: w, report: engine.Report{Model: "m", Version: "1"}}
		w.list = append(w.list, routing.Replica{Agent: vm, Zone: fmt.Sprint("zone-", i%3)})
		w.startAgent(vm)
	}
	w.setFence(1)
	return w
}

func (w *world) startAgent(vm string) {
	w.executors[vm] = orders.New(orders.Config{
		Engine: w.engines[vm],
		ReadFence: func(ctx context.Context) (uint64, error) {
			return leaserow.ReadFence(ctx, w.platform.Table, leaserow.Placement("chat"))
		},
		Log: zerolog.Nop(),
	})
}

// setFence writes the lease's row as a holder with this number would.
func (w *world) setFence(fence uint64) {
	value, err := json.Marshal(lease.Record{Holder: fmt.Sprint("entry-", fence), Fence: fence})
	require.NoError(w.t, err)
	write := table.Write{Key: leaserow.Placement("chat"), Value: value}
	_, err = w.platform.Table.Commit(w.t.Context(), table.Tx{Token: fmt.Sprint("lease-", fence), Writes: []table.Write{write}})
	require.NoError(w.t, err)
}

func (w *world) clock() int64 { return int64(time.Since(w.start)) }

func (w *world) replicas(string) []routing.Replica { return append([]routing.Replica(nil), w.list...) }

func (w *world) status(_ context.Context, vm string) (*link.Status, error) {
	if vm == w.untold {
		return w.executors[vm].Status(time.Now()), nil
	}
	e := w.engines[vm]
	e.mu.Lock()
	defer e.mu.Unlock()
	w.executors[vm].Reported(time.Now(), e.report, nil)
	return w.executors[vm].Status(time.Now()), nil
}

func (w *world) give(ctx context.Context, vm string, order link.Order) (*link.OrderAnswer, error) {
	order.Stamp = w.clock()
	refusal := error(nil)
	take := func() error {
		refusal = w.executors[vm].Take(context.WithoutCancel(ctx), w.clock, &order)
		return nil
	}
	deliver := w.deliver
	if deliver == nil {
		deliver = func(_ string, take func() error) error { return take() }
	}
	if err := deliver(vm, take); err != nil {
		return nil, err
	}
	if refusal != nil {
		return &link.OrderAnswer{Detail: refusal.Error()}, nil
	}
	return &link.OrderAnswer{OK: true}, nil
}

// term is a lease that this process believes to hold.
type term struct {
	fence uint64
	ended bool
}

func (l *term) Held() (lease.Grant, bool) { return lease.Grant{Fence: l.fence}, !l.ended }

func (w *world) holder(l *term) *placer {
	settings := DefaultSettings()
	settings.FetchRate = 100
	settings.Decisions.Cooldown = 0
	settings.Decisions.MinRequests = 20
	settings.Decisions.LoadingShare = 1
	config := &Config{Table: w.platform.Table, Weights: w.platform.Weights, Settings: settings, Log: zerolog.Nop()}
	return newPlacer("chat", fmt.Sprint("life-", l.fence), config, l, w)
}

// rounds lets holders act in turn.
func (w *world) rounds(n int, holders ...*placer) {
	for range n {
		for _, p := range holders {
			p.round(w.t.Context(), &w.service)
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
	}
}

func (w *world) count(version string) (n int) {
	for _, e := range w.engines {
		e.mu.Lock()
		if e.report.Model == "m" && e.report.Version == version {
			n++
		}
		e.mu.Unlock()
	}
	return n
}

// Symptom: replicas go back and forth between versions, and loads take more than the
// weight store gives.
// Sequence: a holder's lease lapses without its noticing; another takes the lease; both
// give orders. Cause: agents that obey both, and slots that both take.
func TestTwoHoldersByMistake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 8, document.Model{Name: "m", Version: "2", Replicas: 8})
		former, holder := w.holder(&term{fence: 1}), w.holder(&term{fence: 2})
		w.rounds(3, former)
		require.NotZero(t, w.mostFetches())
		w.setFence(2)
		w.rounds(200, holder, former)
		require.Equal(t, 8, w.count("2"))
		require.Equal(t, slots, w.mostFetches())
		for vm, e := range w.engines {
			require.IsNonDecreasing(t, e.fences, vm)
		}
	})
}

// Symptom: a version that was replaced comes back. Sequence: a holder is paused after its
// last look at the lease and before it sends an order; another holder has ended its work
// meanwhile, or not begun it. Cause: an agent that obeys an old order because it has heard
// of no newer holder.
func TestOrderOfPausedHolderIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, document.Model{Name: "m", Version: "2", Replicas: 1})
		l := &term{fence: 1}
		w.deliver = func(_ string, take func() error) error {
			time.Sleep(time.Minute)
			l.ended = true
			return take()
		}
		w.holder(l).round(t.Context(), &w.service)
		require.Empty(t, w.engines["vm-0"].fences)
		w.deliver = nil
		w.setFence(2)
		w.rounds(20, w.holder(&term{fence: 2}))
		require.Equal(t, []uint64{2}, w.engines["vm-0"].fences, "the next holder finds the order in its slot")
		require.Equal(t, 1, w.count("2"))
	})
}

func TestRestartedAgentReadsTheFenceFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, document.Model{Name: "m", Version: "2", Replicas: 1})
		w.setFence(2)
		w.startAgent("vm-0")
		former := w.holder(&term{fence: 1})
		w.rounds(10, former)
		require.Empty(t, w.engines["vm-0"].fences)
		require.Contains(t, former.history.steps[0].Outcome, lease.ErrStaleFence.Error())
	})
}

// Symptom: a replica is not loaded for minutes. Sequence: the answer to an order, or the
// order, is lost. Cause: taking it for given.
func TestOrderWithLostAnswerIsSentAgain(t *testing.T) {
	for _, arrives := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 1, document.Model{Name: "m", Version: "2", Replicas: 1})
			lost := false
			w.deliver = func(_ string, take func() error) error {
				if !lost {
					lost = true
					if arrives {
						_ = take()
					}
					return errors.New("lost")
				}
				return take()
			}
			w.rounds(10, w.holder(&term{fence: 1}))
			require.Equal(t, 1, w.count("2"))
			require.Len(t, w.engines["vm-0"].fences, 1)
		})
	}
}

func TestBadCanaryIsRolledBackForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4, document.Model{Name: "m", Version: "1", Canary: "2", CanaryShare: 0.25, Replicas: 4})
		first := w.holder(&term{fence: 1})
		w.rounds(10, first)
		require.Equal(t, 1, w.count("2"))
		for vm, x := range w.executors {
			end := link.End{FirstTokenMs: 100}
			if w.engines[vm].report.Version == "2" {
				end.Code = result.UpstreamFailed
			}
			for range 30 {
				x.Ended(time.Now(), &end)
			}
		}
		w.rounds(10, first)
		require.Equal(t, 4, w.count("1"))

		w.setFence(2)
		next := w.holder(&term{fence: 2})
		w.rounds(50, next)
		require.Empty(t, next.history.steps, "the next holder doesn't try it again")

		w.service.Models[0].Canary = ""
		w.rounds(1, next)
		w.service.Models[0].Canary = "2"
		w.rounds(10, next)
		require.Equal(t, 1, w.count("2"), "the operator named it anew")
	})
}

// Symptom: after each change of holder replicas are loaded anew for no reason.
// Sequence: the new holder's first round comes before an agent has read its engine's report.
// Cause: an engine of which nothing is known is taken for one that serves nothing.
func TestNothingIsOrderedWithoutKnowledge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4, document.Model{Name: "m", Version: "1", Replicas: 4})
		spare := w.engines["vm-3"]
		spare.report = engine.Report{Model: "spare"}
		w.untold = "vm-2"
		p := w.holder(&term{fence: 1})
		w.rounds(2, p)
		require.Empty(t, p.history.steps)
		w.untold = ""
		w.platform.Faults.Set(faults.Fault{Operation: platform.OpTableScan, Kind: faults.Outage})
		w.rounds(2, p)
		require.Empty(t, p.history.steps, "the table is down")
		w.platform.Faults.Set()
		w.rounds(10, p)
		require.Equal(t, 4, w.count("1"))
		require.Len(t, p.history.steps, 1)
	})
}

package quarantine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	corequarantine "acaciacleat.example/core/quarantine"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// cluster simulates entries whose links are partitioned and healed, a store that all of them
// reach, and processes that restart.
type cluster struct {
	t      *testing.T
	random *rand.Rand
	store  *fakeStore
	keeper []*Keeper
	stop   []context.CancelFunc
	// group is the network partition of each entry, startedAt the start time of its process.
	group     []int
	startedAt []time.Time
	// partitioned reports whether the network is partitioned.
	partitioned atomic.Bool
	// crashes are the times at which the fatal request crashed an upstream. lateSends is the
	// number of sends after settleTime, which the test bounds.
	crashes   []time.Time
	lateSends int
}

const clusterEntries = 5

func newCluster(t *testing.T, seed uint64) *cluster {
	c := &cluster{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), store: newStore(), keeper: make([]*Keeper, clusterEntries),
		stop: make([]context.CancelFunc, clusterEntries), group: make([]int, clusterEntries), startedAt: make([]time.Time, clusterEntries),
	}
	for i := range clusterEntries {
		c.start(i)
	}
	return c
}

// start starts an entry, or restarts it if it is running.
func (c *cluster) start(i int) {
	if c.stop[i] != nil {
		c.stop[i]()
	}
	c.keeper[i] = New(Config{
		VM: fmt.Sprint("entry-", i), Settings: corequarantine.DefaultSettings, Store: c.store, Table: "quarantine",
		MayHaveUnlinkedEntries: c.partitioned.Load, Log: zerolog.Nop(),
	})
	var ctx context.Context
	ctx, c.stop[i] = context.WithCancel(c.t.Context())
	go c.keeper[i].Run(ctx)
	c.startedAt[i] = time.Now()
	for j, other := range c.keeper {
		if j != i && other != nil && c.group[i] == c.group[j] {
			c.keeper[i].Receive("peer", other.Current())
		}
	}
}

// exchangeReports delivers the entries' reports within each partition.
func (c *cluster) exchangeReports() {
	for i, from := range c.keeper {
		reports := from.Reports()
		for j, to := range c.keeper {
			if j != i && c.group[i] == c.group[j] {
				to.Receive("peer", reports)
			}
		}
	}
}

// advance advances time by d while entries exchange reports.
func (c *cluster) advance(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
		synctest.Wait()
		c.exchangeReports()
	}
}

// partition splits the network into up to three random parts, or heals it.
func (c *cluster) partition() {
	parts := 1 + c.random.IntN(3)
	c.partitioned.Store(parts > 1)
	for i := range c.group {
		c.group[i] = c.random.IntN(parts)
	}
	for i, k := range c.keeper {
		for j, other := range c.keeper {
			if i != j && c.group[i] == c.group[j] {
				k.Receive("peer", other.Current())
			}
		}
	}
}

// sendFatal simulates one arrival of the fatal request at an entry, which may send it twice.
func (c *cluster) sendFatal(i int) {
	k := c.keeper[i]
	if !k.Ready() {
		return
	}
	for try := range 2 {
		if try > 0 && k.OneCrashFromHold(requestOf("fatal")) {
			c.advance(170 * time.Millisecond)
		}
		if _, held := k.Held(requestOf("fatal")); held {
			return
		}
		c.countSend(i)
		c.advance(40 * time.Millisecond)
		k.RecordCrash(upstream(len(c.crashes)), []Suspect{{Print: printOf("fatal"), AfterCrash: try > 0}})
	}
}

// settleTime is how long an entry must have run, and how long three crashes must be known,
// before a send counts as late.
const settleTime = 3 * time.Second

// countSend records a send, which crashes an upstream, and counts it if it is late.
func (c *cluster) countSend(i int) {
	now := time.Now()
	if len(c.crashes) >= 3 && now.Sub(c.crashes[2]) > settleTime && now.Sub(c.startedAt[i]) > settleTime {
		c.lateSends++
	}
	c.crashes = append(c.crashes, now)
}

// Whatever partitions and restarts happen, a request that has crashed three upstreams reaches
// at most three more after settleTime.
func TestCutsAndRestartsLetNoFatalRequestThrough(t *testing.T) {
	const seeds = 60
	worst := 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, seed)
			c.advance(100 * time.Millisecond)
			for range 60 {
				switch c.random.IntN(8) {
				case 0:
					c.partition()
				case 1:
					c.start(c.random.IntN(clusterEntries))
				case 2:
					for i := range clusterEntries {
						c.start(i)
					}
				default:
					c.sendFatal(c.random.IntN(clusterEntries))
				}
				c.advance(time.Duration(c.random.IntN(1500)) * time.Millisecond)
			}
			for _, stop := range c.stop {
				stop()
			}
			worst = max(worst, c.lateSends)
			require.LessOrEqual(t, c.lateSends, 3, "seed %d: %d crashes", seed, len(c.crashes))
		})
	}
	t.Logf("at most %d late sends in %d runs", worst, seeds)
}

package quarantine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"acaciacleat.example/core/fingerprint"
	corequarantine "acaciacleat.example/core/quarantine"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// cluster is a model of entries with links that are cut and mended, a store that all reach, and
// processes that end and start again.
type cluster struct {
	t      *testing.T
	random *rand.Rand
	store  *store
	keeper []*Keeper
	stop   []context.CancelFunc
	// group is the part of the network that an entry is in, and begun when its process began.
	group []int
	begun []time.Time
	cut   atomic.Bool
	// crashes are the times at which the fatal request ended an upstream, and strays the number of
	// those that count against the bound.
	crashes []time.Time
	strays  int
}

const clusterEntries = 5

func newCluster(t *testing.T, seed uint64) *cluster {
	c := &cluster{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), store: newStore(), keeper: make([]*Keeper, clusterEntries),
		stop: make([]context.CancelFunc, clusterEntries), group: make([]int, clusterEntries), begun: make([]time.Time, clusterEntries),
	}
	for i := range clusterEntries {
		c.start(i)
	}
	return c
}

// start starts an entry, again if it runs.
func (c *cluster) start(i int) {
	if c.stop[i] != nil {
		c.stop[i]()
	}
	c.keeper[i] = New(Config{
		VM: fmt.Sprint("entry-", i), Settings: corequarantine.DefaultSettings, Store: c.store, Table: "quarantine",
		Unlinked: c.cut.Load, Log: zerolog.Nop(),
	})
	var ctx context.Context
	ctx, c.stop[i] = context.WithCancel(c.t.Context())
	go c.keeper[i].Run(ctx)
	c.begun[i] = time.Now()
	for j, other := range c.keeper {
		if j != i && other != nil && c.group[i] == c.group[j] {
			c.keeper[i].Heard("peer", other.Current())
		}
	}
}

// tell passes on what entries tell each other, within each part of the network.
func (c *cluster) tell() {
	for i, from := range c.keeper {
		reports := from.Reports()
		for j, to := range c.keeper {
			if j != i && c.group[i] == c.group[j] {
				to.Heard("peer", reports)
			}
		}
	}
}

// pass lets time pass in which entries tell each other.
func (c *cluster) pass(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
		synctest.Wait()
		c.tell()
	}
}

// partition splits the network or mends it.
func (c *cluster) partition() {
	parts := 1 + c.random.IntN(3)
	c.cut.Store(parts > 1)
	for i := range c.group {
		c.group[i] = c.random.IntN(parts)
	}
	for i, k := range c.keeper {
		for j, other := range c.keeper {
			if i != j && c.group[i] == c.group[j] {
				k.Heard("peer", other.Current())
			}
		}
	}
}

// arrive plays one arrival of the fatal request at an entry, which may send it twice.
func (c *cluster) arrive(i int) {
	k := c.keeper[i]
	if !k.Ready() {
		return
	}
	for try := range 2 {
		if try > 0 && k.Doubtful(content("fatal")) {
			c.pass(170 * time.Millisecond)
		}
		if _, held := k.Held(func() fingerprint.Print { return content("fatal") }); held {
			return
		}
		c.count(i)
		c.pass(40 * time.Millisecond)
		k.Ended(upstream(len(c.crashes)), []Suspect{{Print: content("fatal"), Again: try > 0}})
	}
}

// inTouch is how long an entry must have run, and known that a request is fatal, for its sends to
// count.
const inTouch = 3 * time.Second

func (c *cluster) count(i int) {
	now := time.Now()
	if len(c.crashes) >= 3 && now.Sub(c.crashes[2]) > inTouch && now.Sub(c.begun[i]) > inTouch {
		c.strays++
	}
	c.crashes = append(c.crashes, now)
}

// However links are cut and processes end, a request that has crashed three upstreams reaches at
// most three more once the time to know it has passed.
func TestCutsAndRestartsLetNoFatalRequestThrough(t *testing.T) {
	const seeds = 60
	worst := 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, seed)
			c.pass(100 * time.Millisecond)
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
					c.arrive(c.random.IntN(clusterEntries))
				}
				c.pass(time.Duration(c.random.IntN(1500)) * time.Millisecond)
			}
			for _, stop := range c.stop {
				stop()
			}
			worst = max(worst, c.strays)
			require.LessOrEqual(t, c.strays, 3, "seed %d: %d crashes", seed, len(c.crashes))
		})
	}
	t.Logf("at the most %d sends too late in %d runs", worst, seeds)
}

package quota

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/core/limits"
	"acaciacleat.example/core/result"
	"acaciacleat.example/entry/fleet"
	"acaciacleat.example/peers/link"
	"github.com/stretchr/testify/require"
)

var key = limits.Key{Service: "parts", Organisation: "omuti"}

// cluster connects enforcers by links that deliver immediately. A silent entry accepts messages
// and answers none.
type cluster struct {
	orgLimits document.Limits
	enforcers map[string]*Enforcer
	silent    map[string]*atomic.Bool
	closed    atomic.Int64
}

func newCluster(t testing.TB, entries int, orgLimits document.Limits) *cluster {
	c := &cluster{orgLimits: orgLimits, enforcers: make(map[string]*Enforcer), silent: make(map[string]*atomic.Bool)}
	var live []fleet.Entry
	for i := range entries {
		name := fmt.Sprint("entry-", i)
		live = append(live, fleet.Entry{ID: name, Link: name})
		c.silent[name] = &atomic.Bool{}
	}
	for _, entry := range live {
		c.enforcers[entry.ID] = New(Config{
			Self:    entry.ID,
			Entries: func() []fleet.Entry { return others(live, entry.ID) },
			Connect: func(_ context.Context, vm, _ string) (Link, error) { return &fakeLink{c, entry.ID, vm}, nil },
			Limits:  func(limits.Key) *document.Limits { return &c.orgLimits },
		})
		c.enforcers[entry.ID].updateMembers()
	}
	return c
}

func others(live []fleet.Entry, self string) (all []fleet.Entry) {
	for _, entry := range live {
		if entry.ID != self {
			all = append(all, entry)
		}
	}
	return all
}

// fakeLink is one entry's end of a link.
type fakeLink struct {
	cluster  *cluster
	from, to string
}

func (l *fakeLink) Send(message link.Message) error {
	if !l.cluster.silent[l.to].Load() {
		l.cluster.enforcers[l.to].OnMessage(l.from, &fakeLink{l.cluster, l.to, l.from}, message)
	}
	return nil
}

func (l *fakeLink) Refresh(ctx context.Context, _ time.Duration) error {
	if !l.cluster.silent[l.to].Load() {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (l *fakeLink) Close(error) { l.cluster.closed.Add(1) }

// notOwner returns an entry that doesn't own the key.
func (c *cluster) notOwner() *Enforcer {
	for name, e := range c.enforcers {
		if name != e.Owner(key) {
			return e
		}
	}
	return nil
}

// Guards against a limit that each entry enforces by itself: the fleet would admit a multiple of it.
func TestRequestsOverAllEntriesShareOneLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, document.Limits{RequestsPerSecond: 5})
		admitted := 0
		for range 20 {
			for _, e := range c.enforcers {
				err := e.Admit(key, &c.orgLimits, 1)
				if err == nil {
					admitted++
					continue
				}
				require.Equal(t, result.OrganisationLimit, err.Code)
				require.Equal(t, result.NotRun, err.Execution)
				require.Positive(t, err.RetryAfter)
			}
		}
		require.LessOrEqual(t, admitted, 10, "the burst of two seconds, once for the fleet")
		require.GreaterOrEqual(t, admitted, 8, "all except those in unused batches")
	})
}

// Guards against concurrency that stays with the entry that used it: the other entries would
// refuse requests below the limit.
func TestReleasedConcurrencyIsAvailableAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, document.Limits{Concurrency: 2})
		ctx, stop := context.WithCancel(t.Context())
		for _, e := range c.enforcers {
			go e.Run(ctx)
		}
		for range 5 {
			for _, e := range c.enforcers {
				for range 2 {
					require.Nil(t, e.Admit(key, &c.orgLimits, 1))
				}
				require.NotNil(t, e.Admit(key, &c.orgLimits, 1))
				e.Release(key, &c.orgLimits)
				e.Release(key, &c.orgLimits)
				time.Sleep(pendingRetryAfter + tickInterval)
				synctest.Wait()
			}
		}
		stop()
	})
}

// Guards against requests that hang because the owner no longer answers while its link stays
// open: the wait must be bounded and the dead link must be closed.
func TestSilentOwnerTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, document.Limits{RequestsPerSecond: 4})
		e := c.notOwner()
		c.silent[e.Owner(key)].Store(true)
		started := time.Now()
		require.Nil(t, e.Admit(key, &c.orgLimits, 1), "the local share admits one of four")
		require.Equal(t, grantTimeout, time.Since(started))
		for range 3 {
			_ = e.Admit(key, &c.orgLimits, 1)
		}
		require.Equal(t, grantTimeout, time.Since(started), "no request is sent to the owner again immediately")
		require.Equal(t, int64(1), e.Counters.Silent.Load())
		time.Sleep(link.DefaultTiming.Silence)
		synctest.Wait()
		require.Equal(t, int64(1), c.closed.Load(), "the silent link is closed")

		c.silent[e.Owner(key)].Store(false)
		require.Nil(t, e.Admit(key, &c.orgLimits, 1))
		require.Equal(t, int64(1), e.Counters.AnswersReceived.Load(), "a request is sent to the owner again")
	})
}

// Guards against waiting for an owner to which no link can be opened.
func TestUnreachableOwnerCausesNoDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, document.Limits{RequestsPerSecond: 4})
		e := c.notOwner()
		e.config.Connect = func(context.Context, string, string) (Link, error) { return nil, errors.New("refused") }
		started := time.Now()
		require.Nil(t, e.Admit(key, &c.orgLimits, 1))
		require.Zero(t, time.Since(started))
	})
}

// Guards against refusals below the limit: if a grant were handled and the request for which it
// was requested decided under separate locks, a concurrent request could use the grant.
func TestConcurrentRequestsUseTheWholeLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, document.Limits{Concurrency: 60, RequestsPerSecond: 1000, TokensPerSecond: 1e6})
		e := c.notOwner()
		var admitted atomic.Int64
		for range 80 {
			go func() {
				if e.Admit(key, &c.orgLimits, 10) == nil {
					admitted.Add(1)
				}
			}()
		}
		synctest.Wait()
		require.Equal(t, int64(60), admitted.Load())
		require.Zero(t, e.Counters.Silent.Load())
	})
}

func (c *cluster) owner() *Enforcer { return c.enforcers[c.notOwner().Owner(key)] }

var highLimits = document.Limits{RequestsPerSecond: 1e9, TokensPerSecond: 1e12, Concurrency: 1000}

// Guards against an allocation for each request that needs no message.
func TestDecisionDoesNotAllocate(t *testing.T) {
	c := newCluster(t, 2, highLimits)
	e := c.owner()
	require.Nil(t, e.Admit(key, &c.orgLimits, 1))
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		_ = e.Admit(key, &c.orgLimits, 1)
		e.Release(key, &c.orgLimits)
	}))
}

func BenchmarkAdmit(b *testing.B) {
	for _, orgLimits := range []document.Limits{{}, highLimits} {
		b.Run(fmt.Sprintf("unlimited=%t", orgLimits == document.Limits{}), func(b *testing.B) {
			c := newCluster(b, 2, orgLimits)
			e := c.owner()
			b.ReportAllocs()
			for b.Loop() {
				_ = e.Admit(key, &c.orgLimits, 1)
				e.Release(key, &c.orgLimits)
			}
		})
	}
}

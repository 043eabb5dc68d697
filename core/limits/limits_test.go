package limits

import (
	"fmt"
	"testing"
	"time"

	"acaciacleat.example/core/document"
	_ "acaciacleat.example/core/seeded"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const step = 50 * time.Millisecond

var key = Key{Service: "parts", Organisation: "omuti"}

func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// cluster connects entries by messages. No message passes between partitioned entries and
// the others.
type cluster struct {
	now         time.Time
	limits      *document.Limits
	names       []string
	entries     map[string]*Entry
	partitioned map[string]bool
	loseMessage func() bool
	admittedAt  []time.Time // one time for each admitted request
	inFlight    map[string]int
	tokens      float64
}

func newCluster(size int, limits document.Limits) *cluster {
	c := &cluster{now: at(0), limits: &limits, entries: map[string]*Entry{}, partitioned: map[string]bool{}, inFlight: map[string]int{}, loseMessage: func() bool { return false }}
	for i := range size {
		c.names = append(c.names, fmt.Sprint("entry-", i))
	}
	for _, name := range c.names {
		c.entries[name] = NewEntry(name, 0)
		c.entries[name].SetEntries(c.names)
	}
	return c
}

func (c *cluster) owner() string { return c.entries[c.names[0]].Owner(key) }

// request sends one request to an entry and returns the final decision.
func (c *cluster) request(name string, tokens int) Decision {
	e := c.entries[name]
	decision := e.Decide(c.now, key, c.limits, tokens)
	for range 2 {
		if decision.Outcome != AskOwner {
			break
		}
		request := e.NewGrantRequest(c.now, key, tokens)
		lost := c.partitioned[name] != c.partitioned[decision.Owner] || c.loseMessage()
		var grant Grant
		if !lost {
			grant = c.entries[decision.Owner].HandleGrantRequest(c.now, name, &request, c.limits)
			lost = c.loseMessage()
		}
		if lost {
			e.OwnerTimedOut(c.now, decision.Owner)
		} else {
			e.HandleGrant(c.now, &grant)
		}
		decision = e.Decide(c.now, key, c.limits, tokens)
	}
	if decision.Outcome == Admitted {
		c.admittedAt = append(c.admittedAt, c.now)
		c.inFlight[name]++
		c.tokens += float64(tokens)
	}
	return decision
}

func (c *cluster) release(name string) {
	if c.inFlight[name] > 0 {
		c.inFlight[name]--
		c.entries[name].Release(key, c.limits)
	}
}

func (c *cluster) step() {
	c.now = c.now.Add(step)
	for _, name := range c.names {
		for _, renewal := range c.entries[name].Tick(c.now) {
			if c.partitioned[name] == c.partitioned[renewal.Owner] {
				c.entries[renewal.Owner].HandleGrantRequest(c.now, name, &renewal.Request, c.limits)
			}
		}
	}
}

func (c *cluster) concurrency() (sum int) {
	for _, n := range c.inFlight {
		sum += n
	}
	return sum
}

// With message loss and k entries partitioned from the owner, the requests in every window
// and the concurrency stay within the bounds in the package comment.
func TestBoundsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := document.Limits{RequestsPerSecond: float64(rapid.IntRange(1, 40).Draw(t, "rate")), Concurrency: rapid.IntRange(0, 12).Draw(t, "concurrency")}
		c := newCluster(5, limits)
		k := rapid.IntRange(0, 2).Draw(t, "cut")
		for _, name := range c.names {
			if len(c.partitioned) < k && name != c.owner() {
				c.partitioned[name] = true
			}
		}
		percent := rapid.SampledFrom([]int{0, 20}).Draw(t, "loss")
		c.loseMessage = func() bool { return rapid.IntRange(0, 99).Draw(t, "lost") < percent }
		if percent > 0 {
			k = len(c.names) // any entry may use its local share
		}
		for range 60 {
			for _, name := range c.names {
				for range rapid.IntRange(0, 2).Draw(t, "requests") {
					c.request(name, 1)
				}
				if rapid.Bool().Draw(t, "ends") {
					c.release(name)
				}
			}
			c.step()
			if limits.Concurrency > 0 {
				require.LessOrEqual(t, c.concurrency(), limits.Concurrency+k*max(1, limits.Concurrency/5))
			}
		}
		rate, burst := limits.RequestsPerSecond, requestBurst(&limits)
		for i := range c.admittedAt {
			seconds := c.admittedAt[len(c.admittedAt)-1].Sub(c.admittedAt[i]).Seconds()
			bound := rate*(seconds+grantTTL.Seconds()) + burst + float64(k)*(rate*seconds/5+max(1, burst/5))
			require.LessOrEqual(t, float64(len(c.admittedAt)-i), bound+1)
		}
	})
}

// An organisation that saturates its limit gets most of it, whichever entries it uses.
func TestSaturatingOrganisationGetsMostOfItsLimit(t *testing.T) {
	c := newCluster(5, document.Limits{RequestsPerSecond: 20, TokensPerSecond: 40_000})
	for range 400 {
		for _, name := range c.names {
			c.request(name, 2000)
			c.release(name)
		}
		c.step()
	}
	require.GreaterOrEqual(t, len(c.admittedAt), 20*20*8/10)
	require.LessOrEqual(t, c.tokens, 40_000.0*22+2000)
}

func TestDecisions(t *testing.T) {
	t.Run("no limits, no message", func(t *testing.T) {
		require.Equal(t, Admitted, newCluster(3, document.Limits{}).request("entry-0", 1_000_000).Outcome)
	})
	t.Run("a request above the burst leaves a debt", func(t *testing.T) {
		c := newCluster(1, document.Limits{TokensPerSecond: 100_000})
		require.Equal(t, Admitted, c.request("entry-0", 1_000_000).Outcome)
		refused := c.request("entry-0", 1)
		require.Equal(t, Refused, refused.Outcome)
		require.InDelta(t, 8, refused.RetryAfter.Seconds(), 0.01)
	})
	t.Run("an ended request frees its slot for another entry", func(t *testing.T) {
		c := newCluster(3, document.Limits{Concurrency: 1})
		for range 5 {
			for _, name := range c.names {
				require.Equal(t, Admitted, c.request(name, 1).Outcome)
				require.Equal(t, Refused, c.request(name, 1).Outcome)
				c.release(name)
				c.step()
				c.now = c.now.Add(concurrencyRetryAfter)
			}
		}
	})
	// An entry crashes with its requests. If the owner kept counting their slots, the
	// organisation would be refused for good.
	t.Run("a crashed entry's slots are freed", func(t *testing.T) {
		c := newCluster(3, document.Limits{Concurrency: 1})
		var crashed, other string
		for _, name := range c.names {
			if name != c.owner() {
				crashed, other = other, name
			}
		}
		require.Equal(t, Admitted, c.request(crashed, 1).Outcome)
		require.Equal(t, Refused, c.request(other, 1).Outcome)
		c.now = c.now.Add(HoldTimeout + step)
		require.Equal(t, Admitted, c.request(other, 1).Outcome)
	})
	// A grant arrives after a renewal has told the owner that the entry holds no slot. If the
	// entry used the grant, two requests would run under a concurrency limit of one.
	t.Run("a late grant gives no slot", func(t *testing.T) {
		c := newCluster(3, document.Limits{Concurrency: 1})
		owner, entry := c.entries[c.owner()], c.entries[c.names[0]]
		if owner == entry {
			entry = c.entries[c.names[1]]
		}
		entry.Decide(c.now, key, c.limits, 1)
		request := entry.NewGrantRequest(c.now, key, 1)
		late := owner.HandleGrantRequest(c.now, entry.self, &request, c.limits)
		renewal := entry.NewGrantRequest(c.now, key, 0)
		renewal.Renewal = true
		owner.HandleGrantRequest(c.now, entry.self, &renewal, c.limits)
		entry.HandleGrant(c.now, &late)
		require.Equal(t, AskOwner, entry.Decide(c.now, key, c.limits, 1).Outcome)
	})
	t.Run("a new owner learns what is held", func(t *testing.T) {
		c := newCluster(3, document.Limits{Concurrency: 3})
		old := c.owner()
		var rest []string
		for _, name := range c.names {
			if name != old {
				rest = append(rest, name)
				require.Equal(t, Admitted, c.request(name, 1).Outcome)
			}
		}
		for _, name := range rest {
			c.entries[name].SetEntries(rest)
		}
		c.names = rest
		c.now = c.now.Add(renewInterval)
		c.step()
		require.Equal(t, Admitted, c.request(rest[0], 1).Outcome)
		require.Equal(t, Refused, c.request(rest[1], 1).Outcome)
	})
}

func TestDecideDoesNotAllocate(t *testing.T) {
	c := newCluster(2, document.Limits{RequestsPerSecond: 1e6, TokensPerSecond: 1e9, Concurrency: 1000})
	for _, name := range c.names {
		e := c.entries[name]
		c.request(name, 1)
		require.Zero(t, testing.AllocsPerRun(100, func() {
			if e.Decide(c.now, key, c.limits, 1).Outcome == Admitted {
				e.Release(key, c.limits)
			}
		}))
	}
}

func BenchmarkDecide(b *testing.B) {
	c := newCluster(1, document.Limits{RequestsPerSecond: 1e12, TokensPerSecond: 1e12, Concurrency: 1000})
	b.ReportAllocs()
	for b.Loop() {
		c.entries["entry-0"].Decide(c.now, key, c.limits, 1)
		c.entries["entry-0"].Release(key, c.limits)
	}
}

package ratelimit

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// way is a way to divide a limit among entries.
type way struct {
	name string
	// holders returns the holders of shares among the entries, and asks whether the others may ask
	// them.
	holders func(entries []string) []string
	asks    bool
}

var ways = []way{
	{"equal split", func(entries []string) []string { return entries }, false},
	{"one holder", func(entries []string) []string { return Holders("i-1", entries)[:1] }, true},
	{"three holders", func(entries []string) []string { return Holders("i-1", entries) }, true},
}

// deployment is a drawn case: requests for one limited upstream, at entries that learn of the limit
// at different times and whose links may be cut.
type deployment struct {
	entries int
	rate    Rate
	// demand is the number of requests per request that the limit allows; skewed sends half of them to
	// one entry.
	demand float64
	skewed bool
	// cutFrom and cutTo bound a time in which the entries are split in two halves; restartAt is when
	// the first holder starts again, lowerAt when the limit falls to half.
	cutFrom, cutTo, restartAt, lowerAt time.Duration
	// window is that of the platform's bound.
	window time.Duration
}

const (
	simulated = 30 * time.Second
	// linkDelay is the time of a message between two entries.
	linkDelay = 2 * time.Millisecond
	// simulatedWait is how long a request waits for a permit.
	simulatedWait = 150 * time.Millisecond
	// simulatedWindow is the window of the platform's bound for a limit, coldWindow that for a cold
	// upstream; learning is the time until an entry knows of a change.
	simulatedWindow = 4 * time.Second
	coldWindow      = time.Second
	learning        = 20 * time.Millisecond
)

func drawDeployment(random *rand.Rand) deployment {
	d := deployment{
		entries: []int{1, 4, 8, 21, 103, 350}[random.IntN(6)],
		rate:    Rate(math.Exp(random.Float64() * math.Log(20))),
		demand:  math.Exp(random.Float64()*math.Log(20)) / 2,
		skewed:  random.IntN(2) == 0,
		window:  simulatedWindow,
	}
	moment := func() time.Duration { return time.Duration(random.Int64N(int64(simulated))) }
	if random.IntN(2) == 0 {
		d.cutFrom = moment()
		d.cutTo = d.cutFrom + 6*time.Second
	}
	if random.IntN(2) == 0 {
		d.restartAt = moment()
	}
	if random.IntN(2) == 0 {
		d.lowerAt = moment()
	}
	return d
}

// simulation plays a deployment with one way.
type simulation struct {
	deployment
	way      way
	names    []string
	holders  []string
	shares   map[string]*Share
	backoffs []Backoff
	random   *rand.Rand
	// grants are the times of the granted requests, offered counts all requests, and asked the
	// questions to other entries.
	grants         []time.Duration
	offered, asked int
	// delays are, for the granted requests, the times from asking until they may be sent.
	delays []time.Duration
}

func simulate(d deployment, w way, seed uint64) *simulation {
	s := &simulation{deployment: d, way: w, shares: make(map[string]*Share)}
	for i := range d.entries {
		s.names = append(s.names, fmt.Sprintf("entry-%d", i))
	}
	s.holders = w.holders(s.names)
	for i, holder := range s.holders {
		s.shares[holder] = &Share{}
		s.shares[holder].SetRate(at(0), d.rate/Rate(len(s.holders)), float64(i+1)/float64(len(s.holders)))
	}
	random := rand.New(rand.NewPCG(seed, 1))
	s.random, s.backoffs = rand.New(rand.NewPCG(seed, 2)), make([]Backoff, d.entries)
	restarted, lowered := d.restartAt == 0, d.lowerAt == 0
	mean := float64(time.Second) / (float64(d.rate) * d.demand)
	for now := time.Duration(random.ExpFloat64() * mean); now < simulated; now += time.Duration(random.ExpFloat64() * mean) {
		if !lowered && now > d.lowerAt+learning {
			lowered = true
			for _, share := range s.shares {
				share.SetRate(epoch.Add(now), share.Rate()/2, 0)
			}
		}
		if !restarted && now > d.restartAt {
			restarted = true
			share := s.shares[s.holders[0]]
			rate := share.Rate()
			*share = Share{}
			share.SetRate(epoch.Add(now), rate, 1/float64(len(s.holders)))
		}
		entry := random.IntN(d.entries)
		if d.skewed && random.IntN(2) == 0 {
			entry = 0
		}
		s.offered++
		s.request(now, entry)
	}
	slices.Sort(s.grants)
	return s
}

// linked reports whether two entries can reach each other.
func (s *simulation) linked(now time.Duration, a, b int) bool {
	return now < s.cutFrom || now >= s.cutTo || a%2 == b%2
}

// request has the holder with the shortest wait grant a request, as an entry does.
func (s *simulation) request(now time.Duration, entry int) {
	at := epoch.Add(now)
	own := s.shares[s.names[entry]]
	if own != nil {
		if wait, granted := own.Take(at, 0); granted {
			s.grants, s.delays = append(s.grants, now+wait), append(s.delays, wait)
			return
		}
	}
	best, least, hop := own, simulated, time.Duration(0)
	asked := s.asked
	if own != nil {
		least = own.Wait(at)
	}
	backoff := &s.backoffs[entry]
	if s.way.asks && backoff.Wait(at) <= simulatedWait {
		for _, holder := range s.linkedHolders(now, entry) {
			s.asked++
			if wait := holder.Wait(at.Add(linkDelay)); wait < least {
				best, least, hop = holder, wait, linkDelay
			}
		}
		defer func() {
			if least > simulatedWait {
				backoff.Denied(at, least, s.entries, s.random)
			} else {
				backoff.Granted()
			}
		}()
	}
	if best == nil || least > simulatedWait {
		return
	}
	if wait, granted := best.Take(at.Add(hop), simulatedWait); granted {
		s.grants = append(s.grants, now+2*hop+wait)
		s.delays = append(s.delays, 2*linkDelay*time.Duration(s.asked-asked)+wait)
	}
}

// linkedHolders returns the shares of the other holders that an entry can reach.
func (s *simulation) linkedHolders(now time.Duration, entry int) (shares []*Share) {
	for _, holder := range s.holders {
		if i := slices.Index(s.names, holder); i != entry && s.linked(now, i, entry) {
			shares = append(shares, s.shares[holder])
		}
	}
	return shares
}

// named returns what the limit allows between two times.
func (s *simulation) named(from, to time.Duration) float64 {
	sum := float64(s.rate) * (to - from).Seconds()
	if s.lowerAt > 0 && to > s.lowerAt {
		sum -= float64(s.rate) / 2 * (to - max(from, s.lowerAt)).Seconds()
	}
	return sum
}

// worst returns the worst window as a share of the platform's bound.
func (s *simulation) worst() float64 {
	worst := 0.0
	for last := range s.grants {
		first, _ := slices.BinarySearch(s.grants, s.grants[last]-s.window)
		bound := 1.5*s.named(s.grants[last]-s.window, s.grants[last]) + 5
		worst = max(worst, float64(last-first+1)/bound)
	}
	return worst
}

// used returns the granted requests as a share of those that the limit allows and callers want.
func (s *simulation) used() float64 {
	return float64(len(s.grants)) / min(float64(s.offered), s.named(0, simulated))
}

// drawColdDeployment draws a case of an upstream that is cold.
func drawColdDeployment(random *rand.Rand) deployment {
	d := drawDeployment(random)
	d.rate = Rate(2 * math.Exp(random.Float64()*math.Log(30)))
	d.demand = math.Exp(random.Float64()*math.Log(100)) / 10
	d.lowerAt, d.window = 0, coldWindow
	return d
}

// Compares the ways to divide a limit on the same drawn deployments. Guards against a bound that the
// entries together pass, and against a limit that is left unused while callers wait.
func TestWaysToDivideALimit(t *testing.T) {
	require.LessOrEqual(t, compareWays(t, drawDeployment), 1.0)
}

// Compares the same ways for a cold upstream, whose bound is that of a second. Guards against a bound that
// the entries together pass.
func TestWaysToDivideAColdRate(t *testing.T) {
	require.LessOrEqual(t, compareWays(t, drawColdDeployment), 1.0)
}

// compareWays logs what each way makes of the same drawn deployments. It returns the worst window of three
// holders as a share of the bound.
func compareWays(t *testing.T, draw func(*rand.Rand) deployment) float64 {
	const drawn = 1000
	worst, used, asked := make([][]float64, len(ways)), make([][]float64, len(ways)), make([]float64, len(ways))
	delays := make([][]float64, len(ways))
	scarce := make([][]float64, len(ways))
	for i := range uint64(drawn) {
		d := draw(rand.New(rand.NewPCG(i, 0)))
		for k, w := range ways {
			s := simulate(d, w, i)
			if s.offered == 0 {
				continue
			}
			worst[k], used[k] = append(worst[k], s.worst()), append(used[k], s.used())
			asked[k] += float64(s.asked) / float64(s.offered) / drawn
			if d.demand >= 1 {
				scarce[k] = append(scarce[k], s.used())
			}
			for _, delay := range s.delays {
				delays[k] = append(delays[k], float64(delay.Milliseconds()))
			}
		}
	}
	quantile := func(values []float64, q float64) float64 {
		slices.SortFunc(values, cmp.Compare[float64])
		return values[int(q*float64(len(values)-1))]
	}
	for k, w := range ways {
		t.Logf("%-13s worst window as a share of the bound: median %.2f, p99 %.2f, most %.2f; limit used: p5 %.2f, p25 %.2f, median %.2f; questions a request %.1f",
			w.name, quantile(worst[k], 0.5), quantile(worst[k], 0.99), quantile(worst[k], 1),
			quantile(used[k], 0.05), quantile(used[k], 0.25), quantile(used[k], 0.5), asked[k])
		t.Logf("%-13s where callers want it all: p5 %.2f, p25 %.2f, median %.2f; wait of the granted: median %.0f ms, p90 %.0f, p99 %.0f",
			w.name, quantile(scarce[k], 0.05), quantile(scarce[k], 0.25), quantile(scarce[k], 0.5),
			quantile(delays[k], 0.5), quantile(delays[k], 0.9), quantile(delays[k], 0.99))
	}
	return quantile(worst[2], 1)
}

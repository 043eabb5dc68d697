package scheduling

import (
	"math"
	"time"
)

const (
	// dominanceHalfLife is how fast started tokens are forgotten: a burst of a second is no
	// flood, half a minute of it is.
	dominanceHalfLife = 10 * time.Second
	// dominantShare of the recent short tokens makes an organisation the dominant one. The
	// largest of ten whose sizes fall as 1/rank has a third.
	dominantShare = 0.5
	// floodShare of the engine's prefill rate is what the dominant organisation may start in
	// short tokens before it floods. The largest of ten takes 0.04 at 70 % load;
	// more would let memory fill with the flood before it is noticed (evaluator).
	floodShare = 0.05
	// aloneShare of them is not dominance: there is nobody else to leave room for.
	aloneShare = 0.995
	// maxDominance bounds the organisations remembered; the coldest are dropped.
	maxDominance = 4096
	// coldTokens is what may be forgotten: less than one short prompt.
	coldTokens = 100
)

// dominance finds an organisation that starts more short tokens than all others together.
//
// What goes wrong: fair queueing acts on what is queued together. A flooding organisation
// has filled memory and engine before another one's request arrives, which then finds its
// turn at once but no room. It shows as short requests of all organisations slowing down
// with one's. An organisation that floods leaves room for the others instead.
type dominance struct {
	// started holds each organisation's tokens, weighted so that later ones count for more:
	// as much as if all earlier ones had halved every dominanceHalfLife.
	started map[string]float64
	total   float64
	// weight is that of a token started now, or when one last was.
	weight float64
	// base is the time, as in node, at which a token weighs 1.
	base int64
	// leader is the organisation that was dominant last. Only it can be dominant now: a
	// share rises above a half only by starting something.
	leader string
}

// maxExponent bounds the weights; beyond it they are all scaled down.
const maxExponent = 64

func newDominance() dominance { return dominance{started: make(map[string]float64)} }

func (d *dominance) add(organisation string, tokens, now int64) {
	halvings := float64(now-d.base) / float64(dominanceHalfLife)
	if halvings > maxExponent {
		d.rebase(now, halvings)
		halvings = 0
	}
	d.weight = math.Exp2(halvings)
	weighted := float64(tokens) * d.weight
	sum := d.started[organisation] + weighted
	d.started[organisation] = sum
	d.total += weighted
	if sum > dominantShare*d.total {
		d.leader = organisation
	}
	if len(d.started) > maxDominance {
		d.forget(d.weight)
	}
}

// rebase makes a token weigh 1 at now.
func (d *dominance) rebase(now int64, halvings float64) {
	scale := math.Exp2(-halvings)
	for organisation, sum := range d.started {
		d.started[organisation] = sum * scale
	}
	d.total *= scale
	d.base = now
	d.forget(1)
}

// forget drops organisations that have started next to nothing lately; all if none has.
func (d *dominance) forget(weight float64) {
	for organisation, sum := range d.started {
		if sum < coldTokens*weight {
			delete(d.started, organisation)
		}
	}
	if len(d.started) > maxDominance {
		clear(d.started)
		d.total = 0
	}
}

// floods reports whether the organisation started most of the recent tokens, but not all,
// and more than its share of an engine with the given rate.
func (d *dominance) floods(organisation string, prefillRate float64) bool {
	if organisation != d.leader {
		return false
	}
	sum := d.started[organisation]
	if share := sum / d.total; share <= dominantShare || share >= aloneShare {
		return false
	}
	// Tokens that halve every half-life add up to the rate times half-life / ln 2.
	return sum/d.weight > floodShare*prefillRate*dominanceHalfLife.Seconds()/math.Ln2
}

package scheduling

import (
	"math"
	"time"
)

const (
	// dominanceHalfLife is the half-life of started tokens in the statistics: a burst of a
	// second does not count as a flood, half a minute does.
	dominanceHalfLife = 10 * time.Second
	// dominantShare is the share of the recent short tokens above which an organisation is
	// dominant. For comparison, the largest of ten organisations whose sizes fall as 1/rank has
	// a share of a third.
	dominantShare = 0.5
	// floodShare is the part of the engine's prefill rate above which the short tokens of the
	// dominant organisation count as a flood. The largest of these ten organisations uses 0.04
	// at 70 % load. With a higher threshold a flood fills the memory before it is detected.
	floodShare = 0.05
	// soleShare is the share of the recent short tokens from which an organisation counts as
	// the only one. It does not count as flooding, since there is no other to leave memory to.
	soleShare = 0.995
	// maxTrackedOrganisations bounds the number of tracked organisations.
	maxTrackedOrganisations = 4096
	// negligibleTokens is the number of recent tokens below which an organisation may be
	// dropped from the statistics: less than one short prompt.
	negligibleTokens = 100
)

// dominanceTracker detects an organisation that starts more short tokens than all others
// together.
//
// Fair queueing only affects requests that are queued at the same time. A flooding
// organisation can fill the memory and the engine before another organisation's request
// arrives; that request then is next in line but has no memory, so that the short requests
// of all organisations slow down. A flooding organisation therefore has to leave memory
// free for the others.
type dominanceTracker struct {
	// started holds each organisation's started tokens with exponentially rising weights,
	// which is equivalent to halving all earlier ones every dominanceHalfLife.
	started map[string]float64
	total   float64
	// weight is the weight of the token started last.
	weight float64
	// baseTime is the time at which a token has weight 1, in nanoseconds since the queue's
	// origin.
	baseTime int64
	// dominant is the organisation that exceeded dominantShare last. No other can be dominant
	// now, since a share grows only when the organisation starts an item.
	dominant string
}

// maxHalvings bounds the weights at 2^maxHalvings; beyond it all of them are scaled down.
const maxHalvings = 64

func newDominanceTracker() dominanceTracker {
	return dominanceTracker{started: make(map[string]float64)}
}

// add adds the tokens of a started short item to an organisation.
func (d *dominanceTracker) add(organisation string, tokens, now int64) {
	halvings := float64(now-d.baseTime) / float64(dominanceHalfLife)
	if halvings > maxHalvings {
		d.rebase(now, halvings)
		halvings = 0
	}
	d.weight = math.Exp2(halvings)
	weighted := float64(tokens) * d.weight
	sum := d.started[organisation] + weighted
	d.started[organisation] = sum
	d.total += weighted
	if sum > dominantShare*d.total {
		d.dominant = organisation
	}
	if len(d.started) > maxTrackedOrganisations {
		d.prune(d.weight)
	}
}

// rebase scales all weights so that a token started now has weight 1.
func (d *dominanceTracker) rebase(now int64, halvings float64) {
	scale := math.Exp2(-halvings)
	for organisation, sum := range d.started {
		d.started[organisation] = sum * scale
	}
	d.total *= scale
	d.baseTime = now
	d.prune(1)
}

// prune drops the organisations with a negligible number of recent tokens; weight is the weight
// of a token started now. If too many remain, it drops all of them.
func (d *dominanceTracker) prune(weight float64) {
	for organisation, sum := range d.started {
		if sum < negligibleTokens*weight {
			delete(d.started, organisation)
		}
	}
	if len(d.started) > maxTrackedOrganisations {
		clear(d.started)
		d.total = 0
	}
}

// isFlooding reports whether the organisation started most, but not all, of the recent
// short tokens, and more than floodShare of an engine with the given prefill rate.
func (d *dominanceTracker) isFlooding(organisation string, prefillRate float64) bool {
	if organisation != d.dominant {
		return false
	}
	sum := d.started[organisation]
	if share := sum / d.total; share <= dominantShare || share >= soleShare {
		return false
	}
	// In a steady state the decayed sum equals the rate times half-life / ln 2.
	return sum/d.weight > floodShare*prefillRate*dominanceHalfLife.Seconds()/math.Ln2
}

package quarantine

import (
	"encoding/binary"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"acaciacleat.example/core/fingerprint"
	"github.com/pkg/errors"
)

// gate stops the requests that are held back by their content or one segment. Once the hold is over, it admits
// one request at a time as a trial, of which the other entries are told: if that crashes its upstream, all entries hold
// back the others again, and if it is answered, all entries remove the gate.
type gate struct {
	// opens is when this entry admits the first trial.
	opens time.Time

	mu sync.Mutex
	// trial is the ID of the request that was last admitted, at admitted.
	trial    string
	admitted time.Time
}

const (
	// trialInterval is how long after a trial the next one is admitted if the outcome is still not known.
	trialInterval = 2 * time.Second
	// trialSpacing is the mean time between the moments at which two entries begin with their trials, so that most
	// of them hear of the first trial before they begin.
	trialSpacing = 200 * time.Millisecond
)

// wait returns for how much longer a request has to wait at the gate; zero if it may be admitted.
func (g *gate) wait(now time.Time, id string) time.Duration {
	if left := g.opens.Sub(now); left > 0 {
		return left
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.untilNextTrial(now, id)
}

// admit admits a request as a trial, and reports whether the trial is a new one. It returns an error if another request
// was admitted since wait.
func (g *gate) admit(now time.Time, id string) (begun bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.untilNextTrial(now, id) > 0 {
		return false, errTrialUnderWay
	}
	begun = id == "" || g.trial != id
	if begun {
		g.trial, g.admitted = id, now
	}
	return begun, nil
}

var errTrialUnderWay = errors.New("another trial is under way")

// wasTried records that another entry has begun a trial.
func (g *gate) wasTried(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.trial, g.admitted = "", now
}

// release lets the next trial begin at once if the given request was the last one that was admitted.
func (g *gate) release(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if id != "" && g.trial == id {
		g.trial, g.admitted = "", time.Time{}
	}
}

// untilNextTrial is called with mu held.
func (g *gate) untilNextTrial(now time.Time, id string) time.Duration {
	if id != "" && g.trial == id {
		return 0
	}
	return max(g.admitted.Add(trialInterval).Sub(now), 0)
}

// trialDelay returns how long after the end of a hold this entry admits the first trial.
func (k *Keeper) trialDelay(print fingerprint.Print) time.Duration {
	drawn := fingerprint.Of(fingerprint.Request{Host: k.config.VM, Body: print[:]})
	share := float64(binary.BigEndian.Uint32(drawn[:4])) / math.MaxUint32
	return time.Duration(share * float64(k.entries.Load()) * float64(trialSpacing))
}

// SetEntries sets the number of entries, over which the trials are spread.
func (k *Keeper) SetEntries(n int) { k.entries.Store(int64(n)) }

// answerCounts counts answers by segment, approximately: segments that share a slot are counted together.
type answerCounts struct {
	slots [answerSlots]atomic.Uint32
	// halvedAt is when the counts were last halved, so that they tell of recent answers.
	halvedAt time.Time
}

const (
	answerSlots = 1 << 14
	// answerHalfLife is the interval at which the counts are halved.
	answerHalfLife = 10 * time.Minute
)

func (a *answerCounts) slot(segment fingerprint.Print) *atomic.Uint32 {
	return &a.slots[binary.BigEndian.Uint32(segment[:4])%answerSlots]
}

func (a *answerCounts) add(segment fingerprint.Print) { a.slot(segment).Add(1) }

func (a *answerCounts) count(segment fingerprint.Print) uint32 { return a.slot(segment).Load() }

// decay halves the counts once in answerHalfLife. An answer that is counted meanwhile may be lost.
func (a *answerCounts) decay(now time.Time) {
	if now.Sub(a.halvedAt) < answerHalfLife {
		return
	}
	a.halvedAt = now
	for i := range a.slots {
		a.slots[i].Store(a.slots[i].Load() / 2)
	}
}

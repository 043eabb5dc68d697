package ratelimit

import (
	"math/rand/v2"
	"time"
)

// Backoff is when an entry without a permit asks the holders of a limit again. The zero Backoff asks
// at once.
type Backoff struct {
	at      time.Time
	denials int
}

// Wait returns how long the entry waits before it asks again.
func (b *Backoff) Wait(now time.Time) time.Duration { return max(b.at.Sub(now), 0) }

// Denied records that no holder grants a request sooner than after wait. The entries that are denied
// then come back at different times, and the more seldom the more entries there are: otherwise all
// of them would ask for each single permit.
func (b *Backoff) Denied(now time.Time, wait time.Duration, entries int, random *rand.Rand) {
	most := float64(max(entries/(2*MaxHolders), 1))
	b.at = now.Add(scale(wait, min(float64(int(1)<<b.denials), most)*(1+random.Float64()*(1-1/most))))
	if b.denials < maxDoublings {
		b.denials++
	}
}

// maxDoublings bounds how often the wait is doubled.
const maxDoublings = 10

// Granted records that a holder has granted a request.
func (b *Backoff) Granted() { *b = Backoff{} }

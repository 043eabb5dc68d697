package dispatch

import (
	"math"
	"time"
)

// rate is how much of something comes in a second, of late: what came counts the less the
// longer ago it was.
type rate struct {
	sum float64
	at  time.Time
}

// add counts an amount that came now. over is the time in which what came fades to a third.
func (r *rate) add(now time.Time, amount float64, over time.Duration) {
	r.fade(now, over)
	r.sum += amount
}

// perSecond returns the rate as of now.
func (r *rate) perSecond(now time.Time, over time.Duration) float64 {
	r.fade(now, over)
	return r.sum / over.Seconds()
}

func (r *rate) fade(now time.Time, over time.Duration) {
	if passed := now.Sub(r.at); passed > 0 {
		r.sum *= math.Exp(-passed.Seconds() / over.Seconds())
		r.at = now
	}
}

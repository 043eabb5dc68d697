package routing

import (
	"time"

	"acaciacleat.example/core/call"
)

const (
	// ejectAfter is the number of failures in a row that eject a replica; one failure may
	// be the caller's doing, five in a row seldom are.
	ejectAfter = 5
	// ejectBase is the first ejection's length; each further one doubles it up to ejectMax.
	ejectBase = 10 * time.Second
	ejectMax  = 5 * time.Minute
	// ejectShare is the largest share of replicas ejected at once: if more fail, the fault
	// is probably not theirs and the rest could not carry the load.
	ejectShare = 0.5
	// slowStart is how long a new or returned replica takes to its full share.
	slowStart = 20 * time.Second
	// slowStartLeast is its share at the start.
	slowStartLeast = 0.1
	// maxOutliers bounds the remembered replicas.
	maxOutliers = 4096
)

// Plain chooses for plain services: fewest outstanding requests, without replicas that
// keep failing, and with a slow start for new ones.
type Plain struct {
	states map[string]*outlier
	next   int
}

type outlier struct {
	incarnation  call.Incarnation
	since        time.Time // start of the slow start
	ejectedUntil time.Time
	failures     int
	ejections    int
	lastSeen     time.Time
}

// NewPlain returns a Plain that knows of no replica. The replicas of the first choice
// start at their full share.
func NewPlain() *Plain { return &Plain{states: make(map[string]*outlier)} }

// Choose implements Policy.
func (p *Plain) Choose(request *Request, replicas []Replica, now time.Time) Choice {
	fresh := len(p.states) == 0
	live, ejected := 0, 0
	for i := range replicas {
		if !Usable(request, &replicas[i]) {
			continue
		}
		live++
		if p.state(&replicas[i], fresh, now).ejectedUntil.After(now) {
			ejected++
		}
	}
	ignore := float64(ejected) > ejectShare*float64(live)
	return Choice{Index: p.least(request, replicas, ignore, now)}
}

// least returns the usable replica with the least weighted load, starting at a place that
// moves on, so that equals take turns.
func (p *Plain) least(request *Request, replicas []Replica, ignoreEjection bool, now time.Time) int {
	best, lowest := -1, 0.0
	p.next++
	for step := range replicas {
		i := (p.next + step) % len(replicas)
		if !Usable(request, &replicas[i]) {
			continue
		}
		state := p.states[replicas[i].Agent]
		if !ignoreEjection && state.ejectedUntil.After(now) {
			continue
		}
		load := outstanding(&replicas[i]) / state.share(now)
		if best < 0 || load < lowest {
			best, lowest = i, load
		}
	}
	return best
}

func outstanding(replica *Replica) float64 {
	return float64(replica.InFlight+replica.Load.QueuedCalls+replica.Load.RunningCalls) + 1
}

func (o *outlier) share(now time.Time) float64 {
	return min(1, max(slowStartLeast, float64(now.Sub(o.since))/float64(slowStart)))
}

func (p *Plain) state(replica *Replica, fresh bool, now time.Time) *outlier {
	state := p.states[replica.Agent]
	if state == nil || state.incarnation != replica.Incarnation {
		if len(p.states) >= maxOutliers {
			p.dropOldest()
		}
		state = &outlier{incarnation: replica.Incarnation, since: now}
		if fresh {
			state.since = now.Add(-slowStart)
		}
		p.states[replica.Agent] = state
	}
	state.lastSeen = now
	return state
}

func (p *Plain) dropOldest() {
	oldest := ""
	for agent, state := range p.states {
		if oldest == "" || state.lastSeen.Before(p.states[oldest].lastSeen) {
			oldest = agent
		}
	}
	delete(p.states, oldest)
}

// Finished tells how a request to an agent's replica ended. A failure is one of the
// replica itself (no answer, a 5xx status), not of the request.
//
// What goes wrong: a replica that fails at once looks idle and draws all requests. It
// shows as a rise of failures from one replica. Failures in a row eject it for a time.
func (p *Plain) Finished(agent string, failed bool, now time.Time) {
	if state := p.states[agent]; state != nil {
		state.finished(failed, ejectAfter, now)
	}
}

// finished counts an end and ejects the replica after so many failures in a row.
func (o *outlier) finished(failed bool, after int, now time.Time) {
	if !failed {
		o.failures = 0
		return
	}
	o.failures++
	if o.failures < after {
		return
	}
	length := min(ejectMax, ejectBase<<min(o.ejections, 5))
	o.ejections++
	o.failures = 0
	o.ejectedUntil = now.Add(length)
	o.since = o.ejectedUntil
}

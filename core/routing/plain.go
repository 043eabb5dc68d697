package routing

import (
	"time"

	"acaciacleat.example/core/call"
)

const (
	// plainEjectThreshold is the number of consecutive failures that eject a replica. The
	// caller may cause one failure, but seldom five in a row.
	plainEjectThreshold = 5
	// minEjection is the duration of the first ejection; each further one doubles it up to
	// maxEjection.
	minEjection = 10 * time.Second
	maxEjection = 5 * time.Minute
	// maxEjectedShare is the largest share of replicas ejected at once. If more fail, the
	// cause is probably elsewhere, and the rest could not carry the load.
	maxEjectedShare = 0.5
	// slowStart is the time in which a new or readmitted replica reaches its full share.
	slowStart = 20 * time.Second
	// slowStartMinShare is the share of its full load that such a replica gets at first.
	slowStartMinShare = 0.1
	// maxTrackedReplicas bounds the number of replicas whose health is tracked.
	maxTrackedReplicas = 4096
)

// Plain chooses among replicas of plain services: the one with the fewest outstanding
// requests, without replicas that keep failing, and with a slow start for new ones.
type Plain struct {
	health map[string]*replicaHealth
	next   int
}

// replicaHealth tracks the failures and ejections of one replica.
type replicaHealth struct {
	incarnation         call.Incarnation
	slowStartAt         time.Time
	ejectedUntil        time.Time
	consecutiveFailures int
	ejections           int
	lastSeen            time.Time
}

// NewPlain returns a Plain without any replica. The replicas of the first choice have no
// slow start.
func NewPlain() *Plain { return &Plain{health: make(map[string]*replicaHealth)} }

// Choose implements Policy.
func (p *Plain) Choose(request *Request, replicas []Replica, now time.Time) Choice {
	initial := len(p.health) == 0
	live, ejected := 0, 0
	for i := range replicas {
		if !Usable(request, &replicas[i]) {
			continue
		}
		live++
		if p.healthOf(&replicas[i], initial, now).ejectedUntil.After(now) {
			ejected++
		}
	}
	ignoreEjections := float64(ejected) > maxEjectedShare*float64(live)
	return Choice{Index: p.leastLoaded(request, replicas, ignoreEjections, now)}
}

// leastLoaded returns the usable replica with the least weighted load. The search starts at
// another replica each time, so that equally loaded replicas take turns.
func (p *Plain) leastLoaded(request *Request, replicas []Replica, ignoreEjections bool, now time.Time) int {
	best, lowest := -1, 0.0
	p.next++
	for step := range replicas {
		i := (p.next + step) % len(replicas)
		if !Usable(request, &replicas[i]) {
			continue
		}
		state := p.health[replicas[i].Agent]
		if !ignoreEjections && state.ejectedUntil.After(now) {
			continue
		}
		load := outstanding(&replicas[i]) / state.slowStartShare(now)
		if best < 0 || load < lowest {
			best, lowest = i, load
		}
	}
	return best
}

// outstanding returns the number of requests at a replica, including the one to be placed.
func outstanding(replica *Replica) float64 {
	return float64(replica.InFlight+replica.Load.QueuedCalls+replica.Load.RunningCalls) + 1
}

func (h *replicaHealth) slowStartShare(now time.Time) float64 {
	return min(1, max(slowStartMinShare, float64(now.Sub(h.slowStartAt))/float64(slowStart)))
}

// healthOf returns the health of a replica. A replica that is new or has restarted begins with a
// slow start, unless initial is set.
func (p *Plain) healthOf(replica *Replica, initial bool, now time.Time) *replicaHealth {
	state := p.health[replica.Agent]
	if state == nil || state.incarnation != replica.Incarnation {
		if len(p.health) >= maxTrackedReplicas {
			p.dropOldest()
		}
		state = &replicaHealth{incarnation: replica.Incarnation, slowStartAt: now}
		if initial {
			state.slowStartAt = now.Add(-slowStart)
		}
		p.health[replica.Agent] = state
	}
	state.lastSeen = now
	return state
}

func (p *Plain) dropOldest() {
	oldest := ""
	for agent, state := range p.health {
		if oldest == "" || state.lastSeen.Before(p.health[oldest].lastSeen) {
			oldest = agent
		}
	}
	delete(p.health, oldest)
}

// Finished implements OutcomeObserver. A failure is one of the replica itself (no answer, a 5xx
// status), not of the request.
//
// A replica that fails at once looks idle and would attract all requests, so consecutive
// failures eject it for a time.
func (p *Plain) Finished(agent string, failed bool, now time.Time) {
	if state := p.health[agent]; state != nil {
		state.record(failed, plainEjectThreshold, now)
	}
}

// record counts the end of a request and ejects the replica after threshold consecutive
// failures.
func (h *replicaHealth) record(failed bool, threshold int, now time.Time) {
	if !failed {
		h.consecutiveFailures = 0
		return
	}
	h.consecutiveFailures++
	if h.consecutiveFailures < threshold {
		return
	}
	duration := min(maxEjection, minEjection<<min(h.ejections, 5))
	h.ejections++
	h.consecutiveFailures = 0
	h.ejectedUntil = now.Add(duration)
	h.slowStartAt = h.ejectedUntil
}

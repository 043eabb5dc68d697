// Package load decides which load digests agents send to each other and to entries.
//
// A single entry sees too few requests to know the load of a whole group of replicas. The
// agents of one model in one availability zone therefore exchange digests, and each reply
// to an entry carries a few of them. The traffic is bounded: the interval between two sends
// grows with the size of the group.
//
// The list of VMs does not say which model an agent's engine serves, and the model changes by
// orders, so peers' models are taken from their digests. A peer whose model is unknown gets
// digests like one of the same model. A peer of another model gets them seldom, just often
// enough to learn when this agent's model changes.
package load

import (
	"cmp"
	"slices"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/routing"
)

// Report is one agent's load digest as known to another process.
type Report struct {
	Agent       string
	Incarnation call.Incarnation
	Model       string
	Leaving     bool
	Load        routing.Load
	// TakenAt is when the digest was taken, by the clock of the process that keeps it.
	TakenAt time.Time
}

const (
	// digestBytes is the assumed size of one digest on a link, with its frame. TestDigestSize
	// in peers/link logs 114 bytes with all fields large.
	digestBytes = 112
	// budgetBytes is the number of bytes per second that an agent may send to its peers. It
	// receives about as much, which together is nearly all of the 2 KB/s that a node may spend
	// on control traffic.
	budgetBytes = 1000
	// otherModelsBytes is the part of budgetBytes for peers of other models, if there are any.
	otherModelsBytes = 200
	// otherModelsInterval is the minimum time between two digests to a peer of another model.
	otherModelsInterval = 10 * time.Second
	// minInterval is the minimum time between two digests.
	minInterval = 250 * time.Millisecond
	// maxInterval is the time after which an unchanged digest is sent again.
	maxInterval = 5 * time.Second
	// maxReportAge is the age from which a digest is ignored.
	maxReportAge = 10 * time.Second
	// minChangeShare is the relative change of the outstanding prompt tokens from which a
	// digest is sent before maxInterval.
	minChangeShare = 0.1
)

// Group is one agent's view of its group of peers. It is not safe for concurrent use.
type Group struct {
	self  string
	model string
	peers []string
	// peerModels holds the models of the peers that have sent a digest.
	peerModels      map[string]string
	reports         map[string]Report
	lastSent        routing.Load
	lastSentAt      time.Time
	lastSentLeaving bool
	// otherModelsSentAt is when a digest was last sent to the peers of other models.
	otherModelsSentAt time.Time
}

// NewGroup returns the group of the agent self, without peers.
func NewGroup(self string) *Group {
	return &Group{self: self, peerModels: make(map[string]string), reports: make(map[string]Report)}
}

// SetModel sets the model that this agent's engine serves.
func (g *Group) SetModel(model string) { g.model = model }

// SetPeers replaces the peers. It leaves out self, and drops the digests of agents that are no
// longer peers.
func (g *Group) SetPeers(agents []string) {
	g.peers = g.peers[:0]
	for _, agent := range agents {
		if agent != g.self {
			g.peers = append(g.peers, agent)
		}
	}
	for agent := range g.peerModels {
		if !slices.Contains(g.peers, agent) {
			delete(g.peerModels, agent)
			delete(g.reports, agent)
		}
	}
}

// servesOtherModel reports whether a peer is known to serve another model.
func (g *Group) servesOtherModel(agent string) bool {
	model, known := g.peerModels[agent]
	return known && model != g.model
}

// countOtherModels returns the number of peers that are known to serve another model.
func (g *Group) countOtherModels() int {
	n := 0
	for agent := range g.peerModels {
		if g.servesOtherModel(agent) {
			n++
		}
	}
	return n
}

// Interval returns the minimum time between two digests for the group's size. It does not
// count peers of other models: with enough of them the interval would exceed maxReportAge,
// and every digest would expire before the next one arrives.
func (g *Group) Interval() time.Duration {
	others := g.countOtherModels()
	budget := budgetBytes
	if others > 0 {
		budget -= otherModelsBytes
	}
	return max(minInterval, budgetInterval(len(g.peers)-others, budget))
}

// budgetInterval returns the time in which the budget, in bytes per second, allows one
// digest to each of the given number of peers.
func budgetInterval(peers, budget int) time.Duration {
	return time.Duration(peers*digestBytes) * time.Second / time.Duration(budget)
}

// Recipients returns the agents to which own must be sent now, and records it as sent. Most
// of the time there are none.
func (g *Group) Recipients(now time.Time, own *Report) []string {
	var to []string
	if g.groupSendDue(now, own) {
		to = g.appendPeers(to, false)
	}
	if others := g.countOtherModels(); others > 0 && now.Sub(g.otherModelsSentAt) >= max(otherModelsInterval, budgetInterval(others, otherModelsBytes)) {
		g.otherModelsSentAt = now
		to = g.appendPeers(to, true)
	}
	return to
}

// appendPeers appends the peers of other models if other is set, else all other peers.
func (g *Group) appendPeers(to []string, other bool) []string {
	for _, agent := range g.peers {
		if g.servesOtherModel(agent) == other {
			to = append(to, agent)
		}
	}
	return to
}

// groupSendDue reports whether own must be sent now to the peers that are not known to
// serve another model. If so, it records own as sent.
func (g *Group) groupSendDue(now time.Time, own *Report) bool {
	since := now.Sub(g.lastSentAt)
	urgent := own.Leaving && !g.lastSentLeaving || own.Load.Down != g.lastSent.Down
	due := since >= g.Interval() && (since >= maxInterval || changedEnough(&g.lastSent, &own.Load))
	if !urgent && !due {
		return false
	}
	g.lastSent = own.Load
	g.lastSentAt = now
	g.lastSentLeaving = own.Leaving
	return true
}

// changedEnough reports whether a digest differs enough from the one sent last: the outstanding
// prompt tokens have changed by more than minChangeShare, the queue has become empty or no longer
// is, or the free memory has changed and is less than a quarter of the capacity.
func changedEnough(last, own *routing.Load) bool {
	before, after := outstandingTokens(last), outstandingTokens(own)
	larger := max(before, after)
	if larger > 0 && float64(max(before-after, after-before)) > minChangeShare*float64(larger) {
		return true
	}
	return last.QueuedCalls == 0 != (own.QueuedCalls == 0) || last.FreeTokens != own.FreeTokens && own.FreeTokens < own.CapacityTokens/4
}

// outstandingTokens returns the number of prompt tokens that wait or run.
func outstandingTokens(l *routing.Load) int64 {
	sum := int64(0)
	for class := range l.QueuedPrompt {
		sum += l.QueuedPrompt[class] + l.RunningPrompt[class]
	}
	return sum
}

// Receive stores a peer's digest. It drops a digest that is older than the stored one, by its
// sequence number within an incarnation and by TakenAt otherwise: links may deliver late, and
// an old digest would route requests to a replica that is full.
func (g *Group) Receive(report Report) {
	if !slices.Contains(g.peers, report.Agent) {
		return
	}
	old, known := g.reports[report.Agent]
	if known && old.Incarnation == report.Incarnation && report.Load.Sequence <= old.Load.Sequence {
		return
	}
	if known && old.Incarnation != report.Incarnation && report.TakenAt.Before(old.TakenAt) {
		return
	}
	g.peerModels[report.Agent] = report.Model
	g.reports[report.Agent] = report
}

// LeastLoaded returns up to n current digests of peers of the same model for a reply, least loaded
// first.
func (g *Group) LeastLoaded(now time.Time, n int) []Report {
	fresh := make([]Report, 0, len(g.reports))
	for agent, report := range g.reports {
		if now.Sub(report.TakenAt) > maxReportAge {
			delete(g.reports, agent)
			continue
		}
		if report.Model != g.model {
			continue
		}
		fresh = append(fresh, report)
	}
	slices.SortFunc(fresh, func(a, b Report) int {
		if a.Load.Down != b.Load.Down {
			return compareDown(a.Load.Down)
		}
		if byLoad := cmp.Compare(outstandingTokens(&a.Load), outstandingTokens(&b.Load)); byLoad != 0 {
			return byLoad
		}
		return cmp.Compare(a.Agent, b.Agent)
	})
	return fresh[:min(n, len(fresh))]
}

// compareDown compares a digest with the given Down to one with the opposite value. Engines
// that are down sort last; being idle, they would otherwise come first.
func compareDown(down bool) int {
	if down {
		return 1
	}
	return -1
}

// LessLoadedPeer returns the least loaded peer of the same model that is neither leaving nor down,
// has fewer outstanding prompt tokens than own by more than margin, and has at least need free
// tokens. It returns "" if there is none.
func (g *Group) LessLoadedPeer(now time.Time, own *routing.Load, need int64, margin int64) string {
	for _, report := range g.LeastLoaded(now, len(g.reports)) {
		if report.Leaving || report.Load.Down || report.Load.FreeTokens < need {
			continue
		}
		if outstandingTokens(&report.Load)+margin < outstandingTokens(own) {
			return report.Agent
		}
	}
	return ""
}

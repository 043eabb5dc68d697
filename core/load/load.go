// Package load decides which load digests agents tell each other and entries.
//
// One entry sees too few requests to know the load of a whole group of replicas by its
// own. So the agents of one model in one availability zone tell each other their
// digests, and each reply to an entry carries a few of them. The bytes that this costs
// are bounded: the interval between two tellings grows with the size of the group.
//
// The list of VMs does not say which model an agent's engine serves, and orders change it.
// So peers' models are learned from their digests. A peer whose model is unknown is told
// like one of the own model; one of another model is told seldom, just so that it learns
// of a change.
package load

import (
	"cmp"
	"slices"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/routing"
)

// Report is one agent's digest as somebody else knows it.
type Report struct {
	Agent       string
	Incarnation call.Incarnation
	Model       string
	Leaving     bool
	Load        routing.Load
	// At is when the digest was made, by the holder's clock.
	At time.Time
}

const (
	// digestBytes is the size that the budget assumes of one digest on a link, with its
	// frame. TestDigestSize in peers/link logs 114 bytes with all fields large.
	digestBytes = 112
	// budgetBytes is what an agent may send to tell its peers, in bytes a second. About as
	// much is received, so that telling may take nearly all of the 2 KB/s that a node may
	// spend on control.
	budgetBytes = 1000
	// othersBytes is the part of it for peers of other models, where there are any.
	othersBytes = 200
	// othersInterval is the least time between two tellings of a peer of another model.
	othersInterval = 10 * time.Second
	// minInterval is the least time between two tellings.
	minInterval = 250 * time.Millisecond
	// maxInterval is the time after which an unchanged digest is told again.
	maxInterval = 5 * time.Second
	// forgetAfter is the age at which a digest says nothing any more.
	forgetAfter = 10 * time.Second
	// changeShare is the least change of the prompt tokens in hand that is worth telling
	// before maxInterval, as a share of the larger value.
	changeShare = 0.1
)

// Group is one agent's part in its group. It is used by one goroutine at a time.
type Group struct {
	self  string
	model string
	peers []string
	// models are those of the peers that were heard of.
	models  map[string]string
	known   map[string]Report
	told    routing.Load
	toldAt  time.Time
	leaving bool
	// othersAt is when the peers of other models were told last.
	othersAt time.Time
}

// NewGroup returns the part of the agent self, which knows no peers yet.
func NewGroup(self string) *Group {
	return &Group{self: self, models: make(map[string]string), known: make(map[string]Report)}
}

// SetModel says which model the own engine serves.
func (g *Group) SetModel(model string) { g.model = model }

// SetPeers replaces the agents that are told; self is left out.
func (g *Group) SetPeers(agents []string) {
	g.peers = g.peers[:0]
	for _, agent := range agents {
		if agent != g.self {
			g.peers = append(g.peers, agent)
		}
	}
	for agent := range g.models {
		if !slices.Contains(g.peers, agent) {
			delete(g.models, agent)
			delete(g.known, agent)
		}
	}
}

// other tells whether a peer is known to serve another model.
func (g *Group) other(agent string) bool {
	model, known := g.models[agent]
	return known && model != g.model
}

// countOthers returns the number of peers that are known to serve another model.
func (g *Group) countOthers() int {
	n := 0
	for agent := range g.models {
		if g.other(agent) {
			n++
		}
	}
	return n
}

// Interval is the least time between two tellings for the group's size. Were peers of
// other models counted, then with enough of them it would pass forgetAfter: every digest
// would be forgotten before the next one comes, and the group would share nothing.
func (g *Group) Interval() time.Duration {
	others := g.countOthers()
	budget := budgetBytes
	if others > 0 {
		budget -= othersBytes
	}
	return max(minInterval, spending(len(g.peers)-others, budget))
}

// spending is the time in which the budget allows to tell so many peers once.
func spending(peers, budget int) time.Duration {
	return time.Duration(peers*digestBytes) * time.Second / time.Duration(budget)
}

// Tell returns the agents that must now be told own, which is nobody most of the time.
func (g *Group) Tell(now time.Time, own *Report) []string {
	var to []string
	if g.tellsGroup(now, own) {
		to = g.pick(to, false)
	}
	if others := g.countOthers(); others > 0 && now.Sub(g.othersAt) >= max(othersInterval, spending(others, othersBytes)) {
		g.othersAt = now
		to = g.pick(to, true)
	}
	return to
}

// pick appends the peers of other models, or all but these.
func (g *Group) pick(to []string, other bool) []string {
	for _, agent := range g.peers {
		if g.other(agent) == other {
			to = append(to, agent)
		}
	}
	return to
}

// tellsGroup decides whether the peers of the own model must now be told.
func (g *Group) tellsGroup(now time.Time, own *Report) bool {
	since := now.Sub(g.toldAt)
	urgent := own.Leaving && !g.leaving || own.Load.Down != g.told.Down
	due := since >= g.Interval() && (since >= maxInterval || changed(&g.told, &own.Load))
	if !urgent && !due {
		return false
	}
	g.told = own.Load
	g.toldAt = now
	g.leaving = own.Leaving
	return true
}

// changed reports whether a digest differs enough from the one told last.
func changed(old, now *routing.Load) bool {
	before, after := inHand(old), inHand(now)
	larger := max(before, after)
	if larger > 0 && float64(max(before-after, after-before)) > changeShare*float64(larger) {
		return true
	}
	return old.QueuedCalls == 0 != (now.QueuedCalls == 0) || old.FreeTokens != now.FreeTokens && now.FreeTokens < now.CapacityTokens/4
}

// inHand is the number of prompt tokens that wait or run.
func inHand(l *routing.Load) int64 {
	sum := int64(0)
	for class := range l.QueuedPrompt {
		sum += l.QueuedPrompt[class] + l.RunningPrompt[class]
	}
	return sum
}

// Hear takes a peer's digest. One that is older than what is known is dropped: links
// may deliver late, and an old digest would send work where it no longer fits.
func (g *Group) Hear(report Report) {
	if !slices.Contains(g.peers, report.Agent) {
		return
	}
	old, known := g.known[report.Agent]
	if known && old.Incarnation == report.Incarnation && report.Load.Sequence <= old.Load.Sequence {
		return
	}
	if known && old.Incarnation != report.Incarnation && report.At.Before(old.At) {
		return
	}
	g.models[report.Agent] = report.Model
	g.known[report.Agent] = report
}

// Best returns up to n fresh digests of peers of the own model, least loaded first, for a
// reply.
func (g *Group) Best(now time.Time, n int) []Report {
	fresh := make([]Report, 0, len(g.known))
	for agent, report := range g.known {
		if now.Sub(report.At) > forgetAfter {
			delete(g.known, agent)
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
		if byLoad := cmp.Compare(inHand(&a.Load), inHand(&b.Load)); byLoad != 0 {
			return byLoad
		}
		return cmp.Compare(a.Agent, b.Agent)
	})
	return fresh[:min(n, len(fresh))]
}

// compareDown orders a digest against one that differs in Down: a broken engine is idle
// and would otherwise lead the list.
func compareDown(down bool) int {
	if down {
		return 1
	}
	return -1
}

// Better names a peer that is believed to have less in hand than own by more than the
// given number of prompt tokens, and room for need tokens; "" when there is none.
func (g *Group) Better(now time.Time, own *routing.Load, need int64, margin int64) string {
	for _, report := range g.Best(now, len(g.known)) {
		if report.Leaving || report.Load.Down || report.Load.FreeTokens < need {
			continue
		}
		if inHand(&report.Load)+margin < inHand(own) {
			return report.Agent
		}
	}
	return ""
}

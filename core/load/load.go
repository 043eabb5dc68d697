// Package load decides which load digests agents tell each other and entries.
//
// One entry sees too few requests to know the load of a whole group of replicas by its
// own. So the agents of one model in one availability zone tell each other their
// digests, and each reply to an entry carries a few of them. The bytes that this costs
// are bounded: the interval between two tellings grows with the size of the group.
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
	// digestBytes is the size of one digest on a link, with its frame. Measured by
	// TestDigestSize in peers/link: 112 bytes with all fields large.
	digestBytes = 112
	// budgetBytes is what an agent may spend on telling its group, in bytes a second: half
	// of the 2 KB/s that a node may spend on control.
	budgetBytes = 1000
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
	self    string
	peers   []string
	known   map[string]Report
	told    routing.Load
	toldAt  time.Time
	leaving bool
}

// NewGroup returns the part of the agent self, which knows no peers yet.
func NewGroup(self string) *Group {
	return &Group{self: self, known: make(map[string]Report)}
}

// SetPeers replaces the agents that are told; self is left out.
func (g *Group) SetPeers(agents []string) {
	g.peers = g.peers[:0]
	for _, agent := range agents {
		if agent != g.self {
			g.peers = append(g.peers, agent)
		}
	}
	for agent := range g.known {
		if !slices.Contains(g.peers, agent) {
			delete(g.known, agent)
		}
	}
}

// Interval is the least time between two tellings for the group's size.
func (g *Group) Interval() time.Duration {
	spent := time.Duration(len(g.peers)*digestBytes) * time.Second / budgetBytes
	return max(minInterval, spent)
}

// Tell returns the agents that must now be told own, which is nobody most of the time.
func (g *Group) Tell(now time.Time, own *Report) []string {
	since := now.Sub(g.toldAt)
	urgent := own.Leaving && !g.leaving || own.Load.Down != g.told.Down
	due := since >= g.Interval() && (since >= maxInterval || changed(&g.told, &own.Load))
	if !urgent && !due {
		return nil
	}
	g.told = own.Load
	g.toldAt = now
	g.leaving = own.Leaving
	return g.peers
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
	g.known[report.Agent] = report
}

// Best returns up to n fresh digests of peers, least loaded first, for a reply.
func (g *Group) Best(now time.Time, n int) []Report {
	fresh := make([]Report, 0, len(g.known))
	for agent, report := range g.known {
		if now.Sub(report.At) > forgetAfter {
			delete(g.known, agent)
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

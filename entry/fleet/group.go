package fleet

import (
	"cmp"
	"slices"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/routing"
	"acaciacleat.example/peers/link"
)

// groupCandidates bounds the agents named for a group. The longest prompts need three
// engines; the rest are for members that stay busy or are lost.
const groupCandidates = 6

// GroupFor names agents that may share a request's memory with the one that leads, those
// with the most free memory first. It returns nil when one engine is enough.
func (v *View) GroupFor(request *routing.Request, leader string) []link.GroupMember {
	v.mu.Lock()
	defer v.mu.Unlock()
	g := v.services[request.Service]
	a := v.agents[leader]
	if g == nil || a == nil {
		return nil
	}
	capacity := g.replicas[a.index].Load.CapacityTokens
	if capacity == 0 {
		// Not reported yet; prompts of ordinary length fit any engine.
		capacity = call.MediumMax
	}
	if int64(request.Demand.Tokens()) <= capacity {
		return nil
	}
	var candidates []*routing.Replica
	for i := range g.replicas {
		r := &g.replicas[i]
		if r.Agent != leader && r.State == routing.Live && (r.Model == "" || r.Model == request.Model) {
			candidates = append(candidates, r)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *routing.Replica) int {
		return cmp.Compare(b.Load.FreeTokens, a.Load.FreeTokens)
	})
	var members []link.GroupMember
	for _, r := range candidates[:min(groupCandidates, len(candidates))] {
		members = append(members, link.GroupMember{Agent: r.Agent, Link: v.agents[r.Agent].vm.Link})
	}
	return members
}

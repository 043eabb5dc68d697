package fleet

import (
	"cmp"
	"slices"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/routing"
	"acaciacleat.example/peers/link"
)

// maxGroupCandidates bounds the agents named for a group. The longest prompts need three
// engines; the others are spares for members that stay busy or are lost.
const maxGroupCandidates = 6

// GroupFor returns agents that may hold a part of a request's memory in a group with the
// leader, those with the most free memory first. It returns nil if one engine is enough.
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
		// The capacity is not reported yet. Prompts up to medium length fit any engine.
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
	for _, r := range candidates[:min(maxGroupCandidates, len(candidates))] {
		members = append(members, link.GroupMember{Agent: r.Agent, Link: v.agents[r.Agent].vm.Link})
	}
	return members
}

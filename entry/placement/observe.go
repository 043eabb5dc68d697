package placement

import (
	"context"
	"sync"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/core/placement"
	"acaciacleat.example/core/routing"
	"acaciacleat.example/peers/link"
	"github.com/pkg/errors"
)

const (
	// statusTimeout bounds the wait for the status of one agent.
	statusTimeout = time.Second
	// maxStatusRequests bounds the concurrent requests for a status.
	maxStatusRequests = 32
	// placementShare is the share of the weight store's rate that placement uses. The rest is
	// for engines that load weights when they start.
	placementShare = 0.8
)

// agentState is the last known state of an agent's engine.
type agentState struct {
	firstSeen time.Time
	// status is the last one received; nil before the first.
	status *link.Status
}

// observe collects the input of a decision. It returns an error if the slots, the rejected
// canaries or the status of an engine that seems alive are unknown, because a decision without
// them could be wrong.
func (p *placer) observe(ctx context.Context, service *document.Service) (*placement.Input, error) {
	in := &placement.Input{Service: service}
	err := p.readRows(ctx, in)
	if err != nil {
		return nil, err
	}
	replicas := p.agents.replicas(p.service)
	p.updateStatuses(ctx, replicas)
	now := time.Now()
	explained := make([]Replica, 0, len(replicas))
	for i := range replicas {
		r, unknown := p.replica(now, &replicas[i])
		if unknown {
			err = errors.WithMessage(errStatusUnknown, r.VM)
		}
		in.Replicas = append(in.Replicas, r)
		explained = append(explained, p.explainReplica(&r))
	}
	p.history.setReplicas(explained)
	p.removeStates(replicas)
	return in, err
}

// readRows reads the slots and the rejected canaries. If this entry still holds the lease, it
// also deletes the rejections of canaries that the document no longer names.
func (p *placer) readRows(ctx context.Context, in *placement.Input) error {
	slots, err := p.rows.slots(ctx, p.slotCount(ctx))
	if err != nil {
		return err
	}
	in.Slots = slots
	p.rejected, err = p.rows.rejected(ctx)
	if err != nil {
		return err
	}
	if rejected := p.rejected.stillNamed(in.Service); len(rejected) < len(p.rejected.canaries) && p.holdsLease() {
		version, err := p.rows.setRejected(ctx, p.rejected.version, rejected)
		if err != nil {
			return err
		}
		p.rejected = rejections{version: version, canaries: rejected}
	}
	for _, c := range p.rejected.canaries {
		in.Rejected = append(in.Rejected, placement.ModelVersion{Model: c.Model, Version: c.Version})
	}
	return nil
}

// slotCount returns the number of concurrent fetches that the weight store's rate allows. It
// is 0 until the rate was read once; if a later read fails, the last rate is used.
func (p *placer) slotCount(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rate, err := p.weights.RateBytesPerSecond(ctx)
	if err == nil {
		p.rate = rate
	}
	if p.rate <= 0 {
		return 0
	}
	return min(maxSlots, max(1, int(p.rate*placementShare/p.settings.FetchRate)))
}

// updateStatuses requests the status of all agents that are not dead. The last status is kept
// for an agent that does not answer, or whose answer says nothing about its engine.
func (p *placer) updateStatuses(ctx context.Context, replicas []routing.Replica) {
	semaphore := make(chan struct{}, maxStatusRequests)
	var requests sync.WaitGroup
	for i := range replicas {
		vm := replicas[i].Agent
		if p.agentStates[vm] == nil {
			p.agentStates[vm] = &agentState{firstSeen: time.Now()}
		}
		if replicas[i].State == routing.Dead {
			continue
		}
		state := p.agentStates[vm]
		semaphore <- struct{}{}
		requests.Go(func() {
			defer func() { <-semaphore }()
			p.updateStatus(ctx, vm, state)
		})
	}
	requests.Wait()
}

func (p *placer) updateStatus(ctx context.Context, vm string, state *agentState) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := p.agents.status(ctx, vm)
	if err != nil || !status.Reported && !status.EngineDown {
		return
	}
	if !status.Reported && state.status != nil {
		// The agent has restarted and its engine is down. The last report remains valid.
		state.status.EngineDown = true
		return
	}
	state.status = status
}

// replica returns the observation of one engine. unknown is set if the engine seems alive but
// has not reported its status and StatusGracePeriod has not passed; after that time the engine
// counts as dead. An engine with unknown status must not count as one that serves no model: in
// the first round after each change of holder it would be ordered to load a model needlessly.
func (p *placer) replica(now time.Time, r *routing.Replica) (replica placement.Replica, unknown bool) {
	replica = placement.Replica{VM: r.Agent, Zone: r.Zone, State: r.State}
	state := p.agentStates[r.Agent]
	if state.status == nil {
		if now.Sub(state.firstSeen) < p.settings.StatusGracePeriod {
			return replica, r.State == routing.Live || r.State == routing.Suspect
		}
		replica.State = routing.Dead
		return replica, false
	}
	status := state.status
	replica.Model = status.Model
	replica.Version = status.Version
	replica.Adapters = status.Adapters
	replica.Role = status.Role
	replica.Requests = status.Requests
	replica.ErrorRate = status.ErrorRate
	replica.FirstToken = time.Duration(status.FirstTokenMs * float64(time.Millisecond))
	if status.EngineDown && replica.State != routing.Leaving {
		replica.State = routing.Dead
	}
	return replica, false
}

// removeStates removes the states of agents that are no longer in the view.
func (p *placer) removeStates(replicas []routing.Replica) {
	present := make(map[string]bool, len(replicas))
	for i := range replicas {
		present[replicas[i].Agent] = true
	}
	for vm := range p.agentStates {
		if !present[vm] {
			delete(p.agentStates, vm)
		}
	}
}

// stateNames are the names of the states in explanations.
var stateNames = map[routing.State]string{
	routing.Live:    "live",
	routing.Suspect: "suspect",
	routing.Leaving: "leaving",
	routing.Dead:    "dead",
}

func (p *placer) explainReplica(r *placement.Replica) Replica {
	explained := Replica{
		VM:           r.VM,
		Zone:         r.Zone,
		State:        stateNames[r.State],
		Model:        r.Model,
		Version:      r.Version,
		Adapters:     r.Adapters,
		Role:         r.Role,
		Requests:     r.Requests,
		ErrorRate:    r.ErrorRate,
		FirstTokenMs: float64(r.FirstToken) / float64(time.Millisecond),
	}
	if status := p.agentStates[r.VM].status; status != nil {
		explained.OrderError = status.OrderError
	}
	return explained
}

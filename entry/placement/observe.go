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
	// statusTimeout bounds the wait for one agent's status.
	statusTimeout = time.Second
	// askedAtOnce bounds the agents asked at once.
	askedAtOnce = 32
	// placementShare is the part of the weight store's rate that placement uses; the rest
	// is for engines that load at their own start.
	placementShare = 0.8
)

// seen is what is known of an agent's engine.
type seen struct {
	since time.Time
	// status is the last one told; nil before the first.
	status *link.Status
}

// observe collects what a decision is made from. It fails when something is not known
// without which the decision might be wrong.
func (p *placer) observe(ctx context.Context, service *document.Service) (*placement.Input, error) {
	in := &placement.Input{Service: service}
	err := p.readRows(ctx, in)
	if err != nil {
		return nil, err
	}
	replicas := p.agents.replicas(p.service)
	p.askAll(ctx, replicas)
	now := time.Now()
	shown := make([]Replica, 0, len(replicas))
	for i := range replicas {
		r, untold := p.replica(now, &replicas[i])
		if untold {
			err = errors.WithMessage(errUntold, r.VM)
		}
		in.Replicas = append(in.Replicas, r)
		shown = append(shown, p.show(&r))
	}
	p.history.saw(shown)
	p.forget(replicas)
	return in, err
}

// readRows reads the slots and the rejected canaries.
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
	if left := p.rejected.outlived(in.Service); len(left) < len(p.rejected.canaries) && p.holds() {
		version, err := p.rows.setRejected(ctx, p.rejected.version, left)
		if err != nil {
			return err
		}
		p.rejected = rejections{version: version, canaries: left}
	}
	for _, c := range p.rejected.canaries {
		in.Rejected = append(in.Rejected, placement.ModelVersion{Model: c.Model, Version: c.Version})
	}
	return nil
}

// slotCount is the number of fetches that the weight store's rate allows at once. While
// the rate is not known nothing may be fetched; one that is known may be a little old.
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

// askAll asks all agents that may answer. Those that don't keep what they told last.
func (p *placer) askAll(ctx context.Context, replicas []routing.Replica) {
	places := make(chan struct{}, askedAtOnce)
	var all sync.WaitGroup
	for i := range replicas {
		vm := replicas[i].Agent
		if p.seen[vm] == nil {
			p.seen[vm] = &seen{since: time.Now()}
		}
		if replicas[i].State == routing.Dead {
			continue
		}
		known := p.seen[vm]
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			p.ask(ctx, vm, known)
		})
	}
	all.Wait()
}

func (p *placer) ask(ctx context.Context, vm string, known *seen) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := p.agents.status(ctx, vm)
	if err != nil || !status.Reported && !status.EngineDown {
		return
	}
	if !status.Reported && known.status != nil {
		// A restarted agent whose engine is down: what was known before still holds.
		known.status.EngineDown = true
		return
	}
	known.status = status
}

// replica makes the observation of one engine; untold says that nothing is known of an
// engine that seems to live. Such an engine must not be taken for one that serves nothing:
// it would be given another model in the first round after each change of holder.
func (p *placer) replica(now time.Time, r *routing.Replica) (replica placement.Replica, untold bool) {
	replica = placement.Replica{VM: r.Agent, Zone: r.Zone, State: r.State}
	known := p.seen[r.Agent]
	if known.status == nil {
		if now.Sub(known.since) < p.settings.StatusGrace {
			return replica, r.State == routing.Live || r.State == routing.Suspect
		}
		replica.State = routing.Dead
		return replica, false
	}
	status := known.status
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

// forget drops agents that are gone from the view.
func (p *placer) forget(replicas []routing.Replica) {
	here := make(map[string]bool, len(replicas))
	for i := range replicas {
		here[replicas[i].Agent] = true
	}
	for vm := range p.seen {
		if !here[vm] {
			delete(p.seen, vm)
		}
	}
}

// stateNames spell the states for operators.
var stateNames = map[routing.State]string{
	routing.Live:    "live",
	routing.Suspect: "suspect",
	routing.Leaving: "leaving",
	routing.Dead:    "dead",
}

func (p *placer) show(r *placement.Replica) Replica {
	shown := Replica{
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
	if status := p.seen[r.VM].status; status != nil {
		shown.OrderError = status.OrderError
	}
	return shown
}

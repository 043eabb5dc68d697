package placement

import (
	"context"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/core/lease"
	"acaciacleat.example/core/placement"
	"acaciacleat.example/core/routing"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/weights"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

const (
	// orderTimeout bounds the wait for an agent's answer to an order. An agent that has just
	// started first reads the lease's row; the timeout includes that.
	orderTimeout = 3 * time.Second
	// orderStartTimeout is the time within which the agent must start the order. It counts from
	// the order's stamp, a reading of the agent's clock that may be 10 s old when the order is
	// sent.
	orderStartTimeout = 15 * time.Second
	// maxOrderAttempts bounds how often an order without a confirmation is sent.
	maxOrderAttempts = 5
)

// leaseHolder reports whether this process holds a lease. leaserow.Runner implements it.
type leaseHolder interface {
	Held() (lease.Grant, bool)
}

// agents gives access to the agents of a service.
type agents interface {
	replicas(service string) []routing.Replica
	status(ctx context.Context, vm string) (*link.Status, error)
	sendOrder(ctx context.Context, vm string, order link.Order) (*link.OrderAnswer, error)
}

// placer places one service while this entry holds its lease. Its rounds do not overlap.
type placer struct {
	service  string
	settings *Settings
	lease    leaseHolder
	agents   agents
	weights  weights.Store
	rows     *rows
	log      zerolog.Logger
	history  history

	// startTerm sets fence, planner, agentStates and unconfirmed for a new term as the lease's
	// holder. Each round sets rate and rejected.
	fence       uint64
	planner     *placement.Placer
	agentStates map[string]*agentState
	unconfirmed map[string]sentOrder
	rate        float64
	rejected    rejections
}

// sentOrder is an order that was sent and may not be confirmed yet.
type sentOrder struct {
	order placement.Order
	// slot is the slot that was taken for the order. It is set only for the first attempt of an
	// order that fetches weights. A refusal then proves that nothing is being fetched, and the
	// slot can be released.
	slot     *placement.Slot
	attempts int
}

func newPlacer(service, id string, config *Config, lease leaseHolder, agents agents) *placer {
	return &placer{
		service:  service,
		settings: &config.Settings,
		lease:    lease,
		agents:   agents,
		weights:  config.Weights,
		rows:     &rows{store: config.Table, service: service, writer: id},
		log:      config.Log.With().Str("service", service).Logger(),
	}
}

// round decides once and performs the actions, if this entry holds the lease.
func (p *placer) round(ctx context.Context, service *document.Service) {
	grant, held := p.lease.Held()
	if !held {
		p.planner = nil
		return
	}
	if p.planner == nil || p.fence != grant.Fence {
		p.startTerm(grant.Fence)
	}
	in, err := p.observe(ctx, service)
	if err != nil {
		p.log.Warn().Err(err).Msg("placement waits")
		return
	}
	p.resendUnconfirmed(ctx, in)
	for _, action := range p.planner.Decide(time.Now(), in) {
		p.perform(ctx, action)
	}
}

func (p *placer) startTerm(fence uint64) {
	p.fence = fence
	p.planner = placement.New(p.settings.Decisions)
	p.agentStates = make(map[string]*agentState)
	p.unconfirmed = make(map[string]sentOrder)
	p.log.Info().Uint64("fence", fence).Msg("this entry places the service")
}

// holdsLease reports whether this entry still holds the lease under the fencing number of the
// current term.
func (p *placer) holdsLease() bool {
	grant, held := p.lease.Held()
	return held && grant.Fence == p.fence
}

func (p *placer) perform(ctx context.Context, action placement.Action) {
	switch a := action.(type) {
	case placement.SlotOrder:
		p.sendSlotOrder(ctx, a)
	case placement.Order:
		p.sendOrder(ctx, sentOrder{order: a})
	case placement.ReleaseSlot:
		p.releaseSlot(ctx, a.Slot, a.Version)
	case placement.RejectCanary:
		p.rejectCanary(ctx, a)
	}
}

// sendSlotOrder takes a slot of the weight store and then sends the order.
func (p *placer) sendSlotOrder(ctx context.Context, a placement.SlotOrder) {
	if !p.holdsLease() {
		p.planner.OrderDropped(a.Order.VM)
		return
	}
	version, err := p.rows.setSlot(ctx, a.Slot, a.Version, &a.Order, p.fence)
	if err != nil {
		// If the write was applied despite the error, the next round finds the order in the slot.
		p.planner.OrderDropped(a.Order.VM)
		p.recordStep(a.Order, "no slot of the weight store: "+err.Error())
		return
	}
	p.sendOrder(ctx, sentOrder{order: a.Order, slot: &placement.Slot{Index: a.Slot, Version: version}})
}

// sendOrder sends an order. An order that is refused at the first attempt had no effect, and
// its slot is released. An order whose answer was lost, or that was found in a slot, may be
// in progress. If its slot were released, another fetch could start at the same time and the
// weight store's rate would be exceeded. Therefore such an order is sent again in later rounds,
// which is safe because an order names the desired state, and its slot is left to expire.
func (p *placer) sendOrder(ctx context.Context, sent sentOrder) {
	if !p.holdsLease() {
		p.planner.OrderDropped(sent.order.VM)
		return
	}
	orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answer, err := p.agents.sendOrder(orderCtx, sent.order.VM, p.orderMessage(&sent.order))
	switch {
	case err != nil:
		p.recordStep(sent.order, "no answer: "+err.Error())
		sent.slot = nil
		p.scheduleResend(sent)
	case answer.OK:
		p.recordStep(sent.order, "given")
	case sent.slot != nil:
		p.recordStep(sent.order, "refused: "+answer.Detail)
		p.planner.OrderDropped(sent.order.VM)
		p.releaseSlot(ctx, sent.slot.Index, sent.slot.Version)
	default:
		p.recordStep(sent.order, "refused: "+answer.Detail)
		p.scheduleResend(sent)
	}
}

// scheduleResend marks an order for another attempt in the next round, up to
// maxOrderAttempts.
func (p *placer) scheduleResend(sent sentOrder) {
	if sent.attempts++; sent.attempts < maxOrderAttempts {
		p.unconfirmed[sent.order.VM] = sent
	}
}

// resendUnconfirmed sends unconfirmed orders again unless they are observed as done. If a done
// order were sent again, an adapter would be fetched a second time while another order may
// already use its slot. Orders of agents that aren't live are dropped.
func (p *placer) resendUnconfirmed(ctx context.Context, in *placement.Input) {
	resend := p.unconfirmed
	p.unconfirmed = make(map[string]sentOrder)
	for i := range in.Replicas {
		replica := &in.Replicas[i]
		sent, ok := resend[replica.VM]
		if ok && replica.State == routing.Live && !placement.Done(&sent.order, replica) {
			p.sendOrder(ctx, sent)
		}
	}
}

func (p *placer) orderMessage(order *placement.Order) link.Order {
	return link.Order{
		Kind:             string(order.Kind),
		Model:            order.Model,
		Version:          order.Version,
		Adapter:          order.Adapter,
		Role:             order.Role,
		Fence:            p.fence,
		StartWithinMs:    orderStartTimeout.Milliseconds(),
		CompleteWithinMs: p.settings.Decisions.OrderTimeout.Milliseconds(),
	}
}

// releaseSlot releases a slot. If the write fails, the next round repeats it or the slot
// expires.
func (p *placer) releaseSlot(ctx context.Context, index int, version uint64) {
	if !p.holdsLease() {
		return
	}
	if _, err := p.rows.setSlot(ctx, index, version, nil, p.fence); err != nil {
		p.log.Warn().Err(err).Int("slot", index).Msg("a slot of the weight store was not freed")
	}
}

// rejectCanary stores that a canary was rolled back. If the write fails, the planner repeats
// the action in each round until the rejection is stored.
func (p *placer) rejectCanary(ctx context.Context, a placement.RejectCanary) {
	step := placement.Order{Kind: kindRejectCanary, Model: a.Model, Version: a.Version, Reason: a.Reason}
	if !p.holdsLease() {
		return
	}
	canaries := append(p.rejected.canaries, rejection{Model: a.Model, Version: a.Version, Reason: a.Reason})
	version, err := p.rows.setRejected(ctx, p.rejected.version, canaries)
	if err != nil {
		p.recordStep(step, "not stored yet: "+err.Error())
		return
	}
	p.rejected = rejections{version: version, canaries: canaries}
	p.recordStep(step, "stored")
}

// recordStep adds a step to the history and logs it.
func (p *placer) recordStep(order placement.Order, outcome string) {
	p.history.add(Step{
		At:      time.Now(),
		VM:      order.VM,
		Kind:    string(order.Kind),
		Model:   order.Model,
		Version: order.Version,
		Adapter: order.Adapter,
		Role:    order.Role,
		Reason:  order.Reason,
		Outcome: outcome,
		Fence:   p.fence,
	})
	p.log.Info().Str("peer", order.VM).Str("kind", string(order.Kind)).Str("model", order.Model).
		Str("version", order.Version).Str("reason", string(order.Reason)).Str("outcome", outcome).Msg("placement")
}

// explain adds this entry's steps and observations.
func (p *placer) explain(e *Explanation) {
	_, e.HeldHere = p.lease.Held()
	p.history.copyTo(e)
}

// errStatusUnknown means that an agent has not reported yet what its engine serves.
var errStatusUnknown = errors.New("placement: agent has not reported what its engine serves")

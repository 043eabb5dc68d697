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
	// orderTimeout bounds the wait for an agent to take an order. It covers the agent's
	// reading of the lease's row after a start.
	orderTimeout = 3 * time.Second
	// orderStart is how long after the stamp an agent may begin an order. A link's stamp
	// may be 10 s old when the order is sent.
	orderStart = 15 * time.Second
	// orderTries is how often an order is sent whose answer was lost.
	orderTries = 5
)

// holder tells whether this process holds a lease. leaserow.Runner implements it.
type holder interface {
	Held() (lease.Grant, bool)
}

// agents are the agents of a service, as the holder asks them.
type agents interface {
	replicas(service string) []routing.Replica
	status(ctx context.Context, vm string) (*link.Status, error)
	give(ctx context.Context, vm string, order link.Order) (*link.OrderAnswer, error)
}

// placer places one service while this entry holds its lease. Its rounds do not overlap.
type placer struct {
	service  string
	settings *Settings
	lease    holder
	agents   agents
	weights  weights.Store
	rows     *rows
	log      zerolog.Logger
	history  history

	// What follows is of one term as the holder, and is forgotten with it.
	fence    uint64
	machine  *placement.Placer
	seen     map[string]*seen
	unsure   map[string]given
	rate     float64
	rejected rejections
}

// given is an order on its way.
type given struct {
	order placement.Order
	// slot is the one that was taken for the order just now; nil when it fetches no weights
	// or when it may be under way already. Only then does a refusal prove that nothing is
	// fetched.
	slot  *placement.Slot
	tries int
}

func newPlacer(service, life string, config *Config, lease holder, agents agents) *placer {
	return &placer{
		service:  service,
		settings: &config.Settings,
		lease:    lease,
		agents:   agents,
		weights:  config.Weights,
		rows:     &rows{store: config.Table, service: service, life: life},
		log:      config.Log.With().Str("service", service).Logger(),
	}
}

// round decides once and carries the decisions out, if this entry holds the lease.
func (p *placer) round(ctx context.Context, service *document.Service) {
	grant, held := p.lease.Held()
	if !held {
		p.machine = nil
		return
	}
	if p.machine == nil || p.fence != grant.Fence {
		p.beginTerm(grant.Fence)
	}
	in, err := p.observe(ctx, service)
	if err != nil {
		p.log.Warn().Err(err).Msg("placement waits")
		return
	}
	p.repeatUnsure(ctx, in)
	for _, action := range p.machine.Decide(time.Now(), in) {
		p.carryOut(ctx, action)
	}
}

func (p *placer) beginTerm(fence uint64) {
	p.fence = fence
	p.machine = placement.New(p.settings.Decisions)
	p.seen = make(map[string]*seen)
	p.unsure = make(map[string]given)
	p.log.Info().Uint64("fence", fence).Msg("this entry places the service")
}

// holds reports whether the term that the round began in goes on.
func (p *placer) holds() bool {
	grant, held := p.lease.Held()
	return held && grant.Fence == p.fence
}

func (p *placer) carryOut(ctx context.Context, action placement.Action) {
	switch a := action.(type) {
	case placement.SlotOrder:
		p.reserve(ctx, a)
	case placement.Order:
		p.give(ctx, given{order: a})
	case placement.ReleaseSlot:
		p.free(ctx, a.Slot, a.Version)
	case placement.RejectCanary:
		p.reject(ctx, a)
	}
}

// reserve takes a slot of the weight store's rate and then gives the order.
func (p *placer) reserve(ctx context.Context, a placement.SlotOrder) {
	if !p.holds() {
		p.machine.OrderDropped(a.Order.VM)
		return
	}
	version, err := p.rows.setSlot(ctx, a.Slot, a.Version, &a.Order, p.fence)
	if err != nil {
		// Where the write took effect all the same, the next round finds the order in it.
		p.machine.OrderDropped(a.Order.VM)
		p.note(a.Order, "no slot of the weight store: "+err.Error())
		return
	}
	p.give(ctx, given{order: a.Order, slot: &placement.Slot{Index: a.Slot, Version: version}})
}

// give sends an order. One that is refused at its first try had no effect, and its slot is
// free again. Otherwise, where the answer was lost or where the order was found in a slot,
// it may be under way. Freeing its slot would let another fetch begin beside it; one would
// notice the weight store's rate being exceeded. So it is sent again in later rounds, which
// does no harm, for it names the state wanted, and its slot is left to its end of life.
func (p *placer) give(ctx context.Context, g given) {
	if !p.holds() {
		p.machine.OrderDropped(g.order.VM)
		return
	}
	limited, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answer, err := p.agents.give(limited, g.order.VM, p.message(&g.order))
	switch {
	case err != nil:
		p.note(g.order, "no answer: "+err.Error())
		g.slot = nil
		p.again(g)
	case answer.OK:
		p.note(g.order, "given")
	case g.slot != nil:
		p.note(g.order, "refused: "+answer.Detail)
		p.machine.OrderDropped(g.order.VM)
		p.free(ctx, g.slot.Index, g.slot.Version)
	default:
		p.note(g.order, "refused: "+answer.Detail)
		p.again(g)
	}
}

// again has an order sent again in the next round, unless it was sent often enough.
func (p *placer) again(g given) {
	if g.tries++; g.tries < orderTries {
		p.unsure[g.order.VM] = g
	}
}

// repeatUnsure sends orders again whose answer was lost, unless they are seen to be done:
// an adapter would be fetched a second time, when its slot may be another's already.
func (p *placer) repeatUnsure(ctx context.Context, in *placement.Input) {
	unsure := p.unsure
	p.unsure = make(map[string]given)
	for i := range in.Replicas {
		replica := &in.Replicas[i]
		g, waits := unsure[replica.VM]
		if waits && replica.State == routing.Live && !placement.Done(&g.order, replica) {
			p.give(ctx, g)
		}
	}
}

func (p *placer) message(order *placement.Order) link.Order {
	return link.Order{
		Kind:             string(order.Kind),
		Model:            order.Model,
		Version:          order.Version,
		Adapter:          order.Adapter,
		Role:             order.Role,
		Fence:            p.fence,
		StartWithinMs:    orderStart.Milliseconds(),
		CompleteWithinMs: p.settings.Decisions.OrderTimeout.Milliseconds(),
	}
}

// free empties a slot. A write that fails is made up for by the next round, or by the end
// of the slot's life.
func (p *placer) free(ctx context.Context, index int, version uint64) {
	if !p.holds() {
		return
	}
	if _, err := p.rows.setSlot(ctx, index, version, nil, p.fence); err != nil {
		p.log.Warn().Err(err).Int("slot", index).Msg("a slot of the weight store was not freed")
	}
}

// reject stores that a canary was rolled back. Until that succeeds the machine asks for
// it in each round.
func (p *placer) reject(ctx context.Context, a placement.RejectCanary) {
	step := placement.Order{Kind: kindReject, Model: a.Model, Version: a.Version, Reason: a.Reason}
	if !p.holds() {
		return
	}
	canaries := append(p.rejected.canaries, rejection{Model: a.Model, Version: a.Version, Reason: a.Reason})
	version, err := p.rows.setRejected(ctx, p.rejected.version, canaries)
	if err != nil {
		p.note(step, "not stored yet: "+err.Error())
		return
	}
	p.rejected = rejections{version: version, canaries: canaries}
	p.note(step, "stored")
}

// note keeps and logs what was done and why.
func (p *placer) note(order placement.Order, outcome string) {
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

// explain adds what this entry knows.
func (p *placer) explain(e *Explanation) {
	_, e.Here = p.lease.Held()
	p.history.copyTo(e)
}

// errUntold means that an agent has not told yet what its engine serves.
var errUntold = errors.New("placement: an agent has not told what its engine serves")

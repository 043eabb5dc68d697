package fleet

import (
	"context"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
	"acaciacleat.example/core/routing"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/vmlist"
)

// maxStampAge is the maximum age of an agent's clock stamp when an agent is chosen. It is far
// below the 2 minutes after which agents refuse an offer (idempotency.Limits.OfferAge), so
// that the stamp does not expire while a key's row is written or a slow link delivers the
// offer.
const maxStampAge = 10 * time.Second

// Target is an agent chosen for a call, with an open link to it.
type Target struct {
	Conn        *link.Conn
	Agent       string
	Incarnation call.Incarnation
	// Stamp is a recent time of the agent's clock.
	Stamp time.Duration
	// Predicted is the predicted time to the first token; zero if it isn't known.
	Predicted time.Duration
	Zone      string
}

// Decision is one routing decision, for explanations.
type Decision struct {
	Agent     string
	Predicted time.Duration
	// Live is the number of live replicas.
	Live int
	// Recommended is set if an agent that refused the call named this one.
	Recommended bool
}

// Choose routes a request and opens a link to the chosen agent. It prefers recommendedAgent, which
// an agent that refused the request has named; empty means none. It skips agents that can't be
// reached, because nothing has been sent to them. observe, if not nil, is called for each choice.
func (v *View) Choose(ctx context.Context, request *routing.Request, recommendedAgent string, observe func(Decision)) (Target, *result.Error) {
	for {
		chosen, ok := v.pick(request, recommendedAgent, observe)
		if !ok {
			return Target{}, result.New(result.NoReplica, result.NotRun, "service %s", request.Service)
		}
		recommendedAgent = ""
		conn, err := v.Connect(ctx, chosen.vm.ID, chosen.vm.Link)
		if err == nil {
			return Target{
				Conn:        conn,
				Agent:       chosen.vm.ID,
				Incarnation: conn.Peer().Incarnation,
				Stamp:       time.Duration(conn.Stamp()),
				Predicted:   chosen.predicted,
				Zone:        chosen.vm.Zone,
			}, nil
		}
		if ctx.Err() != nil {
			return Target{}, result.New(result.DeadlinePassed, result.NotRun, "while connecting to %s", chosen.vm.ID)
		}
		request.Exclude = append(request.Exclude, chosen.vm.ID)
	}
}

type candidate struct {
	vm        vmlist.VM
	predicted time.Duration
}

// pick chooses an agent without opening a link to it. It returns false if there is none.
func (v *View) pick(request *routing.Request, recommendedAgent string, observe func(Decision)) (candidate, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	g := v.services[request.Service]
	if g == nil || len(g.replicas) == 0 {
		return candidate{}, false
	}
	choice := v.recommended(g, request, recommendedAgent)
	recommended := choice.Index >= 0
	if !recommended {
		choice = g.choose(request)
	}
	if choice.Index < 0 {
		return candidate{}, false
	}
	replica := &g.replicas[choice.Index]
	if observe != nil {
		observe(Decision{Agent: replica.Agent, Predicted: choice.Predicted, Live: g.liveCount(), Recommended: recommended})
	}
	return candidate{vm: v.agents[replica.Agent].vm, predicted: choice.Predicted}, true
}

// recommended chooses the agent that a refusing agent named, if that replica may be used. Otherwise
// the Index is negative.
func (v *View) recommended(g *serviceGroup, request *routing.Request, recommendedAgent string) routing.Choice {
	a := v.agents[recommendedAgent]
	if a == nil || a.group != g || !routing.Usable(request, &g.replicas[a.index]) {
		return routing.Choice{Index: -1}
	}
	return routing.Choice{Index: a.index}
}

// choose calls the routing policy. If it finds no live replica, the suspected ones are tried
// as well: a fault at this entry makes all replicas look unresponsive, and a link that opens
// proves that one is alive.
func (g *serviceGroup) choose(request *routing.Request) routing.Choice {
	now := time.Now()
	choice := g.policy.Choose(request, g.replicas, now)
	if choice.Index >= 0 {
		return choice
	}
	suspects := append([]routing.Replica(nil), g.replicas...)
	for i := range suspects {
		if suspects[i].State == routing.Suspect {
			suspects[i].State = routing.Live
		}
	}
	return g.policy.Choose(request, suspects, now)
}

func (g *serviceGroup) liveCount() int {
	n := 0
	for i := range g.replicas {
		if g.replicas[i].State == routing.Live {
			n++
		}
	}
	return n
}

// Connect returns an open link to a VM with a fresh clock stamp. Its outcome is evidence of
// whether the VM is alive.
func (v *View) Connect(ctx context.Context, vm, addr string) (*link.Conn, error) {
	sent := time.Now()
	conn, err := v.dialer.Dial(ctx, vm, addr)
	if err != nil {
		v.recordDialFailure(vm, sent, err)
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, link.DefaultTiming.Silence)
	defer cancel()
	if err := conn.Refresh(ctx, maxStampAge); err != nil {
		conn.Close(link.ErrSilent)
		v.recordDialFailure(vm, sent, err)
		return nil, err
	}
	// A link that was already open is no evidence of liveness by itself.
	if conn.LastReceived().After(sent) {
		v.recordIncarnation(vm, conn)
	}
	return conn, nil
}

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

// stampAge is the greatest age of an agent's clock stamp in an offer. Agents refuse after
// 2 minutes (idempotency.Limits.OfferAge), so that neither the write of a key's row nor a
// slow link turns it too old on the way.
const stampAge = 10 * time.Second

// Target is an agent chosen for a call, with an open link to it.
type Target struct {
	Conn        *link.Conn
	Agent       string
	Incarnation call.Incarnation
	Stamp       time.Duration
	Predicted   time.Duration
	Zone        string
}

// Decision is one routing decision, for explanations.
type Decision struct {
	Agent     string
	Predicted time.Duration
	// Live is the number of replicas that could be chosen.
	Live int
	// ByAdvice is set when a refusing agent named this one.
	ByAdvice bool
}

// Choose routes a request and opens the link to the chosen agent. Agents that can not
// be reached are passed over: nothing has been sent to them. observe, if not nil, is
// told of each choice.
func (v *View) Choose(ctx context.Context, request *routing.Request, better string, observe func(Decision)) (Target, *result.Error) {
	for {
		chosen, ok := v.pick(request, better, observe)
		if !ok {
			return Target{}, result.New(result.NoReplica, result.NotRun, "service %s", request.Service)
		}
		better = ""
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

type pick struct {
	vm        vmlist.VM
	predicted time.Duration
}

func (v *View) pick(request *routing.Request, better string, observe func(Decision)) (pick, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	g := v.services[request.Service]
	if g == nil || len(g.replicas) == 0 {
		return pick{}, false
	}
	choice := v.advised(g, request, better)
	byAdvice := choice.Index >= 0
	if !byAdvice {
		choice = g.choose(request)
	}
	if choice.Index < 0 {
		return pick{}, false
	}
	replica := &g.replicas[choice.Index]
	if observe != nil {
		observe(Decision{Agent: replica.Agent, Predicted: choice.Predicted, Live: g.live(), ByAdvice: byAdvice})
	}
	return pick{vm: v.agents[replica.Agent].vm, predicted: choice.Predicted}, true
}

// advised follows a refusing agent's advice if the replica may be used.
func (v *View) advised(g *group, request *routing.Request, better string) routing.Choice {
	a := v.agents[better]
	if a == nil || a.group != g || !routing.Usable(request, &g.replicas[a.index]) {
		return routing.Choice{Index: -1}
	}
	return routing.Choice{Index: a.index}
}

// choose asks the policy. When no replica is live, the suspected ones are tried: a
// fault at this entry makes all of them look silent, and a link that opens is proof.
func (g *group) choose(request *routing.Request) routing.Choice {
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

func (g *group) live() int {
	n := 0
	for i := range g.replicas {
		if g.replicas[i].State == routing.Live {
			n++
		}
	}
	return n
}

// Connect returns an open link to a VM whose clock stamp is fresh. Its outcome is
// evidence of whether the VM lives.
func (v *View) Connect(ctx context.Context, vm, addr string) (*link.Conn, error) {
	sent := time.Now()
	conn, err := v.dialer.Dial(ctx, vm, addr)
	if err != nil {
		v.failed(vm, sent, err)
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, link.DefaultTiming.Silence)
	defer cancel()
	if err := conn.Refresh(ctx, stampAge); err != nil {
		conn.Close(link.ErrSilent)
		v.failed(vm, sent, err)
		return nil, err
	}
	// A link that was open before is no sign of life by itself.
	if conn.LastReceived().After(sent) {
		v.learn(vm, conn)
	}
	return conn, nil
}

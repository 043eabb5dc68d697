// Package fleet is an entry's view of the upstreams: which agents there are, what load
// they report, which may be given work, and the links to them.
package fleet

import (
	"context"
	"sync"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
	"acaciacleat.example/core/routing"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/vmlist"
	"github.com/rs/zerolog"
)

// stampAge is the greatest age of an agent's clock stamp in an offer: a third of the
// age at which agents refuse, so that a slow link does not turn it too old on the way.
const stampAge = 10 * time.Second

// deadFor is how long an agent that could not be reached gets no work unless something
// is heard from it. It is short: the evidence may have been a passing fault.
const deadFor = 2 * time.Second

// PolicyFactory makes the routing policy of one service.
type PolicyFactory func(service string) routing.Policy

// View is an entry's view of the fleet. It is safe for concurrent use.
type View struct {
	node     *link.Node
	policies PolicyFactory
	log      zerolog.Logger

	mu       sync.Mutex
	services map[string]*group
	agents   map[string]*agent
}

// group is the replicas of one service.
type group struct {
	policy   routing.Policy
	replicas []routing.Replica
}

// agent is what is known of one agent besides its Replica.
type agent struct {
	vm    vmlist.VM
	group *group
	index int
	// deadUntil is set when the agent could not be reached.
	deadUntil time.Time
	// leaving is set by the agent's own word or by the list; it is never taken back for
	// the incarnation that said it.
	leaving bool
}

// New returns an empty view that dials over node.
func New(node *link.Node, policies PolicyFactory, log zerolog.Logger) *View {
	return &View{
		node:     node,
		policies: policies,
		log:      log,
		services: make(map[string]*group),
		agents:   make(map[string]*agent),
	}
}

// SetVMs takes a newly read list of VMs.
func (v *View) SetVMs(vms []vmlist.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	seen := make(map[string]bool, len(vms))
	for _, vm := range vms {
		if vm.Role != vmlist.RoleAgent {
			continue
		}
		seen[vm.ID] = true
		v.setVM(vm)
	}
	for id := range v.agents {
		if !seen[id] {
			v.remove(id)
		}
	}
}

func (v *View) setVM(vm vmlist.VM) {
	a := v.agents[vm.ID]
	if a == nil {
		g := v.group(vm.Service)
		a = &agent{group: g, index: len(g.replicas)}
		g.replicas = append(g.replicas, routing.Replica{Agent: vm.ID, Zone: vm.Zone, Service: vm.Service})
		v.agents[vm.ID] = a
	}
	a.vm = vm
	a.leaving = a.leaving || vm.Leaving
}

func (v *View) group(service string) *group {
	g := v.services[service]
	if g == nil {
		g = &group{policy: v.policies(service)}
		v.services[service] = g
	}
	return g
}

func (v *View) remove(id string) {
	a := v.agents[id]
	delete(v.agents, id)
	last := len(a.group.replicas) - 1
	moved := a.group.replicas[last]
	a.group.replicas[a.index] = moved
	a.group.replicas = a.group.replicas[:last]
	if moved.Agent != id {
		v.agents[moved.Agent].index = a.index
	}
}

// Target is an agent chosen for a call, with an open link to it.
type Target struct {
	Conn        *link.Conn
	Agent       string
	Incarnation call.Incarnation
	Stamp       time.Duration
	Predicted   time.Duration
	Zone        string
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
			peer := conn.Peer()
			v.learn(chosen.vm.ID, peer.Incarnation)
			return Target{
				Conn:        conn,
				Agent:       chosen.vm.ID,
				Incarnation: peer.Incarnation,
				Stamp:       time.Duration(conn.Stamp()),
				Predicted:   chosen.predicted,
				Zone:        chosen.vm.Zone,
			}, nil
		}
		if ctx.Err() != nil {
			return Target{}, result.New(result.DeadlinePassed, result.NotRun, "while connecting to %s", chosen.vm.ID)
		}
		v.Unreachable(chosen.vm.ID)
		request.Exclude = append(request.Exclude, chosen.vm.ID)
	}
}

// Decision is one routing decision, for explanations.
type Decision struct {
	Agent     string
	Predicted time.Duration
	Live      int
	// ByAdvice is set when a refusing agent named this one.
	ByAdvice bool
}

type pick struct {
	vm        vmlist.VM
	predicted time.Duration
}

func (v *View) pick(request *routing.Request, better string, observe func(Decision)) (pick, bool) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	g := v.services[request.Service]
	if g == nil || len(g.replicas) == 0 {
		return pick{}, false
	}
	live := v.refreshStates(g, now)
	choice := routing.Choice{Index: -1}
	byAdvice := false
	if a := v.agents[better]; a != nil && a.group == g && routing.Usable(request, &g.replicas[a.index]) {
		choice.Index = a.index
		byAdvice = true
	} else {
		choice = g.policy.Choose(request, g.replicas, now)
	}
	if choice.Index < 0 {
		return pick{}, false
	}
	replica := &g.replicas[choice.Index]
	if observe != nil {
		observe(Decision{Agent: replica.Agent, Predicted: choice.Predicted, Live: live, ByAdvice: byAdvice})
	}
	return pick{vm: v.agents[replica.Agent].vm, predicted: choice.Predicted}, true
}

// refreshStates is called with mu held; it returns the number of live replicas.
func (v *View) refreshStates(g *group, now time.Time) int {
	live := 0
	for i := range g.replicas {
		a := v.agents[g.replicas[i].Agent]
		g.replicas[i].State = a.state(now)
		if g.replicas[i].State == routing.Live {
			live++
		}
	}
	return live
}

func (a *agent) state(now time.Time) routing.State {
	switch {
	case a.leaving:
		return routing.Leaving
	case now.Before(a.deadUntil):
		return routing.Dead
	default:
		return routing.Live
	}
}

// Connect returns an open link to an agent whose clock stamp is fresh.
func (v *View) Connect(ctx context.Context, vm, addr string) (*link.Conn, error) {
	conn, err := v.node.Dial(ctx, vm, addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, link.DefaultTiming.Silence)
	defer cancel()
	if err := conn.Refresh(ctx, stampAge); err != nil {
		conn.Close(link.ErrSilent)
		return nil, err
	}
	return conn, nil
}

// Address returns where an agent takes links.
func (v *View) Address(vm string) (string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	a := v.agents[vm]
	if a == nil {
		return "", false
	}
	return a.vm.Link, true
}

// learn records the incarnation behind an agent's link. A new one knows nothing of the
// old one's load or word that it is leaving.
func (v *View) learn(vm string, incarnation call.Incarnation) {
	v.mu.Lock()
	defer v.mu.Unlock()
	a := v.agents[vm]
	if a == nil {
		return
	}
	a.deadUntil = time.Time{}
	replica := &a.group.replicas[a.index]
	if replica.Incarnation != incarnation {
		replica.Incarnation = incarnation
		replica.Load = routing.Load{}
		replica.Seen = time.Time{}
		a.leaving = a.vm.Leaving
	}
}

// Unreachable records that an agent could not be reached.
func (v *View) Unreachable(vm string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if a := v.agents[vm]; a != nil {
		a.deadUntil = time.Now().Add(deadFor)
	}
}

// Left records an agent's own word that it takes no new work.
func (v *View) Left(vm string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if a := v.agents[vm]; a != nil {
		a.leaving = true
	}
}

// Report takes a load digest that came with a reply.
func (v *View) Report(report *link.LoadReport) {
	v.mu.Lock()
	defer v.mu.Unlock()
	a := v.agents[report.Agent]
	if a == nil {
		return
	}
	replica := &a.group.replicas[a.index]
	if report.Incarnation == replica.Incarnation && report.Load.Sequence <= replica.Load.Sequence {
		return
	}
	replica.Incarnation = report.Incarnation
	replica.Model = report.Model
	replica.Load = report.Load
	replica.Seen = time.Now().Add(-time.Duration(report.AgeMs) * time.Millisecond)
	replica.InFlight = 0
	replica.InFlightPrompt = 0
	a.leaving = a.leaving || report.Leaving
}

// Offered counts a request sent to an agent since its last digest.
func (v *View) Offered(vm string, promptTokens int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if a := v.agents[vm]; a != nil {
		replica := &a.group.replicas[a.index]
		replica.InFlight++
		replica.InFlightPrompt += int64(promptTokens)
	}
}

// Replicas returns a copy of what is known of a service's replicas, for operators.
func (v *View) Replicas(service string) []routing.Replica {
	v.mu.Lock()
	defer v.mu.Unlock()
	g := v.services[service]
	if g == nil {
		return nil
	}
	v.refreshStates(g, time.Now())
	return append([]routing.Replica(nil), g.replicas...)
}

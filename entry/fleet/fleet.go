// Package fleet implements an entry's view of the other VMs: the agents, their reported load
// and which of them may get requests, the live entries, and the links to all of them.
package fleet

import (
	"context"
	"sync"
	"time"

	"acaciacleat.example/core/membership"
	"acaciacleat.example/core/routing"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/vmlist"
	"github.com/rs/zerolog"
)

// PolicyFactory returns the routing policy of one service.
type PolicyFactory func(service string) routing.Policy

// Dialer opens links. link.Node implements it.
type Dialer interface {
	Dial(ctx context.Context, vm, addr string) (*link.Conn, error)
}

// View is an entry's view of the fleet. It is safe for concurrent use.
type View struct {
	self     string
	dialer   Dialer
	policies PolicyFactory
	log      zerolog.Logger

	mu       sync.Mutex
	members  *membership.View
	services map[string]*serviceGroup
	// agents and entries are the listed VMs of each role by ID, without this entry.
	agents  map[string]*agent
	entries map[string]vmlist.VM
}

// serviceGroup holds the replicas of one service and their routing policy.
type serviceGroup struct {
	policy   routing.Policy
	replicas []routing.Replica
}

// agent holds the state of one agent besides its Replica.
type agent struct {
	vm    vmlist.VM
	group *serviceGroup
	// index is the position of the agent's Replica in group.replicas.
	index int
}

// New returns an empty view of the entry self. SetDialer must be called before its use.
func New(self string, policies PolicyFactory, log zerolog.Logger) *View {
	return &View{
		self:     self,
		policies: policies,
		log:      log,
		members:  membership.New(membership.DefaultConfig()),
		services: make(map[string]*serviceGroup),
		agents:   make(map[string]*agent),
		entries:  make(map[string]vmlist.VM),
	}
}

// SetDialer sets the dialer of links. It is not a parameter of New because links report to
// the view.
func (v *View) SetDialer(dialer Dialer) { v.dialer = dialer }

// SetVMs handles a newly read list of VMs.
func (v *View) SetVMs(vms []vmlist.VM) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	list := make([]membership.VM, 0, len(vms))
	for _, vm := range vms {
		if vm.ID == v.self {
			continue
		}
		v.addVM(vm)
		list = append(list, membership.VM{
			ID:      membership.ID(vm.ID),
			Zone:    vm.Zone,
			Link:    vm.Link,
			Service: vm.Service,
			Leaving: vm.Draining,
		})
	}
	v.apply(v.members.HandleList(now, list))
	if v.members.ListImplausible() {
		v.log.Warn().Int("listed", len(list)).Msg("the list of VMs lacks most of the fleet and is doubted")
	}
}

// addVM adds or updates a listed VM. It is called with mu held.
func (v *View) addVM(vm vmlist.VM) {
	if vm.Role == vmlist.RoleEntry {
		v.entries[vm.ID] = vm
		return
	}
	a := v.agents[vm.ID]
	if a == nil {
		g := v.serviceGroup(vm.Service)
		a = &agent{group: g, index: len(g.replicas)}
		g.replicas = append(g.replicas, routing.Replica{Agent: vm.ID, Zone: vm.Zone, Service: vm.Service})
		v.agents[vm.ID] = a
	}
	a.vm = vm
}

func (v *View) serviceGroup(service string) *serviceGroup {
	g := v.services[service]
	if g == nil {
		g = &serviceGroup{policy: v.policies(service)}
		v.services[service] = g
	}
	return g
}

// apply performs the actions of the membership view. It is called with mu held.
func (v *View) apply(actions []membership.Action) {
	for _, action := range actions {
		switch m := action.(type) {
		case membership.StateChanged:
			v.setState(m)
		case membership.Probe:
			go v.probe(string(m.VM.ID), m.VM.Link)
		case membership.Removed:
			v.removeVM(string(m.ID))
		}
	}
}

func (v *View) setState(m membership.StateChanged) {
	id := string(m.VM.ID)
	v.log.Info().Str("peer", id).Stringer("state", m.State).Str("reason", string(m.Reason)).Msg("member changed")
	if a := v.agents[id]; a != nil {
		a.group.replicas[a.index].State = m.State
	}
}

func (v *View) removeVM(id string) {
	delete(v.entries, id)
	a := v.agents[id]
	if a == nil {
		return
	}
	delete(v.agents, id)
	last := len(a.group.replicas) - 1
	moved := a.group.replicas[last]
	a.group.replicas[a.index] = moved
	a.group.replicas = a.group.replicas[:last]
	if moved.Agent != id {
		v.agents[moved.Agent].index = a.index
	}
}

// Address returns the address at which an agent accepts links.
func (v *View) Address(vm string) (string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	a := v.agents[vm]
	if a == nil {
		return "", false
	}
	return a.vm.Link, true
}

// Entry is another live entry.
type Entry struct {
	ID   string
	Zone string
	Link string
}

// Entries returns the other entries that are not known to be dead or leaving.
func (v *View) Entries() []Entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	var live []Entry
	for id, vm := range v.entries {
		state := v.members.State(membership.ID(id))
		if state == routing.Live || state == routing.Suspect {
			live = append(live, Entry{ID: id, Zone: vm.Zone, Link: vm.Link})
		}
	}
	return live
}

// RecordLoad handles a load report of an agent. It ignores a report that is not newer than the last
// one of the same incarnation.
func (v *View) RecordLoad(report *link.LoadReport) {
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
	replica.LoadTakenAt = time.Now().Add(-time.Duration(report.AgeMs) * time.Millisecond)
	replica.InFlight = 0
	replica.InFlightPrompt = 0
	if report.Load.Down {
		// The agent refuses requests while its upstream is down. The report counts as a failed
		// request, so that no request has to fail there first.
		a.group.recordEnd(report.Agent, true)
	}
	if report.Leaving {
		v.apply(v.members.HandleLeaving(time.Now(), membership.ID(report.Agent), report.Incarnation))
	}
}

// RecordOffer counts a request sent to an agent since its last load report.
func (v *View) RecordOffer(vm string, promptTokens int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if a := v.agents[vm]; a != nil {
		replica := &a.group.replicas[a.index]
		replica.InFlight++
		replica.InFlightPrompt += int64(promptTokens)
	}
}

// RecordEnd reports to the service's policy how a request ended at an agent.
func (v *View) RecordEnd(vm string, failed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	a := v.agents[vm]
	if a == nil {
		return
	}
	a.group.recordEnd(vm, failed)
}

func (g *serviceGroup) recordEnd(vm string, failed bool) {
	if observer, ok := g.policy.(routing.OutcomeObserver); ok {
		observer.Finished(vm, failed, time.Now())
	}
}

// Replicas returns a copy of a service's replicas.
func (v *View) Replicas(service string) []routing.Replica {
	v.mu.Lock()
	defer v.mu.Unlock()
	g := v.services[service]
	if g == nil {
		return nil
	}
	return append([]routing.Replica(nil), g.replicas...)
}

// recordIncarnation records a reply of a VM and, for an agent, the incarnation at the other end of
// the link. The load of an earlier incarnation does not apply to a new one.
func (v *View) recordIncarnation(vm string, c *link.Conn) {
	incarnation := c.Peer().Incarnation
	v.mu.Lock()
	defer v.mu.Unlock()
	v.apply(v.members.HandleMessage(c.LastReceived(), membership.ID(vm), incarnation))
	a := v.agents[vm]
	if a == nil {
		return
	}
	replica := &a.group.replicas[a.index]
	if replica.Incarnation != incarnation {
		replica.Incarnation = incarnation
		replica.Load = routing.Load{}
		replica.LoadTakenAt = time.Time{}
	}
}

// Package placement places the models of services on engines. It performs the decisions of
// core/placement at the entry that holds the service's lease.
//
// For each model service a few entries, chosen by rendezvous hashing, compete for a lease in
// the table; if all 350 entries did, they would use up the table's reads. The holder requests the
// state of the engines from the service's agents and decides. For an order that uses the
// weight store's rate it first takes a slot in the table. It sends each order with the
// lease's fencing number. Before each write and each order it checks that it still holds the
// lease; if it was paused after the check, the conditional writes and the agents refuse its
// action.
package placement

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/core/lease"
	"acaciacleat.example/core/placement"
	"acaciacleat.example/core/rendezvous"
	"acaciacleat.example/core/routing"
	"acaciacleat.example/entry/fleet"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/table"
	"acaciacleat.example/peers/table/leaserow"
	"acaciacleat.example/peers/weights"
	"github.com/rs/zerolog"
)

const (
	// leaseCandidates is the number of entries that compete for a service's lease: the holder
	// and two more, so that one is left if the holder and another entry fail together.
	leaseCandidates = 3
	// servicesInterval is the time between two reads of the services and live entries.
	servicesInterval = time.Second
)

// Settings are the intervals and rates of placement.
type Settings struct {
	Decisions placement.Config
	Lease     lease.Settings
	// RoundInterval is the time between two rounds of decisions.
	RoundInterval time.Duration
	// StatusGracePeriod is how long an agent may take to its first status before its engine counts
	// as dead.
	StatusGracePeriod time.Duration
	// FetchRate is the rate at which one engine fetches weights, in bytes per second.
	FetchRate float64
}

// DefaultSettings returns the default settings. The status of each agent is requested every
// 5 s: a request and its answer are frames of 11 and 76 bytes, so the holder of a service with
// 44 replicas, the average at the design size, uses 0.8 KB/s of its 2 KB/s for them. FetchRate,
// 250 MB/s, is a fifth of a 10 Gbit/s interface, which leaves the rest for requests.
func DefaultSettings() Settings {
	return Settings{
		Decisions:         placement.DefaultConfig(),
		Lease:             lease.DefaultSettings,
		RoundInterval:     5 * time.Second,
		StatusGracePeriod: 15 * time.Second,
		FetchRate:         250e6,
	}
}

// Fleet is the part of the entry's view that placement uses. fleet.View implements it.
type Fleet interface {
	Entries() []fleet.Entry
	Replicas(service string) []routing.Replica
	Address(vm string) (string, bool)
	Connect(ctx context.Context, vm, addr string) (*link.Conn, error)
}

// Config configures a Manager.
type Config struct {
	// VM is this entry. Incarnation is unique to this run of its process.
	VM          string
	Incarnation string
	Table       table.Store
	Weights     weights.Store
	Fleet       Fleet
	// Snapshot returns the documents in force, or nil.
	Snapshot func() *document.Snapshot
	Settings Settings
	Log      zerolog.Logger
}

// Manager takes part in the placement of all model services. It is safe for concurrent use.
type Manager struct {
	config      Config
	agentClient *agentClient

	mu                  sync.Mutex
	participants        map[string]*participant
	participantsStarted int
}

// participant is this entry's part in the placement of one service.
type participant struct {
	placer *placer
	stop   context.CancelFunc
}

// New returns a Manager that is idle until Run.
func New(config Config) *Manager {
	return &Manager{config: config, agentClient: newAgentClient(config.Fleet), participants: make(map[string]*participant)}
}

// OnMessage handles the answers of agents. It returns false for all other messages.
func (m *Manager) OnMessage(message link.Message) bool { return m.agentClient.onMessage(message) }

// Run takes part in the placement until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(servicesInterval)
	defer ticker.Stop()
	for {
		m.updateParticipants(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// updateParticipants starts and stops participants according to candidateServices.
func (m *Manager) updateParticipants(ctx context.Context) {
	services := m.candidateServices()
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, p := range m.participants {
		if !slices.Contains(services, name) {
			p.stop()
			delete(m.participants, name)
		}
	}
	for _, name := range services {
		if m.participants[name] == nil {
			m.startParticipant(ctx, name)
		}
	}
}

// candidateServices returns the services for whose lease this entry competes.
func (m *Manager) candidateServices() []string {
	snapshot := m.config.Snapshot()
	if snapshot == nil {
		return nil
	}
	names := []string{m.config.VM}
	for _, entry := range m.config.Fleet.Entries() {
		names = append(names, entry.ID)
	}
	var services []string
	snapshot.Services(func(service *document.Service) {
		if service.Kind != document.KindModel {
			return
		}
		ranked := rendezvous.Ranked(service.Name, names)
		// The entry itself is the first name.
		if slices.Index(ranked, 0) < leaseCandidates {
			services = append(services, service.Name)
		}
	})
	return services
}

// startParticipant starts to compete for the lease of a service. It is called with mu held.
func (m *Manager) startParticipant(ctx context.Context, service string) {
	// Each participant has a unique ID, because it numbers its writes from 1 and the table treats
	// a write whose token was used before as a repetition, which it does not apply.
	m.participantsStarted++
	id := fmt.Sprintf("%s/%s.%d", m.config.VM, m.config.Incarnation, m.participantsStarted)
	runner, err := leaserow.New(m.config.Table, leaserow.Placement(service), id, m.config.Settings.Lease)
	if err != nil {
		m.config.Log.Error().Err(err).Msg("placement can not run")
		return
	}
	ctx, stop := context.WithCancel(ctx)
	p := newPlacer(service, id, &m.config, runner, m.agentClient)
	m.participants[service] = &participant{placer: p, stop: stop}
	go runner.Run(ctx)
	go m.runRounds(ctx, p)
}

func (m *Manager) runRounds(ctx context.Context, p *placer) {
	ticker := time.NewTicker(m.config.Settings.RoundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if snapshot := m.config.Snapshot(); snapshot != nil {
			if service := snapshot.Service(p.service); service != nil {
				p.round(ctx, service)
			}
		}
	}
}

// Explain returns the holder of a service's lease and the steps that this entry took with
// their reasons. It reads the lease's row.
func (m *Manager) Explain(ctx context.Context, service string) *Explanation {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	record, err := leaserow.ReadRecord(ctx, m.config.Table, leaserow.Placement(service))
	e := &Explanation{Service: service, Holder: record.Holder, Fence: record.Fence}
	if err != nil {
		e.HolderError = err.Error()
	}
	m.mu.Lock()
	p := m.participants[service]
	m.mu.Unlock()
	if p != nil {
		p.placer.explain(e)
	}
	return e
}

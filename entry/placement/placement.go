// Package placement places the models of services on engines: it carries out the
// decisions of core/placement at the entry that holds the service's lease.
//
// For each model service a few entries, chosen by rendezvous hashing, compete for a lease
// in the table; all 350 would spend the table's reads on it. The holder asks the service's
// agents what their engines serve, decides, writes what takes part of the weight store's
// rate into the table, and only then gives the order, with the lease's fencing number. It
// asks whether it still holds the lease before each write and each order; what a paused
// holder does all the same, the conditional writes and the agents refuse.
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
	// candidates is the number of entries that compete for a service's lease: one that
	// holds it, and two that outlive it even if another dies together with it.
	candidates = 3
	// servicesEvery is how often the services and the live entries are looked at.
	servicesEvery = time.Second
)

// Settings are the times and rates of placement.
type Settings struct {
	Decisions placement.Config
	Lease     lease.Settings
	// Every is the time between two rounds of decisions.
	Every time.Duration
	// StatusGrace is how long an agent that has told nothing yet is waited for before its
	// engine counts as dead.
	StatusGrace time.Duration
	// FetchRate is the rate at which one engine fetches weights, in bytes per second.
	FetchRate float64
}

// DefaultSettings ask each agent every 5 s. A question and its answer are frames of 11 and
// 76 bytes, so that a holder of 44 replicas, the average at the design size, spends
// 0.8 KB/s of its 2 KB/s on them. 250 MB/s is a fifth of a 10 Gbit/s interface, which
// leaves the rest to requests.
func DefaultSettings() Settings {
	return Settings{
		Decisions:   placement.DefaultConfig(),
		Lease:       lease.DefaultSettings,
		Every:       5 * time.Second,
		StatusGrace: 15 * time.Second,
		FetchRate:   250e6,
	}
}

// Fleet is what placement uses of the entry's view. fleet.View implements it.
type Fleet interface {
	Entries() []fleet.Entry
	Replicas(service string) []routing.Replica
	Address(vm string) (string, bool)
	Connect(ctx context.Context, vm, addr string) (*link.Conn, error)
}

// Config configures a Manager.
type Config struct {
	// VM is this entry, Life an ID that no other life of its process has.
	VM      string
	Life    string
	Table   table.Store
	Weights weights.Store
	Fleet   Fleet
	// Snapshot returns the documents in force, or nil.
	Snapshot func() *document.Snapshot
	Settings Settings
	Log      zerolog.Logger
}

// Manager takes part in placing all model services. It is safe for concurrent use.
type Manager struct {
	config Config
	asker  *asker

	mu       sync.Mutex
	services map[string]*running
	begun    int
}

// running is this entry's part in one service.
type running struct {
	placer *placer
	stop   context.CancelFunc
}

// New returns a Manager that does nothing until Run.
func New(config Config) *Manager {
	return &Manager{config: config, asker: newAsker(config.Fleet), services: make(map[string]*running)}
}

// OnMessage takes the messages of this package's concern; false when it is another's.
func (m *Manager) OnMessage(message link.Message) bool { return m.asker.onMessage(message) }

// Run takes part until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(servicesEvery)
	defer ticker.Stop()
	for {
		m.compete(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// compete begins and ends this entry's part in services.
func (m *Manager) compete(ctx context.Context) {
	wanted := m.wanted()
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, r := range m.services {
		if !slices.Contains(wanted, name) {
			r.stop()
			delete(m.services, name)
		}
	}
	for _, name := range wanted {
		if m.services[name] == nil {
			m.begin(ctx, name)
		}
	}
}

// wanted returns the services whose lease this entry should compete for.
func (m *Manager) wanted() []string {
	snapshot := m.config.Snapshot()
	if snapshot == nil {
		return nil
	}
	names := []string{m.config.VM}
	for _, entry := range m.config.Fleet.Entries() {
		names = append(names, entry.ID)
	}
	var wanted []string
	snapshot.Services(func(service *document.Service) {
		if service.Kind != document.KindModel {
			return
		}
		ranked := rendezvous.Ranked(service.Name, names)
		// The entry itself is the first name.
		if slices.Index(ranked, 0) < candidates {
			wanted = append(wanted, service.Name)
		}
	})
	return wanted
}

// begin is called with mu held.
func (m *Manager) begin(ctx context.Context, service string) {
	// Each part has a name of its own: it numbers its writes from 1, and the table would
	// take a write with an old token for one that was done already.
	m.begun++
	life := fmt.Sprintf("%s/%s.%d", m.config.VM, m.config.Life, m.begun)
	runner, err := leaserow.New(m.config.Table, leaserow.Placement(service), life, m.config.Settings.Lease)
	if err != nil {
		m.config.Log.Error().Err(err).Msg("placement can not run")
		return
	}
	ctx, stop := context.WithCancel(ctx)
	p := newPlacer(service, life, &m.config, runner, m.asker)
	m.services[service] = &running{placer: p, stop: stop}
	go runner.Run(ctx)
	go m.rounds(ctx, p)
}

func (m *Manager) rounds(ctx context.Context, p *placer) {
	ticker := time.NewTicker(m.config.Settings.Every)
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

// Explain tells who places a service and, at the holder, what was done and why. It reads
// the lease's row.
func (m *Manager) Explain(ctx context.Context, service string) *Explanation {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	record, err := leaserow.ReadRecord(ctx, m.config.Table, leaserow.Placement(service))
	e := &Explanation{Service: service, Holder: record.Holder, Fence: record.Fence}
	if err != nil {
		e.HolderError = err.Error()
	}
	m.mu.Lock()
	r := m.services[service]
	m.mu.Unlock()
	if r != nil {
		r.placer.explain(e)
	}
	return e
}

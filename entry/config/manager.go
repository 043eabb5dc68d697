// Package config keeps the service documents of one entry up to date: it carries out the
// decisions of core/spread over links and the document store.
//
// A new revision is built completely while the old one stays active, and then activated by swapping
// an atomic pointer. A request that began under the old revision ends under it.
package config

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/core/spread"
	"acaciacleat.example/entry/fleet"
	"acaciacleat.example/peers/documents"
	"acaciacleat.example/peers/link"
	"github.com/rs/zerolog"
)

const (
	// tickInterval is the time between two ticks of the state machine in core/spread.
	tickInterval = 100 * time.Millisecond
	// membersInterval is the time between two reads of the live entries from the fleet's view.
	membersInterval = time.Second
	// pollTimeout bounds one read of the table's changes, and the time between two parts of a
	// peer's answer.
	pollTimeout = 2 * time.Second
	// startupRetryInterval is the time between two attempts to load the initial state.
	startupRetryInterval = 500 * time.Millisecond
	// loadTimeout bounds one attempt to load the initial state, and one load of all documents. Each
	// call to the table within it has a timeout of its own; large states take long over slow links.
	loadTimeout = 60 * time.Second
	// maxRetainedChanges is the number of changes retained for pushes to other entries and answers
	// to their requests. At 6,000 changes a day they cover the last hour.
	maxRetainedChanges = 256
)

// Config configures a Manager.
type Config struct {
	Self  spread.Member
	Store *documents.Store
	View  *fleet.View
	// Apply is called with each state before other entries are told that it is active here; calls
	// do not overlap.
	Apply func(*documents.State)
	Log   zerolog.Logger
}

// Manager maintains the documents of one entry. It is safe for concurrent use.
type Manager struct {
	config Config
	log    zerolog.Logger
	state  atomic.Pointer[documents.State]

	mu             sync.Mutex
	machine        *spread.Node
	changes        []documents.Change
	stateAssembly  *assembly
	memberCount    int
	startupRequest startupRequest
	// changed is closed and replaced after every event, such as an acknowledgement.
	changed chan struct{}

	// loading says that a load of all documents is in progress.
	loading atomic.Bool
	ready   atomic.Bool
	// lastEvent is the time of the last event, in nanoseconds after startedAt.
	lastEvent atomic.Int64
	startedAt time.Time
}

// New returns a Manager without a state; Run obtains one.
func New(config Config) *Manager {
	return &Manager{config: config, log: config.Log, changed: make(chan struct{}), startedAt: time.Now()}
}

// State returns the active state, or the empty state if there is none yet.
func (m *Manager) State() *documents.State {
	if state := m.state.Load(); state != nil {
		return state
	}
	return documents.Empty()
}

// Ready reports whether requests may be admitted under the active state. A process that was paused
// for longer than MaxPause is not ready, because its state may be outdated. Ready takes no lock
// because every request calls it.
func (m *Manager) Ready() bool {
	sinceLastEvent := time.Since(m.startedAt) - time.Duration(m.lastEvent.Load())
	return m.ready.Load() && sinceLastEvent <= spread.DefaultConfig(m.config.Self).MaxPause
}

// Run keeps the state up to date until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	if !m.loadInitialState(ctx) {
		return
	}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	members := time.NewTicker(membersInterval)
	defer members.Stop()
	m.setMembers(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-members.C:
			m.setMembers(ctx)
		case <-tick.C:
			m.handleEvent(ctx, nil, func(now time.Time) []spread.Action { return m.machine.Tick(now) })
		}
	}
}

// loadInitialState loads and activates the initial state: from the table or, while the table is
// unavailable, from the object store or a peer. It returns false if ctx ends first.
func (m *Manager) loadInitialState(ctx context.Context) bool {
	for {
		initial, err := m.tryLoadInitialState(ctx)
		if err == nil {
			m.activateInitialState(initial)
			return true
		}
		m.log.Warn().Err(err).Msg("no state of the documents could be read yet")
		select {
		case <-ctx.Done():
			return false
		case <-time.After(startupRetryInterval):
		}
	}
}

func (m *Manager) tryLoadInitialState(ctx context.Context) (documents.StartResult, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	return m.config.Store.Start(ctx, m.stateFromPeer)
}

// activateInitialState creates the state machine and activates the initial state.
func (m *Manager) activateInitialState(initial documents.StartResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.machine = spread.New(spread.DefaultConfig(m.config.Self), now, initial.State.Revision(), initial.Confirmed)
	m.activate(initial.State)
	m.afterEvent(now)
}

// activate makes a state the active one. It is called with mu held.
func (m *Manager) activate(state *documents.State) {
	m.config.Apply(state)
	m.state.Store(state)
}

func (m *Manager) setMembers(ctx context.Context) {
	members := []spread.Member{m.config.Self}
	for _, entry := range m.config.View.Entries() {
		members = append(members, spread.Member{ID: spread.NodeID(entry.ID), Zone: entry.Zone})
	}
	m.handleEvent(ctx, nil, func(now time.Time) []spread.Action {
		m.memberCount = len(members)
		return m.machine.SetMembers(now, members)
	})
}

// update is the content of an event: changes that follow the active state, or a full state.
type update struct {
	changes []documents.Change
	full    *documents.State
}

// build returns the state after the update, or the active state if the update is nil or not newer. It
// returns nil if the changes of the update do not directly follow the active revision.
func (m *Manager) build(u *update) *documents.State {
	current := m.state.Load()
	if u == nil {
		return current
	}
	if u.full != nil {
		if u.full.Revision() > current.Revision() {
			return u.full
		}
		return current
	}
	next, err := current.Apply(changesAfter(u.changes, current.Revision()))
	if err != nil {
		m.log.Warn().Err(err).Msg("changes of the documents do not follow on the state in force")
		return nil
	}
	return next
}

func changesAfter(changes []documents.Change, after document.Revision) []documents.Change {
	for i, change := range changes {
		if change.Revision > after {
			return changes[i:]
		}
	}
	return nil
}

// handleEvent passes one event to the state machine and carries out the resulting actions. The
// state is built first, so that the state machine never reports a revision as applied that could
// not be built. It returns false if there is no initial state yet or the state could not be built;
// the event is dropped in this case.
func (m *Manager) handleEvent(ctx context.Context, u *update, handle func(now time.Time) []spread.Action) bool {
	m.mu.Lock()
	if m.machine == nil {
		m.mu.Unlock()
		return false
	}
	next := m.build(u)
	if next == nil {
		m.mu.Unlock()
		return false
	}
	now := time.Now()
	actions := handle(now)
	if next.Revision() > m.state.Load().Revision() && m.machine.Revision() >= next.Revision() {
		m.retainChanges(u)
		m.activate(next)
	}
	sends := m.prepare(actions)
	m.afterEvent(now)
	m.mu.Unlock()
	for _, send := range sends {
		go send(ctx)
	}
	return true
}

// afterEvent updates the readiness and wakes waiting goroutines. It is called with mu held.
func (m *Manager) afterEvent(now time.Time) {
	m.ready.Store(m.machine.Ready(now))
	m.lastEvent.Store(int64(now.Sub(m.startedAt)))
	close(m.changed)
	m.changed = make(chan struct{})
}

// retainChanges retains the changes of an update for pushes and answers to other entries. A full state
// makes the retained changes unusable, so they are dropped. It is called with mu held.
func (m *Manager) retainChanges(u *update) {
	if u.full != nil {
		m.changes = nil
		return
	}
	m.changes = append(m.changes, changesAfter(u.changes, m.state.Load().Revision())...)
	if excess := len(m.changes) - maxRetainedChanges; excess > 0 {
		m.changes = append([]documents.Change(nil), m.changes[excess:]...)
	}
}

// encodeChangesSince returns the encoded changes after one revision up to another, or nil if they
// are not all retained or are too large for a message. It is called with mu held.
func (m *Manager) encodeChangesSince(after, revision document.Revision) []byte {
	changes := changesAfter(m.changes, after)
	if len(changes) == 0 || changes[0].Revision != after+1 {
		return nil
	}
	for i := range changes {
		if changes[i].Revision > revision {
			changes = changes[:i]
			break
		}
	}
	data, err := json.Marshal(changes)
	if err != nil || len(data) > link.MaxFrameBytes/2 {
		return nil
	}
	return data
}

// Members returns the number of live entries, including this one.
func (m *Manager) Members() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.memberCount
}

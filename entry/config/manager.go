// Package config keeps the documents in force at one entry: it carries out the decisions
// of core/spread over links and the document store.
//
// A new revision is built wholly beside the old one and then put in force by one atomic
// pointer; a request that began under the old one ends under it.
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
	// tickEvery is how often spread's clock moves on.
	tickEvery = 100 * time.Millisecond
	// membersEvery is how often the live entries are read from the fleet's view.
	membersEvery = time.Second
	// pollTimeout bounds one read of the table's changes, and each pause in a peer's answer.
	pollTimeout = 2 * time.Second
	// startRetry is the time between two tries to find a state to start with.
	startRetry = 500 * time.Millisecond
	// loadTimeout bounds one of those tries, and a load of all documents. Each call in them is bounded
	// by itself; large states take long over narrow links.
	loadTimeout = 60 * time.Second
	// keptChanges is the number of changes kept for pushes and answers. At 6,000 a day
	// they cover the last hour.
	keptChanges = 256
)

// Config configures a Manager.
type Config struct {
	Self  spread.Member
	Store *documents.Store
	View  *fleet.View
	// Apply is called with each state before it is told to others; calls do not overlap.
	Apply func(*documents.State)
	Log   zerolog.Logger
}

// Manager keeps one entry's documents. It is safe for concurrent use.
type Manager struct {
	config Config
	log    zerolog.Logger
	state  atomic.Pointer[documents.State]

	mu       sync.Mutex
	node     *spread.Node
	changes  []documents.Change
	parts    *assembly
	members  int
	starting startQuestion
	// waiting is closed and replaced whenever an acknowledgement arrives.
	waiting chan struct{}

	// loading says that all documents are being read.
	loading   atomic.Bool
	ready     atomic.Bool
	lastEvent atomic.Int64
	started   time.Time
}

// New returns a Manager without a state; Run finds one.
func New(config Config) *Manager {
	return &Manager{config: config, log: config.Log, waiting: make(chan struct{}), started: time.Now()}
}

// State returns the state in force, the empty one before the first.
func (m *Manager) State() *documents.State {
	if state := m.state.Load(); state != nil {
		return state
	}
	return documents.Empty()
}

// Ready reports whether requests may be admitted under the state in force. It takes no
// lock: it is on the path of each request.
func (m *Manager) Ready() bool {
	quiet := time.Since(m.started) - time.Duration(m.lastEvent.Load())
	return m.ready.Load() && quiet <= spread.DefaultConfig(m.config.Self).MaxPause
}

// Run keeps the state up to date until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	if !m.start(ctx) {
		return
	}
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	members := time.NewTicker(membersEvery)
	defer members.Stop()
	m.setMembers(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-members.C:
			m.setMembers(ctx)
		case <-tick.C:
			m.event(ctx, nil, func(now time.Time) []spread.Action { return m.node.Tick(now) })
		}
	}
}

// start finds the state to begin with: the table's, or while the table is down the
// object store's or a peer's.
func (m *Manager) start(ctx context.Context) bool {
	for {
		started, err := m.tryStart(ctx)
		if err == nil {
			m.begin(started)
			return true
		}
		m.log.Warn().Err(err).Msg("no state of the documents could be read yet")
		select {
		case <-ctx.Done():
			return false
		case <-time.After(startRetry):
		}
	}
}

func (m *Manager) tryStart(ctx context.Context) (documents.StartResult, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	return m.config.Store.Start(ctx, m.fromPeer)
}

func (m *Manager) begin(started documents.StartResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.node = spread.New(spread.DefaultConfig(m.config.Self), now, started.State.Revision(), started.Confirmed)
	m.put(started.State)
	m.afterEvent(now)
}

// put is called with mu held.
func (m *Manager) put(state *documents.State) {
	m.config.Apply(state)
	m.state.Store(state)
}

func (m *Manager) setMembers(ctx context.Context) {
	members := []spread.Member{m.config.Self}
	for _, entry := range m.config.View.Entries() {
		members = append(members, spread.Member{ID: spread.NodeID(entry.ID), Zone: entry.Zone})
	}
	m.event(ctx, nil, func(now time.Time) []spread.Action {
		m.members = len(members)
		return m.node.SetMembers(now, members)
	})
}

// update is what an event brings along: changes that follow on the state in force, or a
// whole state.
type update struct {
	changes []documents.Change
	whole   *documents.State
}

// build returns the state that the update leads to, or the one in force when it is not
// newer. It returns nil when the update does not follow.
func (m *Manager) build(u *update) *documents.State {
	current := m.state.Load()
	if u == nil {
		return current
	}
	if u.whole != nil {
		if u.whole.Revision() > current.Revision() {
			return u.whole
		}
		return current
	}
	next, err := current.Apply(newer(u.changes, current.Revision()))
	if err != nil {
		m.log.Warn().Err(err).Msg("changes of the documents do not follow on the state in force")
		return nil
	}
	return next
}

func newer(changes []documents.Change, than document.Revision) []documents.Change {
	for i, change := range changes {
		if change.Revision > than {
			return changes[i:]
		}
	}
	return nil
}

// event hands one event to the state machine and carries out its actions. The state is
// built first, so that the machine never counts a revision that could not be built.
func (m *Manager) event(ctx context.Context, u *update, hand func(now time.Time) []spread.Action) bool {
	m.mu.Lock()
	if m.node == nil {
		m.mu.Unlock()
		return false
	}
	next := m.build(u)
	if next == nil {
		m.mu.Unlock()
		return false
	}
	now := time.Now()
	actions := hand(now)
	if next.Revision() > m.state.Load().Revision() && m.node.Revision() >= next.Revision() {
		m.keep(u)
		m.put(next)
	}
	sends := m.prepare(actions)
	m.afterEvent(now)
	m.mu.Unlock()
	for _, send := range sends {
		go send(ctx)
	}
	return true
}

// afterEvent is called with mu held.
func (m *Manager) afterEvent(now time.Time) {
	m.ready.Store(m.node.Ready(now))
	m.lastEvent.Store(int64(now.Sub(m.started)))
	close(m.waiting)
	m.waiting = make(chan struct{})
}

// keep remembers changes for pushes and answers. It is called with mu held.
func (m *Manager) keep(u *update) {
	if u.whole != nil {
		m.changes = nil
		return
	}
	m.changes = append(m.changes, newer(u.changes, m.state.Load().Revision())...)
	if extra := len(m.changes) - keptChanges; extra > 0 {
		m.changes = append([]documents.Change(nil), m.changes[extra:]...)
	}
}

// since returns the encoded changes after a revision, or nil when they are not kept. It
// is called with mu held.
func (m *Manager) since(after, revision document.Revision) []byte {
	changes := newer(m.changes, after)
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

// Members is the number of live entries that take part, this one included.
func (m *Manager) Members() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members
}

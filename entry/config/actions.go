package config

import (
	"context"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/core/spread"
	"acaciacleat.example/peers/documents"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/table"
	"github.com/pkg/errors"
)

// prepare converts actions into functions that run without the lock. It is called with mu held.
func (m *Manager) prepare(actions []spread.Action) []func(context.Context) {
	var sends []func(context.Context)
	for _, action := range actions {
		switch a := action.(type) {
		case spread.PushTo:
			sends = append(sends, m.push(a)...)
		case spread.AckTo:
			message := &link.ConfigAck{Root: string(a.Root), Revision: uint64(a.Revision), Nodes: nodeNames(a.Nodes)}
			sends = append(sends, m.sender(a.Node, message))
		case spread.QueryPeer:
			message := &link.ConfigRequest{After: uint64(a.After), Nonce: a.Nonce}
			sends = append(sends, m.sender(a.Node, message))
		case spread.PollTable:
			sends = append(sends, func(ctx context.Context) { m.poll(ctx, a) })
		case spread.BecomeReady:
			m.log.Info().Uint64("revision", uint64(m.machine.Revision())).Msg("documents are in force")
		case spread.BecomeNotReady:
			m.log.Warn().Str("reason", string(a.Reason)).Msg("documents are not certain; no requests are admitted")
		}
	}
	return sends
}

func (m *Manager) push(a spread.PushTo) []func(context.Context) {
	message := &link.ConfigPush{
		Root:     string(a.Root),
		Zone:     a.Zone,
		After:    uint64(a.After),
		Revision: uint64(a.Revision),
		Changes:  m.encodeChangesSince(a.After, a.Revision),
	}
	sends := make([]func(context.Context), 0, len(a.Nodes))
	for _, node := range a.Nodes {
		sends = append(sends, m.sender(node, message))
	}
	return sends
}

// sender returns a function that sends a message to an entry. It ignores errors, because a
// revision also reaches entries by polls and by the revision numbers in other traffic.
func (m *Manager) sender(node spread.NodeID, message link.Message) func(context.Context) {
	return func(ctx context.Context) {
		for _, entry := range m.config.View.Entries() {
			if entry.ID != string(node) {
				continue
			}
			c, err := m.config.View.Connect(ctx, entry.ID, entry.Link)
			if err == nil {
				_ = c.Send(message)
			}
			return
		}
	}
}

func nodeNames(nodes []spread.NodeID) []string {
	all := make([]string, 0, len(nodes))
	for _, node := range nodes {
		all = append(all, string(node))
	}
	return all
}

// poll reads the changes in the table and reports the result to the state machine. If the changes
// cannot be applied, it reports a failed poll.
func (m *Manager) poll(ctx context.Context, a spread.PollTable) {
	u, outcome := m.readTable(ctx, a.After)
	outcome.Nonce = a.Nonce
	report := func(now time.Time) []spread.Action { return m.machine.HandlePoll(now, outcome) }
	if !m.handleEvent(ctx, u, report) {
		outcome = spread.PollResult{Nonce: a.Nonce}
		m.handleEvent(ctx, nil, report)
	}
}

func (m *Manager) readTable(ctx context.Context, after document.Revision) (*update, spread.PollResult) {
	changes, err := m.readChanges(ctx, after)
	if err == nil {
		revision := after
		if len(changes) > 0 {
			revision = changes[len(changes)-1].Revision
		}
		return &update{changes: changes}, spread.PollResult{OK: true, After: after, Revision: revision}
	}
	if !errors.Is(err, documents.ErrCompacted) {
		m.log.Warn().Err(err).Msg("the table could not be read; the revision in force stands")
		return nil, spread.PollResult{}
	}
	if !m.loading.CompareAndSwap(false, true) {
		return nil, spread.PollResult{} // A second concurrent load would slow the first.
	}
	defer m.loading.Store(false)
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	full, err := m.config.Store.Load(ctx)
	if err != nil {
		m.log.Warn().Err(err).Msg("the documents could not be loaded; the revision in force stands")
		return nil, spread.PollResult{}
	}
	return &update{full: full}, spread.PollResult{OK: true, Revision: full.Revision()}
}

func (m *Manager) readChanges(ctx context.Context, after document.Revision) ([]documents.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	return m.config.Store.Changes(ctx, after)
}

// Put stores a document and distributes its revision, which it returns. If the document was
// changed meanwhile, it returns the conflict instead.
func (m *Manager) Put(ctx context.Context, service *document.Service, ifMatch string) (document.Revision, *documents.Conflict, error) {
	revision, conflict, err := m.config.Store.Put(ctx, service, ifMatch)
	if err != nil || conflict != nil {
		return revision, conflict, err
	}
	m.Distribute(ctx, revision)
	return revision, nil, nil
}

// Refresh activates the newest revision of the table at this entry.
func (m *Manager) Refresh(ctx context.Context) error {
	u, outcome := m.readTable(ctx, m.State().Revision())
	if !outcome.OK {
		return table.ErrUnavailable
	}
	m.handleEvent(ctx, u, func(now time.Time) []spread.Action { return m.machine.HandlePoll(now, outcome) })
	return nil
}

// Distribute activates a revision that this entry wrote, sends it to the other entries, and saves the
// state if a save is due.
func (m *Manager) Distribute(ctx context.Context, revision document.Revision) {
	before := m.State().Revision()
	if revision <= before {
		return
	}
	m.distribute(ctx, before, revision)
	m.saveIfDue(ctx, revision)
}

// distribute activates a revision at this entry and sends it to the others. If its changes
// cannot be read back, polls of the table find them.
func (m *Manager) distribute(ctx context.Context, before, revision document.Revision) {
	changes, err := m.config.Store.Changes(ctx, before)
	if err != nil || len(changes) == 0 {
		m.log.Warn().Err(err).Msg("the changes just written could not be read back; pollers will find them")
		m.handleEvent(ctx, nil, func(now time.Time) []spread.Action { return m.machine.ObserveRevision(now, "", revision, 0) })
		return
	}
	last := changes[len(changes)-1].Revision
	m.handleEvent(ctx, &update{changes: changes}, func(now time.Time) []spread.Action {
		return m.machine.HandleWrite(now, before, last)
	})
}

// WaitApplied waits until every live entry has applied the revision or ctx ends, and returns the
// names of the entries that have not. For a revision that another entry wrote it first asks all
// entries whether they have applied it. If this entry has not applied the revision itself, it
// returns this entry's name at once.
func (m *Manager) WaitApplied(ctx context.Context, revision document.Revision) []string {
	m.handleEvent(ctx, nil, func(now time.Time) []spread.Action {
		if m.machine.Tracker(revision) != nil || m.machine.Revision() < revision {
			return nil
		}
		return m.machine.HandleWrite(now, revision, revision)
	})
	for {
		m.mu.Lock()
		if m.machine == nil || m.machine.Revision() < revision {
			m.mu.Unlock()
			return []string{string(m.config.Self.ID)}
		}
		tracker := m.machine.Tracker(revision)
		changed := m.changed
		var missing []string
		if tracker != nil && !tracker.Complete() {
			missing = nodeNames(tracker.Missing())
		}
		m.mu.Unlock()
		if len(missing) == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return missing
		}
	}
}

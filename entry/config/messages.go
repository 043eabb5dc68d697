package config

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/core/spread"
	"acaciacleat.example/peers/documents"
	"acaciacleat.example/peers/link"
	"github.com/pkg/errors"
)

// OnMessage takes the messages of this package's concern; false when it is another's. It
// runs on event loops: what takes time is done elsewhere.
func (m *Manager) OnMessage(c *link.Conn, message link.Message) bool {
	ctx := context.Background()
	from := spread.NodeID(c.Peer().VM)
	switch a := message.(type) {
	case *link.ConfigPush:
		go m.onPush(ctx, from, a)
	case *link.ConfigAck:
		go m.onAck(ctx, a)
	case *link.ConfigRequest:
		go m.onAsk(ctx, c, a)
	case *link.ConfigAnswer:
		go m.onAnswer(ctx, from, a)
	default:
		return false
	}
	return true
}

func (m *Manager) onPush(ctx context.Context, from spread.NodeID, a *link.ConfigPush) {
	push := spread.Push{
		From:     from,
		Root:     spread.NodeID(a.Root),
		Zone:     a.Zone,
		After:    document.Revision(a.After),
		Revision: document.Revision(a.Revision),
	}
	changes, err := decodeChanges(a.Changes)
	u := &update{changes: changes}
	usable := len(changes) > 0 || push.After == push.Revision
	if err == nil && usable && m.event(ctx, u, func(now time.Time) []spread.Action { return m.node.HandlePush(now, push) }) {
		return
	}
	// Without usable changes the push still tells that the revision exists.
	m.event(ctx, nil, func(now time.Time) []spread.Action {
		return m.node.ObserveRevision(now, from, push.Revision, push.Revision)
	})
}

func decodeChanges(data []byte) ([]documents.Change, error) {
	if len(data) == 0 {
		return nil, nil
	}
	var changes []documents.Change
	err := json.Unmarshal(data, &changes)
	return changes, err
}

func (m *Manager) onAck(ctx context.Context, a *link.ConfigAck) {
	nodes := make([]spread.NodeID, 0, len(a.Nodes))
	for _, node := range a.Nodes {
		nodes = append(nodes, spread.NodeID(node))
	}
	m.event(ctx, nil, func(now time.Time) []spread.Action {
		return m.node.HandleAck(now, spread.NodeID(a.Root), document.Revision(a.Revision), nodes)
	})
}

// Heard takes the highest revision that a peer told along with other traffic.
func (m *Manager) Heard(from string, highest uint64) {
	state := m.state.Load()
	if state == nil || document.Revision(highest) <= state.Revision() {
		return
	}
	m.event(context.Background(), nil, func(now time.Time) []spread.Action {
		return m.node.ObserveRevision(now, spread.NodeID(from), document.Revision(highest), 0)
	})
}

// partBytes is the size of one part of a whole state.
const partBytes = 256 << 10

// onAsk answers a peer with the changes it lacks, or with the whole state.
func (m *Manager) onAsk(_ context.Context, c *link.Conn, a *link.ConfigRequest) {
	m.mu.Lock()
	if m.node == nil {
		m.mu.Unlock()
		return
	}
	state := m.state.Load()
	answer := link.ConfigAnswer{
		Nonce:    a.Nonce,
		After:    a.After,
		Revision: uint64(state.Revision()),
		Highest:  uint64(m.node.HighestSeen()),
		Parts:    1,
	}
	current := a.After == answer.Revision
	if !current {
		answer.Changes = m.since(document.Revision(a.After), state.Revision())
	}
	m.mu.Unlock()
	if current || answer.Changes != nil {
		_ = c.Send(&answer)
		return
	}
	if a.After > answer.Revision {
		// The asker is ahead; it needs to know only where this node stands.
		answer.After = answer.Revision
		_ = c.Send(&answer)
		return
	}
	sendWhole(c, &answer, state.Encode())
}

func sendWhole(c *link.Conn, answer *link.ConfigAnswer, data []byte) {
	answer.After = 0
	answer.Parts = (len(data) + partBytes - 1) / partBytes
	for part := range answer.Parts {
		answer.Part = part
		answer.Changes = data[part*partBytes : min((part+1)*partBytes, len(data))]
		if err := c.Send(answer); err != nil {
			return
		}
	}
}

// assembly collects the parts of a whole state.
type assembly struct {
	nonce uint64
	parts [][]byte
	got   int
}

// maxParts bounds a whole state: 35,000 organisations take about 10 MB.
const maxParts = 512

func (m *Manager) onAnswer(ctx context.Context, from spread.NodeID, a *link.ConfigAnswer) {
	u := &update{}
	switch {
	case a.Parts > 1 || a.After == 0 && len(a.Changes) > 0:
		data := m.assemble(a)
		if data == nil {
			m.event(ctx, nil, func(now time.Time) []spread.Action { return m.node.HandlePartialAnswer(now, a.Nonce) })
			return
		}
		if m.hand(a.Nonce, data) {
			return
		}
		whole, err := documents.Decode(data)
		if err != nil {
			m.log.Warn().Err(err).Str("peer", string(from)).Msg("a peer's state could not be read")
			return
		}
		u.whole = whole
	default:
		changes, err := decodeChanges(a.Changes)
		if err != nil {
			m.log.Warn().Err(err).Str("peer", string(from)).Msg("a peer's changes could not be read")
			return
		}
		u.changes = changes
	}
	answer := spread.Answer{
		Node:     from,
		Nonce:    a.Nonce,
		After:    document.Revision(a.After),
		Revision: document.Revision(a.Revision),
		Highest:  document.Revision(a.Highest),
	}
	m.event(ctx, u, func(now time.Time) []spread.Action { return m.node.HandleAnswer(now, answer) })
}

// assemble adds a part; it returns the whole data once all parts are there.
func (m *Manager) assemble(a *link.ConfigAnswer) []byte {
	if a.Parts < 1 || a.Parts > maxParts || a.Part < 0 || a.Part >= a.Parts {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.awaits(a.Nonce) {
		return nil
	}
	if m.parts == nil || m.parts.nonce != a.Nonce || len(m.parts.parts) != a.Parts {
		m.parts = &assembly{nonce: a.Nonce, parts: make([][]byte, a.Parts)}
	}
	if m.parts.parts[a.Part] == nil {
		m.parts.parts[a.Part] = a.Changes
		m.parts.got++
	}
	if a.Nonce == m.starting.nonce {
		m.starting.passed()
	}
	if m.parts.got < a.Parts {
		return nil
	}
	data := bytes.Join(m.parts.parts, nil)
	m.parts = nil
	return data
}

// awaits reports whether a part belongs to the last question that was answered, or to a later one.
// An answer that was given up may still arrive, between the parts of the next. It is called with mu
// held.
func (m *Manager) awaits(nonce uint64) bool {
	if nonce&startNonce != 0 {
		return nonce == m.starting.nonce
	}
	return m.parts == nil || m.parts.nonce&startNonce != 0 || nonce >= m.parts.nonce
}

// askWhole asks one entry for its whole state. A pause in its answer is bounded, not the answer.
func (m *Manager) askWhole(ctx context.Context, c *link.Conn) ([]byte, error) {
	nonce := rand.Uint64() | startNonce
	answer := make(chan []byte, 1)
	timer := time.NewTimer(pollTimeout)
	defer timer.Stop()
	m.mu.Lock()
	m.starting = startQuestion{nonce: nonce, answer: answer, passed: func() { timer.Reset(pollTimeout) }}
	m.mu.Unlock()
	if err := c.Send(&link.ConfigRequest{Nonce: nonce}); err != nil {
		return nil, err
	}
	select {
	case data := <-answer:
		return data, nil
	case <-timer.C:
		return nil, errors.Errorf("config: %s did not answer", c.Peer().VM)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// startNonce marks the questions of a start, which core/spread does not know of.
const startNonce = 1 << 63

// startQuestion is the one question that a start has open.
type startQuestion struct {
	nonce  uint64
	answer chan []byte
	// passed is called for each part of the answer.
	passed func()
}

// hand gives a whole state to a start that waits for it; false when none does.
func (m *Manager) hand(nonce uint64, data []byte) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if nonce&startNonce == 0 {
		return false
	}
	if m.starting.nonce == nonce {
		m.starting.nonce = 0
		m.starting.answer <- data
	}
	return true
}

// errNoPeer means that no live entry is known to ask for a state.
var errNoPeer = errors.New("config: no live entry to ask")

// fromPeer asks live entries for their whole state while the platform can not give one.
// It implements documents.Source.
func (m *Manager) fromPeer(ctx context.Context) ([]byte, error) {
	err := errNoPeer
	for _, entry := range m.config.View.Entries() {
		c, dialErr := m.config.View.Connect(ctx, entry.ID, entry.Link)
		if dialErr != nil {
			err = dialErr
			continue
		}
		data, askErr := m.askWhole(ctx, c)
		if askErr == nil {
			return data, nil
		}
		err = askErr
	}
	return nil, err
}

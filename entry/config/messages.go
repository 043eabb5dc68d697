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

// OnMessage handles the configuration messages, and reports false for any other message. It runs
// on event loops, so the messages are handled in goroutines of their own.
func (m *Manager) OnMessage(c *link.Conn, message link.Message) bool {
	ctx := context.Background()
	from := spread.NodeID(c.Peer().VM)
	switch a := message.(type) {
	case *link.ConfigPush:
		go m.onPush(ctx, from, a)
	case *link.ConfigAck:
		go m.onAck(ctx, a)
	case *link.ConfigRequest:
		go m.onRequest(ctx, c, a)
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
	// A push whose After equals its Revision covers no changes. It only asks which entries have
	// applied the revision; see WaitApplied.
	usable := len(changes) > 0 || push.After == push.Revision
	if err == nil && usable && m.handleEvent(ctx, u, func(now time.Time) []spread.Action { return m.machine.HandlePush(now, push) }) {
		return
	}
	// Without usable changes the push still says that the revision exists.
	m.handleEvent(ctx, nil, func(now time.Time) []spread.Action {
		return m.machine.ObserveRevision(now, from, push.Revision, push.Revision)
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
	m.handleEvent(ctx, nil, func(now time.Time) []spread.Action {
		return m.machine.HandleAck(now, spread.NodeID(a.Root), document.Revision(a.Revision), nodes)
	})
}

// ObserveRevision handles the highest revision that a peer has sent along with other traffic.
func (m *Manager) ObserveRevision(from string, highest uint64) {
	state := m.state.Load()
	if state == nil || document.Revision(highest) <= state.Revision() {
		return
	}
	m.handleEvent(context.Background(), nil, func(now time.Time) []spread.Action {
		return m.machine.ObserveRevision(now, spread.NodeID(from), document.Revision(highest), 0)
	})
}

// partBytes is the size of one part of a full state.
const partBytes = 256 << 10

// onRequest answers a peer with the changes that it lacks, or with the full state.
func (m *Manager) onRequest(_ context.Context, c *link.Conn, a *link.ConfigRequest) {
	m.mu.Lock()
	if m.machine == nil {
		m.mu.Unlock()
		return
	}
	state := m.state.Load()
	answer := link.ConfigAnswer{
		Nonce:    a.Nonce,
		After:    a.After,
		Revision: uint64(state.Revision()),
		Highest:  uint64(m.machine.HighestSeen()),
		Parts:    1,
	}
	current := a.After == answer.Revision
	if !current {
		answer.Changes = m.encodeChangesSince(document.Revision(a.After), state.Revision())
	}
	m.mu.Unlock()
	if current || answer.Changes != nil {
		_ = c.Send(&answer)
		return
	}
	if a.After > answer.Revision {
		// The peer is ahead; the answer only tells it the revision of this entry.
		answer.After = answer.Revision
		_ = c.Send(&answer)
		return
	}
	sendState(c, &answer, state.Encode())
}

func sendState(c *link.Conn, answer *link.ConfigAnswer, data []byte) {
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

// assembly collects the parts of a full state.
type assembly struct {
	nonce    uint64
	parts    [][]byte
	received int
}

// maxParts bounds the parts of a full state: 35,000 organisations take about 10 MB.
const maxParts = 512

func (m *Manager) onAnswer(ctx context.Context, from spread.NodeID, a *link.ConfigAnswer) {
	u := &update{}
	switch {
	case a.Parts > 1 || a.After == 0 && len(a.Changes) > 0:
		data := m.assemble(a)
		if data == nil {
			m.handleEvent(ctx, nil, func(now time.Time) []spread.Action { return m.machine.HandlePartialAnswer(now, a.Nonce) })
			return
		}
		if m.deliverStartupState(a.Nonce, data) {
			return
		}
		full, err := documents.Decode(data)
		if err != nil {
			m.log.Warn().Err(err).Str("peer", string(from)).Msg("a peer's state could not be read")
			return
		}
		u.full = full
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
	m.handleEvent(ctx, u, func(now time.Time) []spread.Action { return m.machine.HandleAnswer(now, answer) })
}

// assemble adds a part, and returns the complete data once all parts have arrived.
func (m *Manager) assemble(a *link.ConfigAnswer) []byte {
	if a.Parts < 1 || a.Parts > maxParts || a.Part < 0 || a.Part >= a.Parts {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.expects(a.Nonce) {
		return nil
	}
	if m.stateAssembly == nil || m.stateAssembly.nonce != a.Nonce || len(m.stateAssembly.parts) != a.Parts {
		m.stateAssembly = &assembly{nonce: a.Nonce, parts: make([][]byte, a.Parts)}
	}
	if m.stateAssembly.parts[a.Part] == nil {
		m.stateAssembly.parts[a.Part] = a.Changes
		m.stateAssembly.received++
	}
	if a.Nonce == m.startupRequest.nonce {
		m.startupRequest.partReceived()
	}
	if m.stateAssembly.received < a.Parts {
		return nil
	}
	data := bytes.Join(m.stateAssembly.parts, nil)
	m.stateAssembly = nil
	return data
}

// expects reports whether a part belongs to the request whose answer is being assembled or to a
// later one. A part with a lower nonce belongs to an abandoned request, because the nonces of
// core/spread increase. Startup nonces are random, so a startup nonce must equal that of the pending
// startup request. It is called with mu held.
func (m *Manager) expects(nonce uint64) bool {
	if nonce&startupNonceBit != 0 {
		return nonce == m.startupRequest.nonce
	}
	return m.stateAssembly == nil || m.stateAssembly.nonce&startupNonceBit != 0 || nonce >= m.stateAssembly.nonce
}

// requestState requests the full state of one entry. The timeout bounds the time between two parts
// of the answer, not the time of the complete answer, so that a large state can arrive over a slow
// link.
func (m *Manager) requestState(ctx context.Context, c *link.Conn) ([]byte, error) {
	nonce := rand.Uint64() | startupNonceBit
	answer := make(chan []byte, 1)
	timer := time.NewTimer(pollTimeout)
	defer timer.Stop()
	m.mu.Lock()
	m.startupRequest = startupRequest{nonce: nonce, answer: answer, partReceived: func() { timer.Reset(pollTimeout) }}
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

// startupNonceBit marks the nonces of requests made at startup, before core/spread is running.
const startupNonceBit = 1 << 63

// startupRequest is the pending request for a full state at startup.
type startupRequest struct {
	nonce  uint64
	answer chan []byte
	// partReceived is called for each part of the answer.
	partReceived func()
}

// deliverStartupState passes a full state to the pending startup request if the nonces match, and
// reports whether the nonce belongs to any startup request.
func (m *Manager) deliverStartupState(nonce uint64, data []byte) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if nonce&startupNonceBit == 0 {
		return false
	}
	if m.startupRequest.nonce == nonce {
		m.startupRequest.nonce = 0
		m.startupRequest.answer <- data
	}
	return true
}

// errNoPeer means that there is no known live entry from which to request a state.
var errNoPeer = errors.New("config: no live entry to ask")

// stateFromPeer asks the live entries one after another for the full state. It is used at startup
// while the table is unavailable. It implements documents.Source.
func (m *Manager) stateFromPeer(ctx context.Context) ([]byte, error) {
	err := errNoPeer
	for _, entry := range m.config.View.Entries() {
		c, dialErr := m.config.View.Connect(ctx, entry.ID, entry.Link)
		if dialErr != nil {
			err = dialErr
			continue
		}
		data, requestErr := m.requestState(ctx, c)
		if requestErr == nil {
			return data, nil
		}
		err = requestErr
	}
	return nil, err
}

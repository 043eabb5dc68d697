package lease

import (
	"strconv"
	"time"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	// Wait means to call Next again after Action.Wait.
	Wait ActionKind = iota
	// Read means to read the latest row and call HandleRow or HandleReadFailure.
	Read
	// Write means to commit Action.Write and call HandleWrite.
	Write
	// Done means that the lease is released and there are no further actions.
	Done
)

// Action is the next action of a Machine's owner.
type Action struct {
	Kind  ActionKind
	Wait  time.Duration
	Write ConditionalWrite
}

// ConditionalWrite is a conditional write of the row.
type ConditionalWrite struct {
	// Token is the client token. It is unique among the writes of all processes.
	Token     string
	IfVersion uint64
	Record    Record
}

// Outcome is the outcome of a write.
type Outcome uint8

const (
	// Applied means that the row was written.
	Applied Outcome = iota
	// Conflict means that the row has another version.
	Conflict
	// NotApplied means that the write is known not to have been applied.
	NotApplied
	// Unknown means that the answer was lost, so the write may have been applied.
	Unknown
)

// term is a period during which this process is the holder.
type term struct {
	fence uint64
	// startedAt is when the last write known to be applied was sent; the lease counts from it.
	startedAt Reading
	// suspended says that the row is known to have changed and has not been read again.
	suspended bool
}

// pendingWrite is a write whose outcome is not known, with the time at which it was sent.
type pendingWrite struct {
	request ConditionalWrite
	sentAt  Reading
}

// Machine is the lease's state machine in one process. Its owner performs one action at a
// time and reports the outcome before it calls Next again. It is not safe for concurrent use.
type Machine struct {
	self     string
	settings Settings

	row Row
	// known says that row is believed to be the latest.
	known bool
	// seenAt is when this version of row was first read, readAt when row was last read.
	seenAt, readAt time.Duration
	retryAt        time.Duration
	term           *term
	// pending is the last write while its outcome is not known; nil for none.
	pending   *pendingWrite
	writes    uint64
	resigning bool
}

// New returns a machine that tries to acquire and keep the lease for the process self. The ID
// must be unique to one incarnation of a process: a restarted process that reused its ID
// would take over a lease of which it does not know the remaining time.
func New(self string, settings Settings) *Machine {
	return &Machine{self: self, settings: settings}
}

// Held returns the grant if the process holds the lease at now.
func (m *Machine) Held(now Reading) (Grant, bool) {
	if m.term == nil || m.term.suspended || m.resigning {
		return Grant{}, false
	}
	left := m.settings.Length - m.settings.Margin - now.elapsedSince(m.term.startedAt)
	return Grant{Fence: m.term.fence, Remaining: left}, left > 0
}

// Resign ends the grant at once. The next actions release the lease.
func (m *Machine) Resign() { m.resigning = true }

// Next returns the next action.
func (m *Machine) Next(now Reading) Action {
	m.expireTerm(now)
	switch {
	case now.Mono < m.retryAt:
		return Action{Kind: Wait, Wait: m.retryAt - now.Mono}
	case !m.known:
		return Action{Kind: Read}
	case m.resigning:
		return m.release(now)
	case m.term != nil:
		return m.renew(now)
	case m.available():
		return m.write(now, Record{Holder: m.self, Fence: m.row.Record.Fence + 1, Length: m.settings.Length})
	default:
		return m.poll(now)
	}
}

// expireTerm ends a term whose time has passed. The row is then read again, as it may have a new
// holder by now.
func (m *Machine) expireTerm(now Reading) {
	if m.term == nil || m.resigning {
		return
	}
	if now.elapsedSince(m.term.startedAt) >= m.settings.Length-m.settings.Margin {
		m.term = nil
		m.known = false
	}
}

func (m *Machine) release(now Reading) Action {
	if m.row.Record.Holder != m.self {
		return Action{Kind: Done}
	}
	return m.write(now, Record{Fence: m.row.Record.Fence, Length: m.settings.Length})
}

func (m *Machine) renew(now Reading) Action {
	age := now.elapsedSince(m.term.startedAt)
	if age < m.settings.RenewEvery {
		return Action{Kind: Wait, Wait: m.settings.RenewEvery - age}
	}
	return m.write(now, Record{Holder: m.self, Fence: m.term.fence, Length: m.settings.Length})
}

// available reports whether the lease may be taken according to the last read. A row that
// names this process although it has no term is the result of a write whose answer was late
// or lost; no other process can have taken the lease while the row has that version.
func (m *Machine) available() bool {
	holder := m.row.Record.Holder
	if holder == "" || holder == m.self {
		return true
	}
	return m.readAt-m.seenAt >= m.settings.takeoverWait(m.row.Record.Length)
}

func (m *Machine) poll(now Reading) Action {
	next := min(m.readAt+m.settings.PollEvery, m.seenAt+m.settings.takeoverWait(m.row.Record.Length))
	if now.Mono < next {
		return Action{Kind: Wait, Wait: next - now.Mono}
	}
	return Action{Kind: Read}
}

func (m *Machine) write(now Reading, record Record) Action {
	m.writes++
	request := ConditionalWrite{
		Token:     m.self + "/" + strconv.FormatUint(m.writes, 10),
		IfVersion: m.row.Version,
		Record:    record,
	}
	m.pending = &pendingWrite{request: request, sentAt: now}
	return Action{Kind: Write, Write: request}
}

// HandleWrite handles the outcome of the last write; version is the row's new version if the
// write was applied.
//
// After an unknown outcome the row is read back. If it has the write's token, the lease
// counts from when the write was sent. If not, the write may still arrive late. This is
// harmless, because it and any later write require the version that the row has now, so
// only one of them can be applied.
func (m *Machine) HandleWrite(now Reading, outcome Outcome, version uint64) {
	write := m.pending
	switch outcome {
	case Applied:
		m.observeRow(now, Row{Version: version, Token: write.request.Token, Record: write.request.Record})
		m.acceptWrite(write)
	case NotApplied:
		m.pending = nil
		m.retryAt = now.Mono + m.settings.RetryEvery
	case Conflict:
		m.pending = nil
		m.known = false
		m.suspendTerm()
	default:
		m.known = false
		m.retryAt = now.Mono + m.settings.RetryEvery
	}
}

// HandleReadFailure handles a failed read of the row.
func (m *Machine) HandleReadFailure(now Reading) { m.retryAt = now.Mono + m.settings.RetryEvery }

// HandleRow handles the latest row.
func (m *Machine) HandleRow(now Reading, row Row) {
	m.observeRow(now, row)
	if m.pending != nil && m.pending.request.Token == row.Token {
		m.acceptWrite(m.pending)
	}
	m.pending = nil
	m.confirmTerm()
}

// observeRow records the row as read or written at now.
func (m *Machine) observeRow(now Reading, row Row) {
	if row.Version != m.row.Version || m.row.Version == 0 {
		m.seenAt = now.Mono
	}
	m.row = row
	m.readAt = now.Mono
	m.known = true
}

// acceptWrite updates the term after a write that is known to be applied.
func (m *Machine) acceptWrite(write *pendingWrite) {
	m.pending = nil
	if write.request.Record.Holder != m.self {
		m.term = nil
		return
	}
	m.term = &term{fence: write.request.Record.Fence, startedAt: write.sentAt}
}

// suspendTerm stops the holder until the row is read again: another holder or a late renewal
// of its own has changed the version.
func (m *Machine) suspendTerm() {
	if m.term != nil {
		m.term.suspended = true
	}
}

// confirmTerm ends the term unless the row still has its holder and fencing number. If the row
// does, the term is no longer suspended.
func (m *Machine) confirmTerm() {
	if m.term == nil {
		return
	}
	if m.row.Record.Holder != m.self || m.row.Record.Fence != m.term.fence {
		m.term = nil
		return
	}
	m.term.suspended = false
}

package lease

import (
	"strconv"
	"time"
)

// ActionKind is what a Machine wants done next.
type ActionKind uint8

// The kinds of action.
const (
	// Wait asks to call Next again after Action.Wait.
	Wait ActionKind = iota
	// Read asks to read the latest row and report RowRead or ReadFailed.
	Read
	// Write asks to commit Action.Write and report Written.
	Write
	// Done says that the lease is given up and nothing is left to do.
	Done
)

// Action is what the owner of a Machine does next.
type Action struct {
	Kind  ActionKind
	Wait  time.Duration
	Write WriteOrder
}

// WriteOrder is a conditional write of the row.
type WriteOrder struct {
	// Token is the client token; it differs for each order of any process.
	Token     string
	IfVersion uint64
	Record    Record
}

// Outcome is how a write ended.
type Outcome uint8

// The outcomes.
const (
	// Applied means that the row was written.
	Applied Outcome = iota
	// Conflict means that the row has another version.
	Conflict
	// NotApplied means that it is proved that nothing was written.
	NotApplied
	// Unknown means that the answer was lost.
	Unknown
)

// term is a stay as the holder.
type term struct {
	fence uint64
	// from is when the last write known to be applied was sent.
	from Reading
	// suspended is set when the row is known to have changed and not yet read again.
	suspended bool
}

type pendingWrite struct {
	order  WriteOrder
	sentAt Reading
}

// Machine is one process's part in a lease. Its owner carries out one action at a time
// and reports how it ended before it asks for the next. It is not safe for concurrent use.
type Machine struct {
	self     string
	settings Settings

	row Row
	// known says that row is believed to be the latest.
	known bool
	// seenAt is when this version of row was seen first, readAt when it was last.
	seenAt, readAt time.Duration
	retryAt        time.Duration
	term           *term
	// pending is the last write whose effect is not known.
	pending   *pendingWrite
	writes    uint64
	resigning bool
}

// New returns a machine that tries to get and keep the lease for the process self. The
// ID must name one life of one process: a restarted process that took over its old name
// would take over a right whose time it cannot know.
func New(self string, settings Settings) *Machine {
	return &Machine{self: self, settings: settings}
}

// Held returns the grant if the process holds the lease at now.
func (m *Machine) Held(now Reading) (Grant, bool) {
	if m.term == nil || m.term.suspended || m.resigning {
		return Grant{}, false
	}
	left := m.settings.Length - m.settings.Margin - now.passedSince(m.term.from)
	return Grant{Fence: m.term.fence, Left: left}, left > 0
}

// Resign makes the process stop at once and give the lease up in its next actions.
func (m *Machine) Resign() { m.resigning = true }

// Next returns what to do now.
func (m *Machine) Next(now Reading) Action {
	m.lapse(now)
	switch {
	case now.Mono < m.retryAt:
		return Action{Kind: Wait, Wait: m.retryAt - now.Mono}
	case !m.known:
		return Action{Kind: Read}
	case m.resigning:
		return m.release(now)
	case m.term != nil:
		return m.renew(now)
	case m.free():
		return m.write(now, Record{Holder: m.self, Fence: m.row.Record.Fence + 1, Length: m.settings.Length})
	default:
		return m.poll(now)
	}
}

// lapse ends a term whose time has passed. The row may have a new holder by now.
func (m *Machine) lapse(now Reading) {
	if m.term == nil || m.resigning {
		return
	}
	if now.passedSince(m.term.from) >= m.settings.Length-m.settings.Margin {
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
	age := now.passedSince(m.term.from)
	if age < m.settings.RenewEvery {
		return Action{Kind: Wait, Wait: m.settings.RenewEvery - age}
	}
	return m.write(now, Record{Holder: m.self, Fence: m.term.fence, Length: m.settings.Length})
}

// free reports whether the last read allows to take the lease. A row that names this
// process without a term stems from a write whose answer came too late or never; no one
// else can have taken the lease while the row has that version.
func (m *Machine) free() bool {
	holder := m.row.Record.Holder
	if holder == "" || holder == m.self {
		return true
	}
	return m.readAt-m.seenAt >= m.settings.wait(m.row.Record.Length)
}

func (m *Machine) poll(now Reading) Action {
	next := min(m.readAt+m.settings.PollEvery, m.seenAt+m.settings.wait(m.row.Record.Length))
	if now.Mono < next {
		return Action{Kind: Wait, Wait: next - now.Mono}
	}
	return Action{Kind: Read}
}

func (m *Machine) write(now Reading, record Record) Action {
	m.writes++
	order := WriteOrder{
		Token:     m.self + "/" + strconv.FormatUint(m.writes, 10),
		IfVersion: m.row.Version,
		Record:    record,
	}
	m.pending = &pendingWrite{order: order, sentAt: now}
	return Action{Kind: Write, Write: order}
}

// Written reports how the last write ended; version is the row's if it was applied.
//
// After an unknown outcome the row is read back. If it carries the write's token, the
// write counts from when it was sent. If not, the write may still arrive late; that is
// harmless, because it and any later write demand the version that the row has now.
func (m *Machine) Written(now Reading, outcome Outcome, version uint64) {
	write := m.pending
	switch outcome {
	case Applied:
		m.see(now, Row{Version: version, Token: write.order.Token, Record: write.order.Record})
		m.adopt(write)
	case NotApplied:
		m.pending = nil
		m.retryAt = now.Mono + m.settings.RetryEvery
	case Conflict:
		m.pending = nil
		m.known = false
		m.suspend()
	default:
		m.known = false
		m.retryAt = now.Mono + m.settings.RetryEvery
	}
}

// ReadFailed reports that the row could not be read.
func (m *Machine) ReadFailed(now Reading) { m.retryAt = now.Mono + m.settings.RetryEvery }

// RowRead reports the latest row.
func (m *Machine) RowRead(now Reading, row Row) {
	m.see(now, row)
	if m.pending != nil && m.pending.order.Token == row.Token {
		m.adopt(m.pending)
	}
	m.pending = nil
	m.confirm()
}

func (m *Machine) see(now Reading, row Row) {
	if row.Version != m.row.Version || m.row.Version == 0 {
		m.seenAt = now.Mono
	}
	m.row = row
	m.readAt = now.Mono
	m.known = true
}

// adopt takes in a write that is known to be applied.
func (m *Machine) adopt(write *pendingWrite) {
	m.pending = nil
	if write.order.Record.Holder != m.self {
		m.term = nil
		return
	}
	m.term = &term{fence: write.order.Record.Fence, from: write.sentAt}
}

// suspend stops the holder until the row is read: the version has changed, be it by
// another holder or by an earlier renewal that arrived late.
func (m *Machine) suspend() {
	if m.term != nil {
		m.term.suspended = true
	}
}

// confirm ends the term unless the row still names it.
func (m *Machine) confirm() {
	if m.term == nil {
		return
	}
	if m.row.Record.Holder != m.self || m.row.Record.Fence != m.term.fence {
		m.term = nil
		return
	}
	m.term.suspended = false
}

package lease

import (
	"fmt"
	"testing"
	"time"

	_ "acaciacleat.example/core/seeded"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var settings = Settings{
	Length:     10 * time.Second,
	RenewEvery: 3 * time.Second,
	PollEvery:  2 * time.Second,
	RetryEvery: time.Second,
	RateBound:  0.1,
}

// node is a process with its own clocks and at most one call in flight.
type node struct {
	*Machine
	// rate is how far the clock advances in a thousand units of true time.
	rate        int64
	wall        time.Duration
	pendingCall *message
}

// message is a call in flight. It may still be delivered after its sender has abandoned it.
type message struct {
	action    Action
	delivered bool
	outcome   Outcome
	row       Row
}

// simulation simulates the table's row and true time, which the nodes cannot see. The row is the
// reference for who holds the lease.
type simulation struct {
	now          time.Duration
	row          Row
	version      uint64
	nodes        []*node
	messages     []*message
	incarnations int
}

func newSimulation(rates ...int64) *simulation {
	s := &simulation{}
	for _, rate := range rates {
		s.nodes = append(s.nodes, &node{rate: rate})
	}
	for _, n := range s.nodes {
		s.restart(n)
	}
	return s
}

func (s *simulation) restart(n *node) {
	s.incarnations++
	n.Machine = New(fmt.Sprintf("life-%d", s.incarnations), settings)
	n.pendingCall = nil
}

func (s *simulation) clock(n *node) Reading {
	mono := s.now / 1000 * time.Duration(n.rate)
	return Reading{Mono: mono, Wall: mono + n.wall}
}

// step lets an idle node start its next action.
func (s *simulation) step(n *node) {
	if n.pendingCall != nil {
		return
	}
	if action := n.Next(s.clock(n)); action.Kind == Read || action.Kind == Write {
		n.pendingCall = &message{action: action}
		s.messages = append(s.messages, n.pendingCall)
	}
}

// deliver lets the table service execute a message.
func (s *simulation) deliver(t require.TestingT, m *message) {
	m.delivered = true
	if request := m.action.Write; m.action.Kind == Write {
		if request.IfVersion != s.row.Version {
			m.outcome = Conflict
			return
		}
		if request.Record.Holder != "" && request.Record.Holder != s.row.Record.Holder {
			require.Greater(t, request.Record.Fence, s.row.Record.Fence, "the fencing number must rise")
		}
		require.GreaterOrEqual(t, request.Record.Fence, s.row.Record.Fence)
		s.version++
		s.row = Row{Version: s.version, Token: request.Token, Record: request.Record}
	}
	m.row = s.row
}

// answer returns a delivered message's answer to its node; an undelivered message is lost.
func (s *simulation) answer(n *node, lost bool) {
	m, now := n.pendingCall, s.clock(n)
	n.pendingCall = nil
	switch {
	case m.action.Kind == Read && (lost || !m.delivered):
		n.HandleReadFailure(now)
	case m.action.Kind == Read:
		n.HandleRow(now, m.row)
	case lost || !m.delivered:
		n.HandleWrite(now, Unknown, 0)
	default:
		n.HandleWrite(now, m.outcome, m.row.Version)
	}
}

// run lets a node's calls succeed immediately until the node waits.
func (s *simulation) run(t require.TestingT, n *node) {
	for s.step(n); n.pendingCall != nil; s.step(n) {
		if !n.pendingCall.delivered {
			s.deliver(t, n.pendingCall)
		}
		s.answer(n, false)
	}
}

// check compares the nodes' grants with the row and returns the number of holders.
func (s *simulation) check(t require.TestingT) (holders int) {
	for _, n := range s.nodes {
		grant, held := n.Held(s.clock(n))
		if !held {
			continue
		}
		holders++
		require.Equal(t, s.row.Record.Holder, n.self, "a holder must be the one that the row names")
		require.Equal(t, s.row.Record.Fence, grant.Fence)
	}
	require.LessOrEqual(t, holders, 1)
	return holders
}

// runWithoutFaults lets all calls succeed immediately for d.
func (s *simulation) runWithoutFaults(t require.TestingT, d time.Duration) {
	const tick = 100 * time.Millisecond
	for end := s.now + d; s.now < end; s.now += tick {
		for _, n := range s.nodes {
			s.run(t, n)
		}
		s.check(t)
	}
}

// At most one process may act as the holder under any mixture of pauses, lost and late calls,
// restarts, resignations and steps of the wall clock, with clocks whose rates differ by the
// bound. It would fail for a process that trusts an old answer or another process's clock.
// After the faults end, one process must hold the lease and keep it.
func TestOneHolderUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(900, 1000, 1100)
		pick := func(t *rapid.T) *node { return rapid.SampledFrom(s.nodes).Draw(t, "node") }
		calling := func(t *rapid.T) *node {
			n := pick(t)
			if n.pendingCall == nil {
				t.Skip()
			}
			return n
		}
		waits := []time.Duration{settings.RetryEvery, settings.RenewEvery, settings.Length * 95 / 100, 2 * settings.Length}
		t.Repeat(map[string]func(*rapid.T){
			"wait":  func(t *rapid.T) { s.now += rapid.SampledFrom(waits).Draw(t, "wait") },
			"run":   func(t *rapid.T) { s.run(t, pick(t)) },
			"rerun": func(t *rapid.T) { s.run(t, pick(t)) },
			"step":  func(t *rapid.T) { s.step(pick(t)) },
			"deliver": func(t *rapid.T) {
				if len(s.messages) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(s.messages)-1).Draw(t, "message")
				if s.messages[i].delivered {
					t.Skip()
				}
				s.deliver(t, s.messages[i])
			},
			"answer": func(t *rapid.T) { s.answer(calling(t), false) },
			"lose":   func(t *rapid.T) { s.answer(calling(t), true) },
			"refuse": func(t *rapid.T) {
				n := calling(t)
				if n.pendingCall.action.Kind != Write || n.pendingCall.delivered {
					t.Skip()
				}
				n.pendingCall.delivered = true
				n.pendingCall = nil
				n.HandleWrite(s.clock(n), NotApplied, 0)
			},
			"step wall clock": func(t *rapid.T) {
				pick(t).wall += time.Duration(rapid.IntRange(-60, 60).Draw(t, "s")) * time.Second
			},
			"restart": func(t *rapid.T) { s.restart(pick(t)) },
			"resign": func(t *rapid.T) {
				n := pick(t)
				n.Resign()
				_, held := n.Held(s.clock(n))
				require.False(t, held)
			},
			"": func(t *rapid.T) { s.check(t) },
		})
		for _, n := range s.nodes {
			if n.pendingCall != nil {
				s.answer(n, true)
			}
			if n.resigning {
				s.restart(n)
			}
		}
		s.runWithoutFaults(t, 3*settings.Length)
		require.Equal(t, 1, s.check(t), "the lease must be taken")
		fence := s.row.Record.Fence
		s.runWithoutFaults(t, 3*settings.Length)
		require.Equal(t, fence, s.row.Record.Fence, "the holder must keep the lease")
	})
}

// A holder whose VM is paused past the end of its lease must not act afterwards. The cases
// differ in what its clocks show. The last one exceeds the bound on rates: there only the
// fencing number protects.
func TestPausedHolder(t *testing.T) {
	const pause = time.Minute
	cases := []struct {
		name        string
		mono, wall  time.Duration
		stillActing bool
	}{
		{"both clocks ran on", pause, pause, false},
		{"monotonic clock stood still", 0, pause, false},
		{"wall clock was set back", pause, -pause, false},
		{"both clocks stood still", 0, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(1000, 1000)
			first, second := s.nodes[0], s.nodes[1]
			s.runWithoutFaults(t, time.Second)
			old, held := first.Held(s.clock(first))
			require.True(t, held)
			before := s.clock(first)

			s.nodes = []*node{second}
			s.runWithoutFaults(t, pause)
			current, held := second.Held(s.clock(second))
			require.True(t, held)
			after := Reading{Mono: before.Mono + c.mono, Wall: before.Wall + c.wall}
			_, held = first.Held(after)
			require.Equal(t, c.stillActing, held)
			after.Mono += settings.RenewEvery
			if action := first.Next(after); action.Kind == Write {
				first.HandleWrite(after, Conflict, 0)
				_, held = first.Held(after)
				require.False(t, held, "a holder must stop at a conflict")
			}
			first.HandleRow(after, s.row)
			_, held = first.Held(after)
			require.False(t, held, "a holder must stop once it reads another's name")

			var guard Guard
			require.ErrorIs(t, guard.Check(old.Fence), ErrNotRead)
			guard.ObserveRow(s.row.Record.Fence)
			require.ErrorIs(t, guard.Check(old.Fence), ErrStaleFence)
			require.NoError(t, guard.Check(current.Fence))
		})
	}
}

// If the holder's clock is slow and that of a watching process fast, both by the bound, a
// partitioned holder must have stopped before the watcher takes over. Otherwise both act for
// about a second.
func TestSlowHolderAndFastWatcher(t *testing.T) {
	s := newSimulation(900, 1100)
	holder, watcher := s.nodes[0], s.nodes[1]
	s.run(t, holder)
	require.Equal(t, 1, s.check(t))
	for start := s.now; s.now-start < 2*settings.Length; s.now += 10 * time.Millisecond {
		s.run(t, watcher)
		s.check(t)
	}
	_, held := watcher.Held(s.clock(watcher))
	require.True(t, held)
}

// If the answer to its first write is late or lost, a process must not hold another's lease, nor
// its own for too long: the lease counts from when the write was sent, and only the row's token
// says whose write was applied.
func TestLateAndLostAnswers(t *testing.T) {
	const late = 6 * time.Second
	cases := []struct {
		name            string
		delivered, lost bool
		left            time.Duration
	}{
		{"answer late", true, false, settings.Length - late},
		{"answer lost, read back late", true, true, settings.Length - late},
		{"write lost, another takes the lease", false, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(1000, 1000)
			first, second := s.nodes[0], s.nodes[1]
			s.step(first)
			s.deliver(t, first.pendingCall)
			s.answer(first, false)
			s.step(first)
			write := first.pendingCall
			if c.delivered {
				s.deliver(t, write)
			}
			if c.lost {
				s.answer(first, true)
			}
			s.run(t, second)
			s.now += late
			if c.lost {
				s.step(first)
				s.deliver(t, first.pendingCall)
			}
			s.answer(first, false)
			grant, held := first.Held(s.clock(first))
			require.Equal(t, c.left > 0, held)
			require.Equal(t, c.left, grant.Remaining)
			s.deliver(t, write)
			s.check(t)
		})
	}
}

// A holder must not count its lease from a renewal that was never applied. Here two renewals are
// lost, the first one arrives late and the row is read: it names the holder and has a new
// version, but its token is the first renewal's.
func TestOlderRenewalArrivesLate(t *testing.T) {
	s := newSimulation(1000)
	n := s.nodes[0]
	s.run(t, n)
	s.now = settings.RenewEvery
	s.step(n)
	late := n.pendingCall
	s.answer(n, true)
	s.now += settings.RetryEvery
	s.step(n)
	s.deliver(t, n.pendingCall)
	s.answer(n, false)
	s.step(n)
	s.deliver(t, late)
	s.answer(n, true)
	s.now += settings.RetryEvery
	s.step(n)
	s.deliver(t, n.pendingCall)
	s.answer(n, false)
	grant, _ := n.Held(s.clock(n))
	require.Equal(t, settings.Length-s.now, grant.Remaining, "it must count from the first write")
}

// An agent must not execute a former holder's orders, whatever the sequence of orders and reads
// of the row. The reference implementation keeps all fencing numbers.
func TestGuardAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var guard Guard
		seen, read := []uint64{0}, false
		t.Repeat(map[string]func(*rapid.T){
			"row": func(t *rapid.T) {
				fence := rapid.Uint64Range(0, 9).Draw(t, "fence")
				guard.ObserveRow(fence)
				seen, read = append(seen, fence), true
			},
			"order": func(t *rapid.T) {
				fence := rapid.Uint64Range(0, 9).Draw(t, "fence")
				err := guard.Check(fence)
				allowed := read && fence > 0
				for _, s := range seen {
					allowed = allowed && fence >= s
				}
				require.Equal(t, allowed, err == nil)
				seen = append(seen, fence)
			},
		})
	})
}

func TestSettingsCheck(t *testing.T) {
	require.NoError(t, DefaultSettings.Check())
	for _, change := range []func(*Settings){
		func(s *Settings) { s.RetryEvery = 0 },
		func(s *Settings) { s.Margin = s.Length },
		func(s *Settings) { s.RateBound = 1 },
	} {
		s := DefaultSettings
		change(&s)
		require.ErrorIs(t, s.Check(), ErrSettings)
	}
}

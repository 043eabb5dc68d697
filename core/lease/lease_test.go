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

// node is a process with clocks of its own and at most one call under way.
type node struct {
	*Machine
	// rate is how far the clock advances in a thousand units of true time.
	rate int64
	wall time.Duration
	call *message
}

// message is a call on its way. It stays on its way after its sender has given it up.
type message struct {
	action    Action
	delivered bool
	outcome   Outcome
	row       Row
}

// world is the naive lease: one row and true time, which no node can see. The row
// alone says who holds the lease.
type world struct {
	now      time.Duration
	row      Row
	version  uint64
	nodes    []*node
	messages []*message
	lives    int
}

func newWorld(rates ...int64) *world {
	w := &world{}
	for _, rate := range rates {
		w.nodes = append(w.nodes, &node{rate: rate})
	}
	for _, n := range w.nodes {
		w.restart(n)
	}
	return w
}

func (w *world) restart(n *node) {
	w.lives++
	n.Machine = New(fmt.Sprintf("life-%d", w.lives), settings)
	n.call = nil
}

func (w *world) clock(n *node) Reading {
	mono := w.now / 1000 * time.Duration(n.rate)
	return Reading{Mono: mono, Wall: mono + n.wall}
}

// step lets an idle node begin its next action.
func (w *world) step(n *node) {
	if n.call != nil {
		return
	}
	if action := n.Next(w.clock(n)); action.Kind == Read || action.Kind == Write {
		n.call = &message{action: action}
		w.messages = append(w.messages, n.call)
	}
}

// deliver lets the table service execute a message.
func (w *world) deliver(t require.TestingT, m *message) {
	m.delivered = true
	if order := m.action.Write; m.action.Kind == Write {
		if order.IfVersion != w.row.Version {
			m.outcome = Conflict
			return
		}
		if order.Record.Holder != "" && order.Record.Holder != w.row.Record.Holder {
			require.Greater(t, order.Record.Fence, w.row.Record.Fence, "the fencing number must rise")
		}
		require.GreaterOrEqual(t, order.Record.Fence, w.row.Record.Fence)
		w.version++
		w.row = Row{Version: w.version, Token: order.Token, Record: order.Record}
	}
	m.row = w.row
}

// answer brings a delivered message's answer to its node; an undelivered one is lost.
func (w *world) answer(n *node, lost bool) {
	m, now := n.call, w.clock(n)
	n.call = nil
	switch {
	case m.action.Kind == Read && (lost || !m.delivered):
		n.ReadFailed(now)
	case m.action.Kind == Read:
		n.RowRead(now, m.row)
	case lost || !m.delivered:
		n.Written(now, Unknown, 0)
	default:
		n.Written(now, m.outcome, m.row.Version)
	}
}

// run lets a node's calls succeed at once until it waits.
func (w *world) run(t require.TestingT, n *node) {
	for w.step(n); n.call != nil; w.step(n) {
		if !n.call.delivered {
			w.deliver(t, n.call)
		}
		w.answer(n, false)
	}
}

// check compares what each node believes with the row.
func (w *world) check(t require.TestingT) (holders int) {
	for _, n := range w.nodes {
		grant, held := n.Held(w.clock(n))
		if !held {
			continue
		}
		holders++
		require.Equal(t, w.row.Record.Holder, n.self, "a holder must be the one that the row names")
		require.Equal(t, w.row.Record.Fence, grant.Fence)
	}
	require.LessOrEqual(t, holders, 1)
	return holders
}

// runWell lets all calls succeed at once for d.
func (w *world) runWell(t require.TestingT, d time.Duration) {
	const tick = 100 * time.Millisecond
	for end := w.now + d; w.now < end; w.now += tick {
		for _, n := range w.nodes {
			w.run(t, n)
		}
		w.check(t)
	}
}

// Symptom: two processes act as the holder. Sequence: any mixture of pauses, lost and
// late calls, restarts, resignations and steps of the wall clock, with clocks whose
// rates differ by the bound. Cause: a process that trusts an old answer or another
// process's clock. After the faults end, one process must hold the lease and keep it.
func TestOneHolderUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(900, 1000, 1100)
		pick := func(t *rapid.T) *node { return rapid.SampledFrom(w.nodes).Draw(t, "node") }
		calling := func(t *rapid.T) *node {
			n := pick(t)
			if n.call == nil {
				t.Skip()
			}
			return n
		}
		waits := []time.Duration{settings.RetryEvery, settings.RenewEvery, settings.Length * 95 / 100, 2 * settings.Length}
		t.Repeat(map[string]func(*rapid.T){
			"wait":  func(t *rapid.T) { w.now += rapid.SampledFrom(waits).Draw(t, "wait") },
			"run":   func(t *rapid.T) { w.run(t, pick(t)) },
			"rerun": func(t *rapid.T) { w.run(t, pick(t)) },
			"step":  func(t *rapid.T) { w.step(pick(t)) },
			"deliver": func(t *rapid.T) {
				if len(w.messages) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")
				if w.messages[i].delivered {
					t.Skip()
				}
				w.deliver(t, w.messages[i])
			},
			"answer": func(t *rapid.T) { w.answer(calling(t), false) },
			"lose":   func(t *rapid.T) { w.answer(calling(t), true) },
			"refuse": func(t *rapid.T) {
				n := calling(t)
				if n.call.action.Kind != Write || n.call.delivered {
					t.Skip()
				}
				n.call.delivered = true
				n.call = nil
				n.Written(w.clock(n), NotApplied, 0)
			},
			"step wall clock": func(t *rapid.T) {
				pick(t).wall += time.Duration(rapid.IntRange(-60, 60).Draw(t, "s")) * time.Second
			},
			"restart": func(t *rapid.T) { w.restart(pick(t)) },
			"resign": func(t *rapid.T) {
				n := pick(t)
				n.Resign()
				_, held := n.Held(w.clock(n))
				require.False(t, held)
			},
			"": func(t *rapid.T) { w.check(t) },
		})
		for _, n := range w.nodes {
			if n.call != nil {
				w.answer(n, true)
			}
			if n.resigning {
				w.restart(n)
			}
		}
		w.runWell(t, 3*settings.Length)
		require.Equal(t, 1, w.check(t), "the lease must be taken")
		fence := w.row.Record.Fence
		w.runWell(t, 3*settings.Length)
		require.Equal(t, fence, w.row.Record.Fence, "the holder must keep the lease")
	})
}

// Symptom: a holder acts after others have taken over. Sequence: it holds; its VM is
// paused past the lease's end; it goes on. Cause: the pause, by the clocks below. The
// last case exceeds the bound on rates: only the fencing number protects there.
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
			w := newWorld(1000, 1000)
			first, second := w.nodes[0], w.nodes[1]
			w.runWell(t, time.Second)
			old, held := first.Held(w.clock(first))
			require.True(t, held)
			before := w.clock(first)

			w.nodes = []*node{second}
			w.runWell(t, pause)
			current, held := second.Held(w.clock(second))
			require.True(t, held)
			after := Reading{Mono: before.Mono + c.mono, Wall: before.Wall + c.wall}
			_, held = first.Held(after)
			require.Equal(t, c.stillActing, held)
			after.Mono += settings.RenewEvery
			if action := first.Next(after); action.Kind == Write {
				first.Written(after, Conflict, 0)
				_, held = first.Held(after)
				require.False(t, held, "a holder must stop at a conflict")
			}
			first.RowRead(after, w.row)
			_, held = first.Held(after)
			require.False(t, held, "a holder must stop once it reads another's name")

			var guard Guard
			require.ErrorIs(t, guard.Check(old.Fence), ErrNotRead)
			guard.RowRead(w.row.Record.Fence)
			require.ErrorIs(t, guard.Check(old.Fence), ErrStaleFence)
			require.NoError(t, guard.Check(current.Fence))
		})
	}
}

// Symptom: two processes act as the holder for about a second. Sequence: the holder is
// cut off and acts until its own end; another watches the row and takes over. Cause:
// the holder's clock is slow and the other's fast, both by the bound.
func TestSlowHolderAndFastWatcher(t *testing.T) {
	w := newWorld(900, 1100)
	holder, watcher := w.nodes[0], w.nodes[1]
	w.run(t, holder)
	require.Equal(t, 1, w.check(t))
	for start := w.now; w.now-start < 2*settings.Length; w.now += 10 * time.Millisecond {
		w.run(t, watcher)
		w.check(t)
	}
	_, held := watcher.Held(w.clock(watcher))
	require.True(t, held)
}

// Symptom: a holder believes in a lease that is another's, or in one that lasts too long.
// Sequence: the answer to its first write is late or lost, as below. Cause: the lease
// counts from when the write was sent, and only the row's token tells whose write it is.
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
			w := newWorld(1000, 1000)
			first, second := w.nodes[0], w.nodes[1]
			w.step(first)
			w.deliver(t, first.call)
			w.answer(first, false)
			w.step(first)
			write := first.call
			if c.delivered {
				w.deliver(t, write)
			}
			if c.lost {
				w.answer(first, true)
			}
			w.run(t, second)
			w.now += late
			if c.lost {
				w.step(first)
				w.deliver(t, first.call)
			}
			w.answer(first, false)
			grant, held := first.Held(w.clock(first))
			require.Equal(t, c.left > 0, held)
			require.Equal(t, c.left, grant.Left)
			w.deliver(t, write)
			w.check(t)
		})
	}
}

// Symptom: a holder counts its lease from a renewal that was never applied. Sequence:
// two renewals are lost; the first one arrives late; the row is read. Cause: the row
// names the holder and has a new version, but its token is the first renewal's.
func TestOlderRenewalArrivesLate(t *testing.T) {
	w := newWorld(1000)
	n := w.nodes[0]
	w.run(t, n)
	w.now = settings.RenewEvery
	w.step(n)
	late := n.call
	w.answer(n, true)
	w.now += settings.RetryEvery
	w.step(n)
	w.deliver(t, n.call)
	w.answer(n, false)
	w.step(n)
	w.deliver(t, late)
	w.answer(n, true)
	w.now += settings.RetryEvery
	w.step(n)
	w.deliver(t, n.call)
	w.answer(n, false)
	grant, _ := n.Held(w.clock(n))
	require.Equal(t, settings.Length-w.now, grant.Left, "it must count from the first write")
}

// Symptom: an agent obeys two holders. Sequence: orders arrive in any order, mixed with
// reads of the row. Cause: a former holder's orders. The naive guard keeps all numbers.
func TestGuardAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var guard Guard
		seen, read := []uint64{0}, false
		t.Repeat(map[string]func(*rapid.T){
			"row": func(t *rapid.T) {
				fence := rapid.Uint64Range(0, 9).Draw(t, "fence")
				guard.RowRead(fence)
				seen, read = append(seen, fence), true
			},
			"order": func(t *rapid.T) {
				fence := rapid.Uint64Range(0, 9).Draw(t, "fence")
				err := guard.Check(fence)
				obeyed := read && fence > 0
				for _, s := range seen {
					obeyed = obeyed && fence >= s
				}
				require.Equal(t, obeyed, err == nil)
				seen = append(seen, fence)
			},
		})
	})
}

func TestSettingsCheck(t *testing.T) {
	require.NoError(t, DefaultSettings.Check())
	for _, spoil := range []func(*Settings){
		func(s *Settings) { s.RetryEvery = 0 },
		func(s *Settings) { s.Margin = s.Length },
		func(s *Settings) { s.RateBound = 1 },
	} {
		s := DefaultSettings
		spoil(&s)
		require.ErrorIs(t, s.Check(), ErrSettings)
	}
}

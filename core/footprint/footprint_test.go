package footprint

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// owner records what the ledger tells a connection.
type owner struct {
	conn             *Conn
	refused, aborted bool
	phase            Phase
}

func (o *owner) Refuse(Reason) { o.refused, o.phase = true, o.conn.Phase() }
func (o *owner) Abort(Reason)  { o.aborted, o.phase = true, o.conn.Phase() }

func open1(t require.TestingT, l *Ledger, now time.Duration) *owner {
	o := &owner{}
	o.conn = l.NewConn(o)
	ok, _ := l.Open(now, o.conn)
	require.True(t, ok)
	return o
}

const testBytes = 64 << 20

// Guards against a crowd that holds all memory: an ordinary request must find room.
func TestSmallRequestFindsRoomBesideStoppedBodies(t *testing.T) {
	l := New(Limits{Bytes: testBytes, Conns: 1000})
	now := time.Duration(0)
	for {
		o := open1(t, l, now)
		o.conn.BeginBody(now, 0)
		if !l.Acquire(now, o.conn, 4<<20) {
			break
		}
	}
	now += time.Second
	for range 900 {
		o := open1(t, l, now)
		require.True(t, l.Acquire(now, o.conn, 10<<10))
		o.conn.Begin(now, Serving)
	}
}

// Guards against a crowd in one group, or without one, that takes the room of the others.
func TestGroupsLeaveRoomForOthers(t *testing.T) {
	l := New(Limits{Bytes: testBytes, Conns: 1000})
	for _, name := range namesOfGroups(l, 4) {
		held := 0
		for {
			o := open1(t, l, 0)
			l.Join(o.conn, name)
			if !l.Acquire(0, o.conn, 1<<20) {
				break
			}
			o.conn.Begin(0, Serving)
			held++
		}
		require.Positive(t, held, name)
	}
}

// namesOfGroups returns names that belong to different groups.
func namesOfGroups(l *Ledger, n int) []string {
	var names []string
	seen := make(map[*group]bool)
	for i := 0; len(names) < n; i++ {
		c := l.NewConn(nil)
		name := strconv.Itoa(i)
		l.Join(c, name)
		if g := c.group.Load(); !seen[g] {
			seen[g] = true
			names = append(names, name)
		}
	}
	return names
}

// Guards against closing a connection that makes progress while another has stopped.
func TestLeastProgressGivesWay(t *testing.T) {
	l := New(Limits{Bytes: testBytes, Conns: 1000})
	body := func() *owner {
		o := open1(t, l, 0)
		o.conn.BeginBody(0, 0)
		require.True(t, l.Acquire(0, o.conn, 10<<20))
		return o
	}
	stopped, moving := body(), body()
	moving.conn.Moved(2*time.Second, 9<<20)
	stopped.conn.Moved(time.Second, 9<<20)
	last := open1(t, l, 2*time.Second)
	require.True(t, l.Acquire(2*time.Second, last.conn, 25<<20))
	require.True(t, stopped.refused)
	require.False(t, moving.refused)
}

// Guards against a crowd of idle connections that keeps new ones out, and against closing those in use for them.
func TestNewConnectionTakesThePlaceOfAnUnusedOne(t *testing.T) {
	l := New(Limits{Bytes: testBytes, Conns: 10})
	used := open1(t, l, 0)
	used.conn.Begin(0, Idle)
	serving := open1(t, l, 0)
	serving.conn.Begin(0, Serving)
	for range 1000 {
		open1(t, l, 0)
	}
	require.False(t, used.aborted)
	require.False(t, serving.aborted)
}

// Guards against a wait for a client without an end, and against ending one that is within its time.
func TestExpire(t *testing.T) {
	timeouts := Timeouts{Head: 3 * time.Second, Idle: 15 * time.Second}
	for phase, bound := range map[Phase]time.Duration{Idle: timeouts.Idle, Head: timeouts.Head, Body: timeouts.Idle, Answering: timeouts.Idle, Serving: 0} {
		l := New(Limits{Bytes: testBytes, Conns: 10})
		o := open1(t, l, 0)
		o.conn.Begin(0, phase)
		l.Expire(bound, 0, timeouts)
		require.False(t, o.refused || o.aborted, phase)
		l.Expire(max(bound, time.Hour)+1, 0, timeouts)
		require.Equal(t, phase != Serving, o.refused || o.aborted, phase)
	}
	l := New(Limits{Bytes: testBytes, Conns: 10})
	o := open1(t, l, 0)
	o.conn.BeginBody(0, time.Second)
	o.conn.Moved(time.Second, 100)
	l.Expire(time.Second, 0, timeouts)
	require.False(t, o.refused)
	l.Expire(time.Second+1, 0, timeouts)
	require.True(t, o.refused, "the body's deadline has passed")
}

// Guards against totals that drift from what connections hold, against exceeding the limits, and against ending a request
// that is being served.
func TestRandomUse(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := New(Limits{Bytes: 4 << 20, Conns: 12})
		now := time.Duration(0)
		var live []*owner
		pick := func() *owner {
			if len(live) == 0 {
				r.Skip("no connection")
			}
			return live[rapid.IntRange(0, len(live)-1).Draw(r, "connection")]
		}
		r.Repeat(map[string]func(*rapid.T){
			"open": func(*rapid.T) {
				o := &owner{}
				o.conn = l.NewConn(o)
				if ok, _ := l.Open(now, o.conn); ok {
					live = append(live, o)
				}
			},
			"join":    func(r *rapid.T) { l.Join(pick().conn, rapid.SampledFrom([]string{"a", "b"}).Draw(r, "group")) },
			"acquire": func(r *rapid.T) { l.Acquire(now, pick().conn, int64(rapid.IntRange(1, 2<<20).Draw(r, "bytes"))) },
			"release": func(r *rapid.T) { l.Release(pick().conn, int64(rapid.IntRange(-100, 2<<20).Draw(r, "bytes"))) },
			"retire":  func(r *rapid.T) { l.Retire(pick().conn, int64(rapid.IntRange(-100, 2<<20).Draw(r, "bytes"))) },
			"begin":   func(r *rapid.T) { pick().conn.Begin(now, Phase(rapid.IntRange(0, numPhases-1).Draw(r, "phase"))) },
			"wait": func(r *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 5000).Draw(r, "ms")) * time.Millisecond
				l.Expire(now, 0, Timeouts{Head: 3 * time.Second, Idle: 15 * time.Second})
			},
			"close": func(*rapid.T) { l.Close(pick().conn) },
			"": func(r *rapid.T) {
				held, groups, retired := int64(0), int64(0), int64(0)
				kept := live[:0]
				for _, o := range live {
					held += o.conn.Held()
					require.False(r, (o.refused || o.aborted) && o.phase == Serving)
					if o.conn.state.Load() != closed {
						kept = append(kept, o)
					}
				}
				live = kept
				for i := range l.groups {
					groups += l.groups[i].held.Load()
					retired += l.groups[i].retired[0].Load() + l.groups[i].retired[1].Load()
				}
				require.Equal(r, held+retired, l.held.Load())
				require.Equal(r, l.held.Load(), groups)
				require.LessOrEqual(r, l.held.Load(), l.limits.Bytes)
				require.LessOrEqual(r, l.open, l.limits.Conns)
			},
		})
	})
}

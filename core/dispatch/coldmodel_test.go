package dispatch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"acaciacleat.example/core/ratelimit"
	"acaciacleat.example/core/routes"
	"github.com/stretchr/testify/require"
)

// coldModel plays entries that all want to send more to one cold upstream than it bears.
type coldModel struct {
	rate  float64
	now   time.Time
	names []string
	// alive are the entries that run; lost are those that don't, which the others may still know.
	alive map[string]*Fleet
	lost  []string
	// isolated are entries that know no others.
	isolated int
	// cut is set while entries of odd and even position can't reach each other, late while each
	// permit is used as late as entries use it.
	cut, late bool
	sent      []time.Time
}

const (
	modelTick = 25 * time.Millisecond
	// modelStep is the time between two events.
	modelStep = 500 * time.Millisecond
	// modelLateness is how late an entry uses a permit at most.
	modelLateness = 100 * time.Millisecond
)

func newColdModel(rate float64) *coldModel {
	m := &coldModel{rate: rate, now: start, alive: make(map[string]*Fleet)}
	for range 4 {
		m.add()
	}
	m.link()
	return m
}

// add starts an entry under a new name. The others don't know it yet.
func (m *coldModel) add() {
	name := fmt.Sprintf("entry-%d", len(m.names))
	m.names = append(m.names, name)
	m.start(name)
}

// start starts an entry's process, which knows the upstream and that it is cold.
func (m *coldModel) start(name string) {
	f := NewFleet(Settings{Rule: Predicted, VM: name, Origin: uint64(len(m.names))})
	f.SetCold(m.now, map[string]routes.Cold{"model": {Duration: 3 * time.Second, PerSecond: m.rate}})
	f.ApplyChanges(m.now, upstreams(1), true)
	f.SetEntries(m.now, m.names)
	f.ObserveCold(m.now, f.upstreams["u-0000"].Upstream, 5*time.Minute)
	m.alive[name] = f
}

// link links all entries that can reach each other; each then knows the other.
func (m *coldModel) link() {
	for name, f := range m.alive {
		for other, peer := range m.alive {
			if name == other || !m.reaches(name, other) || len(f.entries) == 0 || len(peer.entries) == 0 {
				continue
			}
			if !slices.Contains(f.entries, other) {
				f.SetEntries(m.now, append(slices.Clone(f.entries), other))
			}
			f.RecordLink(m.now, other)
		}
	}
}

func (m *coldModel) reaches(a, b string) bool {
	return !m.cut || slices.Index(m.names, a)%2 == slices.Index(m.names, b)%2
}

// holder returns a running entry that holds a share, by the view of the first one.
func (m *coldModel) holder() string {
	for _, name := range ratelimit.Holders("u-0000", m.names) {
		if m.alive[name] != nil {
			return name
		}
	}
	return m.names[0]
}

type coldEvent struct {
	name string
	do   func(m *coldModel)
}

// coldEvents are what may happen between two steps.
var coldEvents = []coldEvent{
	{"nothing", func(*coldModel) {}},
	{"two join", func(m *coldModel) { m.add(); m.add() }},
	{"links", func(m *coldModel) { m.link() }},
	{"holder lost", func(m *coldModel) {
		name := m.holder()
		delete(m.alive, name)
		m.lost = append(m.lost, name)
	}},
	{"holder restarts", func(m *coldModel) { m.start(m.holder()) }},
	{"all restart", func(m *coldModel) {
		for name := range m.alive {
			m.start(name)
		}
	}},
	{"lost are forgotten", func(m *coldModel) {
		m.names = slices.DeleteFunc(m.names, func(name string) bool { return slices.Contains(m.lost, name) })
		for _, f := range m.alive {
			if len(f.entries) > 0 {
				f.SetEntries(m.now, slices.DeleteFunc(slices.Clone(f.entries), func(name string) bool { return slices.Contains(m.lost, name) }))
			}
		}
	}},
	{"cut", func(m *coldModel) { m.cut = !m.cut }},
	{"late", func(m *coldModel) { m.late = !m.late }},
	{"one knows no others", func(m *coldModel) {
		if m.isolated == 2 {
			return
		}
		m.isolated++
		m.add()
		name := m.names[len(m.names)-1]
		m.names = m.names[:len(m.names)-1]
		f := m.alive[name]
		f.entries = nil
		f.updateShare(m.now, f.upstreams["u-0000"])
	}},
}

// step plays an event and the time after it, in which all entries send what they may.
func (m *coldModel) step(event coldEvent) {
	event.do(m)
	for range modelStep / modelTick {
		m.now = m.now.Add(modelTick)
		for _, name := range slices.Sorted(maps.Keys(m.alive)) {
			m.send(name)
		}
	}
}

// send has an entry send what it may, with permits of its own or of holders that it can reach.
func (m *coldModel) send(name string) {
	f := m.alive[name]
	choice, id, verdict := f.Choose(m.now, plain(), nil)
	if verdict == Place {
		f.RecordEnd(m.now, id, Abandoned)
		m.record(m.now)
		return
	}
	if verdict != NeedsPermit {
		return
	}
	granted := false
	for _, vm := range choice.Permit.Holders {
		holder := m.alive[vm]
		if granted || holder == nil || !m.reaches(name, vm) {
			continue
		}
		ask := choice.Permit.Ask()
		ask.WithinMs = choice.Permit.Within.Milliseconds()
		reply := holder.Grant(m.now, 1, ask)
		if granted = reply.Granted; granted {
			m.record(m.now.Add(reply.Wait()))
		}
	}
	f.RecordPermit(m.now, choice.Upstream, granted, 0)
}

// record records a request that may be sent from a time on.
func (m *coldModel) record(at time.Time) {
	if m.late {
		at = at.Truncate(modelLateness).Add(modelLateness)
	}
	m.sent = append(m.sent, at)
}

// worst returns the largest number of requests in a second.
func (m *coldModel) worst() int {
	slices.SortFunc(m.sent, time.Time.Compare)
	worst, first := 0, 0
	for last, at := range m.sent {
		for at.Sub(m.sent[first]) >= time.Second {
			first++
		}
		worst = max(worst, last-first+1)
	}
	return worst
}

func playCold(t *testing.T, rate float64, events []int) int {
	m := newColdModel(rate)
	for _, i := range append(events, 0, 0) {
		m.step(coldEvents[i])
	}
	worst := m.worst()
	if bound := 1.5*rate + 5; float64(worst) > bound {
		var names []string
		for _, i := range events {
			names = append(names, coldEvents[i].name)
		}
		require.LessOrEqual(t, float64(worst), bound, "%v", names)
	}
	return worst
}

// Guards against any order of joins, losses, restarts, cuts, stale views and late permits in which the
// entries together send a cold upstream more in a second than 1.5 times its rate and 5.
func TestNoOrderOfEventsPassesTheColdBound(t *testing.T) {
	for _, rate := range []float64{1, 4, 28} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			t.Parallel()
			worst := 0
			for i := range len(coldEvents) * len(coldEvents) * len(coldEvents) {
				n := len(coldEvents)
				worst = max(worst, playCold(t, rate, []int{i % n, i / n % n, i / n / n}))
			}
			t.Logf("three events, all orders: %d in the worst second, %.1f tolerated", worst, 1.5*rate+5)
			random := rand.New(rand.NewPCG(uint64(rate), 0))
			for range 300 {
				events := make([]int, 8)
				for i := range events {
					events[i] = random.IntN(len(coldEvents))
				}
				worst = max(worst, playCold(t, rate, events))
			}
			t.Logf("with 300 drawn orders of eight: %d", worst)
		})
	}
}

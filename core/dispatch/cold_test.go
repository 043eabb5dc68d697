package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"acaciacleat.example/core/ratelimit"
	"acaciacleat.example/core/routes"
	"acaciacleat.example/core/slowstart"
	"github.com/stretchr/testify/require"
)

var coldFigures = map[string]routes.Cold{"model": {Duration: 3 * time.Second, PerSecond: 28}}

// coldGroup is a group whose services have figures, and whose entries are linked.
func coldGroup(entries, upstreamCount int) *group {
	g := newGroup(entries, upstreamCount)
	for _, f := range g.fleets {
		f.SetCold(start, coldFigures)
		for _, vm := range g.vms {
			f.RecordLink(start, vm)
		}
	}
	return g
}

// tellCold makes all entries know what the first one knows of cold times.
func (g *group) tellCold(now time.Time) {
	reports := g.fleets[g.vms[0]].TakeColdReports(now, true)
	for _, vm := range g.vms[1:] {
		g.fleets[vm].ApplyCold(now, 1, reports)
	}
}

// restart makes the first upstream start again under its ID.
func restart(f *Fleet, coldFor time.Duration) {
	for bornMs := range int64(2) {
		change := upstreams(1)[0]
		change.StartedAtMs, change.Zone = bornMs+1, "zone-a"
		if bornMs > 0 {
			change.ColdFor = coldFor
		}
		f.ApplyChanges(start, []Change{change}, false)
	}
}

// Guards against an incarnation that gets requests at full rate because its cold time was learned in
// another way, or was outdone by a shorter one.
func TestColdTimesAreLearnedInEveryWay(t *testing.T) {
	ways := map[string]struct {
		learn  func(f *Fleet, u Upstream)
		source ColdSource
		rest   time.Duration
	}{
		"registration": {func(f *Fleet, u Upstream) {
			f.ApplyChanges(start, []Change{{Upstream: u, ColdFor: 2 * time.Second}}, false)
		}, ColdByRegistration, 2 * time.Second},
		"new incarnation": {func(f *Fleet, _ Upstream) {
			restart(f, 0)
		}, ColdByStart, 3 * time.Second},
		"new incarnation, cold for longer": {func(f *Fleet, _ Upstream) {
			restart(f, 4*time.Second)
		}, ColdByRegistration, 4 * time.Second},
		"answer":        {func(f *Fleet, u Upstream) { f.ObserveCold(start, u, time.Second) }, ColdByAnswer, time.Second},
		"zone's return": {func(f *Fleet, _ Upstream) { f.SetEvacuated(start, []string{"zone-a"}); f.SetEvacuated(start, nil) }, ColdByReturn, 3 * time.Second},
		"entry": {func(f *Fleet, u Upstream) {
			f.ApplyCold(start, 2, []slowstart.Report{slowstart.NewReport(uint32(TagOf(u.Incarnation())), time.Second)})
		}, ColdByEntry, time.Second},
	}
	for name, way := range ways {
		t.Run(name, func(t *testing.T) {
			f := coldGroup(1, 2).fleets["entry-0"]
			for _, u := range f.upstreams {
				u.Zone = "zone-a"
			}
			u := f.upstreams["u-0000"].Upstream
			way.learn(f, u)
			f.ObserveCold(start, u, 10*time.Millisecond)
			require.Positive(t, f.Cold(start))
			changes := f.TakeColdChanges()
			last := changes[len(changes)-1]
			require.Equal(t, way.source, last.Source)
			require.Equal(t, way.rest, last.Rest)
			require.Equal(t, ratelimit.Rate(28), last.PerSecond)
			reports := f.TakeColdReports(start, true)
			require.Equal(t, way.source != ColdByEntry, len(reports) > 0, "what another entry has reported isn't reported again")
			require.Zero(t, f.Cold(start.Add(way.rest)))
			f.RemoveExpired(start.Add(way.rest))
			require.Zero(t, f.TakeColdChanges()[0].Rest, "the end is logged")
		})
	}
}

// Guards against upstreams that are all taken for cold when an entry starts.
func TestFirstListNamesNoStarts(t *testing.T) {
	f := NewFleet(Settings{Rule: Predicted, VM: "entry-0"})
	f.SetCold(start, coldFigures)
	f.ApplyChanges(start, upstreams(3), true)
	require.Zero(t, f.Cold(start))
	f.ApplyChanges(start, upstreams(4)[3:], false)
	require.Equal(t, 1, f.Cold(start))
	f.ApplyChanges(start.Add(4*time.Second), []Change{{Upstream: Upstream{ID: "u-0003"}, Removed: true}}, false)
	f.ApplyChanges(start.Add(5*time.Second), upstreams(4)[3:], false)
	require.Zero(t, f.Cold(start.Add(5*time.Second)), "a registration that lapsed and came back is no start")
}

// Guards against entries that together send more to a cold upstream than it bears, and against an
// upstream that stays limited after its cold time, or takes its whole load at once.
func TestColdUpstreamGetsItsRate(t *testing.T) {
	for _, entries := range []int{1, 3, 8, 32} {
		g := coldGroup(entries, 1)
		g.fleets[g.vms[0]].ObserveCold(start, g.fleets[g.vms[0]].upstreams["u-0000"].Upstream, 4*time.Second)
		g.tellCold(start)
		sent := make([]int, 8)
		for ms := range 8000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			f := g.fleets[g.vms[ms%entries]]
			if g.send(now, f, plain()) {
				sent[ms/1000]++
			}
		}
		t.Logf("%d entries: %v", entries, sent)
		for second, n := range sent[:4] {
			require.LessOrEqual(t, n, 28+ratelimit.MaxHolders, "second %d", second)
			require.GreaterOrEqual(t, n, 23, "second %d", second)
		}
		require.Less(t, sent[4], 4*28)
		require.Equal(t, 1000, sent[7])
	}
}

// send places a request at a fleet, asking the holders for a permit if it needs one.
func (g *group) send(now time.Time, f *Fleet, request *Request) bool {
	for range 4 {
		choice, _, verdict := f.Choose(now, request, nil)
		if verdict != NeedsPermit {
			return verdict == Place
		}
		wait := time.Duration(-1)
		granted := false
		for _, vm := range choice.Permit.Holders {
			reply := g.fleets[vm].Grant(now, 1, choice.Permit.Ask())
			if granted = reply.Granted; granted {
				break
			}
			wait = reply.Wait()
		}
		f.RecordPermit(now, choice.Upstream, granted, wait)
		if granted {
			request.Permit = GrantedPermit{Upstream: choice.Upstream, Rate: choice.Permit.Rate}
		}
	}
	return false
}

// Guards against a holder that grants without limit because it doesn't know that the upstream is cold, or
// what it bears.
func TestHolderLearnsOfColdTimesFromQuestions(t *testing.T) {
	g := coldGroup(8, 1)
	u := g.fleets["entry-0"].upstreams["u-0000"].Upstream
	g.name(start, u.ID, 1000)
	holder, other := g.holder(u.ID)
	other.ObserveCold(start, u, 3*time.Second)
	now := start.Add(time.Second)
	choice, _, verdict := other.Choose(now, plain(), nil)
	require.Equal(t, NeedsPermit, verdict)
	require.Equal(t, ratelimit.Rate(28), choice.Permit.Rate)
	require.Zero(t, holder.Cold(now))
	granted := 0
	for range 10 {
		if holder.Grant(now, 2, choice.Permit.Ask()).Granted {
			granted++
		}
	}
	require.LessOrEqual(t, granted, 1)
	require.Equal(t, 1, holder.Cold(now))
	holder.SetCold(now, nil)
	require.False(t, holder.Grant(now.Add(time.Second), 2, choice.Permit.Ask()).Granted, "without figures no rate can be kept")
	ask := choice.Permit.Ask()
	ask.ColdMs = -1 << 40
	require.False(t, holder.Grant(now.Add(time.Second), 2, ask).Granted)
}

// Guards against a permit that was granted before the upstream became cold and is used after.
func TestPermitEndsWithTheRate(t *testing.T) {
	g := coldGroup(8, 1)
	u := g.fleets["entry-0"].upstreams["u-0000"].Upstream
	g.name(start, u.ID, 100)
	_, other := g.holder(u.ID)
	request := plain()
	request.Permit = GrantedPermit{Upstream: u, Rate: 100}
	other.ObserveCold(start, u, time.Second)
	_, _, verdict := other.Choose(start, request, nil)
	require.Equal(t, NeedsPermit, verdict)
	require.Equal(t, uint64(0), other.ColdDenied())
	other.RecordPermit(start, u, false, time.Second)
	require.Equal(t, uint64(1), other.ColdDenied())
}

// Guards against cold figures that only some services have, and against statements that count without
// any.
func TestWithoutFiguresNothingIsLimited(t *testing.T) {
	g := newGroup(1, 1)
	f := g.fleets["entry-0"]
	u := f.upstreams["u-0000"].Upstream
	f.ObserveCold(start, u, time.Second)
	require.Empty(t, f.TakeColdChanges(), "no configuration is known yet")
	f.SetCold(start, nil)
	for range 2 {
		f.ObserveCold(start, u, time.Second)
	}
	require.Zero(t, f.Cold(start))
	require.Equal(t, uint64(3), f.ColdUnbounded())
	require.Len(t, f.TakeColdChanges(), 1, "one line for each service")
	for range 1000 {
		choose(t, f, start, plainEngine())
	}
	f.SetCold(start, coldFigures)
	require.Equal(t, 1, f.Cold(start), "what was said before counts once there are figures")
	require.Len(t, f.TakeColdChanges(), 1)
}

// plainEngine is a short request for an engine.
func plainEngine() *Request {
	return &Request{Service: "model", PromptTokens: 10, OutputTokens: 1, FirstEventTarget: time.Hour, GapTarget: time.Hour, TimeToDeadline: time.Hour, Committed: true}
}

// Guards against several new entries that each take a share of a cold upstream before the others know
// of them.
func TestNewHoldersBeginWithAPartOfTheirShares(t *testing.T) {
	g := coldGroup(3, 1)
	u := g.fleets["entry-0"].upstreams["u-0000"].Upstream
	total := func(now time.Time) (sum ratelimit.Rate) {
		for _, f := range g.fleets {
			f.RemoveExpired(now)
			sum += f.upstreams[u.ID].share.Rate()
		}
		return sum
	}
	for _, f := range g.fleets {
		f.ObserveCold(start, u, 9*time.Second)
	}
	require.InDelta(t, 28, float64(total(start)), 1e-9)
	everyone := append([]string(nil), g.vms...)
	for i := range 20 {
		everyone = append(everyone, fmt.Sprintf("new-%d", i))
	}
	for _, vm := range everyone[3:] {
		f := NewFleet(Settings{Rule: Predicted, VM: vm})
		f.SetCold(start, coldFigures)
		f.ApplyChanges(start, upstreams(1), true)
		f.SetEntries(start, everyone)
		f.ObserveCold(start, u, 9*time.Second)
		g.fleets[vm] = f
	}
	require.LessOrEqual(t, float64(total(start)), 28*7.0/6+1e-9, "the former holders don't know of the new ones yet")
	for _, f := range g.fleets {
		f.SetEntries(start, everyone)
		for _, vm := range everyone {
			f.RecordLink(start, vm)
		}
	}
	require.InDelta(t, 28, float64(total(start)), 1e-9)
	f := g.fleets[everyone[22]]
	f.SetEntries(start, everyone[:3])
	require.Len(t, f.cold.linked, 3, "links to entries that are gone don't count")
}

// Guards against an entry that knows no others and takes a whole rate.
func TestEntryThatKnowsNoOthersGetsLittle(t *testing.T) {
	f := newFleet(1, Predicted)
	f.SetCold(start, coldFigures)
	f.ObserveCold(start, f.upstreams["u-0000"].Upstream, time.Second)
	require.InDelta(t, 28.0/24, float64(f.upstreams["u-0000"].share.Rate()), 1e-9)
}

// Guards against requests that each wait for a holder that doesn't reply.
func TestSilentHolderIsNotAsked(t *testing.T) {
	g := coldGroup(8, 1)
	u := g.fleets["entry-0"].upstreams["u-0000"].Upstream
	g.fleets["entry-0"].ObserveCold(start, u, 9*time.Second)
	g.tellCold(start)
	_, other := g.holder(u.ID)
	choice, _, _ := other.Choose(start, plain(), nil)
	require.Len(t, choice.Permit.Holders, 3)
	silent := choice.Permit.Holders[0]
	other.HolderSilent(start, silent)
	other.RecordPermit(start, u, false, 0)
	now := start.Add(silentTime - time.Millisecond)
	choice, _, _ = other.Choose(now, plain(), nil)
	require.Len(t, choice.Permit.Holders, 2)
	require.NotContains(t, choice.Permit.Holders, silent)
	other.RecordPermit(now, u, false, 0)
	choice, _, _ = other.Choose(start.Add(silentTime+time.Second), plain(), nil)
	require.Len(t, choice.Permit.Holders, 3)
}

// Guards against cold engines that read parts of long prompts while others can, and against a long
// prompt that one cold engine reads alone although all others are cold too.
func TestColdEnginesReadNoPartsWhileOthersCan(t *testing.T) {
	g := coldGroup(1, 6)
	f := g.fleets["entry-0"]
	for _, id := range []string{"u-0003", "u-0004", "u-0005"} {
		f.ObserveCold(start, f.upstreams[id].Upstream, time.Hour)
	}
	now := start.Add(time.Second)
	choice, _ := choose(t, f, now, heavy(100_000))
	require.NotEmpty(t, choice.Helpers)
	for _, helper := range append(choice.Helpers, Helper{Upstream: choice.Upstream}) {
		require.NotContains(t, []string{"u-0003", "u-0004", "u-0005"}, helper.Upstream.ID)
	}
	for _, u := range f.upstreams {
		f.ObserveCold(now, u.Upstream, time.Hour)
	}
	later := now.Add(30 * time.Second)
	choice, _ = choose(t, f, later, heavy(100_000))
	require.NotEmpty(t, choice.Helpers, "all are cold")
	request := heavy(100_000)
	request.Permit = GrantedPermit{Upstream: choice.Upstream, Rate: 28}
	choice, _ = choose(t, f, later.Add(30*time.Second), request)
	require.NotEmpty(t, choice.Helpers, "the permit is for one of them")
	require.Equal(t, request.Permit.Upstream, choice.Upstream)
}

// Guards against decisions that change where no service has cold figures.
func TestDecisionsAreUnchangedWithoutFigures(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		plainly, stating := newFleet(12, Predicted), newFleet(12, Predicted)
		stating.SetCold(start, map[string]routes.Cold{"model": {Duration: 3 * time.Second}, "other": {Duration: time.Second, PerSecond: 1}})
		now := start
		var placed [2][]PlacementID
		for range 400 {
			now = now.Add(time.Duration(random.Int64N(int64(20 * time.Millisecond))))
			request := short()
			request.PromptTokens = 40 + random.IntN(60_000)
			if random.IntN(20) == 0 {
				u := stating.upstreams[fmt.Sprintf("u-%04d", random.IntN(12))].Upstream
				stating.ObserveCold(now, u, time.Minute)
				change := Change{Upstream: u}
				plainly.ApplyChanges(now, []Change{change}, false)
				change.ColdFor = time.Minute
				stating.ApplyChanges(now, []Change{change}, false)
			}
			choice, id, verdict := plainly.Choose(now, request, spec)
			other, otherID, otherVerdict := stating.Choose(now, request, spec)
			require.Equal(t, verdict, otherVerdict)
			other.Retry, choice.Retry = Retry{}, Retry{}
			require.Equal(t, choice, other)
			if verdict == Place {
				placed[0], placed[1] = append(placed[0], id), append(placed[1], otherID)
			}
			if n := len(placed[0]); n > 0 && random.IntN(2) == 0 {
				i := random.IntN(n)
				plainly.RecordEnd(now, placed[0][i], Served)
				stating.RecordEnd(now, placed[1][i], Served)
			}
		}
	}
}

// Guards against messages that grow with the square of the entries when the upstreams of a zone return.
func TestWhatTheRegistryShowsIsReportedByFew(t *testing.T) {
	f := NewFleet(Settings{Rule: Predicted, Origin: 1})
	f.SetCold(start, map[string]routes.Cold{"model": {Duration: 3 * time.Second, PerSecond: 6}})
	changes := upstreams(2)
	changes[0].ColdFor = 2 * time.Second
	f.ApplyChanges(start, changes, true)
	f.ObserveCold(start, changes[1].Upstream, time.Second)
	require.True(t, f.ColdReportsPending())
	reports := f.TakeColdReports(start, false)
	require.Len(t, reports, 1)
	require.Equal(t, uint32(TagOf(changes[1].Incarnation())), reports[0].Tag)
	require.False(t, f.ColdReportsPending())
}

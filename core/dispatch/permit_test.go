package dispatch

import (
	"fmt"
	"testing"
	"time"

	"acaciacleat.example/core/ratelimit"
	"github.com/stretchr/testify/require"
)

// group is the fleets of several entries in one process, without delays between them.
type group struct {
	vms    []string
	fleets map[string]*Fleet
}

func newGroup(entries, upstreamCount int) *group {
	g := &group{fleets: make(map[string]*Fleet)}
	for i := range entries {
		g.vms = append(g.vms, fmt.Sprintf("entry-%d", i))
	}
	for i, vm := range g.vms {
		f := NewFleet(Settings{Rule: Predicted, Origin: uint64(i + 1), VM: vm})
		f.ApplyChanges(start, upstreams(upstreamCount), true)
		f.SetEntries(start, g.vms)
		g.fleets[vm] = f
	}
	return g
}

// name makes all entries know the limit of an upstream.
func (g *group) name(now time.Time, id string, rate ratelimit.Rate) {
	first := g.fleets[g.vms[0]]
	first.ObserveLimit(now, first.upstreams[id].Upstream, LimitAnswer{Statement: ratelimit.Statement{Rate: rate}, SentAt: now, ReceivedAt: now, Complete: true})
	reports := first.TakeLimitReports(now)
	for _, vm := range g.vms[1:] {
		g.fleets[vm].ApplyLimits(now, 1, reports)
	}
}

// holder returns an entry that holds a share of an upstream's limit, and another that doesn't.
func (g *group) holder(id string) (holder, other *Fleet) {
	for _, vm := range g.vms {
		if f := g.fleets[vm]; f.upstreams[id].share.Rate() > 0 {
			holder = f
		} else {
			other = f
		}
	}
	return holder, other
}

func plain() *Request {
	return &Request{Service: "model", FirstEventTarget: 300 * time.Millisecond, TimeToDeadline: 1500 * time.Millisecond}
}

// Guards against a limit whose shares don't add up to it, or that entries learn only by themselves.
func TestSharesAddUpToTheLimit(t *testing.T) {
	g := newGroup(6, 2)
	g.name(start, "u-0000", 3)
	sum, holders := ratelimit.Rate(0), 0
	for _, f := range g.fleets {
		require.Equal(t, ratelimit.Rate(3), f.RateLimit(f.upstreams["u-0000"].Upstream))
		sum += f.upstreams["u-0000"].share.Rate()
		if f.upstreams["u-0000"].share.Rate() > 0 {
			holders++
		}
	}
	require.InDelta(t, 3, float64(sum), 1e-9)
	require.Equal(t, ratelimit.MaxHolders, holders)
	var unknown Fleet = *NewFleet(Settings{VM: "entry-9"})
	unknown.ApplyChanges(start, upstreams(1), true)
	unknown.ApplyLimits(start, 1, []ratelimit.Report{{Tag: uint32(unknown.upstreams["u-0000"].tag), Rate: 3}})
	require.Equal(t, ratelimit.Rate(1), unknown.upstreams["u-0000"].share.Rate(), "others may hold shares before they are known")
}

// Guards against a request that waits for a limited upstream while others are free.
func TestOtherUpstreamsGoFirst(t *testing.T) {
	g := newGroup(4, 3)
	g.name(start, "u-0000", 0.1)
	g.name(start, "u-0001", 0.1)
	for _, f := range g.fleets {
		for range 20 {
			choice, _, verdict := f.Choose(start, plain(), nil)
			if verdict == NeedsPermit {
				f.RecordPermit(start, choice.Upstream, false, time.Minute)
				continue
			}
			require.Equal(t, Place, verdict)
			require.Equal(t, "u-0002", choice.Upstream.ID)
		}
	}
}

// Guards against sends beyond this entry's share, and against a share that isn't used.
func TestHolderSendsWithinItsShare(t *testing.T) {
	g := newGroup(1, 1)
	g.name(start, "u-0000", 2)
	f := g.fleets["entry-0"]
	placed := 0
	for ms := range 10_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		request := plain()
		request.FirstEventTarget = 0
		if _, _, verdict := f.Choose(now, request, nil); verdict == Place {
			placed++
		} else {
			require.Equal(t, RateLimited, verdict)
		}
	}
	require.InDelta(t, 20, placed, 1)
}

// Guards against a permit that is granted beyond the limit, refused although there is one, or used for
// another upstream or after the limit has fallen.
func TestEntryWithoutAShareAsksAHolder(t *testing.T) {
	g := newGroup(8, 1)
	g.name(start, "u-0000", 3)
	holder, other := g.holder("u-0000")
	now := start.Add(time.Second)
	choice, _, verdict := other.Choose(now, plain(), nil)
	require.Equal(t, NeedsPermit, verdict)
	require.Len(t, choice.Permit.Holders, ratelimit.MaxHolders)
	require.Equal(t, 150*time.Millisecond, choice.Permit.Within)

	ask := ratelimit.Ask{Number: 1, Limit: choice.Permit.Limit}
	reply := holder.Grant(now, 9, ask)
	require.Equal(t, ratelimit.Reply{Number: 1, Granted: true}, reply)
	reply = holder.Grant(now, 9, ask)
	require.False(t, reply.Granted)
	require.Equal(t, int64(1000), reply.WaitMs)
	require.False(t, other.Grant(now, 9, ask).Granted, "no holder")

	other.RecordPermit(now, choice.Upstream, true, 0)
	request := plain()
	request.Permit = GrantedPermit{Upstream: choice.Upstream, Rate: 3}
	_, _, verdict = other.Choose(now, request, nil)
	require.Equal(t, Place, verdict)
	other.ApplyLimits(now, 1, []ratelimit.Report{{Tag: choice.Permit.Limit.Tag, Rate: 1}})
	_, _, verdict = other.Choose(now, request, nil)
	require.Equal(t, NeedsPermit, verdict, "the limit has fallen since")
}

// Guards against a request that waits although no permit can come in time, and against refused callers
// that all come back at once.
func TestRequestsBeyondTheLimitsAreRefusedAtOnce(t *testing.T) {
	g := newGroup(1, 2)
	g.name(start, "u-0000", 1)
	g.name(start, "u-0001", 1)
	f := g.fleets["entry-0"]
	now := start.Add(10 * time.Second)
	placed := 0
	var retries []time.Duration
	for range 4 {
		choice, _, verdict := f.Choose(now, plain(), nil)
		if verdict == Place {
			placed++
			continue
		}
		require.Equal(t, RateLimited, verdict)
		retries = append(retries, choice.Explanation.ClearTime)
	}
	require.Equal(t, 2, placed)
	require.Equal(t, time.Second, retries[0], "the next permit")
	long := plain()
	long.FirstEventTarget, long.TimeToDeadline = 0, 30*time.Second
	for range 3 {
		choice, _, _ := f.Choose(now, long, nil)
		retries = append(retries, choice.Explanation.ClearTime)
	}
	require.Equal(t, []time.Duration{time.Second, 1500 * time.Millisecond, 2 * time.Second}, retries[2:], "at the rate of both")
}

// Guards against parts of a long prompt at a limited engine, and against a long prompt that waits for a
// set that limits don't allow.
func TestLongPromptsLeaveLimitedEnginesOut(t *testing.T) {
	g := newGroup(1, 6)
	for _, id := range []string{"u-0003", "u-0004", "u-0005"} {
		g.name(start, id, 10)
	}
	f := g.fleets["entry-0"]
	now := start.Add(10 * time.Second)
	choice, _ := choose(t, f, now, heavy(100_000))
	require.NotEmpty(t, choice.Helpers)
	for _, u := range append(choice.Helpers, Helper{Upstream: choice.Upstream}) {
		require.Zero(t, f.RateLimit(u.Upstream))
	}
	for _, id := range []string{"u-0000", "u-0001", "u-0002"} {
		g.name(start, id, 10)
	}
	choice, _ = choose(t, f, now.Add(time.Minute), heavy(100_000))
	require.Empty(t, choice.Helpers, "all are limited")
}

// Guards against reports that no correct entry sends.
func TestInvalidLimitReportsAreIgnored(t *testing.T) {
	g := newGroup(1, 1)
	f := g.fleets["entry-0"]
	tag := uint32(f.upstreams["u-0000"].tag)
	f.ApplyLimits(start, 2, []ratelimit.Report{{Tag: tag, Rate: -1}, {Tag: tag, Rate: 1e9}, {Tag: tag, Rate: 2, AgeMs: -5}, {Tag: tag + 1, Rate: 2}})
	require.Zero(t, f.Limited())
	require.False(t, f.Grant(start, 2, ratelimit.Ask{Limit: ratelimit.Report{Tag: tag, Rate: -1}}).Granted)
}

// Guards against a report that lifts a limit which this entry has learned since it was sent.
func TestDelayedReportDoesNotLiftANewerLimit(t *testing.T) {
	g := newGroup(2, 1)
	f := g.fleets["entry-1"]
	tag := uint32(f.upstreams["u-0000"].tag)
	f.ApplyLimits(start, 1, []ratelimit.Report{{Tag: tag, Rate: 2}})
	f.ApplyLimits(start.Add(reportDelay/2), 1, []ratelimit.Report{{Tag: tag}})
	require.Equal(t, 1, f.Limited())
	f.ApplyLimits(start.Add(2*reportDelay), 1, []ratelimit.Report{{Tag: tag}})
	require.Zero(t, f.Limited())
}

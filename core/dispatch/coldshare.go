package dispatch

import (
	"maps"
	"slices"
	"time"

	"acaciacleat.example/core/ratelimit"
	"acaciacleat.example/core/slowstart"
)

const (
	// settlingTime is the time within which all entries that can reach each other know of a new one.
	settlingTime = 2 * time.Second
	// settlingPart is the part of its share that an entry grants that became a holder within
	// settlingTime, while others may not know of it yet: three such holders add a quarter to a rate.
	settlingPart = 0.25
	// aloneShare is the part of the rate of a cold upstream that an entry may use that knows no other
	// ones: half a dozen of them add half to a rate.
	aloneShare = 1.0 / 12
	// silentTime is how long a holder that doesn't reply isn't asked for permits of cold upstreams.
	silentTime = time.Second
)

// setEntries sets the known entries.
func (f *Fleet) setEntries(now time.Time, vms []string) {
	if !sameEntries(vms, f.entries) {
		if now.Sub(f.cold.changedAt) >= settlingTime {
			f.cold.settledEntries = f.entries
		}
		f.cold.changedAt = now
	}
	f.entries = vms
}

func sameEntries(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// shareOf returns this entry's share of an upstream's rate, where it is one of holders. While not all
// entries may know that, the share of a cold upstream is smaller.
func (f *Fleet) shareOf(now time.Time, u *upstreamState) ratelimit.Rate {
	share := u.rate / ratelimit.Rate(len(u.holders))
	settlesAt := f.cold.changedAt.Add(settlingTime)
	if !u.warming || !now.Before(settlesAt) || slices.Contains(ratelimit.Holders(u.incarnation, f.cold.settledEntries), f.settings.VM) {
		return share
	}
	u.settlesAt = settlesAt
	return share * settlingPart
}

// aloneShareOf returns the share of an entry that knows no others.
func (u *upstreamState) aloneShareOf() ratelimit.Rate {
	if u.warming {
		return u.rate * aloneShare
	}
	return u.rate / ratelimit.MaxHolders
}

// HolderSilent records that a holder didn't reply to a question for a permit.
func (f *Fleet) HolderSilent(now time.Time, vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cold.silentUntil == nil {
		f.cold.silentUntil = make(map[string]time.Time)
	}
	maps.DeleteFunc(f.cold.silentUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	f.cold.silentUntil[vm] = now.Add(silentTime)
}

// withoutSilent leaves the holders out that didn't reply shortly before, unless none has replied.
func (f *Fleet) withoutSilent(now time.Time, holders []string) []string {
	replying := slices.DeleteFunc(slices.Clone(holders), func(vm string) bool { return now.Before(f.cold.silentUntil[vm]) })
	if len(replying) == 0 {
		return holders
	}
	return replying
}

// applyAskedCold applies what a question says of an upstream's cold time. It returns false if this entry
// can't tell the upstream's rate.
func (f *Fleet) applyAskedCold(now time.Time, u *upstreamState, origin uint64, ask ratelimit.Ask) bool {
	if !ask.Cold {
		f.refreshRate(now, u)
		return true
	}
	report := slowstart.Report{Tag: ask.Limit.Tag, RestMs: ask.ColdMs}
	if !report.Valid() || !slowstart.Bounds(f.cold.figures[u.Service]) {
		return false
	}
	f.extendCold(now, u, report.Rest(), ColdByEntry, origin)
	return true
}

// helpColdPrimary returns the cold engine for which a long prompt has a permit, and adds the engines that
// may help it to the candidates; nil if there is no such permit. Parts of prompts need no permits.
func (f *Fleet) helpColdPrimary(now time.Time, request *Request) *upstreamState {
	primary := f.permitted(now, request)
	if primary == nil || !f.isCold(now, primary) {
		return nil
	}
	for _, u := range f.services[request.Service] {
		if u != primary && u.accepts(now, request) && u.sound(now) && u.limit.Rate == 0 {
			f.search.candidates = append(f.search.candidates, u)
		}
	}
	return primary
}

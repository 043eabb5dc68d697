package dispatch

import (
	"maps"
	"slices"
	"time"

	"acaciacleat.example/core/ratelimit"
	"acaciacleat.example/core/slowstart"
)

const (
	// unconfirmedPart is the part of its share that a holder grants while those that it may have
	// displaced may not know of it: three such holders add a sixth to a rate.
	unconfirmedPart = 1.0 / 6
	// soleEntryShare is the part of the rate of a cold upstream that an entry may use that knows no other
	// ones.
	soleEntryShare = 1.0 / 24
	// silentTime is how long a holder that doesn't reply isn't asked for permits of cold upstreams.
	silentTime = time.Second
)

// RecordLink records that there is a link to an entry, which knows of this one from then on.
func (f *Fleet) RecordLink(now time.Time, vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cold.linked[vm] {
		return
	}
	f.cold.linked = mark(f.cold.linked, vm)
	for _, u := range f.upstreams {
		if u.warming {
			f.updateShare(now, u)
		}
	}
}

// forgetLinks forgets the links to entries that aren't known any more.
func (f *Fleet) forgetLinks() {
	maps.DeleteFunc(f.cold.linked, func(vm string, _ bool) bool { return !slices.Contains(f.entries, vm) })
}

// shareOf returns this entry's share of an upstream's rate, where it is one of holders. The share of a
// cold upstream is smaller until those know of this entry that may be holders by their own view.
func (f *Fleet) shareOf(u *upstreamState) ratelimit.Rate {
	share := u.rate / ratelimit.Rate(len(u.holders))
	unknown := func(vm string) bool { return vm != f.settings.VM && !f.cold.linked[vm] }
	if u.warming && slices.ContainsFunc(ratelimit.Rivals(u.incarnation, f.entries), unknown) {
		share *= unconfirmedPart
	}
	return share
}

// soleEntryRate returns the share of an entry that knows no others.
func (u *upstreamState) soleEntryRate() ratelimit.Rate {
	if u.warming {
		return u.rate * soleEntryShare
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

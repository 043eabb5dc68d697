package dispatch

import (
	"slices"
	"time"

	"acaciacleat.example/core/cooldown"
)

// evacuations are the availability zones whose upstreams get no requests because the operator evacuates
// them. Like the statements of upstreams they bind: no lack of upstreams overrules them.
type evacuations struct {
	zones map[string]bool
	// pauses space the Retry-After of the requests of a service that are refused because all its upstreams
	// are in evacuated zones.
	pauses map[string]*cooldown.Period
}

// evacuationPause is after how long such a request should come again: a zone may be taken back at any
// time, and most callers wait several seconds.
const evacuationPause = time.Second

// SetEvacuated sets the names of all evacuated zones. Requests that run in one of them go on.
func (f *Fleet) SetEvacuated(now time.Time, zones []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	previous := f.evacuations.zones
	f.evacuations.zones = make(map[string]bool, len(zones))
	for _, zone := range zones {
		f.evacuations.zones[zone] = true
		delete(previous, zone)
	}
	for _, u := range f.upstreams {
		u.evacuated = f.evacuations.zones[u.Zone]
	}
	for zone := range previous { // These are taken back.
		clear(f.evacuations.pauses)
		f.zoneMayBeCold(now, zone)
	}
	f.wakeWaiters()
}

// InZone returns the number of upstreams in a zone and that of the requests, and parts of prompts, placed on
// them.
func (f *Fleet) InZone(zone string) (upstreams, requests int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		if u.Zone == zone {
			upstreams++
			requests += len(u.loads)
		}
	}
	return upstreams, requests
}

// EndIsPlanned reports whether the end of an incarnation is no crash: it is draining, its upstream is no
// longer registered, or the operator evacuates its zone.
func (f *Fleet) EndIsPlanned(upstream Upstream) bool {
	return f.Draining(upstream) || f.inEvacuatedZone(upstream)
}

func (f *Fleet) inEvacuatedZone(upstream Upstream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuates(upstream)
}

// evacuates reports whether the operator evacuates the zone that an upstream was in when it was chosen, or
// the one that it is in now.
func (f *Fleet) evacuates(upstream Upstream) bool {
	u := f.findIncarnation(upstream)
	return f.evacuations.zones[upstream.Zone] || u != nil && u.evacuated
}

// evacuationPlan refuses a request whose service has upstreams in evacuated zones only. It returns false if
// the service has none, or another one that takes requests.
func (f *Fleet) evacuationPlan(now time.Time, request *Request) (plan, bool) {
	next := *request
	next.Exclude = nil // When the request comes again, it may use all upstreams.
	all := f.services[request.Service]
	if slices.ContainsFunc(all, func(u *upstreamState) bool { return u.admits(now, &next) }) ||
		!slices.ContainsFunc(all, func(u *upstreamState) bool { return u.evacuated && u.listed(now) }) {
		return plan{}, false
	}
	pause := f.evacuations.pauses[request.Service]
	if pause == nil {
		pause = &cooldown.Period{}
		f.evacuations.pauses[request.Service] = pause
	}
	if !pause.Active(now) {
		pause.Ask(now, evacuationPause)
	}
	return plan{evacuated: true, rationale: Explanation{ClearTime: pause.Return(now, request.TimeToDeadline/maxRetryShare)}}, true
}

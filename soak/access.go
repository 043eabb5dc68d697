package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"acaciacleat.example/platform/standin"
)

const (
	// accessCallers is the number of callers of a drawn plan that use what its configurations change.
	accessCallers = 8
	// steadyOrganisations never change; memberOrganisations come and go and lose all their keys.
	steadyOrganisations = 4
	memberOrganisations = 6
	// Each version has the keys of the steady organisations and the roaming ones, which move between organisations.
	// Changing keys are added and taken away.
	keysPerSteady = 2
	roamingKeys   = 16
	changingKeys  = 16
	// minHeadBytes and minBodyBytes are the least limits of a version; headDoublings and bodyDoublings are the numbers of
	// limits, each twice the one before.
	minHeadBytes  = 2 << 10
	headDoublings = 4
	minBodyBytes  = 16 << 10
	bodyDoublings = 5
)

// The hosts of the changing routes. openHost has one route, which needs no key.
var accessHosts = []string{"field.example", "yard.example", "crew.example"}

const (
	openHost = "open.example"
	// steadyPrefix is routed at each of accessHosts but the last, by each version.
	steadyPrefix = "/always/"
	// gatePrefix is always routed at the first host, with or without a key.
	gatePrefix = "/gate/"
	// movingPrefix is routed at one host at a time.
	movingPrefix = "/moving/"
	openPrefix   = "/open-always/"
	// neverPrefix is never routed.
	neverPrefix = "/nowhere/"
)

// specificPrefixes lie beneath steadyPrefix and come and go.
var specificPrefixes = []string{"/always/a/", "/always/a/b/", "/always/a/b/c/", "/always/d/", "/always/" + strings.Repeat("long-", 20) + "/"}

// fleetingPrefixes come and go.
var fleetingPrefixes = []string{"/fleeting-0/", "/fleeting-1/", "/fleeting-2/", "/fleeting-3/"}

// accessKeys are the keys of a run.
type accessKeys struct{ steady, roaming, changing, never []string }

// newAccessKeys returns the keys of a seed's runs. Their first characters are spread over all digits.
func newAccessKeys(seed uint64) accessKeys {
	random := rand.New(rand.NewPCG(seed, 10))
	draw := func(n int) []string {
		keys := make([]string, n)
		for i := range keys {
			keys[i] = fmt.Sprintf("%x%015x", i%16, random.Uint64()>>4)
		}
		return keys
	}
	return accessKeys{
		steady: draw(steadyOrganisations * keysPerSteady), roaming: draw(roamingKeys), changing: draw(changingKeys), never: draw(16),
	}
}

// accessHistory draws what each version of the configuration allows from that before. It isn't safe for concurrent use.
type accessHistory struct {
	seed     uint64
	keys     accessKeys
	previous *accessDraw
}

// accessDraw holds the choices of one version.
type accessDraw struct {
	present  [memberOrganisations]bool
	emptied  [memberOrganisations]bool
	roaming  [roamingKeys]int
	twice    [roamingKeys]bool
	changing [changingKeys]int // -1 for none
	specific [][]routeDraw     // by host, then prefix
	fleeting []routeDraw
	gateOpen bool
	// movingHost and fleetingHosts are indexes of accessHosts, forms those of hostForms.
	movingHost    int
	fleetingHosts []int
	forms         []int
	headBytes     int
	bodyBytes     int
}

type routeDraw struct{ present, anonymous bool }

// hostForms are the ways in which a host is written in a configuration.
var hostForms = []func(string) string{
	func(host string) string { return host },
	strings.ToUpper,
	func(host string) string { return strings.ToUpper(host[:1]) + host[1:] },
}

func newAccessHistory(seed uint64) *accessHistory {
	return &accessHistory{seed: seed, keys: newAccessKeys(seed)}
}

// next returns what a version allows. The same versions in the same order give the same.
func (a *accessHistory) next(version int) *standin.Access {
	random := rand.New(rand.NewPCG(a.seed, 1000+uint64(version)))
	d := drawAccess(random)
	if a.previous != nil {
		d.keep(random, a.previous)
	}
	a.previous = d
	return d.access(random, a.keys)
}

// drawAccess draws all choices of a version.
func drawAccess(random *rand.Rand) *accessDraw {
	d := &accessDraw{
		gateOpen: random.IntN(2) == 0, movingHost: random.IntN(len(accessHosts)),
		headBytes: minHeadBytes << random.IntN(headDoublings), bodyBytes: minBodyBytes << random.IntN(bodyDoublings),
	}
	for i := range d.present {
		d.present[i], d.emptied[i] = random.IntN(4) > 0, random.IntN(4) == 0
	}
	for i := range d.roaming {
		d.roaming[i], d.twice[i] = random.IntN(steadyOrganisations+memberOrganisations), random.IntN(8) == 0
	}
	for i := range d.changing {
		d.changing[i] = random.IntN(2*(steadyOrganisations+memberOrganisations)) - steadyOrganisations - memberOrganisations
	}
	drawRoute := func() routeDraw { return routeDraw{present: random.IntN(2) == 0, anonymous: random.IntN(4) == 0} }
	for range accessHosts {
		specific := make([]routeDraw, len(specificPrefixes))
		for i := range specific {
			specific[i] = drawRoute()
		}
		d.specific = append(d.specific, specific)
		d.forms = append(d.forms, random.IntN(len(hostForms)))
	}
	for range fleetingPrefixes {
		d.fleeting = append(d.fleeting, drawRoute())
		d.fleetingHosts = append(d.fleetingHosts, random.IntN(len(accessHosts)))
	}
	return d
}

// keep takes each choice from the version before with a chance of one half.
func (d *accessDraw) keep(random *rand.Rand, before *accessDraw) {
	kept := func() bool { return random.IntN(2) == 0 }
	for i := range d.present {
		if kept() {
			d.present[i], d.emptied[i] = before.present[i], before.emptied[i]
		}
	}
	for i := range d.roaming {
		if kept() {
			d.roaming[i], d.twice[i] = before.roaming[i], before.twice[i]
		}
	}
	for i := range d.changing {
		if kept() {
			d.changing[i] = before.changing[i]
		}
	}
	for host := range d.specific {
		for i := range d.specific[host] {
			if kept() {
				d.specific[host][i] = before.specific[host][i]
			}
		}
		if kept() {
			d.forms[host] = before.forms[host]
		}
	}
	for i := range d.fleeting {
		if kept() {
			d.fleeting[i], d.fleetingHosts[i] = before.fleeting[i], before.fleetingHosts[i]
		}
	}
	if kept() {
		d.gateOpen, d.movingHost = before.gateOpen, before.movingHost
	}
	if kept() {
		d.headBytes, d.bodyBytes = before.headBytes, before.bodyBytes
	}
}

// access returns the part of the configuration that follows from the choices, in an order that is drawn.
func (d *accessDraw) access(random *rand.Rand, keys accessKeys) *standin.Access {
	a := &standin.Access{HeadBytes: d.headBytes, BodyBytes: d.bodyBytes, Organisations: d.organisations(keys)}
	add := func(host int, prefix string, anonymous bool) {
		a.Routes = append(a.Routes, standin.AccessRoute{Host: hostForms[d.forms[host]](accessHosts[host]), Prefix: prefix, Anonymous: anonymous})
	}
	for host := range accessHosts {
		if host < len(accessHosts)-1 {
			add(host, steadyPrefix, false)
		}
		for i, route := range d.specific[host] {
			if route.present {
				add(host, specificPrefixes[i], route.anonymous)
			}
		}
	}
	for i, route := range d.fleeting {
		if route.present {
			add(d.fleetingHosts[i], fleetingPrefixes[i], route.anonymous)
		}
	}
	add(0, gatePrefix, d.gateOpen)
	add(d.movingHost, movingPrefix, false)
	a.Routes = append(a.Routes, standin.AccessRoute{Host: openHost, Prefix: openPrefix, Anonymous: true})
	random.Shuffle(len(a.Routes), func(i, j int) { a.Routes[i], a.Routes[j] = a.Routes[j], a.Routes[i] })
	random.Shuffle(len(a.Organisations), func(i, j int) {
		a.Organisations[i], a.Organisations[j] = a.Organisations[j], a.Organisations[i]
	})
	return a
}

// organisations returns the organisations with their keys. A key whose organisation is absent or has lost its keys
// belongs to a steady one, unless it is a changing one.
func (d *accessDraw) organisations(keys accessKeys) []standin.Organisation {
	var all []standin.Organisation
	for i := range steadyOrganisations {
		all = append(all, standin.Organisation{Name: fmt.Sprintf("steady-%d", i), Keys: slices.Clone(keys.steady[i*keysPerSteady : (i+1)*keysPerSteady])})
	}
	index := make(map[int]int)
	for i := range memberOrganisations {
		if d.present[i] {
			index[steadyOrganisations+i] = len(all)
			all = append(all, standin.Organisation{Name: fmt.Sprintf("member-%d", i)})
		}
	}
	give := func(organisation int, key string) bool {
		if organisation < steadyOrganisations {
			all[organisation].Keys = append(all[organisation].Keys, key)
			return true
		}
		i, present := index[organisation]
		if !present || d.emptied[organisation-steadyOrganisations] {
			return false
		}
		all[i].Keys = append(all[i].Keys, key)
		return true
	}
	for i, key := range keys.roaming {
		if !give(d.roaming[i], key) || d.twice[i] {
			give(i%steadyOrganisations, key)
		}
	}
	for i, key := range keys.changing {
		if d.changing[i] >= 0 {
			give(d.changing[i], key)
		}
	}
	return all
}

const (
	// A ChangeAccess event follows the one before after minAccessPause to maxAccessPause.
	minAccessPause = 300 * time.Millisecond
	maxAccessPause = 1800 * time.Millisecond
	// maxAccessVersions is the largest number of versions of one such event, maxAccessSpan the longest time in which
	// they are written: several within the bound of one.
	maxAccessVersions = 4
	maxAccessSpan     = 1500 * time.Millisecond
)

// drawAccessChanges adds the callers that use what configurations change, and ChangeAccess events between two times, from a
// random source of its own.
func (p *Plan) drawAccessChanges(from, to time.Duration) {
	p.AccessCallers = accessCallers
	random := rand.New(rand.NewPCG(p.Seed, 8))
	for at := from; at < to; at += minAccessPause + time.Duration(random.Int64N(int64(maxAccessPause-minAccessPause))) {
		p.Events = append(p.Events, Event{
			AtMs: int(at.Milliseconds()), ForMs: int(random.Int64N(min(maxAccessSpan, to-at).Milliseconds() + 1)), Kind: ChangeAccess,
			Target: random.IntN(maxAccessVersions),
		})
	}
}

// changeAccess writes versions of the configuration evenly over a duration.
func (h *harness) changeAccess(ctx context.Context, versions int, duration time.Duration) {
	for i := range versions {
		if i > 0 {
			wait(ctx, duration/time.Duration(versions-1))
		}
		h.configure(0)
	}
}

const (
	// maxReadsBehind is the largest number of StoreReadsBehind events of a plan, feedsBehindEvery the share of those in
	// which feeds lag too.
	maxReadsBehind   = 3
	feedsBehindEvery = 3
	// minLag and maxLag bound by how much the answers lag.
	minLag = 2 * time.Second
	maxLag = 7 * time.Second
	// readsBehindTail is how much longer than the other event one lasts.
	readsBehindTail = time.Second
	// feedsToo is the Fault of an event in which feeds lag too.
	feedsToo = "feeds"
)

// drawReadsBehind adds StoreReadsBehind events that end before a time, each beside another event and readsBehindTail longer,
// so that entries start, reconnect or read anew meanwhile. They have a random source of their own.
func (p *Plan) drawReadsBehind(to time.Duration) {
	random := rand.New(rand.NewPCG(p.Seed, 9))
	var beside []Event
	for _, e := range p.Events {
		if targetsOneEntry(e.Kind) || slices.Contains([]Kind{KillAll, Stop, StoreOutage, StoreCompacted, StoreFeedsClosed, StoreUnresponsive}, e.Kind) {
			beside = append(beside, e)
		}
	}
	if len(beside) == 0 {
		return
	}
	for range random.IntN(maxReadsBehind + 1) {
		e := beside[random.IntN(len(beside))]
		fault := ""
		if random.IntN(feedsBehindEvery) == 0 {
			fault = feedsToo
		}
		lasts := min(e.ForMs+int(readsBehindTail.Milliseconds()), int(to.Milliseconds())-e.AtMs)
		p.Events = append(p.Events, Event{AtMs: e.AtMs, ForMs: lasts, Kind: StoreReadsBehind, Fault: fault})
	}
}

// readBehind makes whole reads of the platform's tables lag. Lagging answers are a disruption of the store that excuses late
// configurations altogether: what an entry reads then may be older than any bound. It excuses no 401, 403 or 404 for
// what all versions allow, since no lag makes a table that was never written.
func (h *harness) readBehind(ctx context.Context, event Event) {
	defer h.recorder.beginDisruption(partStore, allEntries)()
	lag := minLag + time.Duration(event.AtMs)*time.Millisecond%(maxLag-minLag)
	h.mu.Lock()
	h.storeLags++
	h.standins.Store.FallBehind(standin.Behind{By: min(lag, time.Since(h.recorder.startedAt)), Feeds: event.Fault == feedsToo})
	h.mu.Unlock()
	wait(ctx, time.Duration(event.ForMs)*time.Millisecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.storeLags--; h.storeLags == 0 {
		h.standins.Store.FallBehind(standin.Behind{})
	}
}

package soak

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"acaciacleat.example/platform/standin"
	"github.com/pkg/errors"
)

// Kind is what an event of a plan does.
type Kind string

// The kinds of event. Those that last end by themselves after Event.ForMs.
const (
	// Stop tells an entry to stop gracefully; a new one takes its place when it has ended.
	Stop Kind = "stop"
	// Kill ends an entry at once, KillAll all of them; new ones take their place.
	Kill    Kind = "kill"
	KillAll Kind = "kill-all"
	// Pause freezes an entry's process.
	Pause Kind = "pause"
	// Reload changes an entry's settings file and tells it to read it again.
	Reload Kind = "reload"
	// CallerReset and CallerSilent break the connections between callers and one entry.
	CallerReset  Kind = "caller-reset"
	CallerSilent Kind = "caller-silent"
	// StoreReset to StoreSlow break or delay the connections between one entry
	// and the store.
	StoreReset  Kind = "store-reset"
	StoreSilent Kind = "store-silent"
	StoreOneWay Kind = "store-one-way"
	StoreSlow   Kind = "store-slow"
	// UpstreamReset to UpstreamSlow break or delay the connections to one upstream.
	UpstreamReset  Kind = "upstream-reset"
	UpstreamSilent Kind = "upstream-silent"
	UpstreamOneWay Kind = "upstream-one-way"
	UpstreamSlow   Kind = "upstream-slow"
	// StoreOutage to StoreForgets are failures of the store itself, to all.
	StoreOutage   Kind = "store-outage"
	StoreMute     Kind = "store-mute"
	StoreLosing   Kind = "store-losing-answers"
	StoreLate     Kind = "store-late"
	StoreForgets  Kind = "store-forgets"
	StoreFeedsDie Kind = "store-feeds-die"
	// StoreNarrow leaves the way between one entry and the store little bandwidth. It excuses nothing.
	StoreNarrow Kind = "store-narrow"
	// Configure makes a new version of the configuration, Grow one with many more routes.
	Configure Kind = "configure"
	Grow      Kind = "grow"
	// Leave marks an upstream as leaving in the registry.
	Leave Kind = "leave"
	// ForeignRows leaves rows of another writer in the registry, one of them in place of an
	// upstream's own.
	ForeignRows Kind = "foreign-rows"
	// Reborn starts an upstream again under its id and address, twice; whoever waits for its
	// answers is told so or not by turns.
	Reborn Kind = "reborn"
	// CrashingRequest lets a request come again and again, at any entry, that ends each engine that
	// runs it. It goes on for crashTail after Event.ForMs.
	CrashingRequest Kind = "crashing-request"
	// Misbehave makes the upstreams of a service do something wrong to their next requests.
	Misbehave Kind = "misbehave"
)

var kinds = []Kind{
	Stop, Kill, KillAll, Pause, Reload, CallerReset, CallerSilent, StoreReset, StoreSilent, StoreOneWay, StoreSlow,
	UpstreamReset, UpstreamSilent, UpstreamOneWay, UpstreamSlow, StoreOutage, StoreMute, StoreLosing, StoreLate,
	StoreForgets, StoreFeedsDie, Configure, Configure, Configure, Leave, ForeignRows, Reborn, Reborn,
	Misbehave, Misbehave, CrashingRequest, Grow, StoreNarrow,
}

// Event is one disruption.
type Event struct {
	// AtMs is when it begins, in milliseconds from the begin of traffic; ForMs is how long
	// it lasts.
	AtMs  int  `json:"atMs"`
	ForMs int  `json:"forMs,omitempty"`
	Kind  Kind `json:"kind"`
	// Target numbers the entry or the upstream, from 0.
	Target int `json:"target"`
	// How is the misdeed of Misbehave.
	How string `json:"how,omitempty"`
}

// other returns a second misdeed for Misbehave, which follows from the event as the first
// one is given.
func (e *Event) other() standin.ReplicaFault {
	return standin.ReplicaFaults[e.AtMs%len(standin.ReplicaFaults)]
}

// Plan is all that a run does, apart from the order in which processes get their turn.
type Plan struct {
	Seed    uint64 `json:"seed"`
	Entries int    `json:"entries"`
	Engines int    `json:"engines"`
	Plains  int    `json:"plains"`
	Callers int    `json:"callers"`
	// LastsMs is the time of the traffic; its last QuietMs are without disruptions.
	LastsMs int     `json:"lastsMs"`
	QuietMs int     `json:"quietMs"`
	Events  []Event `json:"events"`
}

const (
	// recovery is the time after the last disruption within which all must work again: the
	// platform's bound is 15 s, entries and stand-ins on one machine are held to 6.
	recovery = 6 * time.Second
	// quiet is how long callers are then watched to get what they ask for.
	quiet = 2 * time.Second
	// Disruptions begin shortest to longest pause apart and last as long, so that they come
	// in series and overlap.
	shortest = 100 * time.Millisecond
	longest  = 1500 * time.Millisecond
	// warming is the time before the first one.
	warming = 500 * time.Millisecond
)

// NewPlan draws a plan of a run that lasts d. The same arguments give the same plan.
func NewPlan(seed uint64, d time.Duration, entries int) (*Plan, error) {
	p := &Plan{
		Seed: seed, Entries: entries, Engines: 4, Plains: 3, Callers: 24,
		LastsMs: int(d.Milliseconds()), QuietMs: int((recovery + quiet).Milliseconds()),
	}
	end := d - recovery - quiet - longest
	if end <= warming {
		return nil, errors.Errorf("a run must last more than %s: its last %s are without disruptions", warming+recovery+quiet+longest, recovery+quiet)
	}
	random := rand.New(rand.NewPCG(seed, 0))
	span := func() time.Duration { return shortest + time.Duration(random.Int64N(int64(longest-shortest))) }
	for at := warming; at < end; at += span() {
		kind := kinds[random.IntN(len(kinds))]
		p.Events = append(p.Events, Event{
			AtMs: int(at.Milliseconds()), ForMs: int(span().Milliseconds()), Kind: kind,
			Target: random.IntN(1 << 16), How: string(standin.ReplicaFaults[random.IntN(len(standin.ReplicaFaults))]),
		})
	}
	p.settleTargets()
	return p, nil
}

// settleTargets turns drawn numbers into those of entries and upstreams, and takes away
// what a kind has no use for.
func (p *Plan) settleTargets() {
	for i := range p.Events {
		e := &p.Events[i]
		if onEntry(e.Kind) {
			e.Target %= p.Entries
		} else {
			e.Target %= p.Engines + p.Plains
		}
		if e.Kind != Misbehave {
			e.How = ""
		}
	}
}

// onEntry tells whether a kind of event strikes an entry, and not an upstream.
func onEntry(kind Kind) bool {
	return !slices.Contains([]Kind{UpstreamReset, UpstreamSilent, UpstreamOneWay, UpstreamSlow, Leave, ForeignRows, Reborn, Misbehave, CrashingRequest}, kind)
}

// ReadPlan reads a plan that a run has written.
func ReadPlan(file string) (*Plan, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read the plan")
	}
	p := &Plan{}
	if err := json.Unmarshal(data, p); err != nil {
		return nil, errors.Wrapf(err, "%s is no plan of a run", file)
	}
	return p, nil
}

func (p *Plan) write(file string) error {
	data, err := json.MarshalIndent(p, "", " ")
	if err != nil {
		return errors.Wrap(err, "encode the plan")
	}
	return errors.Wrap(os.WriteFile(file, data, 0o644), "write the plan")
}

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

// Kind is the action of an event.
type Kind string

// The kinds of event. Those with a duration end by themselves after Event.ForMs.
const (
	// Stop stops an entry gracefully; a new process replaces it after its exit.
	Stop Kind = "stop"
	// Kill kills an entry's process, KillAll those of all entries; new processes replace them.
	Kill    Kind = "kill"
	KillAll Kind = "kill-all"
	// Pause freezes an entry's process.
	Pause Kind = "pause"
	// Reload changes an entry's settings file and makes the entry reload it.
	Reload Kind = "reload"
	// CallerReset and CallerSilent break the connections between callers and one entry.
	CallerReset  Kind = "caller-reset"
	CallerSilent Kind = "caller-silent"
	// StoreReset to StoreSlow break or delay the connections between one entry and the store.
	StoreReset  Kind = "store-reset"
	StoreSilent Kind = "store-silent"
	StoreOneWay Kind = "store-one-way"
	StoreSlow   Kind = "store-slow"
	// UpstreamReset to UpstreamSlow break or delay the connections to one upstream.
	UpstreamReset  Kind = "upstream-reset"
	UpstreamSilent Kind = "upstream-silent"
	UpstreamOneWay Kind = "upstream-one-way"
	UpstreamSlow   Kind = "upstream-slow"
	// StoreOutage to StoreFeedsClosed are failures of the store itself, which affect all entries.
	StoreOutage       Kind = "store-outage"
	StoreUnresponsive Kind = "store-mute"
	StoreAnswersLost  Kind = "store-losing-answers"
	StoreDelayed      Kind = "store-late"
	StoreCompacted    Kind = "store-forgets"
	StoreFeedsClosed  Kind = "store-feeds-die"
	// StoreGap keeps changes from all feeds for a second and then drops the history.
	StoreGap Kind = "store-gap"
	// StoreVersionsAhead makes the store name versions that are newer than the moment of the rows beside them.
	StoreVersionsAhead Kind = "store-versions-ahead"
	// StoreTurnsAway makes the store refuse the calls of one entry while it serves the others.
	StoreTurnsAway Kind = "store-turns-away"
	// StoreLowBandwidth limits the bandwidth between one entry and the store. It excuses no
	// failure.
	StoreLowBandwidth Kind = "store-narrow"
	// Configure writes a new version of the configuration, Grow one with many more routes.
	Configure Kind = "configure"
	Grow      Kind = "grow"
	// ChangeAccess writes 1 + Event.Target versions within Event.ForMs. In each version of a plan with access callers,
	// organisations, keys, hosts, prefixes and limits change.
	ChangeAccess Kind = "change-access"
	// StoreReadsBehind makes whole reads of the platform's tables answer with the rows and the version of seconds ago, and
	// feeds too if Event.Fault says so.
	StoreReadsBehind Kind = "store-reads-behind"
	// Drain marks an upstream as draining in the registry.
	Drain Kind = "leave"
	// LeaveUnsaid removes an upstream from the registry that never said that it is leaving.
	LeaveUnsaid Kind = "leave-unsaid"
	// ForeignRows adds rows of another writer to the registry, one of them in place of an
	// upstream's own.
	ForeignRows Kind = "foreign-rows"
	// Restart restarts an upstream twice under its ID and address: first the connections of waiting
	// requests are closed, then they stay open.
	Restart Kind = "reborn"
	// CrashingRequest repeatedly sends a request that crashes each engine that runs it, each time to
	// a random entry. It continues for crashTail after Event.ForMs.
	CrashingRequest Kind = "crashing-request"
	// CrashingSegment does the same with prompts that are unlike but for a segment that crashes engines, and
	// sends sound prompts beside them.
	CrashingSegment Kind = "crashing-segment"
	// NameLimit makes an upstream name a rate limit, then half or twice as much, then none.
	NameLimit Kind = "limit"
	// Leave makes an upstream say in its answers that it is leaving, while its registration says that it
	// is ready. It then starts again.
	Leave Kind = "leave-by-answer"
	// AskForPause makes an upstream refuse all requests for a third of the time, and ask in each refusal
	// for a pause of the rest.
	AskForPause Kind = "ask-for-pause"
	// Evacuate evacuates the zone of an upstream and takes it back.
	Evacuate Kind = "evacuate"
	// ColdRestart restarts an upstream under its ID, which is then cold for Event.ForMs.
	ColdRestart Kind = "cold-restart"
	// EngineSlow makes an engine's events come with pauses that are slowdown times as long.
	EngineSlow Kind = "engine-slow"
	// UpstreamFaults makes the upstreams of a service apply faults to their next requests.
	UpstreamFaults Kind = "misbehave"
)

var kinds = []Kind{
	Stop, Kill, KillAll, Pause, Reload, CallerReset, CallerSilent, StoreReset, StoreSilent, StoreOneWay, StoreSlow,
	UpstreamReset, UpstreamSilent, UpstreamOneWay, UpstreamSlow, StoreOutage, StoreUnresponsive, StoreAnswersLost, StoreDelayed,
	StoreCompacted, StoreFeedsClosed, Configure, Configure, Configure, Drain, ForeignRows, Restart, Restart,
	UpstreamFaults, UpstreamFaults, CrashingRequest, Grow, StoreLowBandwidth,
}

// Event is one disruption.
type Event struct {
	// AtMs is when the event begins, in milliseconds from the start of the traffic; ForMs is its
	// duration.
	AtMs  int  `json:"atMs"`
	ForMs int  `json:"forMs,omitempty"`
	Kind  Kind `json:"kind"`
	// Target is the index of the entry or the upstream, from 0.
	Target int `json:"target"`
	// Fault is the first replica fault of UpstreamFaults, or "feeds" for StoreReadsBehind.
	Fault string `json:"how,omitempty"`
	// PerSecond is the first limit of NameLimit.
	PerSecond float64 `json:"perSecond,omitempty"`
}

// secondFault returns the second fault of UpstreamFaults. It is derived from the event, so that a plan
// needs to give only the first one.
func (e *Event) secondFault() standin.ReplicaFault {
	return standin.ReplicaFaults[e.AtMs%len(standin.ReplicaFaults)]
}

// Plan determines everything in a run except the scheduling of processes.
type Plan struct {
	Seed    uint64 `json:"seed"`
	Entries int    `json:"entries"`
	Engines int    `json:"engines"`
	Plains  int    `json:"plains"`
	Callers int    `json:"callers"`
	// AccessCallers is the number of further callers, which use what configurations change; 0 changes nothing but one
	// route in each version.
	AccessCallers int `json:"accessCallers,omitempty"`
	// LastsMs is the duration of the traffic; its last QuietMs are without disruptions.
	LastsMs int `json:"lastsMs"`
	// CPUPercent is the share of the time in which each entry's process may run; 0 for all of it.
	CPUPercent int     `json:"cpuPercent,omitempty"`
	QuietMs    int     `json:"quietMs"`
	Events     []Event `json:"events"`
}

const (
	// recoveryLimit is the time after the last disruption within which the system must recover. The
	// platform's limit is 15 s; 6 s apply to entries and stand-ins on one machine.
	recoveryLimit = 6 * time.Second
	// quietPeriod is how long all requests must then succeed.
	quietPeriod = 2 * time.Second
	// Disruptions start between minPause and maxPause apart and last as long, so that they come in
	// series and overlap.
	minPause = 100 * time.Millisecond
	maxPause = 1500 * time.Millisecond
	// warmup is the time before the first disruption.
	warmup = 500 * time.Millisecond
)

// NewPlan returns a random plan of a run that lasts d. The same arguments give the same plan.
func NewPlan(seed uint64, d time.Duration, entries int) (*Plan, error) {
	p := &Plan{
		Seed: seed, Entries: entries, Engines: 4, Plains: 3, Callers: 24,
		LastsMs: int(d.Milliseconds()), QuietMs: int((recoveryLimit + quietPeriod).Milliseconds()),
	}
	end := d - recoveryLimit - quietPeriod - maxPause
	if end <= warmup {
		return nil, errors.Errorf("a run must last more than %s: its last %s are without disruptions", warmup+recoveryLimit+quietPeriod+maxPause, recoveryLimit+quietPeriod)
	}
	random := rand.New(rand.NewPCG(seed, 0))
	span := func() time.Duration { return minPause + time.Duration(random.Int64N(int64(maxPause-minPause))) }
	for at := warmup; at < end; at += span() {
		kind := kinds[random.IntN(len(kinds))]
		p.Events = append(p.Events, Event{
			AtMs: int(at.Milliseconds()), ForMs: int(span().Milliseconds()), Kind: kind,
			Target: random.IntN(1 << 16), Fault: string(standin.ReplicaFaults[random.IntN(len(standin.ReplicaFaults))]),
		})
	}
	p.drawLimits(warmup, end+maxPause-time.Millisecond)
	p.drawStatements(warmup, end+maxPause-time.Millisecond)
	p.drawEvacuations(warmup, end+maxPause-time.Millisecond)
	p.drawColdRestarts(warmup, end+maxPause-time.Millisecond)
	p.drawSlowEngines(warmup, end+maxPause-time.Millisecond)
	p.drawCrashingSegments(warmup, end)
	p.normalizeTargets()
	p.drawEndings()
	p.drawAccessChanges(warmup, end+maxPause-time.Millisecond)
	p.drawReadsBehind(end + maxPause - time.Millisecond)
	return p, nil
}

// drawCrashingSegments adds up to one CrashingSegment event between two times, from a random source of its own.
func (p *Plan) drawCrashingSegments(from, to time.Duration) {
	random := rand.New(rand.NewPCG(p.Seed, 6))
	if random.IntN(2) == 0 {
		return
	}
	p.Events = append(p.Events, Event{
		AtMs: int((from + time.Duration(random.Int64N(int64(to-from)))).Milliseconds()), ForMs: int(maxPause.Milliseconds()),
		Kind: CrashingSegment, Target: random.IntN(1 << 16),
	})
}

// drawEndings replaces the faults of some UpstreamFaults events by ways to end an answer. They have a random source
// of their own, so that a seed keeps its other events.
func (p *Plan) drawEndings() {
	random := rand.New(rand.NewPCG(p.Seed, 5))
	for i := range p.Events {
		e := &p.Events[i]
		if e.Kind == UpstreamFaults && random.IntN(2) == 0 {
			faults := standin.EndFaults(e.Target < p.Engines)
			e.Fault = string(faults[random.IntN(len(faults))])
		}
	}
}

const (
	// maxLeaves and maxPauses are the largest numbers of Leave and AskForPause events of a plan.
	maxLeaves = 2
	maxPauses = 5
	// minLeaveDuration exceeds the platform's bound for requests to an upstream that leaves.
	minLeaveDuration = 3 * time.Second
	// minPauseDuration and maxPauseDuration bound AskForPause.
	minPauseDuration = 1500 * time.Millisecond
	maxPauseDuration = 6 * time.Second
)

// drawStatements adds Leave and AskForPause events between two times, from a random source of its own.
func (p *Plan) drawStatements(from, to time.Duration) {
	random := rand.New(rand.NewPCG(p.Seed, 2))
	draw := func(kind Kind, shortest, longest time.Duration) {
		spare := to - from - shortest
		if spare <= 0 {
			return
		}
		at := time.Duration(random.Int64N(int64(spare)))
		lasts := shortest + time.Duration(random.Int64N(int64(min(longest-shortest, spare-at)+1)))
		p.Events = append(p.Events, Event{
			AtMs: int((from + at).Milliseconds()), ForMs: int(lasts.Milliseconds()), Kind: kind, Target: random.IntN(1 << 16),
		})
	}
	for range random.IntN(maxLeaves + 1) {
		draw(Leave, minLeaveDuration, 2*minLeaveDuration)
	}
	for range 1 + random.IntN(maxPauses) {
		draw(AskForPause, minPauseDuration, maxPauseDuration)
	}
}

// maxLimits is the largest number of NameLimit events of a plan.
const maxLimits = 4

// drawLimits adds NameLimit events between two times. They have a random source of their own, so that
// a seed keeps its other events.
func (p *Plan) drawLimits(from, to time.Duration) {
	random := rand.New(rand.NewPCG(p.Seed, 1))
	spare := to - from - minLimitDuration
	if spare <= 0 {
		return
	}
	for range 1 + random.IntN(maxLimits) {
		at := time.Duration(random.Int64N(int64(spare)))
		p.Events = append(p.Events, Event{
			AtMs: int((from + at).Milliseconds()), ForMs: int(minLimitDuration.Milliseconds() + random.Int64N((spare-at).Milliseconds()+1)),
			Kind: NameLimit, Target: random.IntN(1 << 16), PerSecond: 1 + (maxLimit-1)*random.Float64(),
		})
	}
}

// normalizeTargets maps the random target numbers to indexes of entries and upstreams and clears fields
// that a kind does not use.
func (p *Plan) normalizeTargets() {
	for i := range p.Events {
		e := &p.Events[i]
		if targetsEntry(e.Kind) {
			e.Target %= p.Entries
		} else {
			e.Target %= p.Engines + p.Plains
		}
		if e.Kind != UpstreamFaults {
			e.Fault = ""
		}
	}
}

// targetsEntry reports whether a kind of event affects an entry rather than an upstream.
func targetsEntry(kind Kind) bool {
	return !slices.Contains([]Kind{UpstreamReset, UpstreamSilent, UpstreamOneWay, UpstreamSlow, Drain, LeaveUnsaid, StoreGap, ForeignRows, Restart, UpstreamFaults, CrashingRequest, CrashingSegment, NameLimit, Leave, AskForPause, Evacuate, ColdRestart, EngineSlow}, kind)
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

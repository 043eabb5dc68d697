package policytest

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/enginemodel"
)

// kind is a kind of request with what its callers want of it.
type kind struct {
	name      string
	perSecond float64
	// tokens and events are means; spread is that of the logarithm.
	tokens, events float64
	spread         float64
	mostTokens     float64
	aim, gapAim    time.Duration
	deadline       time.Duration
	worth, late    float64
}

// deployment is what a day is played on.
type deployment struct {
	name             string
	engines, entries int
	spec             *enginemodel.Spec
	kinds            []kind
	// way is what a message takes from one entry to another.
	way time.Duration
}

// usualKinds are those of the first users.
var usualKinds = []kind{
	{"short", 28, 4960, 38, 0.9, 23_800, 300 * time.Millisecond, 250 * time.Millisecond, 10 * time.Second, 1.3, 0.33},
	{"middle", 1.57, 45_000, 23, 0.5, 110_000, 1500 * time.Millisecond, 600 * time.Millisecond, 10 * time.Second, 3.9, 0.97},
	{"heavy", 0.727, 182_000, 19, 0.55, 900_000, 4 * time.Second, time.Second, 15 * time.Second, 24, 6.1},
}

var publishedSpec = &enginemodel.Spec{
	Slots: 16, MemoryTokens: 405_000, Stride: 34, Step: 1310 * time.Microsecond,
	PerStream: 917 * time.Nanosecond, PerContextToken: 2.13, PrefillRate: 154_000,
	PerPair: 0.162, Chunk: 2048, Hop: 100 * time.Microsecond,
	MeanPromptTokens: 11_323, MeanAnswerTokens: 1266,
}

var usualDeployment = &deployment{
	name: "usual", engines: 14, entries: 4, spec: publishedSpec, kinds: usualKinds, way: 1400 * time.Microsecond,
}

// middleDeployment has many prompts of middle length, which ask for a third of the engines' time.
var middleDeployment = &deployment{
	name: "middle", engines: 21, entries: 4, spec: publishedSpec, way: 1400 * time.Microsecond,
	kinds: []kind{
		{"short", 20.8, 4960, 38, 0.9, 23_800, 300 * time.Millisecond, 250 * time.Millisecond, 10 * time.Second, 1.3, 0.33},
		{"middle", 20.8, 45_000, 23, 0.5, 110_000, 1500 * time.Millisecond, 600 * time.Millisecond, 10 * time.Second, 3.9, 0.97},
		{"heavy", 1.04, 182_000, 19, 0.55, 900_000, 3 * time.Second, time.Second, 15 * time.Second, 24, 6.1},
	},
}

// largeDeployment has many engines, which need an eighth of their time to read what comes.
var largeDeployment = &deployment{
	name: "large", engines: 112, entries: 103, spec: largeSpec, way: 900 * time.Microsecond,
	kinds: []kind{
		{"short", 152, 4960, 26.1, 0.9, 23_800, 400 * time.Millisecond, 300 * time.Millisecond, 10 * time.Second, 1.3, 0.34},
		{"middle", 12.4, 45_000, 15.6, 0.5, 110_000, 1500 * time.Millisecond, 800 * time.Millisecond, 10 * time.Second, 2.9, 0.72},
		{"heavy", 3.12, 260_000, 13, 0.55, 900_000, 4 * time.Second, 1200 * time.Millisecond, 15 * time.Second, 30, 7.6},
	},
}

var largeSpec = &enginemodel.Spec{
	Slots: 10, MemoryTokens: 405_000, Stride: 53, Step: 1310 * time.Microsecond,
	PerStream: 917 * time.Nanosecond, PerContextToken: 2.13, PrefillRate: 154_000,
	PerPair: 0.162, Chunk: 2048, Hop: 100 * time.Microsecond,
	MeanPromptTokens: 12_000, MeanAnswerTokens: 1300,
}

// sight is what entries see of each other's work.
type sight string

const (
	// ownView: each entry knows what it placed itself.
	ownView sight = "own view"
	// sharedView: entries tell each other in batches.
	sharedView sight = "shared view"
	// allKnowing: all entries are one; what is told is known at once.
	allKnowing sight = "all-knowing"
)

const (
	dayLength = 34 * time.Second
	// batch is how long an entry's news waits for more.
	batch      = 5 * time.Millisecond
	burstEvery = 8 * time.Second
	burstFor   = 2 * time.Second
	// mostTimes is the most by which a pattern multiplies a rate.
	mostTimes = 2.7
)

// mostEvents bounds a stream's events, in means of its kind.
const mostEvents = 2.5

// pattern is how traffic swings over a day.
type pattern uint8

const (
	// even traffic keeps its mean rate.
	even pattern = iota
	// bursts doubles all traffic for burstFor, every burstEvery.
	bursts
	// phases lets long prompts press for a while, then short ones, then long ones again.
	phases
)

// The parts of a day with phases, and by how much each multiplies the rates of the kinds.
var dayPhases = []struct {
	until time.Duration
	times [3]float64
}{
	{2 * time.Second, [3]float64{1, 1, 1}},
	{11500 * time.Millisecond, [3]float64{0.33, 1.3, 2.7}},
	{13 * time.Second, [3]float64{1, 1, 1}},
	{22500 * time.Millisecond, [3]float64{2.5, 0.5, 0.05}},
	{23 * time.Second, [3]float64{1, 1, 1}},
	{32500 * time.Millisecond, [3]float64{0.33, 1.3, 2.7}},
	{dayLength, [3]float64{1, 1, 1}},
}

// times returns by how much the rate of a kind is multiplied at a time.
func (p pattern) times(kind int, at time.Duration) float64 {
	switch p {
	case bursts:
		if at%burstEvery < burstFor {
			return 2
		}
	case phases:
		for _, phase := range dayPhases {
			if at < phase.until {
				return phase.times[kind]
			}
		}
	}
	return 1
}

// day draws prompts at so many times the usual load.
func (d *deployment) day(seed uint64, load float64, pattern pattern) []*prompt {
	random := rand.New(rand.NewPCG(seed, 11))
	var day []*prompt
	for i := range d.kinds {
		k := &d.kinds[i]
		for at := time.Duration(0); ; {
			// Drawn at the highest rate and thinned out, so that a phase begins in time.
			at += time.Duration(random.ExpFloat64() / (k.perSecond * load * mostTimes) * float64(time.Second))
			if at > dayLength {
				break
			}
			if random.Float64() >= pattern.times(i, at)/mostTimes {
				continue
			}
			spread := math.Exp(random.NormFloat64()*k.spread - k.spread*k.spread/2)
			day = append(day, &prompt{
				kind: k, at: at, entry: random.IntN(d.entries),
				tokens: int(min(max(k.tokens*spread, 40), k.mostTokens)),
				events: max(1, int(min(k.events*math.Exp(random.NormFloat64()*0.6-0.18), mostEvents*k.events))),
			})
		}
	}
	return day
}

// rig plays a day with the product's own choices before engines of the model.
type rig struct {
	clock
	deployment *deployment
	engines    map[string]*passEngine
	fleets     []*dispatch.Fleet
	sight      sight
	parts      int
}

func newRig(d *deployment, rule dispatch.Rule, sight sight) *rig {
	r := &rig{deployment: d, engines: make(map[string]*passEngine), sight: sight}
	var changes []dispatch.Change
	for i := range d.engines {
		id := fmt.Sprintf("engine-%03d", i)
		r.engines[id] = &passEngine{id: id, spec: d.spec}
		changes = append(changes, dispatch.Change{Upstream: dispatch.Upstream{ID: id, Service: "model", Address: id, Slots: d.spec.Slots}})
	}
	fleets := d.entries
	if sight == allKnowing {
		fleets = 1
	}
	for i := range fleets {
		fleet := dispatch.NewFleet(dispatch.Settings{Rule: rule, Origin: uint64(i + 1)})
		fleet.ApplyChanges(epoch, changes, true)
		r.fleets = append(r.fleets, fleet)
	}
	return r
}

func (r *rig) fleet(entry int) *dispatch.Fleet { return r.fleets[entry%len(r.fleets)] }

// play plays a day to its end.
func (r *rig) play(day []*prompt) {
	for _, p := range day {
		r.at(p.at, func(now time.Duration) { r.arrive(now, p) })
	}
	r.run()
}

// returnAfter is the least time after which a refused caller returns, as gateways advise.
const returnAfter = 500 * time.Millisecond

// arrive takes an attempt of a prompt's caller.
func (r *rig) arrive(now time.Duration, p *prompt) {
	p.attempts++
	p.arrived, p.turn = now, dispatch.PlacementID{}
	r.choose(now, p)
}

// choose asks where a prompt goes, again when its turn is expected. A refused caller returns
// once; its aim still counts from its first attempt, which entries don't know.
func (r *rig) choose(now time.Duration, p *prompt) {
	waited := now - p.arrived
	choice, id, verdict := r.fleet(p.entry).Choose(epoch.Add(now), &dispatch.Request{
		Service: "model", PromptTokens: p.tokens, OutputTokens: p.events * r.deployment.spec.Stride,
		FirstEventTarget: p.kind.aim - waited, GapTarget: p.kind.gapAim, TimeToDeadline: p.kind.deadline - (now - p.at), QueueID: p.turn,
	}, r.deployment.spec)
	switch {
	case verdict == dispatch.Place:
		r.place(now, p, choice, id)
	case verdict == dispatch.Queue:
		p.turn = id
		r.at(now+choice.Retry.After, func(now time.Duration) { r.choose(now, p) })
	case p.attempts == 1:
		r.at(now+max(choice.Explanation.ClearTime, returnAfter), func(now time.Duration) { r.arrive(now, p) })
	default:
		p.refused = true
	}
	r.tell(now, p.entry)
}

// place sends a prompt where its choice says.
func (r *rig) place(now time.Duration, p *prompt, choice dispatch.Choice, id dispatch.PlacementID) {
	p.id, p.urgency, p.left = id, choice.Urgency, p.events
	p.parts = 1 + len(choice.Helpers)
	share := float64(p.tokens) / float64(p.parts)
	r.give(now, choice.Upstream.ID, &part{of: p, tokens: share})
	for _, helper := range choice.Helpers {
		r.give(now, helper.Upstream.ID, &part{of: p, tokens: share, helps: true})
	}
}

// give hands a part to an engine, which begins a pass if it is idle.
func (r *rig) give(now time.Duration, id string, p *part) {
	r.parts++
	p.order = r.parts
	e := r.engines[id]
	e.admit(p)
	if !e.busy {
		e.busy = true
		r.pass(now, e)
	}
}

func (r *rig) pass(now time.Duration, e *passEngine) {
	if len(e.reading) == 0 && len(e.writing) == 0 {
		e.busy = false
		return
	}
	writing := append([]*prompt(nil), e.writing...)
	took, read := e.pass()
	r.at(now+took, func(now time.Duration) {
		for _, p := range writing {
			r.wrote(now, e, p)
		}
		for _, p := range read {
			r.wasRead(now, e, p)
		}
		r.pass(now, e)
	})
}

// wasRead begins a prompt's stream with its last part, at the engine that leads it.
func (r *rig) wasRead(now time.Duration, e *passEngine, p *part) {
	of := p.of
	of.parts--
	if !p.helps {
		e.writing = append(e.writing, of)
	}
	if of.parts == 0 {
		of.late = now-of.at > of.kind.aim
		of.last = now
		r.fleet(of.entry).RecordFirstEvent(epoch.Add(now), of.id)
		r.tell(now, of.entry)
	}
}

// wrote hands out one event of a stream.
func (r *rig) wrote(now time.Duration, e *passEngine, p *prompt) {
	if p.parts > 0 {
		return // Other engines still read parts of it.
	}
	p.late = p.late || now-p.last > p.kind.gapAim
	p.last = now
	p.left--
	if p.left > 0 {
		return
	}
	p.ended = now
	e.leave()
	for i, other := range e.writing {
		if other == p {
			e.writing = append(e.writing[:i], e.writing[i+1:]...)
			break
		}
	}
	r.fleet(p.entry).RecordEnd(epoch.Add(now), p.id, dispatch.Served)
	r.tell(now, p.entry)
}

// tell passes an entry's news on to the others.
func (r *rig) tell(now time.Duration, entry int) {
	if r.sight != sharedView {
		return
	}
	r.at(now+batch, func(now time.Duration) {
		events := r.fleets[entry].TakeEvents()
		if len(events) == 0 {
			return
		}
		r.at(now+r.deployment.way, func(now time.Duration) {
			for i, other := range r.fleets {
				if i != entry {
					other.ApplyEvents(epoch.Add(now), uint64(entry+1), events)
				}
			}
		})
	})
}

// tally counts what became of the prompts of one kind.
type tally struct{ asked, late, cut, refused int }

// share returns a count as a share of what was asked for.
func (t tally) share(count int) float64 { return float64(count) / float64(max(t.asked, 1)) }

// cut tells whether a prompt was ended by its deadline.
func (p *prompt) cut() bool { return !p.refused && (p.ended == 0 || p.ended-p.at > p.kind.deadline) }

// tallyOf counts the prompts of some days by kind.
func tallyOf(days ...[]*prompt) map[string]tally {
	tallies := make(map[string]tally)
	for _, day := range days {
		for _, p := range day {
			t := tallies[p.kind.name]
			t.asked++
			switch {
			case p.refused:
				t.refused++
			case p.cut():
				t.cut++
			case p.late:
				t.late++
			}
			tallies[p.kind.name] = t
		}
	}
	return tallies
}

// earned is what a day brought.
type earned struct {
	// worth is the share of what all requests together were worth, byKind that of each
	// kind; perSecond is the worth itself in a second.
	worth, perSecond float64
	byKind           map[string]float64
	refused          int
}

func earnedOf(day []*prompt) earned {
	got, owed := make(map[string]float64), make(map[string]float64)
	e := earned{byKind: make(map[string]float64)}
	for _, p := range day {
		owed[p.kind.name] += p.kind.worth
		owed[""] += p.kind.worth
		worth := p.kind.worth
		switch {
		case p.refused:
			e.refused++
			worth = 0
		case p.cut():
			worth = 0
		case p.late:
			worth = p.kind.late
		}
		got[p.kind.name] += worth
		got[""] += worth
	}
	for name := range owed {
		if name != "" {
			e.byKind[name] = got[name] / owed[name]
		}
	}
	e.worth, e.perSecond = got[""]/owed[""], got[""]/dayLength.Seconds()
	return e
}

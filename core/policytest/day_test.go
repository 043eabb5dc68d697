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

// The kinds of the first users' sheets, on 14 engines.
var kinds = []kind{
	{"short", 28, 4960, 38, 0.9, 23_800, 300 * time.Millisecond, 250 * time.Millisecond, 10 * time.Second, 1.3, 0.33},
	{"middle", 1.57, 45_000, 23, 0.5, 110_000, 1500 * time.Millisecond, 600 * time.Millisecond, 10 * time.Second, 3.9, 0.97},
	{"heavy", 0.727, 182_000, 19, 0.55, 900_000, 4 * time.Second, time.Second, 15 * time.Second, 24, 6.1},
}

var publishedSpec = &enginemodel.Spec{
	Slots: 16, MemoryTokens: 405_000, Stride: 34, Step: 1310 * time.Microsecond,
	PerStream: 917 * time.Nanosecond, PerContextToken: 2.13, ReadRate: 154_000,
	PerPair: 0.162, Chunk: 2048, Hop: 100 * time.Microsecond,
	UsualPrompt: 11_323, UsualAnswer: 1266,
}

const dayEngines = 14

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
	dayEntries = 4
	dayLength  = 34 * time.Second
	// batch and way are what news takes from one entry to another.
	batch = 5 * time.Millisecond
	way   = 1400 * time.Microsecond
	// A burst doubles all traffic for burstFor, every burstEvery.
	burstEvery = 8 * time.Second
	burstFor   = 2 * time.Second
)

// dayOf draws a day's prompts at so many times the usual load.
func dayOf(seed uint64, load float64, bursts bool) []*prompt {
	random := rand.New(rand.NewPCG(seed, 11))
	var day []*prompt
	for i := range kinds {
		k := &kinds[i]
		for at := time.Duration(0); ; {
			rate := k.perSecond * load
			if bursts && at%burstEvery < burstFor {
				rate *= 2
			}
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at > dayLength {
				break
			}
			spread := math.Exp(random.NormFloat64()*k.spread - k.spread*k.spread/2)
			day = append(day, &prompt{
				kind: k, at: at, entry: random.IntN(dayEntries),
				tokens: int(min(max(k.tokens*spread, 40), k.mostTokens)),
				events: 1 + int(k.events*math.Exp(random.NormFloat64()*0.6-0.18)),
			})
		}
	}
	return day
}

// rig plays a day with the product's own choices before engines of the model.
type rig struct {
	clock
	engines map[string]*passEngine
	fleets  []*dispatch.Fleet
	sight   sight
	parts   int
}

func newRig(rule dispatch.Rule, sight sight) *rig {
	r := &rig{engines: make(map[string]*passEngine), sight: sight}
	var changes []dispatch.Change
	for i := range dayEngines {
		id := fmt.Sprintf("engine-%02d", i)
		r.engines[id] = &passEngine{id: id, spec: publishedSpec}
		changes = append(changes, dispatch.Change{Upstream: dispatch.Upstream{ID: id, Service: "model", Address: id, Slots: publishedSpec.Slots}})
	}
	fleets := dayEntries
	if sight == allKnowing {
		fleets = 1
	}
	for i := range fleets {
		fleet := dispatch.NewFleet(dispatch.Settings{Rule: rule, Origin: uint64(i + 1)})
		fleet.Apply(epoch, changes, true)
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
	p.arrived, p.turn = now, dispatch.WorkID{}
	r.choose(now, p)
}

// choose asks where a prompt goes, again when its turn is expected. A refused caller returns
// once; its aim still counts from its first attempt, which entries don't know.
func (r *rig) choose(now time.Duration, p *prompt) {
	waited := now - p.arrived
	choice, id, verdict := r.fleet(p.entry).Choose(epoch.Add(now), &dispatch.Request{
		Service: "model", PromptTokens: p.tokens, OutputTokens: p.events * publishedSpec.Stride,
		Aim: p.kind.aim - waited, GapAim: p.kind.gapAim, Left: p.kind.deadline - (now - p.at), Turn: p.turn,
	}, publishedSpec)
	switch {
	case verdict == dispatch.Place:
		r.place(now, p, choice, id)
	case verdict == dispatch.Hold:
		p.turn = id
		r.at(now+choice.Turn.After, func(now time.Duration) { r.choose(now, p) })
	case p.attempts == 1:
		r.at(now+max(choice.Why.Clear, returnAfter), func(now time.Duration) { r.arrive(now, p) })
	default:
		p.refused = true
	}
	r.tell(now, p.entry)
}

// place sends a prompt where its choice says.
func (r *rig) place(now time.Duration, p *prompt, choice dispatch.Choice, id dispatch.WorkID) {
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
		r.fleet(of.entry).Begun(epoch.Add(now), of.id)
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
	r.fleet(p.entry).Ended(epoch.Add(now), p.id, dispatch.Served)
	r.tell(now, p.entry)
}

// tell passes an entry's news on to the others.
func (r *rig) tell(now time.Duration, entry int) {
	if r.sight != sharedView {
		return
	}
	r.at(now+batch, func(now time.Duration) {
		events := r.fleets[entry].News()
		if len(events) == 0 {
			return
		}
		r.at(now+way, func(now time.Duration) {
			for i, other := range r.fleets {
				if i != entry {
					other.Heard(epoch.Add(now), uint64(entry+1), events)
				}
			}
		})
	})
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
		case p.ended == 0 || p.ended-p.at > p.kind.deadline:
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

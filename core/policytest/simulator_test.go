package policytest

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/enginemodel"
	"acaciacleat.example/core/returns"
)

// requestClass describes the requests of one size, their targets and their value.
type requestClass struct {
	name              string
	requestsPerSecond float64
	// meanTokens and meanEvents are means; tokenSigma is the standard deviation of the logarithm
	// of the number of prompt tokens.
	meanTokens, meanEvents      float64
	tokenSigma                  float64
	maxTokens                   float64
	firstEventTarget, gapTarget time.Duration
	deadline                    time.Duration
	// value is the value of an answer on time, lateValue that of a late one.
	value, lateValue float64
}

// deployment describes a simulated fleet and its traffic.
type deployment struct {
	name             string
	engines, entries int
	spec             *enginemodel.Spec
	classes          []requestClass
	// entryDelay is the one-way delay of a message between two entries.
	entryDelay time.Duration
}

// usualClasses are the request classes of the usual deployment.
var usualClasses = []requestClass{
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
	name: "usual", engines: 14, entries: 4, spec: publishedSpec, classes: usualClasses, entryDelay: 1400 * time.Microsecond,
}

// middleDeployment has many prompts of middle length. At a load of 0.46 all its prompts need a
// third of the engines' time.
var middleDeployment = &deployment{
	name: "middle", engines: 21, entries: 4, spec: publishedSpec, entryDelay: 1400 * time.Microsecond,
	classes: []requestClass{
		{"short", 20.8, 4960, 38, 0.9, 23_800, 300 * time.Millisecond, 250 * time.Millisecond, 10 * time.Second, 1.3, 0.33},
		{"middle", 20.8, 45_000, 23, 0.5, 110_000, 1500 * time.Millisecond, 600 * time.Millisecond, 10 * time.Second, 3.9, 0.97},
		{"heavy", 1.04, 182_000, 19, 0.55, 900_000, 3 * time.Second, time.Second, 15 * time.Second, 24, 6.1},
	},
}

// largeDeployment has many engines, which spend an eighth of their time on prefill.
var largeDeployment = &deployment{
	name: "large", engines: 112, entries: 103, spec: largeSpec, entryDelay: 900 * time.Microsecond,
	classes: []requestClass{
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

// visibility says how entries learn of each other's placements.
type visibility string

const (
	// ownView means that each entry knows only its own placements.
	ownView visibility = "own view"
	// sharedView means that entries exchange their placements in batches.
	sharedView visibility = "shared view"
	// instantView means that all entries share one state without delay.
	instantView visibility = "all-knowing"
)

const (
	simulatedTime = 34 * time.Second
	// batchDelay is the time for which an entry collects events before it sends them.
	batchDelay    = 5 * time.Millisecond
	burstInterval = 8 * time.Second
	burstDuration = 2 * time.Second
	// maxRateFactor is the largest factor by which a pattern multiplies a rate.
	maxRateFactor = 2.7
)

// maxEventsFactor bounds the events of a stream, in multiples of the mean of its class.
const maxEventsFactor = 2.5

// trafficPattern says how the traffic varies over the simulated time.
type trafficPattern uint8

const (
	// even traffic keeps its mean rate.
	even trafficPattern = iota
	// bursts doubles all traffic for burstDuration, every burstInterval.
	bursts
	// phases alternates between periods of many long prompts and of many short ones; see
	// trafficPhases.
	phases
)

// trafficPhases are the phases of the pattern of that name, with the factor by which each
// multiplies the rate of each class.
var trafficPhases = []struct {
	until   time.Duration
	factors [3]float64
}{
	{2 * time.Second, [3]float64{1, 1, 1}},
	{11500 * time.Millisecond, [3]float64{0.33, 1.3, 2.7}},
	{13 * time.Second, [3]float64{1, 1, 1}},
	{22500 * time.Millisecond, [3]float64{2.5, 0.5, 0.05}},
	{23 * time.Second, [3]float64{1, 1, 1}},
	{32500 * time.Millisecond, [3]float64{0.33, 1.3, 2.7}},
	{simulatedTime, [3]float64{1, 1, 1}},
}

// rateFactor returns the factor by which the rate of a class is multiplied at a time.
func (p trafficPattern) rateFactor(class int, at time.Duration) float64 {
	switch p {
	case bursts:
		if at%burstInterval < burstDuration {
			return 2
		}
	case phases:
		for _, phase := range trafficPhases {
			if at < phase.until {
				return phase.factors[class]
			}
		}
	}
	return 1
}

// drawPrompts draws prompts at a multiple of the deployment's usual load.
func (d *deployment) drawPrompts(seed uint64, load float64, pattern trafficPattern) []*prompt {
	random := rand.New(rand.NewPCG(seed, 11))
	var prompts []*prompt
	for i := range d.classes {
		class := &d.classes[i]
		for at := time.Duration(0); ; {
			// Draw at the highest rate and discard the excess, so that a phase takes effect at once.
			at += time.Duration(random.ExpFloat64() / (class.requestsPerSecond * load * maxRateFactor) * float64(time.Second))
			if at > simulatedTime {
				break
			}
			if random.Float64() >= pattern.rateFactor(i, at)/maxRateFactor {
				continue
			}
			tokenFactor := math.Exp(random.NormFloat64()*class.tokenSigma - class.tokenSigma*class.tokenSigma/2)
			prompts = append(prompts, &prompt{
				class: class, at: at, entry: random.IntN(d.entries),
				tokens:     int(min(max(class.meanTokens*tokenFactor, 40), class.maxTokens)),
				eventCount: max(1, int(min(class.meanEvents*math.Exp(random.NormFloat64()*0.6-0.18), maxEventsFactor*class.meanEvents))),
			})
		}
	}
	return prompts
}

// simulator simulates the entries of a deployment, which choose by package dispatch, and its
// engines.
type simulator struct {
	eventLoop
	deployment *deployment
	engines    map[string]*passEngine
	fleets     []*dispatch.Fleet
	visibility visibility
	lastPart   int
	// returns are the requests that each entry has refused.
	returns []returns.Memory[*prompt]
	// paceIgnored leaves out what pauses tell of the engines' paces.
	paceIgnored bool
}

func newSimulator(d *deployment, rule dispatch.Rule, visibility visibility) *simulator {
	s := &simulator{deployment: d, engines: make(map[string]*passEngine), visibility: visibility, returns: make([]returns.Memory[*prompt], d.entries)}
	var changes []dispatch.Change
	for i := range d.engines {
		id := fmt.Sprintf("engine-%03d", i)
		s.engines[id] = &passEngine{id: id, spec: d.spec}
		changes = append(changes, dispatch.Change{Upstream: dispatch.Upstream{ID: id, Service: "model", Address: id, Slots: d.spec.Slots}})
	}
	fleets := d.entries
	if visibility == instantView {
		fleets = 1
	}
	for i := range fleets {
		fleet := dispatch.NewFleet(dispatch.Settings{Rule: rule, Origin: uint64(i + 1)})
		fleet.ApplyChanges(epoch, changes, true)
		s.fleets = append(s.fleets, fleet)
	}
	return s
}

func (s *simulator) fleet(entry int) *dispatch.Fleet { return s.fleets[entry%len(s.fleets)] }

// simulate runs the simulation until all prompts have ended.
func (s *simulator) simulate(prompts []*prompt) {
	for _, p := range prompts {
		s.schedule(p.at, func(now time.Duration) { s.arrive(now, p) })
	}
	s.run()
}

// minRetryDelay is the shortest time after which a refused caller retries, as the gateways
// advise in Retry-After.
const minRetryDelay = 500 * time.Millisecond

// arrive handles an attempt by the caller of a prompt.
func (s *simulator) arrive(now time.Duration, p *prompt) {
	p.attempts++
	p.attemptAt, p.queueID = now, dispatch.PlacementID{}
	p.waitsSince = now
	if s.fleet(p.entry).Scarce(epoch.Add(now)) {
		if first, ok := s.returns[p.entry].Returned(epoch.Add(now), p); ok {
			p.waitsSince = first.Sub(epoch)
		}
	}
	s.choose(now, p)
}

// choose requests a placement for a prompt, and again at the time that the queue gives. A
// refused caller retries once. The entry measures the first-event target from the current
// attempt, since it doesn't know of an earlier one; the outcome of the prompt is measured from
// the first attempt.
func (s *simulator) choose(now time.Duration, p *prompt) {
	waited := now - p.waitsSince
	choice, id, verdict := s.fleet(p.entry).Choose(epoch.Add(now), &dispatch.Request{
		Service: "model", PromptTokens: p.tokens, OutputTokens: p.eventCount * s.deployment.spec.Stride,
		FirstEventTarget: p.class.firstEventTarget - waited, GapTarget: p.class.gapTarget, TimeToDeadline: p.class.deadline - (now - p.at), QueueID: p.queueID,
		Organisation: p.organisation,
	}, s.deployment.spec)
	switch {
	case verdict == dispatch.Place:
		s.place(now, p, choice, id)
	case verdict == dispatch.Queue:
		p.queueID = id
		s.schedule(now+choice.Retry.After, func(now time.Duration) { s.choose(now, p) })
	case p.attempts == 1:
		after := max(choice.Explanation.ClearTime, minRetryDelay)
		if choice.Explanation.Scarcity != nil {
			s.returns[p.entry].Refused(epoch.Add(now), p, epoch.Add(p.at), after)
		}
		s.schedule(now+after, func(now time.Duration) { s.arrive(now, p) })
	default:
		p.refused = true
	}
	s.sendEvents(now, p.entry)
}

// place sends the parts of a prompt to the chosen engines.
func (s *simulator) place(now time.Duration, p *prompt, choice dispatch.Choice, id dispatch.PlacementID) {
	p.placementID, p.urgency, p.remainingEvents = id, choice.Urgency, p.eventCount
	p.pendingParts = 1 + len(choice.Helpers)
	share := float64(p.tokens) / float64(p.pendingParts)
	s.sendPart(now, choice.Upstream.ID, &part{prompt: p, remainingTokens: share})
	for _, helper := range choice.Helpers {
		s.sendPart(now, helper.Upstream.ID, &part{prompt: p, remainingTokens: share, isHelper: true})
	}
}

// sendPart sends a part to an engine, which starts a pass if it is idle.
func (s *simulator) sendPart(now time.Duration, id string, p *part) {
	s.lastPart++
	p.order = s.lastPart
	e := s.engines[id]
	e.admit(p)
	if !e.busy {
		e.busy = true
		s.pass(now, e)
	}
}

// pass simulates passes of an engine until it is idle.
func (s *simulator) pass(now time.Duration, e *passEngine) {
	if len(e.prefilling) == 0 && len(e.decoding) == 0 {
		e.busy = false
		return
	}
	decoding := append([]*prompt(nil), e.decoding...)
	took, prefilled := e.runPass(now)
	s.schedule(now+took, func(now time.Duration) {
		for _, p := range decoding {
			s.eventWritten(now, e, p)
		}
		for _, p := range prefilled {
			s.partPrefilled(now, e, p)
		}
		s.pass(now, e)
	})
}

// partPrefilled handles the end of a part's prefill. The stream starts at the primary engine
// when all parts of the prompt are prefilled.
func (s *simulator) partPrefilled(now time.Duration, e *passEngine, p *part) {
	prompt := p.prompt
	prompt.pendingParts--
	if !p.isHelper {
		e.decoding = append(e.decoding, prompt)
	}
	if prompt.pendingParts == 0 {
		prompt.late = now-prompt.at > prompt.class.firstEventTarget
		prompt.lastEventAt = now
		s.fleet(prompt.entry).RecordFirstEvent(epoch.Add(now), prompt.placementID)
		s.sendEvents(now, prompt.entry)
	}
}

// eventWritten handles one event of a stream.
func (s *simulator) eventWritten(now time.Duration, e *passEngine, p *prompt) {
	if p.pendingParts > 0 {
		return // Other engines still prefill parts of it.
	}
	p.late = p.late || now-p.lastEventAt > p.class.gapTarget
	if !s.paceIgnored {
		s.fleet(p.entry).RecordPause(epoch.Add(now), p.placementID, now-p.lastEventAt)
	}
	p.lastEventAt = now
	p.remainingEvents--
	if p.remainingEvents > 0 {
		return
	}
	p.endedAt = now
	e.releaseSlot()
	for i, other := range e.decoding {
		if other == p {
			e.decoding = append(e.decoding[:i], e.decoding[i+1:]...)
			break
		}
	}
	s.fleet(p.entry).RecordEnd(epoch.Add(now), p.placementID, dispatch.Served)
	s.sendEvents(now, p.entry)
}

// sendEvents sends an entry's events to the other entries after batchDelay, if they have a
// shared view.
func (s *simulator) sendEvents(now time.Duration, entry int) {
	if s.visibility != sharedView {
		return
	}
	s.schedule(now+batchDelay, func(now time.Duration) {
		events, paces := s.fleets[entry].TakeEvents(), s.fleets[entry].TakePaces(epoch.Add(now))
		shares := s.fleets[entry].TakeShareReports(epoch.Add(now))
		if len(events)+len(paces) == 0 {
			return
		}
		s.schedule(now+s.deployment.entryDelay, func(now time.Duration) {
			for i, other := range s.fleets {
				if i != entry {
					other.ApplyEvents(epoch.Add(now), uint64(entry+1), events)
					other.ApplyShareReports(epoch.Add(now), uint64(entry+1), shares, nil)
					other.ApplyPaces(epoch.Add(now), uint64(entry+1), paces)
				}
			}
		})
	})
}

// outcomeCounts counts the prompts of one class by outcome.
type outcomeCounts struct{ requests, late, deadlineExceeded, refused int }

// share returns a count as a share of all requests.
func (c outcomeCounts) share(count int) float64 { return float64(count) / float64(max(c.requests, 1)) }

// deadlineExceeded reports whether a prompt did not end by its deadline.
func (p *prompt) deadlineExceeded() bool {
	return !p.refused && (p.endedAt == 0 || p.endedAt-p.at > p.class.deadline)
}

// countOutcomes counts the prompts of some simulations by class.
func countOutcomes(simulations ...[]*prompt) map[string]outcomeCounts {
	countsByClass := make(map[string]outcomeCounts)
	for _, prompts := range simulations {
		for _, p := range prompts {
			counts := countsByClass[p.class.name]
			counts.requests++
			switch {
			case p.refused:
				counts.refused++
			case p.deadlineExceeded():
				counts.deadlineExceeded++
			case p.late:
				counts.late++
			}
			countsByClass[p.class.name] = counts
		}
	}
	return countsByClass
}

// goodput is the value of the answers of one simulation: late answers have a lower value, and
// refused prompts and answers after their deadline have none.
type goodput struct {
	// valueShare is the value achieved as a share of the value of all requests, shareByClass
	// the same for each class; valuePerSecond is the value achieved per second.
	valueShare, valuePerSecond float64
	shareByClass               map[string]float64
	refused                    int
}

func goodputOf(prompts []*prompt) goodput {
	achieved, possible := make(map[string]float64), make(map[string]float64)
	g := goodput{shareByClass: make(map[string]float64)}
	for _, p := range prompts {
		possible[p.class.name] += p.class.value
		possible[""] += p.class.value
		value := p.class.value
		switch {
		case p.refused:
			g.refused++
			value = 0
		case p.deadlineExceeded():
			value = 0
		case p.late:
			value = p.class.lateValue
		}
		achieved[p.class.name] += value
		achieved[""] += value
	}
	for name := range possible {
		if name != "" {
			g.shareByClass[name] = achieved[name] / possible[name]
		}
	}
	g.valueShare, g.valuePerSecond = achieved[""]/possible[""], achieved[""]/simulatedTime.Seconds()
	return g
}

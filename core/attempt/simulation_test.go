package attempt_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"acaciacleat.example/core/attempt"
	"acaciacleat.example/core/call"
	"acaciacleat.example/core/idempotency"
	"acaciacleat.example/core/result"
	"acaciacleat.example/core/retry"
	"acaciacleat.example/core/stream"
)

// event is a function to call at a time; order breaks ties.
type event struct {
	at    time.Time
	order int
	do    func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// faultRates are the probabilities of the faults, from 0 to 1.
type faultRates struct {
	drop, duplicate, delay, silent, refuse, fail, noUpstream, storeDown, storeLost, storeLate, staleView float64
}

// simulation simulates two entries, three agents, a table service and the messages between
// them in virtual time. It counts the actual runs.
type simulation struct {
	now        time.Time
	queue      eventQueue
	order      int
	rng        *rand.Rand
	faultRates faultRates
	limits     idempotency.Limits
	agents     []*agentProcess
	entries    []*entryProcess
	tries      []*try
	rows       map[string]storedRow
	commits    map[string]uint64
	version    uint64
	// runs counts runs by id, keyRuns by Idempotency-Key.
	runs    map[call.ID]int
	keyRuns map[string]int
	// keyBegun also counts calls that an agent began and whose upstream then refused the
	// connection. Until such a call ends, the agent reports Ran for it.
	keyBegun map[string]int
	// byID maps a request id to its try.
	byID map[call.ID]*try
}

type storedRow struct {
	value   []byte
	version uint64
}

const (
	answerFrames = 4
	// tick is the unit of all delays.
	tick = 10 * time.Millisecond
)

// testLimits are small, so that ids are evicted while tries are still in progress.
var testLimits = idempotency.Limits{
	OfferAge: 2 * time.Second, Retention: 6 * time.Second, MaxIDs: 4, MaxResultBytes: 2,
}

func newSimulation(seed uint64, rates faultRates, limits idempotency.Limits) *simulation {
	sim := &simulation{
		now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), faultRates: rates, limits: limits,
		rows: map[string]storedRow{}, commits: map[string]uint64{}, runs: map[call.ID]int{},
		keyRuns: map[string]int{}, keyBegun: map[string]int{}, byID: map[call.ID]*try{},
	}
	for range 3 {
		a := &agentProcess{sim: sim, name: string(rune('a' + len(sim.agents)))}
		a.restart()
		sim.agents = append(sim.agents, a)
	}
	for range 2 {
		e := &entryProcess{sim: sim, view: map[string]attempt.Replica{}}
		for _, a := range sim.agents {
			e.view[a.name] = a.replica()
		}
		sim.entries = append(sim.entries, e)
	}
	return sim
}

func (sim *simulation) chance(p float64) bool { return sim.rng.Float64() < p }

func (sim *simulation) randomDelay(n int) time.Duration {
	return time.Duration(sim.rng.IntN(n+1)) * tick
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.order++
	heap.Push(&sim.queue, event{sim.now.Add(d), sim.order, do})
}

func (sim *simulation) run() {
	for len(sim.queue) > 0 {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.do()
	}
}

// send delivers a message up to two times, each with a random delay.
func (sim *simulation) send(do func()) {
	for n := 0; n == 0 || n == 1 && sim.chance(sim.faultRates.duplicate); n++ {
		if sim.chance(sim.faultRates.drop) {
			continue
		}
		delay := sim.randomDelay(2)
		if sim.chance(sim.faultRates.delay) {
			delay = sim.randomDelay(400)
		}
		sim.after(delay, do)
	}
}

// run is one run of a call at an agent.
type run struct {
	id         call.ID
	startFrame int
	sender     *stream.Sender
	began      bool
	ended      bool
	code       result.Code
	execution  result.Execution
	attached   []*try
	attempt    call.Attempt
}

// agentProcess simulates an agent, which drives a Ledger.
type agentProcess struct {
	sim         *simulation
	name        string
	incarnation call.Incarnation
	ledger      *idempotency.Ledger
	activeRuns  map[call.ID]*run
}

func (a *agentProcess) restart() {
	a.incarnation = call.Incarnation(a.sim.rng.Uint64() | 1)
	a.ledger = idempotency.NewLedger(a.incarnation, a.sim.limits)
	a.ledger.Stamp(a.sim.now)
	a.activeRuns = map[call.ID]*run{}
}

// crash restarts the agent; some tries are notified by the list of VMs.
func (a *agentProcess) crash() {
	gone := a.incarnation
	a.restart()
	for _, t := range a.sim.tries {
		if a.sim.chance(0.3) {
			t.entry.after(a.sim.randomDelay(200), func() { t.perform(t.machine.AgentLost(a.sim.now, gone)) })
		}
	}
}

func (a *agentProcess) replica() attempt.Replica {
	return attempt.Replica{Agent: a.name, Incarnation: a.incarnation, Stamp: a.ledger.Stamp(a.sim.now)}
}

// afterUnlessRestarted calls do after d unless the agent restarts before.
func (a *agentProcess) afterUnlessRestarted(d time.Duration, do func()) {
	incarnation := a.incarnation
	a.sim.after(d, func() {
		if a.incarnation == incarnation {
			do()
		}
	})
}

func (a *agentProcess) offer(o idempotency.Offer, startFrame int, t *try) {
	v := a.ledger.Offer(a.sim.now, o)
	switch v.Kind {
	case idempotency.Refused:
		t.receiveFrom(a, func() attempt.Action { return t.refused(o.Attempt, v.Code, v.Execution) })
	case idempotency.Replay:
		a.attach(v.Result.(*run), 1, t)
	case idempotency.AttachRunning:
		a.attach(a.activeRuns[o.ID], 1, t)
	case idempotency.Run:
		if a.sim.chance(a.sim.faultRates.refuse) {
			a.ledger.Refuse(a.sim.now, o.ID)
			t.receiveFrom(a, func() attempt.Action { return t.refused(o.Attempt, result.QueueFull, result.NotRun) })
			return
		}
		r := &run{id: o.ID, startFrame: startFrame, sender: stream.NewSender(1 << 20), attempt: o.Attempt}
		a.activeRuns[o.ID] = r
		a.attach(r, 1, t)
		a.afterUnlessRestarted(a.sim.randomDelay(30), func() { a.begin(r) })
	}
}

func (a *agentProcess) attach(r *run, seq uint64, t *try) {
	r.attached = append(r.attached, t)
	t.receiveFrom(a, func() attempt.Action { return t.machine.Accepted(a.sim.now, r.attempt) })
	r.sender.From(seq, func(f stream.Frame) bool {
		t.receiveFrom(a, func() attempt.Action { return t.frame(f) })
		return true
	})
	if r.ended {
		t.receiveFrom(a, func() attempt.Action { return t.end(r) })
	}
}

func (a *agentProcess) begin(r *run) {
	if !a.ledger.Begin(r.id) {
		return
	}
	r.began = true
	a.sim.keyBegun[a.sim.byID[r.id].key]++
	if a.sim.chance(a.sim.faultRates.noUpstream) {
		a.endUnsent(r)
		return
	}
	a.sim.runs[r.id]++
	a.sim.keyRuns[a.sim.byID[r.id].key]++
	a.afterUnlessRestarted(a.sim.randomDelay(20), func() { a.produceFrame(r) })
}

// endUnsent ends a run whose upstream refused the connection, which proves that the call
// did not run.
func (a *agentProcess) endUnsent(r *run) {
	r.code, r.execution = result.UpstreamFailed, result.NotRun
	a.finish(r)
}

func (a *agentProcess) finish(r *run) {
	r.ended = true
	delete(a.activeRuns, r.id)
	a.ledger.Finish(a.sim.now, r.id, r, 1)
	for _, t := range r.attached {
		t.receiveFrom(a, func() attempt.Action { return t.end(r) })
	}
}

func (a *agentProcess) produceFrame(r *run) {
	if a.sim.chance(a.sim.faultRates.fail) {
		r.code = result.UpstreamFailed
	}
	if r.code != result.OK || r.startFrame+int(r.sender.Last()) == answerFrames {
		r.execution = result.Ran
		a.finish(r)
		return
	}
	f, _ := r.sender.Append(r.attempt, 1, []byte{byte(r.startFrame) + byte(r.sender.Last()) + 1})
	for _, t := range r.attached {
		t.receiveFrom(a, func() attempt.Action { return t.frame(f) })
	}
	a.afterUnlessRestarted(a.sim.randomDelay(20), func() { a.produceFrame(r) })
}

func (a *agentProcess) resume(id call.ID, incarnation call.Incarnation, number call.Attempt, seq uint64, t *try) {
	switch r := a.activeRuns[id]; {
	case incarnation != a.incarnation:
		t.receiveFrom(a, func() attempt.Action { return t.refused(number, result.WrongIncarnation, result.Unknown) })
	case r != nil:
		a.attach(r, seq, t)
	default:
		o := idempotency.Offer{ID: id, Attempt: number, BoundTo: incarnation, Stamp: -1}
		if v := a.ledger.Offer(a.sim.now, o); v.Kind == idempotency.Replay {
			a.attach(v.Result.(*run), seq, t)
			return
		}
		t.receiveFrom(a, func() attempt.Action { return t.refused(number, result.StaleOffer, result.Unknown) })
	}
}

func (a *agentProcess) cancel(c idempotency.CancelRequest, number call.Attempt, t *try) {
	answer := a.ledger.Cancel(a.sim.now, c)
	if answer.Dequeued {
		for _, other := range a.activeRuns[c.ID].attached {
			other.receiveFrom(a, func() attempt.Action { return other.refused(number, result.Tombstoned, result.NotRun) })
		}
		delete(a.activeRuns, c.ID)
	}
	t.receiveFrom(a, func() attempt.Action { return t.machine.CancelAnswered(a.sim.now, number, answer.Execution) })
}

// entryProcess simulates an entry, which drives the Machines of its tries.
type entryProcess struct {
	sim         *simulation
	dead        bool
	pausedUntil time.Time
	// view holds the last known state of each agent.
	view map[string]attempt.Replica
}

func (e *entryProcess) refreshView(a *agentProcess) {
	if !e.sim.chance(e.sim.faultRates.staleView) {
		e.view[a.name] = a.replica()
	}
}

func (e *entryProcess) pause(d time.Duration) {
	if until := e.sim.now.Add(d); until.After(e.pausedUntil) {
		e.pausedUntil = until
	}
}

// after calls do at the entry after d, or when a pause ends later, unless the entry is dead.
func (e *entryProcess) after(d time.Duration, do func()) {
	e.sim.after(d, func() {
		switch {
		case e.dead:
		case e.sim.now.Before(e.pausedUntil):
			e.after(e.pausedUntil.Sub(e.sim.now), do)
		default:
			do()
		}
	})
}

func newPolicy(sim *simulation) retry.Policy {
	return retry.Policy{Budget: retry.NewBudget(0.1, time.Millisecond), Backoff: retry.NewBackoff(sim.rng)}
}

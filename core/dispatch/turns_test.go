package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// asked is a prompt that a play asks for. Times count from start.
type asked struct {
	at      time.Duration
	request *Request
	turn    WorkID
	id      WorkID
	choice  Choice
	// placed and first are when it was placed and its first event came; zero for not yet.
	placed  time.Duration
	first   time.Duration
	refused bool
}

// play asks a fleet for prompts, lets those that are held ask again, and begins each when its
// first event is expected.
type play struct {
	fleet *Fleet
	asked []*asked
}

func newPlay(f *Fleet) *play { return &play{fleet: f} }

func (p *play) ask(at time.Duration, request *Request) *asked {
	a := &asked{at: at, request: request}
	p.asked = append(p.asked, a)
	return a
}

// playStep is the time between two looks of a play.
const playStep = 5 * time.Millisecond

// run plays the time from start for so long.
func (p *play) run(t *testing.T, lasts time.Duration) {
	t.Helper()
	for at := time.Duration(0); at < lasts; at += playStep {
		now := start.Add(at)
		for _, a := range p.asked {
			switch {
			case at < a.at || a.refused || a.first > 0:
			case a.placed > 0:
				if at >= a.placed+a.choice.Why.First {
					a.first = at
					p.fleet.Begun(now, a.id)
					p.fleet.Ended(now, a.id, Served)
				}
			default:
				p.choose(t, now, at, a)
			}
		}
	}
}

func (p *play) choose(t *testing.T, now time.Time, at time.Duration, a *asked) {
	t.Helper()
	request := *a.request
	request.Aim -= at - a.at
	request.Left -= at - a.at
	request.Turn = a.turn
	choice, id, verdict := p.fleet.Choose(now, &request, spec)
	switch verdict {
	case Place:
		a.choice, a.id, a.placed = choice, id, max(at, 1)
	case Hold:
		require.Positive(t, choice.Turn.After)
		a.turn = id
	case TooBusy:
		a.refused = true
	default:
		t.Fatalf("verdict %d", verdict)
	}
}

// Symptom: a long prompt that should be read in half a second takes four. Sequence: its parts
// are being read; further ones come, one after another. Cause: each was sent at once, and
// engines read the newest part first.
func TestWhatIsSentIsNotOvertaken(t *testing.T) {
	p := newPlay(newFleet(8, Predicted))
	for i := range 8 {
		p.ask(time.Duration(i)*40*time.Millisecond, heavy(150_000))
	}
	p.run(t, 10*time.Second)
	for _, a := range p.asked {
		require.NotZero(t, a.first)
		expected := a.placed + a.choice.Why.First
		require.InDelta(t, expected.Seconds(), a.first.Seconds(), 2*playStep.Seconds(), "first events come as predicted")
	}
	require.Greater(t, p.asked[7].placed, p.asked[7].at+100*time.Millisecond, "the last one waited")
}

// Symptom: prompts are refused before engines that have nothing to read. Sequence: one that
// can't be read within its aim comes to an idle deployment. Cause: lateness alone refused it.
func TestIdleEnginesReadWhatWillBeLate(t *testing.T) {
	p := newPlay(newFleet(14, Predicted))
	late := p.ask(0, heavy(700_000))
	p.run(t, 12*time.Second)
	require.False(t, late.refused)
	require.Greater(t, late.first, 3*time.Second)
}

// Symptom: in a burst all prompts are late. Sequence: engines are asked for more than they can
// read in time. Cause: all were taken; the longest took the time of several others.
func TestLongestAreSentBackInABurst(t *testing.T) {
	p := newPlay(newFleet(8, Predicted))
	longest := p.ask(150*time.Millisecond, heavy(600_000))
	for i := range 20 {
		p.ask(time.Duration(i)*100*time.Millisecond, heavy(140_000))
	}
	p.run(t, 15*time.Second)
	require.True(t, longest.refused)
	inTime := 0
	for _, a := range p.asked {
		if a.first > 0 && a.first-a.at < 4*time.Second {
			inTime++
		}
	}
	require.GreaterOrEqual(t, inTime, 16)
}

// Symptom: entries that hold prompts send them all at once, or none of them does. Sequence:
// two entries hear of each other's prompts. Cause: they did not agree on who goes first.
func TestEntriesAgreeWhoseTurnItIs(t *testing.T) {
	a, b := newFleet(4, Predicted), newFleet(4, Predicted)
	b.settings.Origin = 2
	choose(t, a, start, heavy(160_000))
	b.Heard(start, 1, a.News())
	now := start.Add(10 * time.Millisecond)
	slack, hurried := heavy(160_000), heavy(160_000)
	hurried.Aim -= time.Second
	_, waits, verdict := a.Choose(now, slack, spec)
	require.Equal(t, Hold, verdict)
	_, goes, verdict := b.Choose(now, hurried, spec)
	require.Equal(t, Hold, verdict)
	a.Heard(now, 2, b.News())
	b.Heard(now, 1, a.News())

	read := 1200 * time.Millisecond // Enough for the first one.
	now = start.Add(read)
	slack.Turn, hurried.Turn = waits, goes
	slack.Aim -= read
	hurried.Aim -= read
	_, _, verdict = a.Choose(now, slack, spec)
	require.Equal(t, Hold, verdict, "the other must begin sooner")
	_, _, verdict = b.Choose(now, hurried, spec)
	require.Equal(t, Place, verdict)
}

// Symptom: prompts wait for one whose caller has left. Sequence: its entry gives it up, dies,
// or says nothing more until its time is over. Cause: it kept its place.
func TestWhoIsGoneLeavesThePlace(t *testing.T) {
	gone := map[string]func(f, other *Fleet, id WorkID){
		"given up": func(f, other *Fleet, id WorkID) {
			other.Withdraw(id)
			f.Heard(start, 2, other.News())
		},
		"entry lost": func(f, _ *Fleet, _ WorkID) { f.ForgetOrigin(start, 2) },
		"time over":  func(f, _ *Fleet, _ WorkID) { f.Forget(start.Add(17 * time.Second)) },
	}
	for name, leave := range gone {
		t.Run(name, func(t *testing.T) {
			f, other := newFleet(4, Predicted), newFleet(4, Predicted)
			other.settings.Origin = 2
			choose(t, other, start, heavy(160_000))
			_, id, verdict := other.Choose(start, heavy(160_000), spec)
			require.Equal(t, Hold, verdict)
			f.Heard(start, 2, other.News())
			_, own, verdict := f.Choose(start, heavy(170_000), spec)
			require.Equal(t, Hold, verdict)
			changed := f.changed
			leave(f, other, id)
			require.NotContains(t, f.waiters, id)
			if name != "time over" {
				require.Contains(t, f.waiters, own)
				require.NotEqual(t, changed, f.changed, "those that wait here are woken")
			}
		})
	}
}

// Symptom: no long prompt is read although engines are idle. Sequence: an entry whose prompt
// goes first freezes, or is cut off. Cause: all others waited for it until its time was over.
func TestSilentEntryIsPassedOver(t *testing.T) {
	f := newFleet(6, Predicted)
	f.Heard(start, 2, []Event{{Kind: Waiting, Number: 7, PartMs: 2000, AimMs: 1500, LeftMs: 15_000}})
	request := heavy(160_000)
	placed := time.Duration(0)
	for at := time.Duration(0); at < 2*time.Second; at += playStep {
		_, id, verdict := f.Choose(start.Add(at), request, spec)
		if verdict == Place {
			placed = at
			break
		}
		require.Equal(t, Hold, verdict)
		request.Turn = id
	}
	require.Greater(t, placed, idleFor, "a living entry has the time to take its turn")
	require.Less(t, placed, 2*idleFor)
}

// A request that has waited keeps its name when it is placed, so that those who heard of its
// wait know that it is over.
func TestPlacedAfterAWaitUnderOneName(t *testing.T) {
	f, other := newFleet(4, Predicted), newFleet(4, Predicted)
	_, first := choose(t, f, start, heavy(160_000))
	request := heavy(160_000)
	_, turn, verdict := f.Choose(start, request, spec)
	require.Equal(t, Hold, verdict)
	other.Heard(start, 1, f.News())
	require.Len(t, other.waiters, 1)
	now := start.Add(time.Second)
	f.Begun(now, first)
	request.Turn = turn
	_, id := choose(t, f, now, request)
	require.Equal(t, turn, id)
	other.Heard(now, 1, f.News())
	require.Empty(t, other.waiters)
	require.Contains(t, other.works, turn)
}

// Symptom: what the operator calls urgent is sent back before what is not. Sequence: two
// prompts wait, and one of them must be left out; the urgent one is the longer. Cause: only
// their lengths counted.
func TestTheLessUrgentIsLeftOutFirst(t *testing.T) {
	f := NewFleet(Settings{Origin: 1})
	urgent := &waiter{id: WorkID{Origin: 1, Number: 1}, rank: 0, read: 3 * time.Second, aim: start.Add(3 * time.Second)}
	other := &waiter{id: WorkID{Origin: 1, Number: 2}, rank: 1, read: time.Second, aim: start.Add(3 * time.Second)}
	f.waiters[urgent.id], f.waiters[other.id] = urgent, other
	require.False(t, f.standing(start, urgent, 0, 1).late)
	require.True(t, f.standing(start, other, 0, 1).late)
	other.rank = 0
	require.True(t, f.standing(start, urgent, 0, 1).late)
	require.False(t, f.standing(start, other, 0, 1).late)
}

// Symptom: callers of short prompts are told to come back at a time that has nothing to do with
// the engines. Sequence: a long prompt is weighed while engines are busy; later, when they have
// read all, a short one is refused. Cause: what engines had to read was that of the earlier choice.
func TestReturnFollowsWhatEnginesHaveToReadNow(t *testing.T) {
	f := newFleet(2, Predicted)
	choose(t, f, start, heavy(160_000))
	f.Choose(start, heavy(160_000), spec)
	later := start.Add(20 * time.Second)
	f.Forget(later)
	hopeless := short()
	hopeless.Left = time.Millisecond
	choice, _, verdict := f.Choose(later, hopeless, spec)
	require.Equal(t, TooBusy, verdict)
	require.Zero(t, choice.Why.Clear)
}

// Symptom: fewer prompts meet their aims than could. Sequence: more wait than can. Cause: the
// wrong ones were left out. Left out are as few as in the best of all orders, where none
// differ in aim, and nobody is both in time and late.
func TestAsFewAsPossibleAreLeftOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := NewFleet(Settings{Origin: 1})
		n := rapid.IntRange(1, 7).Draw(t, "waiting")
		engines := rapid.IntRange(1, 4).Draw(t, "engines")
		backlog := time.Duration(rapid.IntRange(0, 2000).Draw(t, "backlog")) * time.Millisecond
		for i := range n {
			id := WorkID{Origin: 1, Number: uint64(i + 1)}
			f.waiters[id] = &waiter{
				id:   id,
				read: time.Duration(rapid.IntRange(1, 3000).Draw(t, "read")) * time.Millisecond,
				aim:  start.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "aim")) * time.Millisecond),
			}
		}
		inTime := 0
		for _, w := range f.waiters {
			if !f.standing(start, w, backlog, engines).late {
				inTime++
			}
		}
		require.Equal(t, mostInTime(f.waiters, backlog, engines), inTime)
	})
}

// mostInTime tries all sets of waiters.
func mostInTime(waiters map[WorkID]*waiter, backlog time.Duration, engines int) int {
	var all []*waiter
	for _, w := range waiters {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *waiter) int { return a.aim.Compare(b.aim) })
	best := 0
	for set := range 1 << len(all) {
		sum, count, fits := backlog, 0, true
		for i, w := range all {
			if set>>i&1 == 1 {
				sum += w.read
				count++
				fits = fits && !start.Add(sum/time.Duration(engines)).After(w.aim)
			}
		}
		if fits {
			best = max(best, count)
		}
	}
	return best
}

// Symptom: in a rush of short prompts all are late. Sequence: the slots of all engines are
// taken; more come. Cause: they were sent to wait in the engines' queues.
func TestShortPromptsAreSentBackWhereNoSlotComesInTime(t *testing.T) {
	const every, writing = 20 * time.Millisecond, 1700 * time.Millisecond
	f := newFleet(2, Predicted)
	ends := map[int]WorkID{}
	placed, inTime, refused := 0, 0, 0
	for i := range 400 {
		now := start.Add(time.Duration(i) * every)
		f.Ended(now, ends[i], Served)
		choice, id, verdict := f.Choose(now, short(), spec)
		if verdict == TooBusy {
			refused++
			continue
		}
		require.Equal(t, Place, verdict)
		placed++
		if choice.Why.First <= 300*time.Millisecond {
			inTime++
		}
		ends[i+int((choice.Why.First+writing)/every)] = id
	}
	require.Greater(t, placed, 100, "the slots are used")
	require.Greater(t, refused, 100)
	require.Greater(t, 10*inTime, 8*placed, "who gets a slot is in time")
	committed := short()
	committed.Committed = true
	_, _, verdict := f.Choose(start, committed, spec)
	require.Equal(t, Place, verdict, "what was begun is not broken off")
}

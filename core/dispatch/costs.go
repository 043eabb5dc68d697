package dispatch

import (
	"math"
	"time"
)

// weight returns the worth of a request by the size of its prompt. Callers' sheets value
// a request of 5,000 tokens at 1.3, of 45,000 at 3.9, and of 182,000 at 24.
func weight(promptTokens int) float64 { return 0.7 + 0.12*float64(promptTokens)/1000 }

// chanceLate returns the chance that something predicted to take t misses its aim.
func chanceLate(t, aim time.Duration) float64 { return chance(t, aim, easyShare) }

// chance is chanceLate where what is predicted is surely good up to a share of its aim.
func chance(t, aim time.Duration, easy float64) float64 {
	if aim <= 0 {
		return 1
	}
	share := (float64(t)/float64(aim) - easy) / (1 - easy)
	return min(max(share, 0), 1)
}

// own is what the request itself loses if its first event comes after t, for comparing
// choices.
func (s *search) own(t time.Duration) float64 {
	// Among choices that are surely in time, and among those that are surely late, the
	// earlier one is the better.
	return s.lost(t) + earlier*t.Seconds()
}

// lost is the worth that the request loses if its first event comes after t.
func (s *search) lost(t time.Duration) float64 {
	w := weight(s.request.PromptTokens)
	loss := w * lateLoss * chanceLate(t, s.request.Aim)
	if t > s.request.Left {
		loss += w * (1 - lateLoss)
	}
	return loss
}

// earlier is what a second is worth where it decides nothing else.
const earlier = 0.2

// damage is what the streams and prompts on an engine lose if it reads a part of a long
// prompt. Engines read the newest part first: in bursts, prompts that should have been read
// in a third of a second took four, until no more came.
func (s *search) damage(u *unit, part time.Duration) float64 {
	sum := s.gaps(u, part)
	for _, l := range u.loads {
		if !l.work.begun {
			sum += s.later(l.work, max(l.work.done, l.done+part))
		}
	}
	return sum
}

// gaps is what the streams on an engine lose by longer pauses, and by a later end, if it reads
// for longer.
func (s *search) gaps(u *unit, read time.Duration) float64 {
	if u.streams == 0 {
		return 0
	}
	pass := s.spec.Pause(u.streams, u.context) + u.backlog
	// Short prompts come in numbers, and several entries place one on an engine in the same
	// moment; parts of long ones are known to all.
	easy := easyShare
	if s.whole >= partedFrom {
		easy = easyGap
	}
	sum := 0.0
	for _, l := range u.loads {
		if l.helper {
			continue
		}
		gap := chance(pass+read, l.work.gapAim, easy) - chance(pass, l.work.gapAim, easy)
		sum += weight(l.work.prompt) * (lateLoss*gap + l.overrun(read))
	}
	return sum
}

// easyEnd is the share of a stream's time up to which its foreseen end is surely in time: how
// much it will write is an estimate, and others may be placed beside it.
const easyEnd = 0.7

// mostBusy bounds the share of its time that an engine is foreseen to go on reading: the rest
// is what streams still advance by.
const mostBusy = 0.9

// foreseeEnds predicts when the streams on an engine end, if it goes on to read as it has.
func (s *search) foreseeEnds(u *unit) {
	if u.streams == 0 {
		return
	}
	pass := s.spec.Pause(u.streams, u.context).Seconds() / (1 - min(u.busy, mostBusy))
	for _, l := range u.loads {
		l.end = 0
		if l.helper || !l.work.begun || pass <= 0 {
			continue
		}
		events := float64(l.work.output)/float64(max(s.spec.Stride, 1)) - s.now.Sub(l.work.begunAt).Seconds()/pass
		l.end = time.Duration(max(events, 0) * pass * float64(time.Second))
		l.timeLeft = l.work.over.Sub(s.now) - forgetSlack
	}
}

// overrun is the chance that a stream is cut off by its deadline because its engine reads for
// longer.
//
// What goes wrong without it: each pause is good by itself, but an engine that fills every pass
// of a stream with reading up to the longest good pause writes it so slowly that it never
// ends. One sees streams of dozens of events end by their deadline, on engines that read a
// third of their time.
func (l *load) overrun(read time.Duration) float64 {
	if l.end == 0 || (l.end+read).Seconds() <= easyEnd*l.timeLeft.Seconds() {
		return 0
	}
	return chance(l.end+read, l.timeLeft, easyEnd) - chance(l.end, l.timeLeft, easyEnd)
}

// room is what a request loses on a single engine whose slots or memory are full.
func (s *search) room(u *unit) float64 {
	cost := s.slots(u)
	if s.request.PromptTokens+s.request.OutputTokens > s.free(u) {
		cost += weight(s.request.PromptTokens) * lateLoss
	}
	return cost
}

// slots is what a request loses on an engine whose slots are taken, or will be by the time
// that it comes.
//
// What goes wrong without the chance: short requests are packed, so that all entries see the
// same engine with one slot left, and several take it before they hear of each other. The
// log shows first events some hundred milliseconds late at engines chosen with their last
// slot free.
func (s *search) slots(u *unit) float64 {
	left := max(s.spec.Slots-u.streams, 0)
	if left >= len(s.taken) {
		return 0
	}
	ready := s.wait(u) + s.whole
	return s.taken[left] * (fullCost + s.own(ready+s.slotWait(max(u.streams, s.spec.Slots))) - s.own(ready))
}

// seldom is the chance under which it is not looked further what a taken slot would cost.
const seldom = 0.005

// bestShared is the number of engines over which those choices fall that are made in the same
// moment as one's own: others look for the best one too, and find it among a few.
const bestShared = 2

// chancesTaken appends the chances that as many of others' choices as slots are left, or more,
// fall on an engine, by the number of slots left, as long as they count: up to all slots. They
// come independently of each other, the given number of them on the mean.
func chancesTaken(chances []float64, expected float64, slots int) []float64 {
	taken, exactly := 1.0, math.Exp(-expected)
	for left := 1; left <= slots+1 && taken >= seldom; left++ {
		chances = append(chances, taken)
		taken -= exactly
		exactly *= expected / float64(left)
	}
	return chances
}

// slotWait returns how long a request waits for a slot on an engine that writes so many
// streams or will: streams end one after another, evenly over the time that one takes.
func (s *search) slotWait(streams int) time.Duration {
	over := streams - s.spec.Slots
	if over < 0 || s.spec.Slots <= 0 {
		return 0
	}
	// Where the service doesn't publish what is usual, others are taken to be like this one.
	answer, prompt := s.spec.UsualAnswer, s.spec.UsualPrompt
	if answer <= 0 {
		answer, prompt = s.request.OutputTokens, s.request.PromptTokens
	}
	writes := s.spec.Write(answer, s.spec.Slots, s.spec.Slots*prompt)
	return writes * time.Duration(over+1) / time.Duration(s.spec.Slots)
}

// fullCost keeps requests off an engine that would only queue them.
const fullCost = 0.3

// order is what the place in the order costs: short requests are packed to the front,
// unless the engine writes streams already, and long ones go to the back.
func (s *search) order(u *unit) float64 {
	if s.whole >= partedFrom {
		return orderCost * float64(len(s.units)-u.order)
	}
	cost := orderCost * float64(u.order)
	if s.opens(u) {
		cost += s.opening
	}
	return cost
}

// opens tells whether the engine's streams all bear longer pauses than this request's would:
// long prompts are read there in larger parts than they would be beside it.
func (s *search) opens(u *unit) bool { return u.gap == 0 || u.gap > s.request.GapAim }

// openCost is what the time of a stream on an engine that wrote none like it is worth to long
// prompts where they need every engine: a few times the loss of a short answer that is late.
const openCost = 2.0

// demandOver is the time over which it counts how much long prompts ask for: some seconds, about
// as long as a short stream keeps an engine from them.
const demandOver = 3 * time.Second

// openingCost returns what it costs long prompts if a short stream is put on an engine on which
// they can be read freely now.
//
// What goes wrong without it: in a rush each short prompt goes where it is read a few
// hundredths of a second sooner; soon every engine writes a short stream, and long prompts are
// refused for lack of engines on which nothing pauses for too long.
//
// Who needs several engines at once waits seldom while many sets are free, even if most of the
// time is taken; so the price rises with the power of the number of sets.
func (s *search) openingCost() float64 {
	free := 0
	for _, u := range s.units {
		if s.opens(u) {
			free++
		}
	}
	if free == 0 {
		return 0
	}
	asked := s.fleet.longReading.PerSecond(s.now, demandOver) / float64(free)
	sets := float64(free) / float64(partCounts[len(partCounts)-1])
	return openCost * math.Pow(min(asked, 1), max(sets, 1))
}

// urgency ranks by the aim: who has less time goes first.
func urgency(request *Request) int {
	switch {
	case request.GapAim <= 300*time.Millisecond:
		return 0
	case request.GapAim <= 800*time.Millisecond:
		return 3
	default:
		return 5
	}
}

// delays is what the prompts lose that a set delays. A prompt is read when the last of its
// parts is: one that several engines of the set delay is delayed once.
func (s *search) delays(parts int, part time.Duration) float64 {
	for _, o := range s.offers[:parts] {
		for _, l := range o.unit.loads {
			if !l.work.begun {
				l.work.trial = max(l.work.trial, l.work.done, l.done+part)
			}
		}
	}
	sum := 0.0
	for _, o := range s.offers[:parts] {
		for _, l := range o.unit.loads {
			if l.work.trial > 0 {
				sum += s.later(l.work, l.work.trial)
				l.work.trial = 0
			}
		}
	}
	return sum
}

// later is what a prompt loses if it is read at the given time instead of the foreseen one.
func (s *search) later(w *work, done time.Duration) float64 {
	left := w.aim.Sub(s.now)
	return weight(w.prompt) * lateLoss * (chanceLate(done, left) - chanceLate(w.done, left))
}

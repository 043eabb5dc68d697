package dispatch

import (
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

// gaps is what the streams on an engine lose by longer pauses if it reads for longer.
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
		sum += weight(l.work.prompt) * lateLoss * gap
	}
	return sum
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
	left := s.spec.Slots - u.streams
	if left > len(takenByOthers) {
		return 0
	}
	ready := s.wait(u) + s.whole
	full := fullCost + s.own(ready+s.slotWait(max(u.streams, s.spec.Slots))) - s.own(ready)
	if left > 0 {
		return full * takenByOthers[left-1]
	}
	return full
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

// takenByOthers is the chance that other entries take the last slot, and the last two, before
// they hear that this one did: at 70 short requests a second and news 8 ms old, 0.4 and 0.1.
var takenByOthers = [...]float64{0.4, 0.1}

// fullCost keeps requests off an engine that would only queue them.
const fullCost = 0.3

// order is what the place in the order costs: short requests are packed to the front,
// unless the engine writes streams already, and long ones go to the back.
func (s *search) order(u *unit) float64 {
	if s.whole >= partedFrom {
		return orderCost * float64(len(s.units)-u.order)
	}
	return orderCost * float64(u.order)
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

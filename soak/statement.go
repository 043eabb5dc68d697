package soak

import (
	"context"
	"slices"
	"time"

	"acaciacleat.example/platform/standin"
)

// processUpstream is a process of an entry with the seal of an upstream's answers.
type processUpstream struct {
	process *process
	seal    string
}

// recordLeaving records that a process has passed on an answer that says that its upstream leaves.
func (l *statementRecord) recordLeaving(p *process, seal string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := processUpstream{p, seal}
	if _, told := l.leavingAt[key]; !told {
		l.leavingAt[key] = at
	}
}

// forgetLeaving drops what earlier incarnations of an upstream have said.
func (l *statementRecord) forgetLeaving(seal string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.leavingAt {
		if key.seal == seal {
			delete(l.leavingAt, key)
		}
	}
}

// senderOf returns who got a request; known is false for a request of no caller.
func (l *statementRecord) senderOf(id string) (s sender, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, known = l.sentTo[id]
	return s, known
}

// toldLeaving returns when a process passed on an answer that says that an upstream leaves.
func (l *statementRecord) toldLeaving(p *process, seal string) (at time.Time, told bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, told = l.leavingAt[processUpstream{p, seal}]
	return at, told
}

// arrivalsSince returns the arrivals at an upstream from a time on.
func arrivalsSince(replica *standin.Replica, from time.Time) []standin.Arrival {
	return slices.DeleteFunc(replica.Arrivals(), func(a standin.Arrival) bool { return a.At.Before(from) })
}

// leaveByAnswer makes an upstream say in its answers only that it is leaving, checks that no entry that has
// passed that on sends to it later than the platform's bound, and starts it again.
func (h *harness) leaveByAnswer(ctx context.Context, replica *standin.Replica, duration time.Duration) {
	began, incarnation, seal := time.Now(), replica.Incarnations(), replica.Seal()
	h.statements.forgetLeaving(seal)
	replica.SayLeaving()
	wait(ctx, duration)
	late := standin.LateSends(arrivalsSince(replica, began), func(id string) (sent, passedOn time.Time, told bool) {
		s, known := h.statements.senderOf(id)
		passedOn, told = h.statements.toldLeaving(s.process, seal)
		undisrupted := h.recorder.undisrupted(s.entry, passedOn, time.Now(), partProcess)
		return s.at, passedOn, known && told && undisrupted
	})
	lock := h.rowLocks[replica]
	lock.Lock()
	defer lock.Unlock()
	if replica.Incarnations() != incarnation {
		return // It has started again meanwhile, so its statement is over.
	}
	if late > 0 {
		h.recorder.addViolation(UsedWhileDraining, "%s got %d requests of entries that had passed on that it leaves", replica.ID, late)
	}
	defer h.recorder.beginDisruption(partUpstreams, allEntries)()
	replica.Restart(time.Now().UnixMilli(), false)
	replica.Register(h.standins.Store, "ready")
}

// askForPause makes an upstream refuse all requests with a pause, and checks that entries keep it. A
// disruption of an entry or of connections to upstreams during a pause excuses it.
func (h *harness) askForPause(ctx context.Context, replica *standin.Replica, duration time.Duration) {
	began, incarnation := time.Now(), replica.Incarnations()
	pause := duration * 2 / 3
	replica.RefuseFor(duration/3, pause)
	wait(ctx, duration)
	refusals := slices.DeleteFunc(replica.Refusals(), func(r standin.Refusal) bool {
		s, known := h.statements.senderOf(r.ID)
		return r.At.Before(began) || !known || !h.recorder.undisrupted(s.entry, r.At, r.At.Add(r.Pause), partProcess, partUpstreams)
	})
	most, tolerated := standin.MostInPause(refusals, arrivalsSince(replica, began), h.processOf)
	if most > tolerated && replica.Incarnations() == incarnation {
		h.recorder.addViolation(PauseIgnored, "%s got %d requests of one entry in a pause of %s", replica.ID, most, pause.Round(time.Millisecond))
	}
}

// processOf returns a number for the process that got a request.
func (h *harness) processOf(id string) (number int, known bool) {
	s, known := h.statements.senderOf(id)
	if !known {
		return 0, false
	}
	return s.process.cmd.Process.Pid, true
}

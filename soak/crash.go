package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"acaciacleat.example/core/result"
	"acaciacleat.example/platform/standin"
)

const (
	// fatalPrefix is the path prefix of requests that crash the engines that run them, fatalSegmentPrefix
	// that of the IDs of segments that crash the engines that answer prompts with them.
	fatalPrefix        = "/ask/fatal-"
	fatalSegmentPrefix = "bad"
	// soundSegment is the ID of a segment that such prompts share with sound ones.
	soundSegment = "50"
	// crashTail is how long such a request repeats after the end of its event: longer than
	// crashNoticeLimit, so that runs after that limit are seen, and shorter than recoveryLimit.
	crashTail = 5 * time.Second
	// crashInterval is the pause between two attempts, engineDowntime how long a crashed engine is
	// down, and rowRemovalDelay the time until its former row is removed.
	crashInterval   = 200 * time.Millisecond
	engineDowntime  = 500 * time.Millisecond
	rowRemovalDelay = 1500 * time.Millisecond
	// crashLimit is the number of engines that the request may crash before entries must recognise
	// it, crashNoticeLimit the time within which they must do so, and maxLateRuns how often it may
	// run after that.
	crashLimit       = 3
	crashNoticeLimit = 3 * time.Second
	maxLateRuns      = 3
	// segmentCrashLimit is crashLimit for a segment. Later than crashNoticeLimit after that, at least half of
	// the sound prompts must not be held back, if there are minSoundPrompts.
	segmentCrashLimit = 5
	minSoundPrompts   = 5
)

// crashCause is what crashes engines: a request, or a segment in requests that are otherwise unlike.
type crashCause struct {
	path string
	// segment is empty for a request.
	segment string
}

func (c crashCause) limit() int {
	if c.segment != "" {
		return segmentCrashLimit
	}
	return crashLimit
}

// isIn reports whether a run is of a request with the cause.
func (c crashCause) isIn(run standin.Run) bool {
	if c.segment != "" {
		return run.HasSegment(c.segment)
	}
	return run.URI == c.path
}

// call returns the i-th request with the cause.
func (c crashCause) call(id string, i int) standin.Call {
	call := standin.Call{ID: id, Path: c.path, Body: "body", PromptTokens: 1000, OutputTokens: maxOutputTokens, TimeLeft: streamDeadline}
	if c.segment != "" {
		call.Path += fmt.Sprint("-", i)
		call.Segments = []string{soundSegment, c.segment}
	}
	return call
}

// isFatal reports whether a run crashes its engine.
func isFatal(run standin.Run) bool {
	return strings.HasPrefix(run.URI, fatalPrefix) ||
		slices.ContainsFunc(run.Segments(), func(id string) bool { return strings.HasPrefix(id, fatalSegmentPrefix) })
}

// soundPrompts counts the prompts that share all segments but the fatal one with others.
type soundPrompts struct {
	mu      sync.Mutex
	answers []soundAnswer
}

// soundAnswer is the answer to a sound prompt.
type soundAnswer struct {
	at       time.Time
	entry    int
	heldBack bool
}

func (s *soundPrompts) record(a soundAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = append(s.answers, a)
}

// sentRequests maps request IDs to the entries that they were sent to.
type sentRequests struct {
	mu      sync.Mutex
	entries map[string]int
}

func (s *sentRequests) record(id string, entry int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[id] = entry
}

// sendCrashingRequests sends requests with one cause that crashes the engines that run them, and checks how often
// they ran and, for a segment, whether sound prompts are held back with them.
func (h *harness) sendCrashingRequests(ctx context.Context, cause crashCause, duration time.Duration) {
	defer h.recorder.beginDisruption(partUpstreams, allEntries)()
	sent := &sentRequests{entries: make(map[string]int)}
	sound := &soundPrompts{}
	ctx, cancel := context.WithTimeout(ctx, duration+crashTail)
	defer cancel()
	var callers sync.WaitGroup
	random := rand.New(rand.NewPCG(h.plan.Seed, uint64(len(cause.path))))
	for i := 0; ctx.Err() == nil; i++ {
		e := h.entries[random.IntN(len(h.entries))]
		id := fmt.Sprintf("fatal-%s-%d", cause.path, i)
		sent.record(id, e.index)
		callers.Go(func() { h.sendCrashingRequest(ctx, e, cause.call(id, i)) })
		if cause.segment != "" {
			callers.Go(func() { h.sendSoundPrompt(ctx, e, "sound-"+id, sound) })
		}
		wait(ctx, crashInterval)
		h.restartCrashed()
	}
	callers.Wait()
	wait(context.WithoutCancel(ctx), engineDowntime)
	h.restartCrashed()
	runs := h.runsOf(cause)
	h.recorder.checkCrashes(cause, runs, sent)
	h.recorder.checkSoundPrompts(cause, runs, sound)
}

// sendCrashingRequest sends a request once. Of the response it checks only that a refusal has
// Retry-After; the upstreams record the runs.
func (h *harness) sendCrashingRequest(ctx context.Context, e *entry, call standin.Call) {
	response := h.sendOnce(ctx, e, call)
	if response == nil {
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // The body is incomplete if an engine crashed.
	if promisesNotRun(response.StatusCode) && response.Header.Get("Retry-After") == "" {
		h.recorder.addViolation(NoRetryAfter, "%s at entry %d: %d without Retry-After", call.ID, e.index, response.StatusCode)
	}
}

// sendSoundPrompt sends a prompt that shares a sound segment with the fatal ones, and records whether it is held
// back.
func (h *harness) sendSoundPrompt(ctx context.Context, e *entry, id string, sound *soundPrompts) {
	sentAt := time.Now()
	response := h.sendOnce(ctx, e, standin.Call{
		ID: id, Path: "/ask/" + id, Body: "body", PromptTokens: 1000, OutputTokens: maxOutputTokens, TimeLeft: streamDeadline,
		Segments: []string{soundSegment},
	})
	if response == nil {
		return
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body) // It is incomplete if the engine crashed.
	sound.record(soundAnswer{at: sentAt, entry: e.index, heldBack: strings.Contains(string(body), heldBackName)})
}

var heldBackName = result.Lookup(result.RequestHeldBack).Name

// sendOnce sends a request over a connection of its own and returns the response, or nil if there is none.
func (h *harness) sendOnce(ctx context.Context, e *entry, call standin.Call) *http.Response {
	request, err := call.Request(e.callerRelay.Addr())
	if err != nil {
		h.recorder.addViolation(NotRecovered, "a request can't be made: %v", err)
		return nil
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: streamDeadline}
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return nil
	}
	return response
}

// restartCrashed restarts under new IDs the engines that have been down for engineDowntime. It skips an
// engine while another event holds the lock of its row.
func (h *harness) restartCrashed() {
	for _, engine := range h.standins.Engines {
		if time.Since(engine.DownSince()) < engineDowntime || !engine.Down() {
			continue
		}
		if lock := h.rowLocks[engine]; lock.TryLock() {
			h.restartEngine(engine)
			lock.Unlock()
		}
	}
}

// restartEngine restarts an engine that is down. The caller holds the lock of the engine's row.
func (h *harness) restartEngine(engine *standin.Replica) {
	if !engine.Down() {
		return
	}
	old := engine.ID
	name, _, _ := strings.Cut(old, "+")
	if err := engine.RestartAs(fmt.Sprintf("%s+%d", name, time.Now().UnixMilli())); err != nil {
		h.recorder.addViolation(NotRecovered, "%s can't be started again: %v", old, err)
		return
	}
	engine.Register(h.standins.Store, "ready")
	time.AfterFunc(rowRemovalDelay, func() { h.standins.Store.Remove("servers", old) })
}

// checkCrashes checks how often requests with a cause ran after all entries must have recognised it. The runs
// are in order of time; those from an entry that was disrupted shortly before do not count.
func (r *recorder) checkCrashes(cause crashCause, runs []standin.Run, sent *sentRequests) {
	limit := cause.limit()
	if len(runs) <= limit {
		return
	}
	noticeDeadline := runs[limit-1].At.Add(crashNoticeLimit)
	sent.mu.Lock()
	defer sent.mu.Unlock()
	late := 0
	for _, run := range runs[limit:] {
		undisrupted := r.undisrupted(sent.entries[run.ID], run.At.Add(-crashNoticeLimit), run.At, partStore, partProcess)
		if run.At.After(noticeDeadline) && undisrupted {
			late++
		}
	}
	if late > maxLateRuns {
		r.addViolation(CrashNotContained, "%s %s ran %d times, %d of them %s after it had ended %d engines",
			cause.path, cause.segment, len(runs), late, crashNoticeLimit, limit)
	}
}

// checkSoundPrompts checks how many sound prompts were held back once the segment that they don't have must have been
// recognised: crashNoticeLimit after the run that reached the limit, or the last one.
func (r *recorder) checkSoundPrompts(cause crashCause, runs []standin.Run, sound *soundPrompts) {
	if len(runs) == 0 {
		return
	}
	noticeDeadline := runs[min(cause.limit(), len(runs))-1].At.Add(crashNoticeLimit)
	sound.mu.Lock()
	defer sound.mu.Unlock()
	sent, heldBack := 0, 0
	for _, a := range sound.answers {
		if !a.at.After(noticeDeadline) || !r.undisrupted(a.entry, a.at.Add(-crashNoticeLimit), a.at, partStore, partProcess) {
			continue
		}
		sent++
		if a.heldBack {
			heldBack++
		}
	}
	if sent >= minSoundPrompts && 2*heldBack > sent {
		r.addViolation(SoundHeldBack, "%d of %d sound prompts were held back with %s", heldBack, sent, cause.segment)
	}
}

// runsOf returns the runs of requests with a cause in order of time.
func (h *harness) runsOf(cause crashCause) []standin.Run {
	var all []standin.Run
	for _, engine := range h.standins.Engines {
		for _, run := range engine.Runs() {
			if cause.isIn(run) {
				all = append(all, run)
			}
		}
	}
	slices.SortFunc(all, func(a, b standin.Run) int { return a.At.Compare(b.At) })
	return all
}

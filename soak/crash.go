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

	"acaciacleat.example/platform/standin"
)

const (
	// fatalPrefix is the path prefix of requests that crash the engines that run them.
	fatalPrefix = "/ask/fatal-"
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
)

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

// sendCrashingRequests repeats a request that crashes the engines that run it, and checks how often
// it ran.
func (h *harness) sendCrashingRequests(ctx context.Context, path string, duration time.Duration) {
	defer h.recorder.beginDisruption(partUpstreams, allEntries)()
	sent := &sentRequests{entries: make(map[string]int)}
	ctx, cancel := context.WithTimeout(ctx, duration+crashTail)
	defer cancel()
	var callers sync.WaitGroup
	random := rand.New(rand.NewPCG(h.plan.Seed, uint64(len(path))))
	for i := 0; ctx.Err() == nil; i++ {
		e := h.entries[random.IntN(len(h.entries))]
		id := fmt.Sprintf("fatal-%s-%d", path, i)
		sent.record(id, e.index)
		callers.Go(func() { h.sendCrashingRequest(ctx, e, id, path) })
		wait(ctx, crashInterval)
		h.restartCrashed()
	}
	callers.Wait()
	wait(context.WithoutCancel(ctx), engineDowntime)
	h.restartCrashed()
	h.recorder.checkCrashes(path, h.runsOf(path), sent)
}

// sendCrashingRequest sends the request once. Of the response it checks only that a refusal has
// Retry-After; the upstreams record the runs.
func (h *harness) sendCrashingRequest(ctx context.Context, e *entry, id, path string) {
	call := standin.Call{ID: id, Path: path, Body: "body", PromptTokens: 1000, OutputTokens: maxOutputTokens, TimeLeft: streamDeadline}
	request, err := call.Request(e.callerRelay.Addr())
	if err != nil {
		h.recorder.addViolation(NotRecovered, "a request can't be made: %v", err)
		return
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: streamDeadline}
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // The body is incomplete if an engine crashed.
	if promisesNotRun(response.StatusCode) && response.Header.Get("Retry-After") == "" {
		h.recorder.addViolation(NoRetryAfter, "%s at entry %d: %d without Retry-After", id, e.index, response.StatusCode)
	}
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

// checkCrashes checks how often a request ran after all entries must have recognised it. The runs
// are in order of time; those from an entry that was disrupted shortly before do not count.
func (r *recorder) checkCrashes(path string, runs []standin.Run, sent *sentRequests) {
	if len(runs) <= crashLimit {
		return
	}
	noticeDeadline := runs[crashLimit-1].At.Add(crashNoticeLimit)
	sent.mu.Lock()
	defer sent.mu.Unlock()
	late := 0
	for _, run := range runs[crashLimit:] {
		undisrupted := r.undisrupted(sent.entries[run.ID], run.At.Add(-crashNoticeLimit), run.At, partStore, partProcess)
		if run.At.After(noticeDeadline) && undisrupted {
			late++
		}
	}
	if late > maxLateRuns {
		r.addViolation(CrashNotContained, "%s ran %d times, %d of them %s after it had ended %d engines", path, len(runs), late, crashNoticeLimit, crashLimit)
	}
}

// runsOf returns the runs of a path in order of time.
func (h *harness) runsOf(path string) []standin.Run {
	var all []standin.Run
	for _, engine := range h.standins.Engines {
		for _, run := range engine.Runs() {
			if run.URI == path {
				all = append(all, run)
			}
		}
	}
	slices.SortFunc(all, func(a, b standin.Run) int { return a.At.Compare(b.At) })
	return all
}

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
	// fatalPrefix begins the paths of requests that end the engines that run them.
	fatalPrefix = "/ask/fatal-"
	// crashTail is how much longer than its event such a request comes again: well beyond the time
	// in which entries must know it, and within the time that everything has to recover.
	crashTail = 5 * time.Second
	// crashEvery is the pause between two of its arrivals, downFor how long an engine is away, and
	// lapsesAfter the time until its earlier row is removed.
	crashEvery  = 200 * time.Millisecond
	downFor     = 500 * time.Millisecond
	lapsesAfter = 1500 * time.Millisecond
	// crashesKnown is the number of engines that it may end before it counts as known, knownAfter
	// the time in which all entries must know it then, and strayRuns how often it may run later.
	crashesKnown = 3
	knownAfter   = 3 * time.Second
	strayRuns    = 3
)

// arrivals tells which entry a request was sent to, by the request's id.
type arrivals struct {
	mu sync.Mutex
	at map[string]int
}

func (a *arrivals) note(id string, entry int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at[id] = entry
}

// crashing lets one request come again and again that ends the engines that run it, and judges
// how many it has reached.
func (w *world) crashing(ctx context.Context, path string, lasts time.Duration) {
	defer w.book.disturb(hopUpstreams, everyEntry)()
	sent := &arrivals{at: make(map[string]int)}
	ctx, cancel := context.WithTimeout(ctx, lasts+crashTail)
	defer cancel()
	var callers sync.WaitGroup
	random := rand.New(rand.NewPCG(w.plan.Seed, uint64(len(path))))
	for i := 0; ctx.Err() == nil; i++ {
		e := w.entries[random.IntN(len(w.entries))]
		id := fmt.Sprintf("fatal-%s-%d", path, i)
		sent.note(id, e.index)
		callers.Go(func() { w.ask(ctx, e, id, path) })
		wait(ctx, crashEvery)
		w.revive()
	}
	callers.Wait()
	wait(context.WithoutCancel(ctx), downFor)
	w.revive()
	w.book.judgeCrashes(path, w.runsOf(path), sent)
}

// ask sends the request once. Whatever comes of it, upstreams tell what ran.
func (w *world) ask(ctx context.Context, e *entry, id, path string) {
	call := standin.Call{ID: id, Path: path, Body: "body", PromptTokens: 1000, OutputTokens: answerTokens, TimeLeft: callersTime}
	request, err := call.Request(e.callers.Addr())
	if err != nil {
		w.book.broken(Unwell, "a request can't be made: %v", err)
		return
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callersTime}
	got, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return
	}
	defer got.Body.Close()
	_, _ = io.Copy(io.Discard, got.Body) // It breaks off where an engine ended.
	if promisesNotRun(got.StatusCode) && got.Header.Get("Retry-After") == "" {
		w.book.broken(Unadvised, "%s at entry %d: %d without Retry-After", id, e.index, got.StatusCode)
	}
}

// revive starts the engines again that have ended, under new ids.
func (w *world) revive() {
	for _, engine := range w.standins.Engines {
		if time.Since(engine.DownSince()) < downFor || !engine.Down() {
			continue
		}
		if turn := w.rows[engine]; turn.TryLock() {
			w.reviveOne(engine)
			turn.Unlock()
		}
	}
}

// reviveOne is called with the lock of the engine's row held.
func (w *world) reviveOne(engine *standin.Replica) {
	if !engine.Down() {
		return
	}
	old := engine.ID
	name, _, _ := strings.Cut(old, "+")
	if err := engine.RestartAs(fmt.Sprintf("%s+%d", name, time.Now().UnixMilli())); err != nil {
		w.book.broken(Unwell, "%s can't be started again: %v", old, err)
		return
	}
	engine.Register(w.standins.Store, "ready")
	time.AfterFunc(lapsesAfter, func() { w.standins.Store.Remove("servers", old) })
}

// judgeCrashes judges how often a request ran once all entries must have known it; runs are in the
// order of their times. A send of an entry that something struck shortly before doesn't count.
func (b *book) judgeCrashes(path string, runs []standin.Run, sent *arrivals) {
	if len(runs) <= crashesKnown {
		return
	}
	known := runs[crashesKnown-1].At.Add(knownAfter)
	sent.mu.Lock()
	defer sent.mu.Unlock()
	stray := 0
	for _, run := range runs[crashesKnown:] {
		calm := b.calm(sent.at[run.ID], run.At.Add(-knownAfter), run.At, hopStore, hopProcess)
		if run.At.After(known) && calm {
			stray++
		}
	}
	if stray > strayRuns {
		b.broken(Crashing, "%s ran %d times, %d of them %s after it had ended %d engines", path, len(runs), stray, knownAfter, crashesKnown)
	}
}

// runsOf returns the runs of a path in the order of their times.
func (w *world) runsOf(path string) []standin.Run {
	var all []standin.Run
	for _, engine := range w.standins.Engines {
		for _, run := range engine.Runs() {
			if run.URI == path {
				all = append(all, run)
			}
		}
	}
	slices.SortFunc(all, func(a, b standin.Run) int { return a.At.Compare(b.At) })
	return all
}

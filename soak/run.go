package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Report is what a run found.
type Report struct {
	Seed       uint64         `json:"seed"`
	Events     int            `json:"events"`
	Outcomes   map[string]int `json:"outcomes"`
	Violations []Violation    `json:"violations"`
}

// Write prints the report.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %d events;", r.Seed, r.Events)
	for _, name := range slices.Sorted(maps.Keys(r.Outcomes)) {
		fmt.Fprintf(w, " %s: %d", name, r.Outcomes[name])
	}
	fmt.Fprintf(w, "; %d violations\n", len(r.Violations))
	for _, v := range r.Violations {
		fmt.Fprintf(w, "  %d ms %s: %s\n", v.AtMs, v.Check, v.Detail)
	}
}

// The names of what a run writes into its folder, beside each entry's settings and log.
const (
	PlanFile   = "plan.json"
	reportFile = "report.json"
)

// Run plays a plan with gateways of the given program, and writes the plan, the entries'
// logs and the report into dir. An error means that the run could not be made; broken
// promises are in the report.
func Run(ctx context.Context, plan *Plan, program, dir string) (*Report, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "make the run's folder")
	}
	if err := plan.write(filepath.Join(dir, PlanFile)); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, err := newWorld(ctx, plan, program, dir)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, err
	}
	w.play(ctx)
	report := &Report{Seed: plan.Seed, Events: len(plan.Events), Outcomes: w.book.outcomes, Violations: w.book.violations}
	return report, report.keep(filepath.Join(dir, reportFile))
}

func (r *Report) keep(file string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return errors.Wrap(err, "encode the report")
	}
	return errors.Wrap(os.WriteFile(file, data, 0o644), "write the report")
}

// judgeEvery is how often upstreams' runs are compared with what was promised.
const judgeEvery = time.Second

// play runs the callers, the events and the checks.
func (w *world) play(ctx context.Context) {
	lasts := time.Duration(w.plan.LastsMs) * time.Millisecond
	traffic, stopTraffic := context.WithTimeout(ctx, lasts)
	defer stopTraffic()
	w.book.begin = time.Now()
	var callers, strikes sync.WaitGroup
	for i := range w.plan.Callers {
		c := &caller{world: w, number: i, random: rand.New(rand.NewPCG(w.plan.Seed, uint64(i)+1))}
		callers.Go(func() { c.run(traffic) })
	}
	go w.judgeRunning(traffic)
	for _, event := range w.plan.Events {
		strikes.Go(func() {
			wait(traffic, time.Until(w.book.begin.Add(time.Duration(event.AtMs)*time.Millisecond)))
			w.strike(ctx, event)
		})
	}
	strikes.Wait()
	w.book.settle(recovery)
	callers.Wait()
	w.finish(ctx)
}

// settle tells from when everything must work: some time from now on.
func (b *book) settle(after time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.quietFrom = time.Now().Add(after)
}

func (w *world) judgeRunning(ctx context.Context) {
	ticker := time.NewTicker(judgeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.book.judgeRuns(w.runs())
		}
	}
}

// finish makes the checks that need the traffic's end, and stops all entries.
func (w *world) finish(ctx context.Context) {
	w.judgeConfiguration()
	w.judgeHeld(ctx)
	var stops sync.WaitGroup
	for _, e := range w.entries {
		stops.Go(func() {
			e.turn.Lock()
			defer e.turn.Unlock()
			w.stop(e)
		})
	}
	stops.Wait()
	w.book.judgeRuns(w.runs())
	w.judgeLogs()
}

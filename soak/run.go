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

// Report is the result of a run.
type Report struct {
	Seed       uint64         `json:"seed"`
	Events     int            `json:"events"`
	Outcomes   map[string]int `json:"outcomes"`
	Violations []Violation    `json:"violations"`
	// LimitShare is the worst window of an upstream that named a rate limit, as a share of the bound.
	LimitShare float64 `json:"limitShare"`
	// ColdShare is the worst second of a cold upstream, as a share of the platform's bound.
	ColdShare float64 `json:"coldShare"`
	// Judged counts what the judge of refusals looked at.
	Judged JudgedAnswers `json:"judged"`
	// LaggingReads is the number of whole reads that the store answered with rows of seconds ago.
	LaggingReads int `json:"laggingReads"`
	// Standstills are the periods in which the command's own process did not run.
	Standstills []Standstill `json:"standstills,omitempty"`
}

// Write prints the report.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %d events;", r.Seed, r.Events)
	for _, name := range slices.Sorted(maps.Keys(r.Outcomes)) {
		fmt.Fprintf(w, " %s: %d", name, r.Outcomes[name])
	}
	fmt.Fprintf(w, "; worst window of a limit %.2f of the bound; %d violations\n", r.LimitShare, len(r.Violations))
	if r.Judged.Answers > 0 {
		fmt.Fprintf(w, "  judged by the versions in force: %d answers, %d of them refusals, %d of these by entries in touch; %d reads of the store lagged\n", r.Judged.Answers, r.Judged.Refusals, r.Judged.RefusalsInTouch, r.LaggingReads)
	}
	for _, s := range r.Standstills {
		fmt.Fprintf(w, "  %d ms stood still: this process did not run for %d ms\n", s.AtMs, s.ForMs)
	}
	for _, v := range r.Violations {
		fmt.Fprintf(w, "  %d ms %s: %s\n", v.AtMs, v.Check, v.Detail)
	}
}

// Names of the files that a run writes into its directory, besides each entry's settings and log.
const (
	PlanFile   = "plan.json"
	reportFile = "report.json"
)

// Run executes a plan with gateway processes of the given program, and writes the plan, the
// entries' logs and the report into dir. An error means that the run was not possible; violations
// are in the report.
func Run(ctx context.Context, plan *Plan, program, dir string) (*Report, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "make the run's folder")
	}
	if err := plan.write(filepath.Join(dir, PlanFile)); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h, err := newHarness(ctx, plan, program, dir)
	if h != nil {
		defer h.close()
	}
	if err != nil {
		return nil, err
	}
	h.execute(ctx)
	report := &Report{Seed: plan.Seed, Events: len(plan.Events), Outcomes: h.recorder.outcomes, Violations: h.recorder.violations, LimitShare: h.recorder.limitShare, ColdShare: h.recorder.coldShare, Judged: h.refusals.judged, LaggingReads: h.standins.Store.LaggingReads(),
		Standstills: h.recorder.allStandstills()}
	return report, report.save(filepath.Join(dir, reportFile))
}

func (r *Report) save(file string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return errors.Wrap(err, "encode the report")
	}
	return errors.Wrap(os.WriteFile(file, data, 0o644), "write the report")
}

// checkInterval is the interval between the checks of the runs at upstreams, see checkRuns.
const checkInterval = time.Second

// execute runs the callers, the events and the checks.
func (h *harness) execute(ctx context.Context) {
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	h.recorder.startedAt = time.Now()
	planned := h.recorder.startedAt.Add(time.Duration(h.plan.LastsMs) * time.Millisecond)
	var callers, events sync.WaitGroup
	for i := range h.plan.Callers {
		c := &caller{harness: h, number: i, random: rand.New(rand.NewPCG(h.plan.Seed, uint64(i)+1))}
		callers.Go(func() { c.run(traffic) })
	}
	for i := range h.plan.AccessCallers {
		c := newAccessCaller(h, i)
		callers.Go(func() { c.run(traffic) })
	}
	go h.recorder.watchStandstills(traffic)
	go h.checkRunsPeriodically(traffic)
	for _, event := range h.plan.Events {
		events.Go(func() {
			wait(traffic, time.Until(h.recorder.startedAt.Add(time.Duration(event.AtMs)*time.Millisecond)))
			h.apply(ctx, event)
		})
	}
	events.Wait()
	h.recorder.requireSuccessAfter(recoveryLimit)
	wait(ctx, time.Until(trafficEnd(planned, time.Now())))
	stopTraffic()
	callers.Wait()
	h.runFinalChecks(ctx)
}

// trafficEnd returns when the traffic ends: as planned, or later if the last event ended so late that no
// quiet period would be left after the recovery.
func trafficEnd(planned, eventsEnded time.Time) time.Time {
	if least := eventsEnded.Add(recoveryLimit + quietPeriod); least.After(planned) {
		return least
	}
	return planned
}

// requireSuccessAfter sets the time from which every request must succeed: delay from now.
func (r *recorder) requireSuccessAfter(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.successFrom = time.Now().Add(delay)
}

func (h *harness) checkRunsPeriodically(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.recorder.checkRuns(h.runsByURI())
		}
	}
}

// runFinalChecks runs the checks that need the end of the traffic, and stops all entries.
func (h *harness) runFinalChecks(ctx context.Context) {
	h.checkConfiguration()
	h.refusals.addRuns(h.standins.Replicas())
	h.refusals.judge(h.recorder)
	h.checkReleased(ctx)
	var stops sync.WaitGroup
	for _, e := range h.entries {
		stops.Go(func() {
			e.restartMu.Lock()
			defer e.restartMu.Unlock()
			h.stop(e)
		})
	}
	stops.Wait()
	h.recorder.checkRuns(h.runsByURI())
	h.checkLogs()
}

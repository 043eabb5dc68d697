package trial

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/entry/dev"
	"acaciacleat.example/entry/load"
	"acaciacleat.example/entry/load/mix"
	"acaciacleat.example/entry/load/report"
	"acaciacleat.example/entry/load/schedule"
	"github.com/rs/zerolog"
)

// Plan describes a load run, which may be repeated with several policies and seeds.
type Plan struct {
	Mix *mix.Mix
	// Load is the offered load as in mix.Mix; it only appears in the report.
	Load float64
	// Rate is the arrival rate in requests per second, calls of plain services included.
	Rate float64
	// Duration is the time during which requests arrive, Warmup its initial part that the report
	// excludes.
	Duration time.Duration
	Warmup   time.Duration
	// MaxRequests bounds the number of requests.
	MaxRequests int
	// CompareAlone adds a pass before the pass with all requests, with only the generations of the
	// class call.Short and the calls of plain services.
	CompareAlone bool
	// Client configures how requests are sent. Its Targets, Mix and KeyPrefix are overwritten.
	Client load.Config
	// OnPassStart, if not nil, is called before the requests of each pass are sent.
	OnPassStart func(label string, requests int)
	// OnReport, if not nil, receives each report as soon as it is complete.
	OnReport func(*report.Report)
}

// Deployments configures the deployments that Compare runs.
type Deployments struct {
	Shape Shape
	// Speed is the factor by which the stand-in engines are faster than their default.
	Speed    float64
	Policies []string
	// Seeds are the seeds of the runs; every policy runs with each of them.
	Seeds []uint64
	Log   zerolog.Logger
}

// Compare runs the plan with each policy and seed. Each pass runs on a new deployment, so that it
// starts with cold caches. All policies run with one seed before the next, so that changes in the
// machine's speed affect all policies alike. When ctx ends, Compare returns the reports so far.
func Compare(ctx context.Context, plan Plan, deployments Deployments) ([]*report.Report, error) {
	var reports []*report.Report
	for _, seed := range deployments.Seeds {
		for _, policy := range deployments.Policies {
			if ctx.Err() != nil {
				return reports, nil
			}
			r, err := plan.run(ctx, policy, seed, deployments.Speed, &deploymentTarget{deployments: deployments, plan: &plan, policy: policy})
			if err != nil {
				return reports, err
			}
			reports = append(reports, r)
		}
	}
	return reports, nil
}

// RunOnTargets runs the plan once against entries that are already running.
func RunOnTargets(ctx context.Context, plan Plan, label string, seed uint64, targets []string) (*report.Report, error) {
	return plan.run(ctx, label, seed, 1, fixedTargets(targets))
}

// target provides the entries for each pass.
type target interface {
	// start returns the entries' base URLs, and a function that stops what was started for the
	// pass.
	start() (urls []string, stop func(), err error)
	// describe returns a description of the deployment for the report.
	describe() string
}

type fixedTargets []string

func (f fixedTargets) describe() string { return strings.Join(f, ", ") }

func (f fixedTargets) start() ([]string, func(), error) { return f, func() {}, nil }

// deploymentTarget starts a new deployment for each pass.
type deploymentTarget struct {
	deployments Deployments
	plan        *Plan
	policy      string
}

func (t *deploymentTarget) describe() string {
	shape := t.deployments.Shape
	return fmt.Sprintf("%d engines, %d plain services, %d entries, %d availability zones, objective %s",
		shape.Engines, shape.Plains, shape.Entries, len(shape.Zones), shape.Objective)
}

func (t *deploymentTarget) start() ([]string, func(), error) {
	shape := t.deployments.Shape
	config := dev.DefaultConfig()
	config.Listen = "127.0.0.1:0"
	config.OperatorListen = "127.0.0.1:0"
	config.Engines = shape.Engines
	config.Plains = shape.Plains
	config.Entries = shape.Entries
	config.Zones = shape.Zones
	config.Objective = shape.Objective
	config.Policy = t.policy
	config.Engine = EngineConfig(t.deployments.Speed)
	config.Organisations = t.plan.Mix.DocumentOrganisations()
	config.Log = t.deployments.Log
	d, err := dev.Start(config)
	if err != nil {
		return nil, nil, err
	}
	var urls []string
	for _, e := range d.Entries {
		urls = append(urls, "http://"+e.Addr())
	}
	stop := func() {
		d.Stop()
		// Keeps this pass's garbage from affecting the latencies of the next.
		runtime.GC()
	}
	return urls, stop, nil
}

// run generates the schedule and sends it. If CompareAlone is set, it first sends only the
// generations of the class call.Short and the calls of plain services.
func (p *Plan) run(ctx context.Context, label string, seed uint64, speed float64, t target) (*report.Report, error) {
	requests := schedule.New(p.Mix, schedule.Settings{
		Seed:        seed,
		Rate:        p.Rate,
		Duration:    p.Duration,
		MaxRequests: p.MaxRequests,
		Speed:       speed,
	})
	run := report.Run{
		Label:         label,
		Deployment:    t.describe(),
		Seed:          seed,
		Load:          p.Load,
		Rate:          p.Rate,
		Speed:         speed,
		Warmup:        p.Warmup,
		Duration:      p.arrivalPeriod(requests),
		Organisations: p.Mix.Organisations,
	}
	var alone []load.Result
	if p.CompareAlone {
		run.Label = label + ", short alone"
		var err error
		if alone, err = p.runPass(ctx, run.Label, seed, schedule.Filter(requests, isShortOrPlain), t); err != nil {
			return nil, err
		}
		if ctx.Err() != nil {
			return p.report(ctx, run, alone, nil), nil
		}
		run.Label = label
	}
	results, err := p.runPass(ctx, label, seed, requests, t)
	if err != nil {
		return nil, err
	}
	return p.report(ctx, run, results, alone), nil
}

// report builds the report of a pass and passes it to OnReport. alone holds the results of the pass
// that CompareAlone adds; nil if the report has no slowdown.
func (p *Plan) report(ctx context.Context, run report.Run, results, alone []load.Result) *report.Report {
	run.Interrupted = ctx.Err() != nil
	r := report.New(run, results)
	r.Slowdown = report.Compare(alone, results, p.Warmup)
	if p.OnReport != nil {
		p.OnReport(r)
	}
	return r
}

// arrivalPeriod returns the time during which requests arrive, which is shorter than Duration if
// MaxRequests truncated the schedule.
func (p *Plan) arrivalPeriod(requests []schedule.Request) time.Duration {
	if n := len(requests); n > 0 && n == p.MaxRequests {
		return requests[n-1].At
	}
	return p.Duration
}

// isShortOrPlain reports whether a request belongs to the pass that CompareAlone adds.
func isShortOrPlain(r *schedule.Request) bool { return r.Call != nil || r.Class() == call.Short }

func (p *Plan) runPass(ctx context.Context, label string, seed uint64, requests []schedule.Request, t target) ([]load.Result, error) {
	urls, stop, err := t.start()
	if err != nil {
		return nil, err
	}
	defer stop()
	if p.OnPassStart != nil {
		p.OnPassStart(label, len(requests))
	}
	config := p.Client
	config.Targets = urls
	config.Mix = p.Mix
	config.KeyPrefix = fmt.Sprintf("load-%d-%d", seed, time.Now().UnixNano())
	return load.Run(ctx, config, requests), nil
}

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

// Plan is one run, or one run after another.
type Plan struct {
	Mix *mix.Mix
	// Load is as in mix.Mix; Rate, in requests per second, goes before it if not 0.
	Load        float64
	Rate        float64
	Duration    time.Duration
	Warmup      time.Duration
	MaxRequests int
	// CompareAlone also runs the short requests alone, before all of them.
	CompareAlone bool
	// Client is how requests are sent. Its Targets, Mix and KeyPrefix are filled in.
	Client load.Config
	// Begin tells that the requests of one pass are about to be sent; nil for nobody.
	Begin func(label string, requests int)
	// Done receives each report as soon as there is one; nil for nobody.
	Done func(*report.Report)
}

// Deployments are what Compare runs in turn.
type Deployments struct {
	Shape    Shape
	Speed    float64
	Policies []string
	// Seeds are the seeds of the runs, each run by every policy.
	Seeds []uint64
	Log   zerolog.Logger
}

// Compare runs the plan with each policy and seed, each pass on a new deployment so that
// no pass finds the caches of another. All policies run with one seed before the next
// seed begins, so that a change of the machine's speed meets them all. It returns the
// reports so far when ctx ends.
func Compare(ctx context.Context, plan Plan, deployments Deployments) ([]*report.Report, error) {
	var reports []*report.Report
	for _, seed := range deployments.Seeds {
		for _, policy := range deployments.Policies {
			if ctx.Err() != nil {
				return reports, nil
			}
			r, err := plan.run(ctx, policy, seed, deployments.Speed, &starter{deployments: deployments, plan: &plan, policy: policy})
			if err != nil {
				return reports, err
			}
			reports = append(reports, r)
		}
	}
	return reports, nil
}

// Drive runs the plan once against entries that run already.
func Drive(ctx context.Context, plan Plan, label string, seed uint64, targets []string) (*report.Report, error) {
	return plan.run(ctx, label, seed, 1, fixedTargets(targets))
}

// target gives each pass the entries to call.
type target interface {
	// start returns base URLs, and how to end what was started for the pass.
	start() (urls []string, stop func(), err error)
	// describe says what is started, for the report.
	describe() string
}

type fixedTargets []string

func (f fixedTargets) describe() string { return strings.Join(f, ", ") }

func (f fixedTargets) start() ([]string, func(), error) { return f, func() {}, nil }

// starter runs a deployment for each pass.
type starter struct {
	deployments Deployments
	plan        *Plan
	policy      string
}

func (s *starter) describe() string {
	shape := s.deployments.Shape
	return fmt.Sprintf("%d engines, %d plain services, %d entries, %d availability zones, objective %s",
		shape.Engines, shape.Plains, shape.Entries, len(shape.Zones), shape.Objective)
}

func (s *starter) start() ([]string, func(), error) {
	shape := s.deployments.Shape
	config := dev.DefaultConfig()
	config.Listen = "127.0.0.1:0"
	config.OperatorListen = "127.0.0.1:0"
	config.Engines = shape.Engines
	config.Plains = shape.Plains
	config.Entries = shape.Entries
	config.Zones = shape.Zones
	config.Objective = shape.Objective
	config.Policy = s.policy
	config.Engine = Engine(s.deployments.Speed)
	config.Organisations = s.plan.Mix.Callers()
	config.Log = s.deployments.Log
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
		// The next pass should not pay for this one's garbage.
		runtime.GC()
	}
	return urls, stop, nil
}

// run makes the schedule and sends it, the short requests alone before it if wanted.
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
		Duration:      p.arrivals(requests),
		Organisations: p.Mix.Organisations,
	}
	var alone []load.Result
	if p.CompareAlone {
		run.Label = label + ", short alone"
		var err error
		if alone, err = p.pass(ctx, run.Label, seed, schedule.Only(requests, short), t); err != nil {
			return nil, err
		}
		if ctx.Err() != nil {
			return p.report(ctx, run, alone, nil), nil
		}
		run.Label = label
	}
	results, err := p.pass(ctx, label, seed, requests, t)
	if err != nil {
		return nil, err
	}
	return p.report(ctx, run, results, alone), nil
}

// report sums up the last pass; alone may be nil.
func (p *Plan) report(ctx context.Context, run report.Run, results, alone []load.Result) *report.Report {
	run.Interrupted = ctx.Err() != nil
	r := report.New(run, results)
	r.Slowdown = report.Compare(alone, results, p.Warmup)
	if p.Done != nil {
		p.Done(r)
	}
	return r
}

// arrivals is the time in which the requests arrive: shorter than Duration where
// MaxRequests cut the schedule off.
func (p *Plan) arrivals(requests []schedule.Request) time.Duration {
	if n := len(requests); n > 0 && n == p.MaxRequests {
		return requests[n-1].At
	}
	return p.Duration
}

// short keeps what runs in the pass without long requests: plain calls too.
func short(r *schedule.Request) bool { return r.Call != nil || r.Class() == call.Short }

func (p *Plan) pass(ctx context.Context, label string, seed uint64, requests []schedule.Request, t target) ([]load.Result, error) {
	urls, stop, err := t.start()
	if err != nil {
		return nil, err
	}
	defer stop()
	if p.Begin != nil {
		p.Begin(label, len(requests))
	}
	config := p.Client
	config.Targets = urls
	config.Mix = p.Mix
	config.KeyPrefix = fmt.Sprintf("load-%d-%d", seed, time.Now().UnixNano())
	return load.Run(ctx, config, requests), nil
}

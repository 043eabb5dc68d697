package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/entry/load"
	"acaciacleat.example/entry/load/mix"
	"acaciacleat.example/entry/load/report"
	"acaciacleat.example/entry/load/trial"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"
)

// loadCommand sends load to entries and reports their answers.
type loadCommand struct {
	*environment
	Mix         string        `long:"mix" required:"true" description:"JSON file that says which requests are sent"`
	Targets     []string      `long:"target" description:"base URL of an entry; repeat it for several"`
	Key         string        `long:"key" description:"bearer key for all requests instead of the mix's keys"`
	Seed        uint64        `long:"seed" default:"1" description:"seed of the first run; the next runs count up"`
	Load        float64       `long:"load" description:"offered load as a share of the engines' capacity, instead of the mix's (with --dev)"`
	Rate        float64       `long:"rate" description:"requests per second, instead of a load"`
	Duration    time.Duration `long:"duration" description:"time in which requests arrive, instead of the mix's"`
	Warmup      time.Duration `long:"warmup" default:"-1s" default-mask:"the mix's" description:"time at the beginning that is not reported"`
	MaxRequests int           `long:"max-requests" default:"1000000" description:"most requests of one run"`
	MaxInFlight int           `long:"max-in-flight" default:"4096" description:"most requests that wait for an answer at once; one beyond it fails unsent"`
	Timeout     time.Duration `long:"timeout" default:"10m" description:"longest wait for a request that the mix gives no deadline"`
	Compare     bool          `long:"compare-alone" description:"run the short requests alone first and report by how much the others slow them"`
	Label       string        `long:"label" default:"load" description:"name of the run in reports, without --dev"`
	JSON        string        `long:"json" description:"file for the reports as JSON"`
	Plot        string        `long:"plot" description:"PNG file for a chart of times to first token"`
	Against     []string      `long:"against" description:"JSON reports to draw in the chart too; repeat it for several"`

	Dev devLoadOptions `group:"Deployments of its own"`
}

// devLoadOptions configure deployments that run in the same process.
type devLoadOptions struct {
	Dev       bool    `long:"dev" description:"run stand-ins, agents and entries in this process instead of calling targets"`
	Shape     string  `long:"shape" default:"faixa-verde" description:"deployment's size" choice:"faixa-verde" choice:"omuti"`
	Engines   int     `long:"engines" description:"number of engines instead of the shape's"`
	Plains    int     `long:"plains" description:"number of plain services instead of the shape's"`
	Entries   int     `long:"entries" description:"number of entries instead of the shape's"`
	Zones     string  `long:"zones" description:"availability zones instead of the shape's, with commas"`
	Objective string  `long:"objective" description:"objective instead of the shape's" choice:"time-to-first-token" choice:"short-slowdown"`
	Policy    string  `long:"policy" default:"combined" description:"policy, as in dev"`
	Policies  string  `long:"policies" description:"policies that are run in turn, with commas"`
	Runs      int     `long:"runs" default:"1" description:"runs of each policy, each with a seed of its own"`
	Speed     float64 `long:"speed" default:"1" description:"how many times faster than usual the engines are; deadlines shrink as much"`
}

// policies are the valid values of --policy and --policies.
var policies = []string{"naive", "least-loaded", "power-of-two", "prefix-only", "combined"}

const (
	// timeoutGrace is how long after its deadline a request may still end without being cancelled.
	timeoutGrace = 5 * time.Second
	// drainTimeout bounds the wait for requests in flight after an interrupt.
	drainTimeout = 10 * time.Second
)

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	m, err := c.readMix()
	if err != nil {
		return err
	}
	plan := c.plan(m)
	if plan.Warmup >= plan.Duration {
		return usageError("the warm-up of %v must be shorter than the duration of %v", plan.Warmup, plan.Duration)
	}
	if err := c.checkOutputs(); err != nil {
		return err
	}
	ctx, stop := newInterruptContext()
	defer stop()
	reports, err := c.run(ctx, plan)
	// Reports of runs that ended before a failure are still written.
	if outputErr := c.writeOutputs(reports); err == nil {
		err = outputErr
	}
	return err
}

// newInterruptContext returns a context that the first interrupt cancels; the second one kills the
// process.
func newInterruptContext() (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	context.AfterFunc(ctx, stop)
	return ctx, stop
}

func (c *loadCommand) readMix() (*mix.Mix, error) {
	data, err := os.ReadFile(c.Mix)
	if err != nil {
		return nil, errors.Wrap(err, "--mix")
	}
	m, faults := mix.Parse(data)
	if m == nil {
		return nil, mix.FaultsError(c.Mix, faults)
	}
	if c.Key != "" {
		m.UseSingleKey(c.Key)
	}
	return m, nil
}

func (c *loadCommand) run(ctx context.Context, plan trial.Plan) ([]*report.Report, error) {
	if c.Dev.Dev {
		return c.runDeployments(ctx, plan)
	}
	if len(c.Targets) == 0 || c.Rate <= 0 {
		return nil, usageError("give --target and --rate, or --dev: the capacity that a load is a share of is known of --dev's engines only")
	}
	plan.Load = 0
	r, err := trial.RunOnTargets(ctx, plan, c.Label, c.Seed, c.Targets)
	if err != nil {
		return nil, err
	}
	return []*report.Report{r}, nil
}

func (c *loadCommand) plan(m *mix.Mix) trial.Plan {
	plan := trial.Plan{
		Mix:          m,
		Load:         m.Load,
		Rate:         c.Rate,
		Duration:     m.Duration(),
		Warmup:       m.Warmup(),
		MaxRequests:  c.MaxRequests,
		CompareAlone: c.Compare,
		Client: load.Config{
			MaxInFlight:    c.MaxInFlight,
			DefaultTimeout: c.Timeout,
			GracePeriod:    timeoutGrace,
			DrainTimeout:   drainTimeout,
		},
		OnReport: func(r *report.Report) {
			_ = r.Print(c.stdout)
			fmt.Fprintln(c.stdout)
		},
	}
	if c.Load > 0 {
		plan.Load = c.Load
	}
	if c.Duration > 0 {
		plan.Duration = c.Duration
	}
	if c.Warmup >= 0 {
		plan.Warmup = c.Warmup
	}
	c.configureProgress(&plan)
	return plan
}

// configureProgress sets plan to draw a progress bar for each pass if standard error is a terminal,
// and to print a line for each pass otherwise.
func (c *loadCommand) configureProgress(plan *trial.Plan) {
	file, ok := c.stderr.(*os.File)
	if !ok || !term.IsTerminal(int(file.Fd())) {
		plan.OnPassStart = func(label string, requests int) { fmt.Fprintf(c.stderr, "%s: %d requests\n", label, requests) }
		return
	}
	var bar *progressbar.ProgressBar
	plan.OnPassStart = func(label string, requests int) { bar = newBar(c.stderr, label, requests) }
	plan.Client.OnProgress = func(ended int) { _ = bar.Set(ended) }
}

// barThrottle is the minimum time between two updates of a progress bar.
const barThrottle = 100 * time.Millisecond

func newBar(w io.Writer, label string, requests int) *progressbar.ProgressBar {
	return progressbar.NewOptions(requests,
		progressbar.OptionSetWriter(w),
		progressbar.OptionSetDescription(label),
		progressbar.OptionShowCount(),
		progressbar.OptionThrottle(barThrottle),
		progressbar.OptionClearOnFinish())
}

func (c *loadCommand) runDeployments(ctx context.Context, plan trial.Plan) ([]*report.Report, error) {
	deployments, err := c.deployments()
	if err != nil {
		return nil, err
	}
	if c.Rate > 0 {
		plan.Load = 0
	} else {
		plan.Rate = trial.ArrivalRate(plan.Mix, deployments.Shape.Engines, trial.EngineConfig(c.Dev.Speed), plan.Load)
	}
	return trial.Compare(ctx, plan, deployments)
}

func (c *loadCommand) deployments() (trial.Deployments, error) {
	d := trial.Deployments{
		Shape:    c.Dev.shape(),
		Speed:    c.Dev.Speed,
		Policies: []string{c.Dev.Policy},
		Log:      zerolog.New(c.stderr).Level(zerolog.ErrorLevel).With().Timestamp().Logger(),
	}
	if c.Dev.Policies != "" {
		d.Policies = strings.Split(c.Dev.Policies, ",")
	}
	if err := checkPolicies(d.Policies); err != nil {
		return d, err
	}
	if c.Dev.Speed <= 0 || c.Dev.Runs < 1 {
		return d, usageError("--speed must be above 0 and --runs 1 or more")
	}
	for i := range c.Dev.Runs {
		d.Seeds = append(d.Seeds, c.Seed+uint64(i))
	}
	return d, nil
}

func (o *devLoadOptions) shape() trial.Shape {
	shape := trial.Shapes[o.Shape]
	override(&shape.Engines, o.Engines)
	override(&shape.Plains, o.Plains)
	override(&shape.Entries, o.Entries)
	override(&shape.Objective, document.Objective(o.Objective))
	if o.Zones != "" {
		shape.Zones = strings.Split(o.Zones, ",")
	}
	return shape
}

// override sets target to value unless value is zero.
func override[T comparable](target *T, value T) {
	var zero T
	if value != zero {
		*target = value
	}
}

// checkPolicies rejects unknown names: the dev deployment would use naive instead, and the report
// would compare naive with itself under a wrong name.
func checkPolicies(names []string) error {
	known := strings.Join(policies, ", ")
	for _, name := range names {
		if !strings.Contains(", "+known+",", ", "+name+",") {
			return usageError("policy %q is none of %s", name, known)
		}
	}
	return nil
}

func usageError(format string, args ...any) error {
	return &flags.Error{Type: flags.ErrInvalidChoice, Message: fmt.Sprintf(format, args...)}
}

// writeOutputs writes the summaries of the reports and the requested files.
func (c *loadCommand) writeOutputs(reports []*report.Report) error {
	if len(reports) == 0 {
		return nil
	}
	file := report.File{Summaries: report.Summarise(reports), Reports: reports}
	if len(reports) > 1 {
		if err := report.PrintSummaries(c.stdout, file.Summaries); err != nil {
			return err
		}
	}
	if c.JSON != "" {
		if err := file.Write(c.JSON); err != nil {
			return err
		}
	}
	if c.Plot == "" {
		return nil
	}
	return c.plot(reports)
}

// plot draws the reports together with those of other runs. The labels of the latter contain the
// name of their file, to distinguish runs of the same policy before and after a change.
func (c *loadCommand) plot(reports []*report.Report) error {
	compared, err := c.readComparedReports()
	if err != nil {
		return err
	}
	return report.Plot(c.Plot, append(reports, compared...))
}

func (c *loadCommand) readComparedReports() ([]*report.Report, error) {
	var compared []*report.Report
	for _, path := range c.Against {
		file, err := report.Read(path)
		if err != nil {
			return nil, err
		}
		for _, r := range file.Reports {
			r.Label = filepath.Base(path) + ": " + r.Label
		}
		compared = append(compared, file.Reports...)
	}
	return compared, nil
}

// checkOutputs finds before the run the faults that would lose its reports after it: an output file
// that cannot be written, a chart of an unknown format, reports to draw that cannot be read.
func (c *loadCommand) checkOutputs() error {
	if c.Plot != "" && filepath.Ext(c.Plot) != plotSuffix {
		return usageError("--plot %s: the name must end with %s", c.Plot, plotSuffix)
	}
	if len(c.Against) > 0 && c.Plot == "" {
		return usageError("--against needs --plot")
	}
	for _, path := range []string{c.JSON, c.Plot} {
		if err := checkWritable(path); err != nil {
			return err
		}
	}
	_, err := c.readComparedReports()
	return err
}

const plotSuffix = ".png"

// checkWritable checks that a file can be written, without changing its content. It ignores an
// empty path.
func checkWritable(path string) error {
	if path == "" {
		return nil
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE, 0o644)
	if err != nil {
		return errors.Wrap(err, "output")
	}
	return file.Close()
}

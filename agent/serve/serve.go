// Package serve runs an agent as a separate process, from its settings.
package serve

import (
	"context"
	"io"
	"os"

	"acaciacleat.example/agent/process"
	"acaciacleat.example/agent/server"
	"acaciacleat.example/agent/settings"
	"acaciacleat.example/core/document"
	"acaciacleat.example/core/scheduling"
	"acaciacleat.example/peers/commandline"
	"acaciacleat.example/peers/engine"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/service"
	shared "acaciacleat.example/peers/settings"
	"acaciacleat.example/peers/vmlist"
	"github.com/rs/zerolog"
)

// Environment is the environment of a process besides its settings.
type Environment struct {
	// Log receives the log lines.
	Log io.Writer
	// Signals stop the process: the first gracefully, the second at once.
	Signals <-chan os.Signal
	// Started, if not nil, is called once the agent accepts links.
	Started func(*process.Agent)
}

// Run runs an agent until a signal stops it.
func Run(s *settings.Settings, env Environment) error {
	log := zerolog.New(env.Log).Level(s.Log.ZerologLevel()).With().Timestamp().Logger()
	keys, files, err := s.Link.WatchedKeys()
	if err != nil {
		return err
	}
	config := serverConfig(s, log)
	config.Keys = keys
	if config.Tracer, err = s.Trace.Open(s.VM.ID, os.Stdout); err != nil {
		return err
	}
	defer config.Tracer.Flush()
	agent, err := process.Start(config, vmlist.NewHTTP(s.Platform.VMs, s.Platform.HTTPOptions()))
	if err != nil {
		return err
	}
	if s.Metrics.Listen != "" {
		if err := agent.ServeMetrics(s.Metrics.Listen, log); err != nil {
			agent.Stop()
			return err
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go files.Watch(ctx, "link keys", log)
	log.Info().Str("vm", s.VM.ID).Str("link", agent.Addr()).Str("service", s.Upstream.Service).
		Str("metrics", agent.MetricsAddr()).Msg("agent started")
	if env.Started != nil {
		env.Started(agent)
	}
	commandline.DrainOnSignal(env.Signals, agent, shared.Milliseconds(s.Drain.LimitMs), log)
	return nil
}

func serverConfig(s *settings.Settings, log zerolog.Logger) server.Config {
	config := server.Config{
		VM:          s.VM.ID,
		Zone:        s.VM.Zone,
		Service:     s.Upstream.Service,
		Model:       s.Upstream.Model,
		Upstream:    s.Upstream.URL,
		Listen:      s.Link.Listen,
		Queue:       newQueue(s),
		Table:       s.Platform.OpenTable(),
		Incarnation: link.NewIncarnation(),
		Limits:      s.Limits.ServerLimits(),
		Log:         log,
	}
	if s.Upstream.Kind == settings.KindEngine {
		config.Engine = engine.NewHTTP(s.Upstream.URL)
	} else {
		config.Plain = service.NewHTTP(s.Upstream.URL)
	}
	return config
}

// newQueue returns the queue for the upstream's kind. Calls of plain services have no prompt
// lengths, so they are served in the order of arrival. An engine's queue has default settings
// until the server knows the service's objective and the engine's capacity.
func newQueue(s *settings.Settings) scheduling.Queue {
	if s.Upstream.Kind != settings.KindEngine {
		return scheduling.NewFIFO(s.Limits.Queue)
	}
	queue := scheduling.SettingsFor(document.TimeToFirstToken, 0)
	queue.Limit = s.Limits.Queue
	return scheduling.NewPriority(queue)
}

// Package process runs one agent: its server, the polling of its engine and its metrics
// endpoint.
package process

import (
	"context"
	"sync"
	"time"

	"acaciacleat.example/agent/metrics"
	"acaciacleat.example/agent/orders"
	"acaciacleat.example/agent/server"
	"acaciacleat.example/peers/table/leaserow"
	"acaciacleat.example/peers/vmlist"
	"github.com/rs/zerolog"
)

// reportInterval is how often the engine's report is read. The reports themselves lag by
// about a second.
const reportInterval = time.Second

// Agent is a running agent.
type Agent struct {
	*server.Server
	stop     context.CancelFunc
	done     sync.WaitGroup
	endpoint *metrics.Endpoint
}

// Start starts an agent, which runs until Stop. vms lists the VMs, from which the agent takes
// its peers.
func Start(config server.Config, vms vmlist.Lister) (*Agent, error) {
	if config.Engine != nil && config.Table != nil {
		config.Placement = newExecutor(&config)
	}
	s, err := server.Start(config)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	a := &Agent{Server: s, stop: stop}
	if config.Engine != nil {
		a.done.Go(func() { s.PollReports(ctx, reportInterval) })
	}
	a.done.Go(func() { s.ExchangeLoad(ctx, vms) })
	return a, nil
}

// ServeMetrics serves health checks and variables on an IP address and port until Stop. It
// must be called at most once, before Stop.
func (a *Agent) ServeMetrics(addr string, log zerolog.Logger) error {
	endpoint, err := metrics.Listen(addr, a.Server, log)
	if err != nil {
		return err
	}
	a.endpoint = endpoint
	return nil
}

// MetricsAddr returns the address of the metrics endpoint, or "" if there is none.
func (a *Agent) MetricsAddr() string {
	if a.endpoint == nil {
		return ""
	}
	return a.endpoint.Addr()
}

func newExecutor(config *server.Config) *orders.Executor {
	store, key := config.Table, leaserow.Placement(config.Service)
	return orders.New(orders.Config{
		Engine:    config.Engine,
		ReadFence: func(ctx context.Context) (uint64, error) { return leaserow.ReadFence(ctx, store, key) },
		Log:       config.Log.With().Str("vm", config.VM).Logger(),
	})
}

// Drain stops the agent gracefully: it refuses new calls, waits until the calls in flight
// have ended or ctx is done, and then stops.
func (a *Agent) Drain(ctx context.Context) {
	a.Leave()
	select {
	case <-a.Drained():
	case <-ctx.Done():
	}
	a.Stop()
}

// Stop stops the agent at once.
func (a *Agent) Stop() {
	a.stop()
	a.done.Wait()
	a.Close()
	if a.endpoint != nil {
		a.endpoint.Close()
	}
}

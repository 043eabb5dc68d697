// Package process runs one agent: its server and its watch on the engine.
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

// reportEvery is how often the engine's report is read. Engines' reports lag by about
// a second themselves.
const reportEvery = time.Second

// Agent is a running agent.
type Agent struct {
	*server.Server
	stop     context.CancelFunc
	done     sync.WaitGroup
	endpoint *metrics.Endpoint
}

// Start runs an agent until Stop. vms tells it the agents of its group.
func Start(config server.Config, vms vmlist.Lister) (*Agent, error) {
	if config.Engine != nil && config.Table != nil {
		config.Placement = newOrders(&config)
	}
	s, err := server.Start(config)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	a := &Agent{Server: s, stop: stop}
	if config.Engine != nil {
		a.done.Go(func() { s.Watch(ctx, reportEvery) })
	}
	a.done.Go(func() { s.Tell(ctx, vms) })
	return a, nil
}

// ServeMetrics serves health and variables on an IP address and port until Stop. It is
// called once at most, before Stop.
func (a *Agent) ServeMetrics(addr string, log zerolog.Logger) error {
	endpoint, err := metrics.Listen(addr, a.Server, log)
	if err != nil {
		return err
	}
	a.endpoint = endpoint
	return nil
}

// MetricsAddr returns the address of health and variables; "" where they are not served.
func (a *Agent) MetricsAddr() string {
	if a.endpoint == nil {
		return ""
	}
	return a.endpoint.Addr()
}

func newOrders(config *server.Config) *orders.Executor {
	store, key := config.Table, leaserow.Placement(config.Service)
	return orders.New(orders.Config{
		Engine:    config.Engine,
		ReadFence: func(ctx context.Context) (uint64, error) { return leaserow.ReadFence(ctx, store, key) },
		Log:       config.Log.With().Str("vm", config.VM).Logger(),
	})
}

// Drain stops gracefully: no new work, then waits for the calls in hand until ctx ends.
func (a *Agent) Drain(ctx context.Context) {
	a.Leave()
	select {
	case <-a.Drained():
	case <-ctx.Done():
	}
	a.Stop()
}

// Stop ends the agent at once.
func (a *Agent) Stop() {
	a.stop()
	a.done.Wait()
	a.Close()
	if a.endpoint != nil {
		a.endpoint.Close()
	}
}

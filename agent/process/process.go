// Package process runs one agent: its server and its watch on the engine.
package process

import (
	"context"
	"time"

	"acaciacleat.example/agent/server"
)

// reportEvery is how often the engine's report is read. Engines' reports lag by about
// a second themselves.
const reportEvery = time.Second

// Agent is a running agent.
type Agent struct {
	*server.Server
	stop context.CancelFunc
	done chan struct{}
}

// Start runs an agent until Stop.
func Start(config server.Config) (*Agent, error) {
	s, err := server.Start(config)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	a := &Agent{Server: s, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(a.done)
		if config.Engine != nil {
			s.Watch(ctx, reportEvery)
		}
	}()
	return a, nil
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
	<-a.done
	a.Close()
}

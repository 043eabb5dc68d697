package soak

import (
	"net/http"
	"path/filepath"
	"syscall"
)

// Gateway is a gateway process that nobody disturbs, for measurements.
type Gateway struct {
	life   *process
	client *http.Client
}

// StartGateway runs program as the gateway vm, whose store is at address. It writes its
// settings and its log, of the level given, into dir.
func StartGateway(program, dir, vm, store, level string) (*Gateway, error) {
	file, err := writeSettings(dir, vm, store, level)
	if err != nil {
		return nil, err
	}
	life, err := startProcess(program, file, filepath.Join(dir, vm+".log"))
	if err != nil {
		return nil, err
	}
	return &Gateway{life: life, client: &http.Client{Timeout: lookLimit}}, nil
}

// Callers returns the address for callers.
func (g *Gateway) Callers() string { return g.life.addrs.Callers }

// Ready tells whether the gateway takes callers.
func (g *Gateway) Ready() bool { return isReady(g.client, g.life.addrs.Ready) }

// PID returns the number of the process.
func (g *Gateway) PID() int { return g.life.cmd.Process.Pid }

// Kill ends the process at once and waits until it is gone.
func (g *Gateway) Kill() {
	g.life.signal(syscall.SIGKILL)
	<-g.life.done
}

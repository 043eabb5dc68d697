package soak

import (
	"net/http"
	"path/filepath"
	"syscall"
)

// Gateway is a gateway process without injected faults, for measurements.
type Gateway struct {
	process *process
	client  *http.Client
}

// StartGateway runs program as the gateway on the given VM, with the address of the store and the
// log level. It writes the settings and the log into dir.
func StartGateway(program, dir, vm, store, level string) (*Gateway, error) {
	file, err := writeSettings(dir, vm, store, level)
	if err != nil {
		return nil, err
	}
	p, err := startProcess(program, file, filepath.Join(dir, vm+".log"))
	if err != nil {
		return nil, err
	}
	return &Gateway{process: p, client: &http.Client{Timeout: pollTimeout}}, nil
}

// Callers returns the address of the callers' listener.
func (g *Gateway) Callers() string { return g.process.addrs.Callers }

// Ready reports whether the gateway accepts callers.
func (g *Gateway) Ready() bool { return isReady(g.client, g.process.addrs.Ready) }

// PID returns the process ID.
func (g *Gateway) PID() int { return g.process.cmd.Process.Pid }

// Kill kills the process and waits for its exit.
func (g *Gateway) Kill() {
	g.process.signal(syscall.SIGKILL)
	<-g.process.done
}

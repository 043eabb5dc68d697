package soak

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"acaciacleat.example/standin/relay"
	"github.com/pkg/errors"
)

// entry is an entry VM: its current process and the relays on its connections.
type entry struct {
	index        int
	program      string
	settingsFile string
	logFile      string
	// cpuPercent is the share of the time in which a process may run; 0 for all of it.
	cpuPercent int
	// callerRelay is the relay between callers and the entry, storeRelay that between the entry and
	// the store.
	callerRelay, storeRelay *relay.Relay

	// restartMu is held while the process is restarted or receives signals.
	restartMu sync.Mutex

	mu      sync.Mutex
	process *process
	ready   bool
	// version is the configuration version that the current process last reported.
	version uint64
}

func (e *entry) start() error {
	p, err := startProcess(e.program, e.settingsFile, e.logFile)
	if err != nil {
		return err
	}
	if e.callerRelay == nil {
		if e.callerRelay, err = relay.New(p.addrs.Callers); err != nil {
			return errors.Wrap(err, "relay before an entry")
		}
	}
	if e.cpuPercent > 0 {
		go p.throttle(e.cpuPercent)
	}
	e.callerRelay.SetTarget(p.addrs.Callers)
	e.mu.Lock()
	e.process, e.ready, e.version = p, false, 0
	e.mu.Unlock()
	return nil
}

// current returns the current process and whether the load balancer sends it new connections.
func (e *entry) current() (p *process, ready bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process, e.ready
}

// markNotReady records that a process accepts no more connections.
func (e *entry) markNotReady(p *process) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process == p {
		e.ready = false
	}
}

// terminate sends a signal that ends the process and waits for its exit. The caller holds
// restartMu, except at the end of a run, when nothing else restarts processes.
func (e *entry) terminate(s syscall.Signal) {
	p, _ := e.current()
	p.exitExpected.Store(true)
	p.signal(s)
	<-p.done
	e.markNotReady(p)
}

const (
	// pollInterval is how often an entry's readiness and version are polled, pollTimeout bounds one
	// poll.
	pollInterval = 100 * time.Millisecond
	pollTimeout  = time.Second
)

// watch polls readiness and version and calls onVersion with each version read.
func (e *entry) watch(ctx context.Context, onVersion func(versionPoll)) {
	client := &http.Client{Timeout: pollTimeout}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p, _ := e.current()
		if p.ended() {
			e.markNotReady(p)
			continue
		}
		ready := isReady(client, p.addrs.Ready)
		asked := time.Now()
		version, ok := routesVersion(client, p.addrs.Metrics)
		e.mu.Lock()
		same := e.process == p
		previous := e.version
		if same {
			e.ready = ready
			if ok {
				e.version = version
			}
		}
		e.mu.Unlock()
		if same && ok {
			onVersion(versionPoll{entry: e, process: p, askedAt: asked, previous: previous, version: version})
		}
	}
}

func isReady(client *http.Client, address string) bool {
	response, err := client.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// routesVersion reads the version of the applied configuration from an entry's metrics.
func routesVersion(client *http.Client, address string) (uint64, bool) {
	response, err := client.Get("http://" + address + "/metrics")
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "acaciacleat_routes_version "); ok {
			version, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			return uint64(version), err == nil
		}
	}
	return 0, false
}

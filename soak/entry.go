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

// entry is an entry VM: a process at a time, and the relays before and behind it.
type entry struct {
	index   int
	program string
	file    string
	log     string
	// callers and store stand between callers and the entry, and the entry and the store.
	callers, store *relay.Relay

	// turn is held by whoever replaces the process.
	turn sync.Mutex

	mu    sync.Mutex
	life  *process
	ready bool
	// version is the one of the configuration that this life was last seen to obey.
	version uint64
}

func (e *entry) start() error {
	life, err := startProcess(e.program, e.file, e.log)
	if err != nil {
		return err
	}
	if e.callers == nil {
		if e.callers, err = relay.New(life.addrs.Callers); err != nil {
			return errors.Wrap(err, "relay before an entry")
		}
	}
	e.callers.SetTarget(life.addrs.Callers)
	e.mu.Lock()
	e.life, e.ready, e.version = life, false, 0
	e.mu.Unlock()
	return nil
}

// now returns the present life, and whether its balancer sends it new connections.
func (e *entry) now() (life *process, ready bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life, e.ready
}

// away notes that a life takes no connections any more.
func (e *entry) away(life *process) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life == life {
		e.ready = false
	}
}

// end ends the process by a signal and waits until it is gone. Whoever calls it holds turn.
func (e *entry) end(s syscall.Signal) {
	life, _ := e.now()
	life.told.Store(true)
	life.signal(s)
	<-life.done
	e.away(life)
}

const (
	// lookEvery is how often an entry is asked for readiness and version, lookLimit bounds
	// one question.
	lookEvery = 100 * time.Millisecond
	lookLimit = time.Second
)

// watch keeps ready and version up to date and tells seen of each version.
func (e *entry) watch(ctx context.Context, seen func(e *entry, life *process, before, version uint64)) {
	client := &http.Client{Timeout: lookLimit}
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		life, _ := e.now()
		if life.ended() {
			e.away(life)
			continue
		}
		ready := isReady(client, life.addrs.Ready)
		version, ok := routesVersion(client, life.addrs.Metrics)
		e.mu.Lock()
		same := e.life == life
		before := e.version
		if same {
			e.ready = ready
			if ok {
				e.version = version
			}
		}
		e.mu.Unlock()
		if same && ok {
			seen(e, life, before, version)
		}
	}
}

func isReady(client *http.Client, address string) bool {
	answer, err := client.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// routesVersion asks an entry for the version of the configuration in force there.
func routesVersion(client *http.Client, address string) (uint64, bool) {
	answer, err := client.Get("http://" + address + "/metrics")
	if err != nil {
		return 0, false
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
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

package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"acaciacleat.example/entry/settings"
	shared "acaciacleat.example/peers/settings"
	"github.com/pkg/errors"
)

const (
	// notReadyDelay and drainLimit are the entries' settings for a graceful stop: how long an entry
	// reports "not ready" before it refuses requests, and its time limit for the whole stop.
	notReadyDelay = 600 * time.Millisecond
	drainLimit    = 4 * time.Second
	// startLimit bounds the time until a process reports its addresses.
	startLimit = 10 * time.Second
)

// process is one process of an entry.
type process struct {
	cmd     *exec.Cmd
	addrs   addresses
	started time.Time
	// exitExpected is set before the harness ends the process.
	exitExpected atomic.Bool
	// paused keeps throttle from letting the process run.
	paused atomic.Bool
	// done is closed when the process has ended; exitErr is then its error.
	done    chan struct{}
	exitErr error
}

// addresses is the log line in which a gateway reports its addresses.
type addresses struct {
	Message string `json:"message"`
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Metrics string `json:"metrics"`
}

// gatewaySettings are the settings that a run sets; for all others the program's defaults hold.
type gatewaySettings struct {
	VM      shared.VM             `json:"vm"`
	Callers settings.Address      `json:"callers"`
	Ready   settings.Address      `json:"ready"`
	Metrics settings.Address      `json:"metrics"`
	Link    settings.Address      `json:"link"`
	Store   storeSettings         `json:"store"`
	Log     shared.Log            `json:"log"`
	Drain   settings.GatewayDrain `json:"drain"`
}

type storeSettings struct {
	Address string `json:"address"`
}

// writeSettings writes the settings of the entry on the given VM, with the store's address and the
// log level.
func writeSettings(dir, vm, store, level string) (string, error) {
	file := filepath.Join(dir, vm+".json")
	anyPort := settings.Address{Listen: "127.0.0.1:0"}
	s := gatewaySettings{
		VM: shared.VM{ID: vm, Zone: "zone-a"}, Callers: anyPort, Ready: anyPort, Metrics: anyPort, Link: anyPort,
		Store: storeSettings{store}, Log: shared.Log{Level: level},
		Drain: settings.GatewayDrain{ReadyOffMs: int(notReadyDelay.Milliseconds()), LimitS: drainLimit.Seconds()},
	}
	return file, saveSettings(file, s)
}

// saveSettings replaces a settings file atomically, since a process may read it at any time.
func saveSettings(file string, s any) error {
	data, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	if err := os.WriteFile(file+".new", data, 0o644); err != nil {
		return errors.Wrap(err, "write settings")
	}
	return errors.Wrap(os.Rename(file+".new", file), "replace settings")
}

// changeSettings makes a change that an entry can reload at any time.
func (e *entry) changeSettings() error {
	s, err := shared.ReadFile(e.settingsFile, settings.ParseGateway)
	if err != nil {
		return err
	}
	s.Retries.Slack++
	return saveSettings(e.settingsFile, s)
}

// startProcess starts a gateway, writes its output to the file log, and waits until it listens.
func startProcess(program, file, log string) (*process, error) {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open an entry's log")
	}
	p := &process{cmd: exec.Command(program, "gateway", "--settings", file), done: make(chan struct{})}
	p.cmd.Stderr = out
	lines, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "open an entry's output")
	}
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start an entry")
	}
	p.started = time.Now()
	first := make(chan addresses, 1)
	go p.copyOutput(lines, out, first)
	select {
	case p.addrs = <-first:
		return p, nil
	case <-p.done:
		return nil, errors.Errorf("an entry ended before it listened; see %s", log)
	case <-time.After(startLimit):
		p.signal(syscall.SIGKILL)
		return nil, errors.Errorf("an entry did not listen within %s; see %s", startLimit, log)
	}
}

// copyOutput copies the output to out until the process ends, and sends the addresses that it
// reports to first.
func (p *process) copyOutput(lines io.Reader, out *os.File, first chan<- addresses) {
	defer close(p.done)
	defer out.Close()
	scanner := bufio.NewScanner(lines)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var a addresses
		if json.Unmarshal(scanner.Bytes(), &a) == nil && a.Message == "gateway started" && len(first) == 0 {
			first <- a
		}
		fmt.Fprintf(out, "%s\n", scanner.Bytes())
	}
	p.exitErr = p.cmd.Wait()
}

// throttlePeriod is the period in which a process that gets a share of the time runs and stands still.
const throttlePeriod = 50 * time.Millisecond

// throttle lets the process run for a share of the time until it ends, unless it is paused.
func (p *process) throttle(cpuPercent int) {
	runs := throttlePeriod * time.Duration(cpuPercent) / 100
	for !p.ended() {
		if !p.paused.Load() {
			p.signal(syscall.SIGCONT)
		}
		time.Sleep(runs)
		p.signal(syscall.SIGSTOP)
		time.Sleep(throttlePeriod - runs)
	}
}

// signal sends a signal. A process that has already ended ignores it.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

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
	// readyOff and drainLimit are the entries' own settings for a stop.
	readyOff   = 600 * time.Millisecond
	drainLimit = 4 * time.Second
	// startLimit bounds the time until a process says where it listens.
	startLimit = 10 * time.Second
)

// process is one life of an entry.
type process struct {
	cmd     *exec.Cmd
	addrs   addresses
	started time.Time
	// told is set before the run itself ends the process.
	told atomic.Bool
	// done is closed once the process has ended; exit is then its error.
	done chan struct{}
	exit error
}

// addresses are what a gateway says on its first line.
type addresses struct {
	Message string `json:"message"`
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Metrics string `json:"metrics"`
}

// writeSettings writes the settings of the entry vm, whose store is at address and which
// logs at the level given.
func writeSettings(dir, vm, store, level string) (string, error) {
	file := filepath.Join(dir, vm+".json")
	s := settings.DefaultGateway()
	s.VM = shared.VM{ID: vm, Zone: "zone-a"}
	free := settings.Address{Listen: "127.0.0.1:0"}
	s.Callers, s.Ready, s.Metrics, s.Link = free, free, free, free
	s.Store.Address = store
	s.Log.Level = level
	s.Drain = settings.GatewayDrain{ReadyOffMs: int(readyOff.Milliseconds()), LimitS: drainLimit.Seconds()}
	return file, saveSettings(file, s)
}

// saveSettings replaces a settings file as a whole: a process may read it at any moment.
func saveSettings(file string, s *settings.Gateway) error {
	data, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	if err := os.WriteFile(file+".new", data, 0o644); err != nil {
		return errors.Wrap(err, "write settings")
	}
	return errors.Wrap(os.Rename(file+".new", file), "replace settings")
}

// changeSettings makes a change that any entry may bear at any time.
func (e *entry) changeSettings() error {
	s, err := shared.ReadFile(e.file, settings.ParseGateway)
	if err != nil {
		return err
	}
	s.Retries.Slack++
	return saveSettings(e.file, s)
}

// startProcess runs a gateway whose output goes to the file log, and waits until it listens.
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
	go p.follow(lines, out, first)
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

// follow copies the output to out until the process ends, and passes on where it listens.
func (p *process) follow(lines io.Reader, out *os.File, first chan<- addresses) {
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
	p.exit = p.cmd.Wait()
}

// signal sends a signal; a process that has ended needs none.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// ended tells whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Package review holds the stand-ins of the review's cases: clients, replicas and the platform's store, all on
// loopback addresses. Its test binary runs one case; build.sh builds it and N/run.sh starts it. It is no part of the
// workspace, so that the default test run leaves it out.
package review

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases holds the cases by their numbers.
var cases = map[string]func(*run) int{}

func TestMain(*testing.M) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases.test CASE ROOT RECORD")
		os.Exit(failed)
	}
	r, err := newRun(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	code := failed
	func() {
		defer r.end()
		defer func() {
			if e := recover(); e != nil {
				r.note("the case could not run: %v", e)
				code = failed
			}
		}()
		code = cases[os.Args[1]](r)
	}()
	os.Exit(code)
}

// run is the run of one case.
type run struct {
	root, dir string
	trouble   bool
	record    *os.File
	began     time.Time

	mu       sync.Mutex
	gateways []*gateway
}

func newRun(root, record string) (*run, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	return &run{root: root, dir: dir, record: f, began: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}, nil
}

// note writes a line to the record.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.record, line)
	fmt.Println(line)
}

// end ends all processes and removes the temporary folder.
func (r *run) end() {
	for _, g := range r.gateways {
		g.kill()
	}
	_ = r.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
}

// must ends the case as one that could not run.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// listen listens on a free loopback port.
func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	return l
}

// freeAddress returns a loopback address on which nothing listens. Its port is below those that the system gives to
// outgoing connections.
func freeAddress() string {
	for range 100 {
		port := 12000 + rand.IntN(18000)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil && !givenPorts[port] {
			givenPorts[port] = true
			defer l.Close()
			return l.Addr().String()
		}
	}
	panic("no free port")
}

// givenPorts are the ports that freeAddress has returned.
var givenPorts = make(map[int]bool)

// serve serves on a free loopback port and returns its address.
func serve(h http.Handler) string {
	l := listen()
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}

// gateway is a process of the project: the role of the deploy file.
type gateway struct {
	name, callers, ready string
	settings             string
	run                  *run
	process              *exec.Cmd
	exited               chan struct{}
}

// gatewaySettings is deploy/gateway.json.tmpl, filled in for a machine of omuti-lift, with loopback addresses.
const gatewaySettings = `{
  "vm": {"id": %q, "zone": %q},
  "callers": {"listen": %q},
  "ready": {"listen": %q},
  "metrics": {"listen": %q},
  "link": {"listen": %q},
  "store": {"address": %q},
  "retries": {"ratio": 0.2, "slack": 100},
  "firstStart": %v,
  "limits": {"memoryMb": 284, "cores": 0.304, "linkMbps": 1000.0},
  "drain": {"limitS": 8}
}
`

// addGateway writes the settings of a gateway and starts it.
func (r *run) addGateway(name, zone, store string) *gateway {
	g := &gateway{name: name, run: r, callers: freeAddress(), ready: freeAddress(), settings: filepath.Join(r.dir, name+".json")}
	text := fmt.Sprintf(gatewaySettings, name, zone, g.callers, g.ready, freeAddress(), freeAddress(), store, true)
	must(os.WriteFile(g.settings, []byte(text), 0o600))
	r.gateways = append(r.gateways, g)
	g.start()
	return g
}

func (g *gateway) start() {
	log, err := os.OpenFile(filepath.Join(g.run.dir, g.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	must(err)
	defer log.Close()
	g.process = exec.Command("target/acaciacleat-entry", "gateway", "--settings", g.settings)
	g.process.Dir, g.process.Stdout, g.process.Stderr = g.run.root, log, log
	g.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(g.process.Start())
	g.exited = make(chan struct{})
	go func(p *exec.Cmd, exited chan struct{}) {
		_ = p.Wait()
		close(exited)
	}(g.process, g.exited)
}

func (g *gateway) signal(s syscall.Signal) { _ = g.process.Process.Signal(s) }

func (g *gateway) kill() {
	g.signal(syscall.SIGKILL)
	<-g.exited
}

// awaitReady waits until the gateway says that it is ready.
func (g *gateway) awaitReady() {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		answer, err := http.Get("http://" + g.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			g.run.note("%s is ready", g.name)
			return
		}
	}
	panic(g.name + " is not ready in 15 s")
}

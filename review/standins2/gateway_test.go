package standins2

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// gateway is a process of the project's gateway.
type gateway struct {
	name, front, ready string
	process            *exec.Cmd
	done               chan struct{}
}

// freeAddress returns a loopback address with a free port.
func (c *run) freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.fail("no free port: %v", err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// settings are those of deploy/gateway.json.tmpl, with the figures of a small deployment's edge machines.
const settings = `{
  "vm": {"id": %q, "zone": %q},
  "callers": {"listen": %q},
  "ready": {"listen": %q},
  "metrics": {"listen": %q},
  "link": {"listen": %q},
  "store": {"address": %q},
  "retries": {"ratio": 0.2, "slack": 102},
  "firstStart": true,
  "limits": {"memoryMb": 284, "cores": 0.304, "linkMbps": 1000.0},
  "drain": {"limitS": 8}
}
`

// startGateway starts a gateway in the way of the deploy file and waits until it is ready.
func (c *run) startGateway(name, zone, store string) *gateway {
	g := &gateway{name: name, front: c.freeAddress(), ready: c.freeAddress(), done: make(chan struct{})}
	file := filepath.Join(c.dir, name+".json")
	text := fmt.Sprintf(settings, name, zone, g.front, g.ready, c.freeAddress(), c.freeAddress(), store)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		c.fail("settings: %v", err)
	}
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		c.fail("log: %v", err)
	}
	g.process = exec.Command(c.entry, "gateway", "--settings", file)
	g.process.Stdout, g.process.Stderr = log, log
	if err := g.process.Start(); err != nil {
		c.fail("gateway: %v", err)
	}
	go func() {
		_ = g.process.Wait()
		_ = log.Close()
		close(g.done)
	}()
	c.children = append(c.children, g)
	for began := time.Now(); !c.isReady(g); time.Sleep(50 * time.Millisecond) {
		if time.Since(began) > 20*time.Second {
			text, _ := os.ReadFile(filepath.Join(c.dir, name+".log"))
			c.fail("%s is not ready: %.2000s", name, text)
		}
	}
	c.logf("%s is ready, front %s", name, g.front)
	return g
}

func (c *run) isReady(g *gateway) bool {
	answer, err := http.Get("http://" + g.ready + "/readyz")
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// terminate sends SIGTERM, and SIGKILL after the grace of 8 s.
func (c *run) terminate(g *gateway) {
	_ = g.process.Process.Signal(syscall.SIGTERM)
	c.logf("SIGTERM to %s", g.name)
	go func() {
		select {
		case <-g.done:
			c.logf("%s has ended", g.name)
		case <-time.After(8 * time.Second):
			_ = g.process.Process.Kill()
			c.logf("SIGKILL to %s", g.name)
		}
	}()
}

// endAll ends all gateways and adds the ends of their logs to the record.
func (c *run) endAll() {
	for _, g := range c.children {
		_ = g.process.Process.Kill()
		<-g.done
		text, _ := os.ReadFile(filepath.Join(c.dir, g.name+".log"))
		const most = 200_000
		c.logf("log of %s:\n%s", g.name, text[max(0, len(text)-most):])
	}
	c.children = nil
}

package standins2

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["4"] = playLargeAnswers }

const (
	// exportPieces and pieceBytes are the pieces of a large answer. A replica writes one each fastPause or slowPause.
	exportPieces = 20
	pieceBytes   = 32 << 10
	fastPause    = 6 * time.Millisecond
	slowPause    = 30 * time.Millisecond
	exportSlots  = 6
)

// exporter is a stand-in of a replica of a plain service that answers lookups, and exports with a large body that it
// writes steadily. It never fails.
type exporter struct {
	run    *run
	id     string
	pause  time.Duration
	mu     sync.Mutex
	active int
	ended  map[string]string
}

func (e *exporter) busy(n int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active += n
	return e.active
}

func (e *exporter) end(id, how string) {
	e.mu.Lock()
	e.ended[id] = how
	e.mu.Unlock()
	e.run.logf("%s at %s: %s", id, e.id, how)
}

// ServeHTTP implements http.Handler.
func (e *exporter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header, id := w.Header(), r.Header.Get("Acaciacleat-Attempt-Id")
	header.Set("Acaciacleat-Attempt-Id", id)
	if expected := r.Header.Get("Acaciacleat-Expect-Instance"); expected != "" && expected != e.id {
		header.Set("Acaciacleat-Replica-Id", e.id)
		header.Set("Acaciacleat-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.busy(1) > exportSlots {
		e.busy(-1)
		header.Set("Acaciacleat-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.busy(-1)
	header.Set("Acaciacleat-Response-Seal", "seal-of-"+e.id)
	if !strings.HasPrefix(r.RequestURI, "/parts/export") {
		fmt.Fprintf(w, "answer to %s", id)
		return
	}
	header.Set("Content-Type", "application/octet-stream")
	header.Set("Content-Length", fmt.Sprint(exportPieces*pieceBytes))
	piece, began, last, longest := make([]byte, pieceBytes), time.Now(), time.Now(), time.Duration(0)
	for range exportPieces {
		if _, err := w.Write(piece); err != nil || http.NewResponseController(w).Flush() != nil {
			e.end(id, fmt.Sprintf("its caller has left after %d ms; the longest pause was %d ms", time.Since(began).Milliseconds(), longest.Milliseconds()))
			return
		}
		longest, last = max(longest, time.Since(last)), time.Now()
		if !sleep(r, e.pause) {
			e.end(id, fmt.Sprintf("its caller has left after %d ms; the longest pause was %d ms", time.Since(began).Milliseconds(), longest.Milliseconds()))
			return
		}
	}
	e.end(id, fmt.Sprintf("whole after %d ms", time.Since(began).Milliseconds()))
}

// exportConfig is a configuration whose route goes to the named one of two services.
func exportConfig(version int, service string) []byte {
	return fmt.Appendf(nil, `{"Version":%d,"RouteTable":[
 {"Name":"parts","Host":"workshop.example","Prefix":"/parts/","Kind":"idempotent","TimeoutMs":1500,"LatencyGoalMs":150,"Priority":2,"Service":%q,"Attempts":2,"Anonymous":false}],
"Services":[{"Name":"workshop","HealthPath":"/healthz","MaxConns":48,"Protocol":"h1","Tls":false},
 {"Name":"archive","HealthPath":"/healthz","MaxConns":48,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"tenant-1","ApiKeys":["key-of-tenant-one-4711"],"Priority":1}]}`, version, service)
}

// playLargeAnswers has clients fetch exports over kept connections. The operator moves their route to a service whose
// replicas are slower, and 2.5 s later back.
func playLargeAnswers(c *run) {
	s := newStore()
	address := c.serve(s)
	s.put("op", "config", exportConfig(3, "workshop"))
	var replicas []*exporter
	for i := range 6 {
		e := &exporter{run: c, id: fmt.Sprintf("i-work%d", i+1), pause: fastPause, ended: make(map[string]string)}
		service := "workshop"
		if i >= 3 {
			e.pause, service = slowPause, "archive"
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			c.fail("replica: %v", err)
		}
		server := &http.Server{Handler: e}
		go func() { _ = server.Serve(listener) }()
		registered := replica{id: e.id, service: service, zone: "hall-a", address: listener.Addr().String(), slots: exportSlots}
		s.put("servers", e.id, registered.registration("ready"))
		replicas = append(replicas, e)
	}
	gateways := []*gateway{c.startGateway("edge-a", "hall-a", address), c.startGateway("edge-b", "hall-b", address)}
	time.Sleep(4 * time.Second)

	var mu sync.Mutex
	var exports []outcome
	var clients sync.WaitGroup
	end := time.Now().Add(14 * time.Second)
	for i := range 6 {
		clients.Go(func() {
			transport := &http.Transport{DisableCompression: true}
			defer transport.CloseIdleConnections()
			q := call{method: "GET", host: "workshop.example", key: "key-of-tenant-one-4711", deadline: 1500 * time.Millisecond}
			for time.Now().Before(end) {
				time.Sleep(100 * time.Millisecond)
				q.path = "/parts/pump"
				if o := c.sendOver(transport, gateways[i%2].front, q); o.status != http.StatusOK || !o.whole {
					continue
				}
				q.path = "/parts/export" // Over the connection of the lookup.
				o := c.sendOver(transport, gateways[i%2].front, q)
				mu.Lock()
				exports = append(exports, o)
				mu.Unlock()
			}
		})
	}
	time.Sleep(4 * time.Second)
	changed, restored := time.Now(), time.Now()
	if c.trouble {
		s.put("op", "config", exportConfig(5, "archive"))
		changed = time.Now()
		c.logf("version 5 is acknowledged: the route goes to archive")
		time.Sleep(2500 * time.Millisecond)
		s.put("op", "config", exportConfig(7, "workshop"))
		restored = time.Now()
		c.logf("version 7 is acknowledged: the route goes to workshop again")
	}
	clients.Wait()

	how := make(map[string]string)
	for _, r := range replicas {
		for id, h := range r.ended {
			how[id] = h
		}
	}
	// Planned work lasts from the sending of a version until ConfigApplyMs and 1 s after its acknowledgement.
	until := restored.Add(configApply + time.Second)
	whole, cutThen, cutElse, other := 0, 0, 0, 0
	var example string
	for _, o := range exports {
		switch {
		case o.status == http.StatusOK && o.whole && len(o.text) == exportPieces*pieceBytes:
			whole++
		case o.status == http.StatusOK && !o.whole && o.ended.Sub(o.sent) < o.deadline:
			if o.sent.After(changed) && o.ended.Before(until) {
				cutThen++
			} else {
				cutElse++
			}
			example = fmt.Sprintf("%s got %d of %d bytes in %d ms; at its replica: %s", o.id, len(o.text), exportPieces*pieceBytes, o.ended.Sub(o.sent).Milliseconds(), how[o.id])
			c.logf("cut: %s", example)
		default:
			other++
			c.logf("ended otherwise: %s, status %d, %v", o.id, o.status, o.err)
		}
	}
	c.logf("exports: %d whole, %d cut off beside the changes, %d at other times, %d ended otherwise", whole, cutThen, cutElse, other)
	if whole < 20 {
		c.fail("only %d exports were whole", whole)
	}
	if cutThen > 3 && cutThen > 3*cutElse {
		c.breaks("LOST: beside changes of the configuration %d requests over kept connections, passed on to sound replicas that were writing their answers, had their connections closed without a complete answer and before their deadline and timeout of 1500 ms (%d at other times, %d of %d whole); the last one: %s",
			cutThen, cutElse, whole, len(exports), example)
	}
}

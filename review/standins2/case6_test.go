package standins2

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["6"] = playPausingStreams }

// streamer is a stand-in of a model replica. It refuses requests beyond its places with proof. It works in passes of equal
// length and writes an event of each stream at the end of each.
type streamer struct {
	run    *run
	id     string
	pause  time.Duration
	places int
	// start is when its first pass began.
	start  time.Time
	mu     sync.Mutex
	active int
}

// ServeHTTP implements http.Handler.
func (e *streamer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header, id := w.Header(), r.Header.Get("Acaciacleat-Attempt-Id")
	header.Set("Acaciacleat-Attempt-Id", id)
	if expected := r.Header.Get("Acaciacleat-Expect-Instance"); expected != "" && expected != e.id {
		header.Set("Acaciacleat-Replica-Id", e.id)
		header.Set("Acaciacleat-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	full := e.active >= e.places
	if !full {
		e.active++
	}
	e.mu.Unlock()
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if full {
		e.run.logf("%s %s after event %d: refused by %s, which is full", id, r.RequestURI, last, e.id)
		header.Set("Acaciacleat-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.active--
	}()
	e.run.logf("%s %s after event %d: begins at %s", id, r.RequestURI, last, e.id)
	header.Set("Acaciacleat-Response-Seal", "seal-of-"+e.id)
	header.Set("Content-Type", "text/event-stream")
	for i := last + 1; i <= streamEvents; i++ {
		if !sleep(r, e.pause-time.Since(e.start)%e.pause) {
			e.run.logf("%s: its caller has left %s after event %d", id, e.id, i-1)
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i, i)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
	e.run.logf("%s: whole at %s", id, e.id)
}

const (
	// wideApply is ConfigApplyMs of huerta-andina.
	wideApply    = 3 * time.Second
	streamEvents = 6
	quickPause   = 50 * time.Millisecond
	longPause    = 1400 * time.Millisecond
)

func streamConfig(version int, service string) []byte {
	const engine = `"Engine":{"Slots":%d,"KvCapacity":382500,"KvBytes":327680,"LinkMbps":400000.0,"Stride":52,"Models":[{"Name":"m"}],"step_ms":%g,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000.0,"pairs_per_m":0.0917,"chunk":2048,"report_lag_ms":200.0,"usual":{"prompt":1000,"answer":312},"HopMs":0.1}`
	route := func(name, service string, gap int) string {
		return fmt.Sprintf(`{"Name":%q,"Host":"farm.example","Prefix":"/%s/","Kind":"streaming","TimeoutMs":15000,"LatencyGoalMs":2500,"GapGoalMs":%d,"Priority":1,"Service":%q,"Attempts":2,"Anonymous":false,"Sticky":true,"Resumable":true}`,
			name, name, gap, service)
	}
	return fmt.Appendf(nil, `{"Version":%d,"RouteTable":[%s,%s],
"Services":[{"Name":"quick","HealthPath":"/healthz","MaxConns":428,"Protocol":"h1","Tls":false,%s},
 {"Name":"slow","HealthPath":"/healthz","MaxConns":428,"Protocol":"h1","Tls":false,%s}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"tenant-1","ApiKeys":["key-of-tenant-one-4711"],"Priority":1}]}`, version,
		route("tip", service, 200), route("review", "slow", 800), fmt.Sprintf(engine, 12, 0.925), fmt.Sprintf(engine, 3, longPause.Seconds()*1000/52))
}

// playPausingStreams moves a route of streams to a service whose engines are slower, and 4.6 s later back. Streams of another
// route take the rest of the engines' places.
func playPausingStreams(c *run) {
	s := newStore()
	address := c.serve(s)
	s.put("op", "config", streamConfig(3, "quick"))
	for i := range 9 {
		e := &streamer{run: c, id: fmt.Sprintf("i-engine%d", i+1), pause: quickPause, places: 12, start: c.start}
		service := "quick"
		if i >= 3 {
			e.pause, e.places, service = longPause, 3, "slow"
			e.start = c.start.Add(time.Duration(i-3) * longPause / 6)
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			c.fail("replica: %v", err)
		}
		server := &http.Server{Handler: e}
		go func() { _ = server.Serve(listener) }()
		registered := replica{id: e.id, service: service, zone: "hall-a", address: listener.Addr().String(), slots: e.places}
		s.put("servers", e.id, registered.registration("ready"))
	}
	gateways := []*gateway{c.startGateway("edge-a", "hall-a", address), c.startGateway("edge-b", "hall-b", address)}
	time.Sleep(4 * time.Second)

	var mu sync.Mutex
	var tips []outcome
	var clients sync.WaitGroup
	begin := time.Now()
	end := begin.Add(16 * time.Second)
	ask := func(i int, path string, keep bool) {
		transport := &http.Transport{DisableCompression: true}
		defer transport.CloseIdleConnections()
		for time.Now().Before(end) {
			o := c.sendOver(transport, gateways[i%2].front, call{method: "POST", host: "farm.example", path: path, key: "key-of-tenant-one-4711",
				deadline: 12 * time.Second, prompt: 1000, output: 312, body: []byte(path)})
			if keep {
				mu.Lock()
				tips = append(tips, o)
				mu.Unlock()
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	for i := range 12 {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 150 * time.Millisecond)
			ask(i, "/review/farm", false)
		})
	}
	for i := range 6 { // These find all places taken beside a tip.
		clients.Go(func() {
			time.Sleep(6 * time.Second)
			ask(i, "/review/farm", false)
		})
	}
	for i := range 6 {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 130 * time.Millisecond)
			ask(i, "/tip/field", true)
		})
	}
	time.Sleep(4 * time.Second)
	changed, restored := time.Now(), time.Now()
	if c.trouble {
		s.put("op", "config", streamConfig(5, "slow"))
		changed = time.Now()
		c.logf("version 5 is acknowledged: the route goes to slow")
		time.Sleep(4600 * time.Millisecond)
		s.put("op", "config", streamConfig(7, "quick"))
		restored = time.Now()
		c.logf("version 7 is acknowledged: the route goes to quick again")
	}
	clients.Wait()

	until := restored.Add(wideApply + time.Second)
	whole, cutThen, cutElse, refused := 0, 0, 0, 0
	for _, o := range tips {
		switch {
		case o.status == http.StatusOK && o.whole:
			whole++
		case o.status == http.StatusServiceUnavailable:
			refused++
		case o.status == http.StatusOK && o.ended.Sub(o.sent) < o.deadline:
			// The work that is planned lasts until 4 s after the acknowledgement of each version.
			beside := o.ended.Before(changed.Add(wideApply+time.Second)) || o.ended.After(restored) && o.ended.Before(until)
			if o.sent.After(changed) && beside {
				cutThen++
			} else {
				cutElse++
			}
			c.logf("cut: %s after %d ms: %q", o.id, o.ended.Sub(o.sent).Milliseconds(), o.text)
		default:
			c.logf("ended otherwise: %s, status %d, %v", o.id, o.status, o.err)
		}
	}
	c.logf("tips: %d whole, %d refused, %d cut off beside the changes, %d at other times", whole, refused, cutThen, cutElse)
	if whole < 20 {
		c.fail("only %d streams were whole", whole)
	}
	if cutThen > 0 && cutThen > 3*cutElse {
		c.breaks("LOST: beside changes of the configuration %d streams that had begun, at engines that went on writing, had their connections closed without a complete answer and before their deadline and timeout (%d at other times, %d whole)",
			cutThen, cutElse, whole)
	}
}

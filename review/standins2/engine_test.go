package standins2

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The published figures of the engines, those of huerta-andina.
const (
	readPerMs   = 256.0
	pairsPerMsM = 0.0917
	// eventPause is the time of the steps between two events: 52 steps of 0.925 ms and a little more.
	eventPause = 52 * time.Millisecond
)

// readTime is how long one engine takes to read a prompt.
func readTime(tokens int) time.Duration {
	n := float64(tokens)
	ms := n/readPerMs + pairsPerMsM*(n*n/2)/1e6
	return time.Duration(ms * float64(time.Millisecond))
}

// fleet are model replicas that read parts of prompts for each other.
type fleet struct {
	run *run
	mu  sync.Mutex
	// busy says until when each replica reads, by address.
	busy     map[string]time.Time
	arrivals map[string]time.Time
	ids      map[string]string
}

// startFleet starts model replicas and registers them.
func (c *run) startFleet(s *store, n int) *fleet {
	f := &fleet{run: c, busy: make(map[string]time.Time), arrivals: make(map[string]time.Time), ids: make(map[string]string)}
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			c.fail("engine: %v", err)
		}
		address, id := listener.Addr().String(), fmt.Sprintf("i-engine%d", i+1)
		f.ids[address] = id
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(w, r, id, address) })}
		go func() { _ = server.Serve(listener) }()
		model := replica{id: id, service: "model", zone: "hall-a", address: address, slots: 12}
		s.put("servers", id, model.registration("ready"))
	}
	return f
}

// read books the reading of a prompt in even parts and returns when its first event is due.
func (f *fleet) read(tokens int, addresses []string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	part := readTime(tokens) / time.Duration(len(addresses))
	var last time.Time
	for _, a := range addresses {
		from := time.Now()
		if f.busy[a].After(from) {
			from = f.busy[a]
		}
		f.busy[a] = from.Add(part)
		if f.busy[a].After(last) {
			last = f.busy[a]
		}
	}
	return last
}

func (f *fleet) arrived(id string) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.arrivals[id]
	return at, ok
}

func (f *fleet) serve(w http.ResponseWriter, r *http.Request, id, address string) {
	header := w.Header()
	if expected := r.Header.Get("Acaciacleat-Expect-Instance"); expected != "" && expected != id {
		header.Set("Acaciacleat-Replica-Id", id)
		header.Set("Acaciacleat-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/order" {
		fmt.Fprint(w, `{"Free":300000}`)
		return
	}
	request := r.Header.Get("Acaciacleat-Attempt-Id")
	addresses := []string{address}
	for entry := range strings.SplitSeq(r.Header.Get("Acaciacleat-Helpers"), ",") {
		if helper, _, _ := strings.Cut(entry, "/"); helper != "" && helper != address {
			addresses = append(addresses, helper)
		}
	}
	in, out, _ := strings.Cut(r.Header.Get("Acaciacleat-Token-Usage"), ",")
	tokens, _ := strconv.Atoi(in)
	answer, _ := strconv.Atoi(out)
	f.mu.Lock()
	f.arrivals[request] = time.Now()
	f.mu.Unlock()
	due := f.read(tokens, addresses)
	f.run.logf("%s reaches %s with %d helpers, first event in %d ms", request, id, len(addresses)-1, time.Until(due).Milliseconds())
	header.Set("Acaciacleat-Attempt-Id", request)
	if !sleep(r, time.Until(due)) {
		f.run.logf("%s: its caller has left %s", request, id)
		return
	}
	header.Set("Acaciacleat-Response-Seal", "seal-of-"+id)
	header.Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= answer/stride; i++ {
		if i > last+1 && !sleep(r, eventPause) {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i, i)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

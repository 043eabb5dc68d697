package standins2

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that has reached a replica.
type arrival struct {
	at          time.Time
	id          string
	replica     string
	path        string
	tenant      string
	lastEvent   string
	misdirected bool
	ran         bool
}

// replica is a stand-in of a replica. It answers each request for it with success: a plain one with a body, a model's
// with events.
type replica struct {
	id, service, zone, address string
	slots                      int
	// work is how long a plain request, or the reading of a prompt, takes.
	work time.Duration
	// events is the number of events of a stream, zero for a plain service; pause is the time between them.
	events int
	pause  time.Duration
	// serial makes the replica read one prompt after the other.
	serial  bool
	reading sync.Mutex

	run    *run
	server *http.Server

	mu       sync.Mutex
	active   int
	arrivals []arrival
}

// startReplica starts a replica on a free port.
func (c *run) startReplica(r *replica) *replica {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.fail("replica: %v", err)
	}
	r.run, r.address = c, listener.Addr().String()
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	return r
}

// registration returns the replica's entry in the store.
func (r *replica) registration(state string) []byte {
	value, err := json.Marshal(map[string]any{
		"Service": r.service, "Address": r.address, "Zone": r.zone, "Version": "v1", "Slots": r.slots,
		"State": state, "ColdLeftMs": 0, "Sequence": 1,
	})
	if err != nil {
		panic(err)
	}
	return value
}

// stop ends the replica at once, as the exit of its process does.
func (r *replica) stop() { _ = r.server.Close() }

func (r *replica) seen() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	at := time.Now()
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	header := w.Header()
	expected := request.Header.Get("Acaciacleat-Expect-Instance")
	misdirected := expected != "" && expected != r.id
	switch {
	case request.URL.Path == "/healthz":
		header.Set("Acaciacleat-Replica-Id", r.id)
		return
	case misdirected:
		header.Set("Acaciacleat-Replica-Id", r.id)
		header.Set("Acaciacleat-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case request.URL.Path == "/order":
		_ = json.NewEncoder(w).Encode(map[string]any{"Free": 400000})
		return
	}
	id := request.Header.Get("Acaciacleat-Attempt-Id")
	header.Set("Acaciacleat-Attempt-Id", id)
	r.mu.Lock()
	admitted := r.active < 8*r.slots
	r.arrivals = append(r.arrivals, arrival{
		at: at, id: id, replica: r.id, path: request.RequestURI, tenant: request.Header.Get("Acaciacleat-Tenant"),
		lastEvent: request.Header.Get("Last-Event-Id"), ran: admitted,
	})
	if admitted {
		r.active++
	}
	r.mu.Unlock()
	r.run.logf("%s %s reaches %s (%s), tenant %q, helpers %q, %d bytes", id, request.RequestURI, r.id, r.service,
		request.Header.Get("Acaciacleat-Tenant"), request.Header.Get("Acaciacleat-Helpers"), len(body))
	if !admitted {
		header.Set("Acaciacleat-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.active--
	}()
	if r.serial {
		r.reading.Lock()
	}
	over := !sleep(request, r.work)
	if r.serial {
		r.reading.Unlock()
	}
	if over {
		return
	}
	header.Set("Acaciacleat-Response-Seal", "seal-of-"+r.id)
	if r.events == 0 {
		fmt.Fprintf(w, "answer of %s to %s", r.id, id)
		return
	}
	r.stream(w, request)
}

// stream writes the events after Last-Event-Id.
func (r *replica) stream(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= r.events; i++ {
		if i > last+1 && !sleep(request, r.pause) {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i, i)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// sleep waits, and reports false if the caller leaves meanwhile.
func sleep(request *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-request.Context().Done():
		return false
	}
}

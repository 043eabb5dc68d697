package review

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// ran is a request that a replica ran.
type ran struct {
	at                             time.Time
	replica, id, method, path, key string
	tenant                         string
	body                           string
}

// plain is a stand-in of a replica of a plain service.
type plain struct {
	id, service, zone, address string
	work                       time.Duration

	mu   sync.Mutex
	runs []ran
	// leaving is set once the replica is shutting down: its answers say that they end their connections.
	leaving bool
}

func newPlain(id, service, zone string, work time.Duration) *plain {
	p := &plain{id: id, service: service, zone: zone, work: work}
	p.address = serve(p)
	return p
}

// registration is the replica's entry in the table servers.
func (p *plain) registration(state string) []byte {
	value, err := json.Marshal(map[string]any{
		"Service": p.service, "Address": p.address, "Zone": p.zone, "Version": "v1", "Slots": 6,
		"State": state, "ColdLeftMs": 0, "Sequence": 1,
	})
	must(err)
	return value
}

func (p *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("Acaciacleat-Replica-Id", p.id)
		return
	}
	id := r.Header.Get("Acaciacleat-Attempt-Id")
	w.Header().Set("Acaciacleat-Attempt-Id", id)
	if expected := r.Header.Get("Acaciacleat-Expect-Instance"); expected != "" && expected != p.id {
		w.Header().Set("Acaciacleat-Replica-Id", p.id)
		w.Header().Set("Acaciacleat-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.mu.Lock()
	p.runs = append(p.runs, ran{
		at: time.Now(), replica: p.id, id: id, method: r.Method, path: r.RequestURI, key: r.Header.Get("Api-Key"),
		tenant: r.Header.Get("Acaciacleat-Tenant"), body: string(body),
	})
	if p.leaving {
		w.Header().Set("Connection", "close")
	}
	p.mu.Unlock()
	time.Sleep(p.work)
	w.Header().Set("Acaciacleat-Response-Seal", "seal."+p.id+"."+id)
	fmt.Fprintf(w, "%s ran %s", p.id, id)
}

func (p *plain) leave() {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
}

// ranOf returns the runs of a request.
func ranOf(id string, all ...*plain) (found []ran) {
	for _, p := range all {
		p.mu.Lock()
		for _, r := range p.runs {
			if r.id == id {
				found = append(found, r)
			}
		}
		p.mu.Unlock()
	}
	return found
}

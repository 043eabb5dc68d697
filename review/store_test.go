package review

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table     string
	Part      string `json:"part"`
	Key       string
	Value     []byte
	Ver       uint64
	Tombstone bool `json:",omitempty"`
}

type rowName struct{ table, part, key string }

// store is a stand-in of the platform's metadata store. It does what PROTOCOL.md says: transactions, reads of a
// table and feeds.
type store struct {
	mu      sync.Mutex
	version uint64
	rows    map[rowName]row
	history []row
	changed chan struct{}
	// cuts are the callers that are cut off from the store, calls what ends the calls of a caller.
	cuts  map[string]bool
	calls map[string]map[*http.Request]context.CancelFunc
	// reads holds when each caller has last read the feed of replicas, by the address that it uses.
	reads map[string][]time.Time
}

func newStore() *store {
	return &store{version: 1, rows: make(map[rowName]row), changed: make(chan struct{}), cuts: make(map[string]bool), calls: make(map[string]map[*http.Request]context.CancelFunc), reads: make(map[string][]time.Time)}
}

// serveAs serves the store on one more address, so that its calls are told from others and can be cut off.
func (s *store) serveAs(caller string) string {
	s.calls[caller] = make(map[*http.Request]context.CancelFunc)
	return serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		call := r.WithContext(ctx)
		s.mu.Lock()
		s.calls[caller][call] = cancel
		if r.URL.Path == "/rows-feed" && r.URL.Query().Get("Table") == "servers" {
			s.reads[caller] = append(s.reads[caller], time.Now())
		}
		s.mu.Unlock()
		if !s.cut(caller) {
			s.ServeHTTP(&cutWriter{ResponseWriter: w, s: s, caller: caller}, call)
		}
		s.mu.Lock()
		delete(s.calls[caller], call)
		s.mu.Unlock()
		if s.cut(caller) {
			panic(http.ErrAbortHandler) // It resets the connection.
		}
	}))
}

// cutWriter gives no answer to a caller that has been cut off meanwhile.
type cutWriter struct {
	http.ResponseWriter
	s      *store
	caller string
}

func (w *cutWriter) WriteHeader(status int) {
	if w.s.cut(w.caller) {
		panic(http.ErrAbortHandler)
	}
	w.ResponseWriter.WriteHeader(status)
}

func (s *store) cut(caller string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cuts[caller]
}

// cutOff resets the connections of a caller to the store for a time (core_cut, reset).
func (s *store) cutOff(caller string, d time.Duration) {
	s.mu.Lock()
	s.cuts[caller] = true
	for _, cancel := range s.calls[caller] {
		cancel()
	}
	s.mu.Unlock()
	time.Sleep(d)
	s.mu.Lock()
	delete(s.cuts, caller)
	s.mu.Unlock()
}

// readsSince returns how often a caller has read the feed of replicas since a time.
func (s *store) readsSince(caller string, since time.Time) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.reads[caller] {
		if at.After(since) {
			n++
		}
	}
	return n
}

// put writes a row as the operator or a replica does. When it returns, the write is acknowledged.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: value})
	s.wake()
}

// drop removes a row.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Tombstone: true})
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) apply(r row) {
	r.Ver = s.version
	name := rowName{r.Table, r.Part, r.Key}
	if r.Tombstone {
		if _, ok := s.rows[name]; !ok {
			return
		}
		r.Value = nil
		delete(s.rows, name)
	} else {
		s.rows[name] = r
	}
	s.history = append(s.history, r)
}

var started = time.Now()

func reply(w http.ResponseWriter, status int, body map[string]any) {
	body["NowMs"] = time.Since(started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(4 * time.Millisecond) // The sheets give 4 ms an answer.
	query := r.URL.Query()
	switch r.URL.Path {
	case "/rows-tx":
		s.transact(w, body)
	case "/rows-get":
		s.get(w, query.Get("Table"), query.Get("part"), query.Get("Source"), query.Get("Target"))
	case "/rows-feed":
		after, _ := strconv.ParseUint(query.Get("After"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("WaitMs"))
		s.feed(w, r, query.Get("Table"), after, time.Duration(wait)*time.Millisecond)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) transact(w http.ResponseWriter, body []byte) {
	status, answer := s.applyTransaction(body)
	reply(w, status, answer)
}

func (s *store) applyTransaction(body []byte) (int, map[string]any) {
	var tx struct{ ExpectedRevision, Put, Remove []row }
	if json.Unmarshal(body, &tx) != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	met, found := true, []row{}
	for _, c := range tx.ExpectedRevision {
		r := s.rows[rowName{c.Table, c.Part, c.Key}]
		met = met && r.Ver == c.Ver
		if r.Ver > 0 {
			found = append(found, r)
		}
	}
	if !met {
		return http.StatusPreconditionFailed, map[string]any{"Rows": found, "Ver": s.version}
	}
	for _, r := range append(append([]row{}, tx.Put...), tx.Remove...) {
		if r.Table == "op" || r.Table == "servers" {
			return http.StatusForbidden, map[string]any{}
		}
	}
	s.version++
	for _, r := range tx.Put {
		s.apply(r)
	}
	for _, r := range tx.Remove {
		r.Tombstone = true
		s.apply(r)
	}
	s.wake()
	return http.StatusOK, map[string]any{"Ver": s.version}
}

func (s *store) get(w http.ResponseWriter, table, part, source, target string) {
	s.mu.Lock()
	rows, version := []row{}, s.version
	for name, r := range s.rows {
		if name.table == table && name.part == part && name.key >= source && (target == "" || name.key < target) {
			rows = append(rows, r)
		}
	}
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > 500
	if more {
		rows = rows[:500]
	}
	reply(w, http.StatusOK, map[string]any{"Rows": rows, "HasMore": more, "Ver": version})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, table string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		rows := []row{}
		s.mu.Lock()
		for _, h := range s.history {
			if h.Table == table && h.Ver > after {
				rows = append(rows, h)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			reply(w, http.StatusOK, map[string]any{"Rows": rows, "Ver": version})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"Rows": rows, "Ver": version})
			return
		case <-r.Context().Done():
			return
		}
	}
}

package standins2

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
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

type rowKey struct{ table, part, key string }

// store is a stand-in of the platform's store: linearizable, never down, with its whole history.
type store struct {
	start   time.Time
	mu      sync.Mutex
	ver     uint64
	rows    map[rowKey]row
	history []row
	changed chan struct{}
}

func newStore() *store {
	return &store{start: time.Now(), rows: make(map[rowKey]row), changed: make(chan struct{})}
}

// put and remove write as the operator and the replicas do.
func (s *store) put(table, key string, value []byte) {
	s.write([]row{{Table: table, Key: key, Value: value}})
}

func (s *store) remove(table, key string) {
	s.write([]row{{Table: table, Key: key, Tombstone: true}})
}

func (s *store) write(rows []row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(rows)
}

// apply is called with mu held.
func (s *store) apply(rows []row) {
	s.ver++
	for _, r := range rows {
		key := rowKey{r.Table, r.Part, r.Key}
		if _, ok := s.rows[key]; !ok && r.Tombstone {
			continue
		}
		r.Ver = s.ver
		if r.Tombstone {
			delete(s.rows, key)
		} else {
			s.rows[key] = r
		}
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	query := r.URL.Query()
	switch r.Method + " " + r.URL.Path {
	case "POST /rows-tx":
		s.transact(w, body)
	case "GET /rows-get":
		s.get(w, query.Get("Table"), query.Get("part"), query.Get("Source"), query.Get("Target"))
	case "GET /rows-feed":
		after, _ := strconv.ParseUint(query.Get("After"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("WaitMs"))
		s.feed(w, r, query.Get("Table"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) answer(w http.ResponseWriter, status int, fields map[string]any) {
	fields["NowMs"] = time.Since(s.start).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(fields)
}

func (s *store) transact(w http.ResponseWriter, body []byte) {
	var tx struct{ ExpectedRevision, Put, Remove []row }
	if json.Unmarshal(body, &tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	met := true
	found := []row{}
	for _, want := range tx.ExpectedRevision {
		have, ok := s.rows[rowKey{want.Table, want.Part, want.Key}]
		met = met && have.Ver == want.Ver
		if ok {
			found = append(found, have)
		}
	}
	if !met {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"Rows": found, "Ver": s.ver})
		return
	}
	for i := range tx.Remove {
		tx.Remove[i].Tombstone = true
	}
	all := append(tx.Put, tx.Remove...)
	if slices.ContainsFunc(all, func(r row) bool { return r.Table == "op" || r.Table == "servers" }) {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.apply(all)
	s.answer(w, http.StatusOK, map[string]any{"Ver": s.ver})
}

// pageRows is the most rows of an answer.
const pageRows = 500

func (s *store) get(w http.ResponseWriter, table, part, source, target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for key, r := range s.rows {
		if key.table == table && key.part == part && key.key >= source && (target == "" || key.key < target) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	more := len(rows) > pageRows
	s.answer(w, http.StatusOK, map[string]any{"Rows": rows[:min(len(rows), pageRows)], "HasMore": more, "Ver": s.ver})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, table string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		rows := []row{}
		for _, h := range s.history {
			if h.Table == table && h.Ver > after {
				rows = append(rows, h)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		over := false
		if len(rows) == 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
				over = true
			case <-r.Context().Done():
				return
			}
		}
		if len(rows) > 0 || over {
			s.answer(w, http.StatusOK, map[string]any{"Rows": rows, "Ver": ver})
			return
		}
	}
}

package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"acaciacleat.example/peers/httpjson"
	"acaciacleat.example/peers/objects"
	"acaciacleat.example/peers/table"
	"acaciacleat.example/peers/vmlist"
	"acaciacleat.example/peers/weights"
	"acaciacleat.example/standin/faults"
)

// Paths under which Handler mounts the services.
const (
	PathTable   = "/table"
	PathObjects = "/objects"
	// PathVMs also takes a PUT with the current VMs as a JSON list.
	PathVMs     = "/vms"
	PathWeights = "/weights"
	// PathFaults takes a PUT with the faults to apply as a JSON list.
	PathFaults = "/faults"
)

const maxBodyBytes = 64 << 20

// Handler serves the platform over HTTP. In contrast to calls within the process, a call
// without an answer shows as it does to a real client: as a closed connection or a response that never
// arrives.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	p.mountTable(mux)
	p.mountObjects(mux)
	p.mountWeights(mux)
	mux.Handle("GET "+PathVMs, p.serve(OpVMsList, func(call) (any, error) { return p.VMs.list() }))
	mux.HandleFunc("PUT "+PathVMs, p.putVMs)
	mux.HandleFunc("PUT "+PathFaults, p.putFaults)
	return mux
}

func (p *Platform) mountTable(mux *http.ServeMux) {
	mux.Handle("GET "+PathTable+table.PathRow, p.serve(OpTableGet, func(c call) (any, error) {
		key := table.Key{Table: c.query(table.ParamTable), Row: c.query(table.ParamRow)}
		return p.Table.get(key, table.Consistency(c.query(table.ParamConsistency)))
	}))
	mux.Handle("GET "+PathTable+table.PathRows, p.serve(OpTableScan, func(c call) (any, error) {
		limit, err := strconv.Atoi(c.query(table.ParamLimit))
		if err != nil {
			return nil, errors.WithMessage(table.ErrInvalid, err.Error())
		}
		return p.Table.scan(c.query(table.ParamTable), c.query(table.ParamPrefix), c.query(table.ParamAfter),
			limit, table.Consistency(c.query(table.ParamConsistency)))
	}))
	mux.Handle("POST "+PathTable+table.PathCommit, p.serve(OpTableCommit, func(c call) (any, error) {
		var tx table.Tx
		if err := json.Unmarshal(c.body, &tx); err != nil {
			return nil, errors.WithMessage(table.ErrInvalid, err.Error())
		}
		versions, err := p.Table.commit(tx)
		return table.CommitAnswer{Versions: versions}, err
	}))
}

func (p *Platform) mountObjects(mux *http.ServeMux) {
	mux.Handle("GET "+PathObjects, p.serve(OpObjectsGet, func(c call) (any, error) {
		return p.Objects.get(c.query(objects.ParamName))
	}))
	mux.Handle("PUT "+PathObjects, p.serve(OpObjectsPut, func(c call) (any, error) {
		p.Objects.put(c.query(objects.ParamName), c.body)
		return nil, nil
	}))
	mux.Handle("DELETE "+PathObjects, p.serve(OpObjectsDelete, func(c call) (any, error) {
		p.Objects.remove(c.query(objects.ParamName))
		return nil, nil
	}))
}

func (p *Platform) mountWeights(mux *http.ServeMux) {
	mux.Handle("GET "+PathWeights+weights.PathArtifact, p.serve(OpWeightsDescribe, func(c call) (any, error) {
		return p.Weights.describe(c.query(weights.ParamName), c.query(weights.ParamVersion))
	}))
	mux.Handle("GET "+PathWeights+weights.PathRate, p.serve(OpWeightsRate, func(call) (any, error) {
		return weights.RateAnswer{BytesPerSecond: p.Weights.rate}, nil
	}))
}

// call is one HTTP request with its whole body.
type call struct {
	request *http.Request
	body    []byte
}

func (c call) query(name string) string { return c.request.URL.Query().Get(name) }

// serve returns a handler of one operation that applies the table of faults and answers with the
// result of apply.
func (p *Platform) serve(operation string, apply func(call) (any, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeError(w, httpjson.CodeInvalid, err.Error())
			return
		}
		fault, _ := p.Faults.Next(operation)
		switch fault.Kind {
		case faults.Die:
			abortConnection()
		case faults.Silent:
			<-r.Context().Done()
			abortConnection()
		case faults.Outage:
			writeError(w, httpjson.CodeNotApplied, "outage")
			return
		case faults.Slow:
			time.Sleep(fault.Delay)
		}
		answer, err := apply(call{request: r, body: body})
		if fault.Kind == faults.AnswerLost {
			abortConnection()
		}
		writeAnswer(w, answer, err)
	})
}

// abortConnection makes net/http close the connection without an answer.
func abortConnection() { panic(http.ErrAbortHandler) }

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	if list, ok := readList[faults.Fault](w, r); ok {
		p.Faults.Set(list...)
	}
}

func (p *Platform) putVMs(w http.ResponseWriter, r *http.Request) {
	if list, ok := readList[vmlist.VM](w, r); ok {
		p.VMs.Set(list...)
	}
}

// readList reads a JSON list and writes the response.
func readList[T any](w http.ResponseWriter, r *http.Request) ([]T, bool) {
	var list []T
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&list); err != nil {
		writeError(w, httpjson.CodeInvalid, err.Error())
		return nil, false
	}
	w.WriteHeader(http.StatusNoContent)
	return list, true
}

func writeAnswer(w http.ResponseWriter, answer any, err error) {
	if err != nil {
		writeError(w, codeOf(err), err.Error())
		return
	}
	switch value := answer.(type) {
	case nil:
		w.WriteHeader(http.StatusNoContent)
	case []byte:
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(value)
	default:
		writeJSON(w, http.StatusOK, value)
	}
}

func codeOf(err error) httpjson.Code {
	switch {
	case errors.Is(err, table.ErrConflict):
		return httpjson.CodeConflict
	case errors.Is(err, table.ErrNotFound), errors.Is(err, objects.ErrNotFound), errors.Is(err, weights.ErrNotFound):
		return httpjson.CodeNotFound
	case errors.Is(err, weights.ErrRateLimited):
		return httpjson.CodeRateLimited
	default:
		return httpjson.CodeInvalid
	}
}

func writeError(w http.ResponseWriter, code httpjson.Code, detail string) {
	writeJSON(w, code.Status(), httpjson.ErrorBody{Code: code, Detail: detail})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

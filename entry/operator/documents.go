package operator

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/core/result"
	"acaciacleat.example/core/strictjson"
	"acaciacleat.example/peers/documents"
	api "acaciacleat.example/peers/operator"
	"github.com/pkg/errors"
)

// Documents keeps the documents in force, here and at the other entries.
type Documents interface {
	// State returns the state that this entry goes by, or nil before the first.
	State() *documents.State
	// Put stores a document and spreads it; see documents.Store.Put.
	Put(ctx context.Context, service *document.Service, ifMatch string) (document.Revision, *documents.Conflict, error)
	// Follows reports whether this entry knows which others have the revision in force.
	Follows(revision document.Revision) bool
	// Wait waits until all live entries have it or ctx ends, and names those that lack it.
	Wait(ctx context.Context, revision document.Revision) (missing []string)
}

const (
	// putTimeout bounds a put; until it ends a lost answer of the table is settled.
	putTimeout = 10 * time.Second
	// spreadTimeout bounds the wait for the other entries after a put; they normally take
	// less than 2 s.
	spreadTimeout = 5 * time.Second
	// historyLimit is the number of changes shown when the request names none.
	historyLimit = 20
)

func (h *Handler) mountDocuments() {
	one := api.PathDocuments + "/{service}"
	h.mux.HandleFunc("GET "+api.PathDocuments, h.listDocuments)
	h.mux.HandleFunc("GET "+one, h.getDocument)
	h.mux.HandleFunc("PUT "+one, h.putDocument)
	h.mux.HandleFunc("GET "+one+api.SuffixStatus, h.documentStatus)
	h.mux.HandleFunc("GET "+one+api.SuffixHistory, h.documentHistory)
}

// notFollowed stands in the place of the entries that lack a revision when this entry
// can't name them.
const notFollowed = "not followed here: ask the entry that took the put, or each entry's document_revision"

// inForce names what lacks the revision once ctx has ended or nothing does.
func (h *Handler) inForce(ctx context.Context, revision document.Revision) (missing []string) {
	if !h.config.Documents.Follows(revision) {
		return []string{notFollowed}
	}
	return h.config.Documents.Wait(ctx, revision)
}

// state returns the state in force here, or answers that there is none yet. It may be
// older than the table's for a moment; a put based on it then gets the difference.
func (h *Handler) state(w http.ResponseWriter) *documents.State {
	state := h.config.Documents.State()
	if state == nil {
		h.fail(w, result.New(result.NotReady, result.NotRun, "no documents have been read yet"))
	}
	return state
}

// find returns a service's document and the state it is from, or answers that there is none.
func (h *Handler) find(w http.ResponseWriter, r *http.Request) (*document.Service, *documents.State) {
	name := r.PathValue("service")
	state := h.state(w)
	if state == nil {
		return nil, nil
	}
	service := state.Snapshot.Service(name)
	if service == nil {
		h.fail(w, result.New(result.UnknownService, result.NotRun, "no document of service %q", name))
	}
	return service, state
}

func (h *Handler) listDocuments(w http.ResponseWriter, _ *http.Request) {
	state := h.state(w)
	if state == nil {
		return
	}
	list := []api.Summary{}
	state.Snapshot.Services(func(service *document.Service) {
		summary := api.Summary{
			Service:       service.Name,
			Kind:          service.Kind,
			ETag:          state.ETag(service.Name),
			Organisations: len(service.Organisations),
		}
		for _, model := range service.Models {
			summary.Models = append(summary.Models, model.Name)
		}
		list = append(list, summary)
	})
	slices.SortFunc(list, func(a, b api.Summary) int { return cmp.Compare(a.Service, b.Service) })
	h.writeJSON(w, http.StatusOK, list)
}

func (h *Handler) getDocument(w http.ResponseWriter, r *http.Request) {
	service, state := h.find(w, r)
	if service == nil {
		return
	}
	w.Header().Set(api.HeaderETag, state.ETag(service.Name))
	h.writeJSON(w, http.StatusOK, service)
}

func (h *Handler) documentStatus(w http.ResponseWriter, r *http.Request) {
	service, state := h.find(w, r)
	if service == nil {
		return
	}
	now, cancel := context.WithCancel(r.Context())
	cancel()
	h.writeJSON(w, http.StatusOK, api.Status{
		Service: service.Name,
		ETag:    state.ETag(service.Name),
		InForce: state.Revision(),
		Missing: h.inForce(now, state.Revision()),
	})
}

func (h *Handler) documentHistory(w http.ResponseWriter, r *http.Request) {
	limit := historyLimit
	if text := r.URL.Query().Get(api.ParamLimit); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			h.fail(w, result.New(result.BadParameter, result.NotRun, "limit %q is not a number above 0", text))
			return
		}
		limit = n
	}
	ctx, cancel := context.WithTimeout(r.Context(), putTimeout)
	defer cancel()
	history, err := h.config.Store.History(ctx, r.PathValue("service"), limit)
	if err != nil {
		h.fail(w, result.New(result.TableUnavailable, result.NotRun, "%v", err))
		return
	}
	changes := []api.Change{}
	for _, change := range history {
		changes = append(changes, api.Change{Revision: change.Revision, At: change.At, Diff: change.Diff})
	}
	h.writeJSON(w, http.StatusOK, changes)
}

func (h *Handler) putDocument(w http.ResponseWriter, r *http.Request) {
	base, failure := ifMatch(r.Header)
	if failure != nil {
		h.fail(w, failure)
		return
	}
	service, ok := h.readDocument(w, r)
	if !ok || h.state(w) == nil {
		return
	}
	// The operator's own connection may break; the put goes on, for its outcome must be
	// known before this entry takes another.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), putTimeout)
	defer cancel()
	revision, conflict, err := h.config.Documents.Put(ctx, service, base)
	switch {
	case err != nil:
		h.failPut(w, err)
	case conflict != nil:
		h.failWith(w, result.New(result.RevisionConflict, result.NotRun, "now %s", conflict.Current), &api.Problem{Conflict: conflict})
	default:
		h.answerPut(w, r, service.Name, revision)
	}
}

// ifMatch returns the ETag on which a put is based, as Store.Put takes it.
func ifMatch(header http.Header) (string, *result.Error) {
	tags, none := header.Values(api.HeaderIfMatch), header.Get(api.HeaderIfNoneMatch)
	switch {
	case none != "" && none != api.AnyTag:
		return "", result.New(result.BadParameter, result.NotRun, "If-None-Match takes * only")
	case none != "" && len(tags) > 0:
		return "", result.New(result.BadParameter, result.NotRun, "If-Match and If-None-Match exclude each other")
	case len(tags) == 0:
		return documents.IfAbsent, nil
	case len(tags) > 1 || tags[0] == "":
		return "", result.New(result.BadParameter, result.NotRun, "If-Match takes one ETag or *")
	}
	return tags[0], nil
}

// readDocument returns the document of a put, or answers with all its faults.
func (h *Handler) readDocument(w http.ResponseWriter, r *http.Request) (*document.Service, bool) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, api.MaxDocumentBytes))
	if err != nil {
		h.fail(w, result.New(result.BodyTooLarge, result.NotRun, "%v", err))
		return nil, false
	}
	service, faults := document.Parse(text)
	name := r.PathValue("service")
	if service != nil && service.Name != name {
		faults = append(faults, strictjson.NewFault("$.name", service.Name, name+", as in the path", "Correct the name or the path."))
	}
	if len(faults) > 0 {
		h.failPut(w, &documents.InvalidError{Faults: faults})
		return nil, false
	}
	return service, true
}

func (h *Handler) answerPut(w http.ResponseWriter, r *http.Request, service string, revision document.Revision) {
	ctx, cancel := context.WithTimeout(r.Context(), spreadTimeout)
	defer cancel()
	answer := api.PutAnswer{
		Outcome:  api.Accepted,
		Revision: revision,
		ETag:     documents.ETag(revision),
		Missing:  h.inForce(ctx, revision),
	}
	status := http.StatusOK
	if len(answer.Missing) > 0 {
		answer.Outcome = api.Recorded
		status = http.StatusAccepted
	}
	h.config.Log.Info().Str("service", service).Uint64("revision", uint64(revision)).Msg("document stored")
	w.Header().Set(api.HeaderETag, answer.ETag)
	h.writeJSON(w, status, answer)
}

// failPut answers with what is proved about a put that failed.
func (h *Handler) failPut(w http.ResponseWriter, err error) {
	var invalid *documents.InvalidError
	failure := putFailure(err)
	problem := &api.Problem{}
	if errors.As(err, &invalid) {
		problem.Faults = invalid.Faults
	}
	h.failWith(w, failure, problem)
}

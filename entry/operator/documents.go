package operator

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/core/result"
	"acaciacleat.example/core/strictjson"
	"acaciacleat.example/peers/documents"
	"acaciacleat.example/peers/httpserver"
	api "acaciacleat.example/peers/operator"
	"github.com/pkg/errors"
)

// ActiveDocuments provides the active documents and tracks which entries have applied a revision.
type ActiveDocuments interface {
	// State returns the active state of this entry.
	State() *documents.State
	// Refresh activates the newest revision at this entry.
	Refresh(ctx context.Context) error
	// Distribute sends a revision that was stored through this entry to the other entries.
	Distribute(ctx context.Context, revision document.Revision)
	// WaitApplied waits until every live entry has applied the revision or ctx ends, and returns
	// the names of the entries that have not.
	WaitApplied(ctx context.Context, revision document.Revision) []string
}

const (
	// putTimeout bounds a put, including the attempts to resolve a commit whose answer was lost. It
	// also bounds a read of a document's history.
	putTimeout = 10 * time.Second
	// readTimeout bounds the check for a newer revision before a read is answered.
	readTimeout = 2 * time.Second
	// applyTimeout bounds the wait for all entries; a change must be active at all entries within
	// 5 s.
	applyTimeout = 4 * time.Second
	// historyLimit is the number of changes shown if the request does not set a limit.
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

// newestState returns the newest available state. While the table is unavailable this is the active
// state of this entry; a put based on it fails if it is outdated.
func (h *Handler) newestState(r *http.Request) *documents.State {
	ctx, cancel := context.WithTimeout(r.Context(), readTimeout)
	defer cancel()
	if err := h.config.Documents.Refresh(ctx); err != nil {
		h.config.Log.Warn().Err(err).Msg("documents are shown as they are in force here; the table could not be read")
	}
	return h.config.Documents.State()
}

// find returns a service's document and the state that contains it. If there is none, it writes
// an error response and returns a nil document.
func (h *Handler) find(w http.ResponseWriter, r *http.Request) (*document.Service, *documents.State) {
	name := r.PathValue("service")
	state := h.newestState(r)
	service := state.Snapshot.Service(name)
	if service == nil {
		h.fail(w, result.New(result.UnknownService, result.NotRun, "no document of service %q", name))
	}
	return service, state
}

func (h *Handler) listDocuments(w http.ResponseWriter, r *http.Request) {
	state := h.newestState(r)
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
	h.writeJSON(w, http.StatusOK, api.Status{
		Service:        service.Name,
		ETag:           state.ETag(service.Name),
		ActiveRevision: state.Revision(),
		Missing:        append([]string{}, h.missingEntries(r.Context(), state.Revision())...),
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
	if !ok {
		return
	}
	// The put continues if the operator's connection breaks, because its outcome must be known
	// before this entry accepts another put.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), putTimeout)
	defer cancel()
	revision, conflict, err := h.config.Store.Put(ctx, service, base)
	switch {
	case err != nil:
		h.failPut(w, err)
	case conflict != nil:
		h.failWith(w, result.New(result.RevisionConflict, result.NotRun, "now %s", conflict.Current), &api.Problem{Conflict: conflict})
	default:
		h.answerPut(ctx, w, service.Name, revision)
	}
}

// ifMatch returns the precondition of a put in the form of Store.Put: an ETag, IfAbsent or IfAny. It
// reports a failure if the headers are invalid.
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

// readDocument returns the document of a put, or writes an error response with all its faults.
func (h *Handler) readDocument(w http.ResponseWriter, r *http.Request) (*document.Service, bool) {
	text, err := httpserver.ReadBody(r, api.MaxDocumentBytes, time.Time{})
	if err != nil {
		h.fail(w, unreadDocument(err))
		return nil, false
	}
	service, faults := h.parse(r.Context(), text)
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

// parse parses a document. One is parsed at a time, since that takes several times the memory of its text.
func (h *Handler) parse(ctx context.Context, text []byte) (*document.Service, []strictjson.Fault) {
	select {
	case h.parsing <- struct{}{}:
		defer func() { <-h.parsing }()
		return document.Parse(text)
	case <-ctx.Done():
		return nil, []strictjson.Fault{strictjson.NewFault(strictjson.Root, ctx.Err().Error(), "a put that isn't given up", "Put the document again.")}
	}
}

func (h *Handler) answerPut(ctx context.Context, w http.ResponseWriter, service string, revision document.Revision) {
	h.config.Documents.Distribute(ctx, revision)
	answer := api.PutAnswer{
		Outcome:  api.Accepted,
		Revision: revision,
		ETag:     documents.ETag(revision),
		Missing:  h.missingEntries(ctx, revision),
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

// missingEntries returns the names of the live entries that have not applied the revision
// within applyTimeout.
func (h *Handler) missingEntries(ctx context.Context, revision document.Revision) []string {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	return h.config.Documents.WaitApplied(ctx, revision)
}

// failPut writes an error response that says whether the document may have been stored, and lists the
// document's faults if it was rejected for them.
func (h *Handler) failPut(w http.ResponseWriter, err error) {
	var invalid *documents.InvalidError
	failure := putFailure(err)
	problem := &api.Problem{}
	if errors.As(err, &invalid) {
		problem.Faults = invalid.Faults
	}
	h.failWith(w, failure, problem)
}

// unreadDocument returns the refusal of a put whose document could not be read.
func unreadDocument(err error) *result.Error {
	code := result.BodyTooLarge
	switch {
	case errors.Is(err, httpserver.ErrTooSlow):
		code = result.RequestTimeout
	case errors.Is(err, httpserver.ErrNoRoom):
		code = result.EntryFull
	}
	return result.New(code, result.NotRun, "%v", err)
}

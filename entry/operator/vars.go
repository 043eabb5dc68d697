package operator

import (
	"expvar"
	"net/http"

	"acaciacleat.example/peers/vars"
)

// vars serves the expvars of the process together with those of this entry. Several entries may
// run in one process, so an entry's variables are not published globally.
func (h *Handler) vars(w http.ResponseWriter, _ *http.Request) {
	front := h.config.Front
	metrics := front.Metrics()
	own := map[string]expvar.Func{
		"requests":             func() any { return metrics.Requests.Load() },
		"results":              func() any { return metrics.Results() },
		"first_token":          func() any { return metrics.FirstTokens() },
		"token_estimate_error": func() any { return front.TokenEstimateErrors() },
		"ready":                func() any { return h.config.Ready() },
		"document_revision":    func() any { return h.revision() },
		"organisation_limits":  func() any { return h.config.Quota.Counters.Map() },
	}
	vars.Write(w, own)
}

func (h *Handler) revision() uint64 {
	snapshot := h.config.Front.Snapshot()
	if snapshot == nil {
		return 0
	}
	return uint64(snapshot.Revision)
}

package placement

import (
	"math"
	"slices"
	"time"

	"acaciacleat.example/core/document"
)

// judgeCanaries works out the targets, without the canaries that do worse than the
// stable version. A rejected canary stays rejected until the document names another
// version, so that it can't come back once its bad figures have gone.
func (r *round) judgeCanaries() {
	for i := range r.in.Service.Models {
		model := &r.in.Service.Models[i]
		t := target{model: model, canaries: canaries(model)}
		version := ModelVersion{Model: model.Name, Version: model.Canary}
		if t.canaries > 0 && r.reject(model, version) {
			t.canaries = 0
		}
		r.targets = append(r.targets, t)
	}
}

// reject reports whether a canary is or was rejected, and has it stored until it is.
func (r *round) reject(model *document.Model, version ModelVersion) bool {
	if slices.Contains(r.in.Rejected, version) {
		return true
	}
	reason := r.placer.rejected[version]
	if reason == "" {
		reason = r.judge(model)
	}
	if reason == "" {
		return false
	}
	r.placer.rejected[version] = reason
	r.actions = append(r.actions, RejectCanary{ModelVersion: version, Reason: reason})
	return true
}

// canaries returns the number of replicas for the canary: at least one, so that it is
// tried at all, and never all, so that it can be compared.
func canaries(model *document.Model) int {
	if model.Canary == "" || model.CanaryShare <= 0 {
		return 0
	}
	n := max(1, int(math.Round(model.CanaryShare*float64(model.Replicas))))
	return min(n, model.Replicas-1)
}

// figures sums up the replicas of one version.
type figures struct {
	requests   int
	errors     float64
	firstToken float64
}

func (r *round) figures(model, version string) figures {
	var f figures
	for _, e := range r.engines {
		if e.Model != model || e.Version != version {
			continue
		}
		n := float64(e.Requests)
		f.requests += e.Requests
		f.errors += n * e.ErrorRate
		f.firstToken += n * float64(e.FirstToken)
	}
	if f.requests > 0 {
		f.errors /= float64(f.requests)
		f.firstToken /= float64(f.requests)
	}
	return f
}

// firstTokenFloor is a difference that no caller notices: below it a factor means nothing.
const firstTokenFloor = 50 * time.Millisecond

// judge returns why the canary is to be rejected, or nothing.
func (r *round) judge(model *document.Model) Reason {
	config := &r.placer.config
	stable, canary := r.figures(model.Name, model.Version), r.figures(model.Name, model.Canary)
	if stable.requests < config.MinRequests || canary.requests < config.MinRequests {
		return ""
	}
	switch {
	case canary.errors > stable.errors+config.ErrorMargin:
		return ReasonErrors
	case canary.firstToken > stable.firstToken*config.FirstTokenFactor+float64(firstTokenFloor):
		return ReasonFirstTokens
	}
	return ""
}

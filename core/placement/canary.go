package placement

import (
	"math"
	"slices"
	"time"

	"acaciacleat.example/core/document"
)

// evaluateCanaries computes the targets, without canaries that perform worse than the stable
// version. A rejected canary stays rejected until the document names another version, so
// that it is not tried again once its bad statistics are out of date.
func (r *round) evaluateCanaries() {
	for i := range r.in.Service.Models {
		model := &r.in.Service.Models[i]
		t := target{model: model, canaryReplicas: canaryReplicas(model)}
		version := ModelVersion{Model: model.Name, Version: model.Canary}
		if t.canaryReplicas > 0 && r.isRejected(model, version) {
			t.canaryReplicas = 0
		}
		r.targets = append(r.targets, t)
	}
}

// isRejected reports whether a canary is rejected, now or by an earlier decision. Until
// Input.Rejected lists a rejection, each decision asks the caller to store it.
func (r *round) isRejected(model *document.Model, version ModelVersion) bool {
	if slices.Contains(r.in.Rejected, version) {
		return true
	}
	reason := r.placer.rejected[version]
	if reason == "" {
		reason = r.evaluateCanary(model)
	}
	if reason == "" {
		return false
	}
	r.placer.rejected[version] = reason
	r.actions = append(r.actions, RejectCanary{ModelVersion: version, Reason: reason})
	return true
}

// canaryReplicas returns the number of replicas for the canary: at least one, so that it is
// tried at all, but never all, so that it can be compared with the stable version. A model with
// a single replica therefore has no canary.
func canaryReplicas(model *document.Model) int {
	if model.Canary == "" || model.CanaryShare <= 0 {
		return 0
	}
	n := max(1, int(math.Round(model.CanaryShare*float64(model.Replicas))))
	return min(n, model.Replicas-1)
}

// versionStats are the statistics over all replicas of one version: the number of requests, the
// error rate (0 to 1) and the mean time to first token in nanoseconds.
type versionStats struct {
	requests   int
	errors     float64
	firstToken float64
}

func (r *round) versionStats(model, version string) versionStats {
	var stats versionStats
	for _, e := range r.engines {
		if e.Model != model || e.Version != version {
			continue
		}
		n := float64(e.Requests)
		stats.requests += e.Requests
		stats.errors += n * e.ErrorRate
		stats.firstToken += n * float64(e.FirstToken)
	}
	if stats.requests > 0 {
		stats.errors /= float64(stats.requests)
		stats.firstToken /= float64(stats.requests)
	}
	return stats
}

// firstTokenTolerance is a difference in time to first token that callers do not notice. A canary
// may exceed the limit given by Config.FirstTokenFactor by this much.
const firstTokenTolerance = 50 * time.Millisecond

// evaluateCanary returns the reason to reject the canary, or "" to keep it. It keeps a canary until
// both versions have had MinRequests.
func (r *round) evaluateCanary(model *document.Model) Reason {
	config := &r.placer.config
	stable, canary := r.versionStats(model.Name, model.Version), r.versionStats(model.Name, model.Canary)
	if stable.requests < config.MinRequests || canary.requests < config.MinRequests {
		return ""
	}
	switch {
	case canary.errors > stable.errors+config.ErrorMargin:
		return ReasonErrors
	case canary.firstToken > stable.firstToken*config.FirstTokenFactor+float64(firstTokenTolerance):
		return ReasonFirstTokens
	}
	return ""
}

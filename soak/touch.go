package soak

import "time"

// The platform's bounds on how late an entry may be. They bind each entry that is in touch: for stableWindow
// nothing has disrupted its process, its connections to the store, or the store itself.
const (
	stableWindow = 3 * time.Second
	// applyLimit is the time within which a configuration must be applied, largeApplyLimit that for one with
	// additional routes, which the platform's store takes seconds to acknowledge and the stand-in doesn't. A store
	// that drops its history or turns some entries away stretches them by stretchLimit at most.
	applyLimit      = 2 * time.Second
	largeApplyLimit = 5 * time.Second
	stretchLimit    = 5 * time.Second
	// leaveLimit is the time after which an upstream that leaves gets no more requests.
	leaveLimit = 2 * time.Second
)

// inTouch reports whether an entry is in touch at a time; allEntries asks for the store alone.
func (r *recorder) inTouch(entry int, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.disrupted(entry, at, false) && !r.disrupted(entry, at, true)
}

// touchBetween reports whether an entry is in touch at each moment between two times, but for disruptions that stretch the
// bound of configurations, and by how much they do.
func (r *recorder) touchBetween(entry int, from, to time.Time) (inTouch bool, stretch time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.disruptedBetween(entry, from, to, true) {
		stretch = stretchLimit
	}
	return !r.disruptedBetween(entry, from, to, false), stretch
}

// disrupted reports whether a disruption has affected an entry within stableWindow before a time, one that stretches
// the bound of configurations or any other. It is called with mu held.
func (r *recorder) disrupted(entry int, at time.Time, stretches bool) bool {
	return r.disruptedBetween(entry, at, at, stretches)
}

// disruptedBetween is disrupted for any moment between two times. It is called with mu held.
func (r *recorder) disruptedBetween(entry int, from, to time.Time, stretches bool) bool {
	for _, d := range r.disruptions {
		affected := d.affects(entry, []disruptedPart{partStore, partProcess})
		if affected && d.stretches == stretches && d.overlaps(from.Add(-stableWindow), to, 0) {
			return true
		}
	}
	return false
}

// versionPoll is an answer of an entry's process to a question for its configuration version.
type versionPoll struct {
	entry   *entry
	process *process
	askedAt time.Time
	// previous is the version in the answer before, zero for none.
	previous, version uint64
}

// checkVersion checks the configuration version that an entry's process applies. For a process that started less
// than stableWindow ago, it checks only that the version is not lower than the previous one.
func (r *recorder) checkVersion(poll versionPoll) {
	entry := poll.entry.index
	if poll.version < poll.previous {
		r.addViolation(ConfigurationReverted, "entry %d obeys version %d after %d", entry, poll.version, poll.previous)
	}
	if poll.askedAt.Sub(poll.process.started) < stableWindow {
		return
	}
	r.mu.Lock()
	stretch := time.Duration(0)
	if r.disrupted(entry, poll.askedAt, true) {
		stretch = stretchLimit
	}
	var expected acknowledgedVersion
	for _, c := range r.versions {
		if poll.askedAt.Sub(c.at) > c.limit+stretch {
			expected = c
		}
	}
	excused := r.disrupted(entry, poll.askedAt, false)
	r.mu.Unlock()
	if expected.version > poll.version && !excused {
		r.addViolation(ConfigurationStale, "entry %d obeys version %d; %d was made %s ago", entry, poll.version, expected.version,
			poll.askedAt.Sub(expected.at).Round(time.Millisecond))
	}
}

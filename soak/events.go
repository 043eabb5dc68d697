package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"

	"acaciacleat.example/platform/standin"
	"acaciacleat.example/standin/faults"
	"acaciacleat.example/standin/relay"
)

const (
	// storeConnectionDelay (StoreSlow) and upstreamDelay (UpstreamSlow) delay all data on a
	// connection in each direction. storeCallDelay is the delay of each call under StoreDelayed.
	storeConnectionDelay = 300 * time.Millisecond
	upstreamDelay        = 40 * time.Millisecond
	storeCallDelay       = 700 * time.Millisecond
	// lowStoreBandwidth is in bytes per second.
	lowStoreBandwidth = 1 << 20
	// routesPerGrow is the number of routes that Grow adds, maxExtraRoutes their largest total. With
	// maxExtraRoutes, the route table does not fit into one frame of a link.
	routesPerGrow  = 4000
	maxExtraRoutes = 8000
	// faultyRequests is the number of requests to a service that UpstreamFaults affects.
	faultyRequests = 4
	// drainDuration is the shortest time for which an upstream drains.
	drainDuration = leaveLimit + 2*time.Second
	// restartNoticeLimit is the time within which entries learn from the registry that an upstream
	// has restarted. They watch the registry and read its changes within milliseconds.
	restartNoticeLimit = time.Second
)

// apply executes one event and returns when it has ended.
func (h *harness) apply(ctx context.Context, event Event) {
	duration := time.Duration(event.ForMs) * time.Millisecond
	switch event.Kind {
	case Stop, Kill, Pause, Reload:
		h.disruptProcess(ctx, event.Kind, h.entries[event.Target], duration)
	case KillAll:
		h.killAll(ctx, duration)
	case CallerReset, CallerSilent:
		e := h.entries[event.Target]
		h.disruptConnections(ctx, event.Kind, e.callerRelay, duration, h.recorder.beginDisruption(partCallers, e.index))
	case StoreReset, StoreSilent, StoreOneWay, StoreSlow:
		e := h.entries[event.Target]
		h.disruptConnections(ctx, event.Kind, e.storeRelay, duration, h.recorder.beginDisruption(partStore, e.index))
	case UpstreamReset, UpstreamSilent, UpstreamOneWay, UpstreamSlow:
		h.disruptConnections(ctx, event.Kind, h.upstreamRelays[event.Target], duration, h.recorder.beginDisruption(partUpstreams, allEntries))
	case StoreOutage, StoreUnresponsive, StoreAnswersLost, StoreDelayed, StoreCompacted, StoreFeedsClosed:
		h.disruptStore(ctx, event.Kind, duration)
	case StoreGap:
		h.leaveGap(ctx, h.standins.Replicas()[event.Target], duration, event.AtMs)
	case StoreVersionsAhead:
		h.moveVersionsAhead(ctx, duration)
	case StoreTurnsAway:
		h.turnAway(ctx, h.entries[event.Target], duration)
	case LeaveUnsaid:
		h.leaveUnsaid(ctx, h.standins.Replicas()[event.Target], duration)
	case StoreLowBandwidth:
		h.limitBandwidth(ctx, h.entries[event.Target], duration)
	case Configure:
		h.configure(0)
	case Grow:
		h.configure(routesPerGrow)
	case ChangeAccess:
		h.changeAccess(ctx, 1+event.Target, duration)
	case StoreReadsBehind:
		h.readBehind(ctx, event)
	case Drain:
		h.drainUpstream(ctx, h.standins.Replicas()[event.Target], duration)
	case ForeignRows:
		h.addForeignRows(ctx, h.standins.Replicas()[event.Target], duration)
	case Restart:
		h.restartUpstream(ctx, h.standins.Replicas()[event.Target], duration)
	case CrashingRequest:
		h.sendCrashingRequests(ctx, crashCause{path: fmt.Sprintf("%s%d", fatalPrefix, event.AtMs)}, duration)
	case CrashingSegment:
		cause := crashCause{path: fmt.Sprintf("/ask/segment-%d", event.AtMs), segment: fmt.Sprintf("%s%d", fatalSegmentPrefix, event.AtMs)}
		h.sendCrashingRequests(ctx, cause, duration)
	case NameLimit:
		h.nameLimit(ctx, h.standins.Replicas()[event.Target], event)
	case ColdRestart:
		h.coldRestart(ctx, h.standins.Replicas()[event.Target], duration)
	case Leave:
		h.leaveByAnswer(ctx, h.standins.Replicas()[event.Target], duration)
	case AskForPause:
		h.askForPause(ctx, h.standins.Replicas()[event.Target], duration)
	case Evacuate:
		h.evacuate(ctx, event)
	case EngineSlow:
		h.slowEngine(ctx, h.standins.Engines[event.Target%len(h.standins.Engines)], duration)
	case UpstreamFaults:
		h.injectUpstreamFaults(ctx, event.Target, [2]standin.ReplicaFault{standin.ReplicaFault(event.Fault), event.secondFault()}, duration)
	}
}

// injectUpstreamFaults applies two faults alternately to the next requests of a service, whichever
// of its upstreams receives them, so that a retry meets another fault than the first attempt.
func (h *harness) injectUpstreamFaults(ctx context.Context, target int, alternating [2]standin.ReplicaFault, duration time.Duration) {
	defer h.recorder.beginDisruption(partUpstreams, allEntries)()
	replicas := h.standins.Plains
	if target < len(h.standins.Engines) {
		replicas = h.standins.Engines
	}
	shared := standin.FaultQueue(slices.Repeat(alternating[:], faultyRequests/len(alternating))...)
	for _, replica := range replicas {
		replica.ShareFaults(shared)
	}
	wait(ctx, duration)
	for _, replica := range replicas {
		replica.ClearFaults()
	}
}

func (h *harness) disruptProcess(ctx context.Context, kind Kind, e *entry, duration time.Duration) {
	e.restartMu.Lock()
	defer e.restartMu.Unlock()
	p, _ := e.current()
	switch kind {
	case Stop:
		h.stop(e)
		h.restartEntry(e)
	case Kill:
		defer h.recorder.beginDisruption(partProcess, e.index)()
		e.terminate(syscall.SIGKILL)
		wait(ctx, duration)
		h.restartEntry(e)
	case Pause:
		defer h.recorder.beginDisruption(partProcess, e.index)()
		p.paused.Store(true)
		p.signal(syscall.SIGSTOP)
		wait(ctx, duration)
		p.paused.Store(false)
		p.signal(syscall.SIGCONT)
	case Reload:
		if err := e.changeSettings(); err != nil {
			h.recorder.addViolation(ProcessFailed, "the settings of entry %d can't be changed: %v", e.index, err)
		}
		p.signal(syscall.SIGHUP)
	}
}

func (h *harness) killAll(ctx context.Context, duration time.Duration) {
	for _, e := range h.entries {
		e.restartMu.Lock()
		defer e.restartMu.Unlock()
		defer h.recorder.beginDisruption(partProcess, e.index)()
		e.terminate(syscall.SIGKILL)
	}
	wait(ctx, duration)
	for _, e := range h.entries {
		h.restartEntry(e)
	}
}

func (h *harness) disruptConnections(ctx context.Context, kind Kind, r *relay.Relay, duration time.Duration, end func()) {
	defer end()
	switch kind {
	case CallerReset, StoreReset, UpstreamReset:
		r.Reset()
		return
	case CallerSilent, StoreSilent, UpstreamSilent:
		r.Drop(relay.ToTarget, relay.FromTarget)
	case StoreOneWay, UpstreamOneWay:
		r.Drop(relay.FromTarget)
	case StoreSlow:
		r.Delay(storeConnectionDelay)
	case UpstreamSlow:
		r.Delay(upstreamDelay)
	}
	wait(ctx, duration)
	r.Restore()
}

// disruptStore injects a fault into the store itself. If faults overlap, the one set last replaces
// the others and stays active until all have ended. StoreCompacted has no duration.
func (h *harness) disruptStore(ctx context.Context, kind Kind, duration time.Duration) {
	store := h.standins.Store
	if kind == StoreCompacted {
		defer h.recorder.begin(&disruption{part: partStore, entry: allEntries, stretches: true})()
		store.Compact()
		return
	}
	defer h.recorder.beginDisruption(partStore, allEntries)()
	fault := faults.Fault{Operation: "*"}
	switch kind {
	case StoreOutage:
		fault.Kind = faults.Outage
	case StoreUnresponsive:
		fault.Kind = faults.Silent
	case StoreAnswersLost:
		fault.Kind = faults.AnswerLost
	case StoreDelayed:
		fault.Kind, fault.Delay = faults.Slow, storeCallDelay
	case StoreFeedsClosed:
		fault.Operation, fault.Kind = standin.OpFeed, faults.Die
	}
	h.mu.Lock()
	h.storeFaults++
	store.Faults.Set(fault)
	h.mu.Unlock()
	wait(ctx, duration)
	h.mu.Lock()
	h.storeFaults--
	if h.storeFaults == 0 {
		store.Faults.Set()
	}
	h.mu.Unlock()
}

// limitBandwidth limits the bandwidth between an entry and the store for the duration.
func (h *harness) limitBandwidth(ctx context.Context, e *entry, duration time.Duration) {
	e.storeRelay.SetLink(relay.NewLink(lowStoreBandwidth))
	wait(ctx, duration)
	e.storeRelay.SetLink(nil)
}

// configure writes a new version of the configuration with more extra routes.
func (h *harness) configure(more int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configVersion++
	h.extraRoutes = min(h.extraRoutes+more, maxExtraRoutes)
	limit := applyLimit
	if h.extraRoutes > 0 {
		limit = largeApplyLimit
	}
	h.writeVersion(limit)
	h.recorder.recordVersion(uint64(h.configVersion), limit)
}

// writeVersion writes the version h.configVersion of the configuration and records it for the judge of refusals. It is called
// with mu held, or before the run.
func (h *harness) writeVersion(limit time.Duration) {
	if h.plan.AccessCallers > 0 {
		h.standins.Access = h.access.next(h.configVersion)
	}
	sent := time.Now()
	text, err := h.standins.Configure(h.configVersion, h.extraRoutes)
	if err != nil {
		h.recorder.addViolation(NotRecovered, "version %d can't be written: %v", h.configVersion, err)
		return
	}
	h.refusals.addVersion(writtenVersion{number: h.configVersion, sent: sent, acknowledged: time.Now(), limit: limit, text: text})
}

// allUndisrupted reports whether nothing disrupted any entry or its connections to the store
// between two times.
func (h *harness) allUndisrupted(from, to time.Time) bool {
	return !slices.ContainsFunc(h.entries, func(e *entry) bool {
		return !h.recorder.undisrupted(e.index, from.Add(-reconnectTime), to, partStore, partProcess)
	})
}

// restartUpstream restarts an upstream twice under its ID, the second time without closing the
// connections of waiting requests. It checks that no request still waits for an earlier incarnation
// once entries must know of the restart.
func (h *harness) restartUpstream(ctx context.Context, replica *standin.Replica, duration time.Duration) {
	lock := h.rowLocks[replica]
	lock.Lock()
	defer lock.Unlock()
	defer h.recorder.beginDisruption(partUpstreams, allEntries)()
	for _, silent := range []bool{false, true} {
		began := time.Now()
		replica.Restart(began.UnixMilli(), silent)
		replica.Register(h.standins.Store, "ready")
		wait(ctx, duration+restartNoticeLimit)
		if n := replica.StaleRequests(); n > 0 && ctx.Err() == nil && h.allUndisrupted(began, time.Now()) {
			h.recorder.addViolation(StaleRequests, "%d requests still wait for an earlier life of %s", n, replica.ID)
		}
	}
}

// checkConfiguration checks that each entry serves the route of the latest version and answers 404
// for the route of the version before.
func (h *harness) checkConfiguration() {
	h.mu.Lock()
	version := h.configVersion
	h.mu.Unlock()
	if version == 1 {
		return // There is no earlier version.
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: clientTimeout}
	for _, e := range h.entries {
		h.checkRoute(client, e, version, http.StatusOK)
		h.checkRoute(client, e, version-1, http.StatusNotFound)
	}
}

func (h *harness) checkRoute(client *http.Client, e *entry, version, want int) {
	call := standin.Call{ID: fmt.Sprintf("version-%d-%d", e.index, version), Path: standin.VersionPath(version) + "x"}
	request, err := call.Request(e.callerRelay.Addr())
	if err != nil {
		h.recorder.addViolation(NotRecovered, "a request can't be made: %v", err)
		return
	}
	got, err := client.Do(request)
	if err != nil {
		h.recorder.addViolation(NotRecovered, "entry %d does not answer for version %d: %v", e.index, version, err)
		return
	}
	defer got.Body.Close()
	if got.StatusCode != want {
		h.recorder.addViolation(ConfigurationStale, "entry %d answers %d for the route of version %d; want %d", e.index, got.StatusCode, version, want)
	}
}

// drainUpstream marks an upstream as draining and checks that it gets no more requests.
func (h *harness) drainUpstream(ctx context.Context, replica *standin.Replica, duration time.Duration) {
	h.checkUnused(ctx, replica, duration, func() { replica.Register(h.standins.Store, "draining") })
}

// addForeignRows adds rows of another writer, which can't be decoded, to the registry. It replaces an
// upstream's own row by such a row and checks that this upstream gets no more requests.
func (h *harness) addForeignRows(ctx context.Context, replica *standin.Replica, duration time.Duration) {
	store := h.standins.Store
	rows := map[string]string{
		"foreign-1-" + replica.ID: `"not base64!"`,
		"foreign-2-" + replica.ID: `17`,     // not a string
		"foreign-3-" + replica.ID: `"e30="`, // base64 of {}, a registration without fields
	}
	for key, value := range rows {
		store.PutRaw("servers", key, []byte(value))
		defer store.Remove("servers", key)
	}
	// The upstream's own row becomes the base64 of "no entry", which is not a registration.
	h.checkUnused(ctx, replica, duration, func() { store.PutRaw("servers", replica.ID, []byte(`"bm8gZW50cnk="`)) })
}

// checkUnused makes an upstream unusable by calling begin and checks that it gets no more requests of entries in touch
// once leaveLimit has passed. A store that isn't stable when it accepts the change excuses late requests.
func (h *harness) checkUnused(ctx context.Context, replica *standin.Replica, duration time.Duration, begin func()) {
	lock := h.rowLocks[replica]
	lock.Lock()
	defer lock.Unlock()
	begin()
	began := time.Now()
	stable := h.recorder.inTouch(allEntries, began)
	defer replica.Register(h.standins.Store, "ready")
	wait(ctx, drainDuration+duration)
	ended := time.Now()
	if !stable {
		return
	}
	for _, run := range replica.Runs() {
		after := run.At.Sub(began)
		if after > leaveLimit && run.At.Before(ended) && h.senderInTouch(run) {
			h.recorder.addViolation(UsedWhileDraining, "%s got %s %s after it began to leave", replica.ID, run.URI, after.Round(time.Millisecond))
		}
	}
}

// senderInTouch reports whether the entry that a request was sent to is in touch when it runs. A request whose entry
// isn't known may be any entry's.
func (h *harness) senderInTouch(run standin.Run) bool {
	if sent, known := h.statements.senderOf(run.ID); known {
		return h.recorder.inTouch(sent.entry, run.At)
	}
	return !slices.ContainsFunc(h.entries, func(e *entry) bool { return !h.recorder.inTouch(e.index, run.At) })
}

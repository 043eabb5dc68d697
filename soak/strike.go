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
	// slowStore and slowUpstream are the delays of a way that is slow, in one direction;
	// lateStore is that of a store that answers late.
	slowStore    = 300 * time.Millisecond
	slowUpstream = 40 * time.Millisecond
	lateStore    = 700 * time.Millisecond
	// narrowStore is the bandwidth of a narrow way, in bytes a second.
	narrowStore = 1 << 20
	// growBy is how many routes a configuration gets at a time, mostRoutes how many it may have: they
	// make a table that no frame of a link holds.
	growBy     = 4000
	mostRoutes = 8000
	// badRequests is how many requests the upstreams of a service treat wrong.
	badRequests = 4
	// lookAway is the time in which entries stop sending requests to an upstream that
	// leaves: the platform's bound. leavesFor is how long it leaves at least.
	lookAway  = 3 * time.Second
	leavesFor = lookAway + time.Second
	// toldOf is the time in which entries hear from the registry that an upstream has started
	// again (they wait for its changes, and read them in some milliseconds).
	toldOf = time.Second
)

// strike carries out one event and waits for its end.
func (w *world) strike(ctx context.Context, event Event) {
	lasts := time.Duration(event.ForMs) * time.Millisecond
	switch event.Kind {
	case Stop, Kill, Pause, Reload:
		w.strikeProcess(ctx, event.Kind, w.entries[event.Target], lasts)
	case KillAll:
		w.killAll(ctx, lasts)
	case CallerReset, CallerSilent:
		e := w.entries[event.Target]
		w.strikeWay(ctx, event.Kind, e.callers, lasts, w.book.disturb(hopCallers, e.index))
	case StoreReset, StoreSilent, StoreOneWay, StoreSlow:
		e := w.entries[event.Target]
		w.strikeWay(ctx, event.Kind, e.store, lasts, w.book.disturb(hopStore, e.index))
	case UpstreamReset, UpstreamSilent, UpstreamOneWay, UpstreamSlow:
		w.strikeWay(ctx, event.Kind, w.upstreams[event.Target], lasts, w.book.disturb(hopUpstreams, everyEntry))
	case StoreOutage, StoreMute, StoreLosing, StoreLate, StoreForgets, StoreFeedsDie:
		w.strikeStore(ctx, event.Kind, lasts)
	case StoreNarrow:
		w.narrow(ctx, w.entries[event.Target], lasts)
	case Configure:
		w.configure(0)
	case Grow:
		w.configure(growBy)
	case Leave:
		w.leave(ctx, w.standins.Replicas()[event.Target], lasts)
	case ForeignRows:
		w.foreign(ctx, w.standins.Replicas()[event.Target], lasts)
	case Reborn:
		w.reborn(ctx, w.standins.Replicas()[event.Target], lasts)
	case CrashingRequest:
		w.crashing(ctx, fmt.Sprintf("%s%d", fatalPrefix, event.AtMs), lasts)
	case Misbehave:
		w.misbehave(ctx, event.Target, [2]standin.ReplicaFault{standin.ReplicaFault(event.How), event.other()}, lasts)
	}
}

// misbehave makes the upstreams of a service treat their next requests wrong in two ways by
// turns, whichever of them is asked: a second try then meets another misdeed than the first.
func (w *world) misbehave(ctx context.Context, target int, misdeeds [2]standin.ReplicaFault, lasts time.Duration) {
	defer w.book.disturb(hopUpstreams, everyEntry)()
	replicas := w.standins.Plains
	if target < len(w.standins.Engines) {
		replicas = w.standins.Engines
	}
	shared := standin.FaultQueue(slices.Repeat(misdeeds[:], badRequests/len(misdeeds))...)
	for _, replica := range replicas {
		replica.ShareFaults(shared)
	}
	wait(ctx, lasts)
	for _, replica := range replicas {
		replica.ClearFaults()
	}
}

func (w *world) strikeProcess(ctx context.Context, kind Kind, e *entry, lasts time.Duration) {
	e.turn.Lock()
	defer e.turn.Unlock()
	life, _ := e.now()
	switch kind {
	case Stop:
		w.stop(e)
		w.replace(e)
	case Kill:
		defer w.book.disturb(hopProcess, e.index)()
		e.end(syscall.SIGKILL)
		wait(ctx, lasts)
		w.replace(e)
	case Pause:
		defer w.book.disturb(hopProcess, e.index)()
		life.signal(syscall.SIGSTOP)
		wait(ctx, lasts)
		life.signal(syscall.SIGCONT)
	case Reload:
		if err := e.changeSettings(); err != nil {
			w.book.broken(Ended, "the settings of entry %d can't be changed: %v", e.index, err)
		}
		life.signal(syscall.SIGHUP)
	}
}

func (w *world) killAll(ctx context.Context, lasts time.Duration) {
	for _, e := range w.entries {
		e.turn.Lock()
		defer e.turn.Unlock()
		defer w.book.disturb(hopProcess, e.index)()
		e.end(syscall.SIGKILL)
	}
	wait(ctx, lasts)
	for _, e := range w.entries {
		w.replace(e)
	}
}

func (w *world) strikeWay(ctx context.Context, kind Kind, way *relay.Relay, lasts time.Duration, over func()) {
	defer over()
	switch kind {
	case CallerReset, StoreReset, UpstreamReset:
		way.Reset()
		return
	case CallerSilent, StoreSilent, UpstreamSilent:
		way.Drop(relay.ToTarget, relay.FromTarget)
	case StoreOneWay, UpstreamOneWay:
		way.Drop(relay.FromTarget)
	case StoreSlow:
		way.Delay(slowStore)
	case UpstreamSlow:
		way.Delay(slowUpstream)
	}
	wait(ctx, lasts)
	way.Restore()
}

// strikeStore makes the store itself fail. Of faults that overlap the last one acts.
func (w *world) strikeStore(ctx context.Context, kind Kind, lasts time.Duration) {
	defer w.book.disturb(hopStore, everyEntry)()
	store := w.standins.Store
	fault := faults.Fault{Operation: "*"}
	switch kind {
	case StoreForgets:
		store.Compact()
		return
	case StoreOutage:
		fault.Kind = faults.Outage
	case StoreMute:
		fault.Kind = faults.Silent
	case StoreLosing:
		fault.Kind = faults.AnswerLost
	case StoreLate:
		fault.Kind, fault.Delay = faults.Slow, lateStore
	case StoreFeedsDie:
		fault.Operation, fault.Kind = standin.OpFeed, faults.Die
	}
	w.mu.Lock()
	w.storeFaults++
	store.Faults.Set(fault)
	w.mu.Unlock()
	wait(ctx, lasts)
	w.mu.Lock()
	w.storeFaults--
	if w.storeFaults == 0 {
		store.Faults.Set()
	}
	w.mu.Unlock()
}

// narrow gives an entry's way to the store little bandwidth for a while.
func (w *world) narrow(ctx context.Context, e *entry, lasts time.Duration) {
	e.store.Over(relay.NewLink(narrowStore))
	wait(ctx, lasts)
	e.store.Over(nil)
}

// configure makes a version of the configuration, with so many routes more.
func (w *world) configure(more int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.routes = min(w.routes+more, mostRoutes)
	w.standins.Configure(w.version, w.routes)
	w.book.configurationMade(uint64(w.version))
}

// allCalm tells whether nothing struck any entry or its way to the store between two times.
func (w *world) allCalm(from, to time.Time) bool {
	return !slices.ContainsFunc(w.entries, func(e *entry) bool {
		return !w.book.calm(e.index, from.Add(-aftermath), to, hopStore, hopProcess)
	})
}

// reborn starts an upstream again under its id, and again; the second time those who wait for
// its answers are not told. It judges who still waits for an answer of the earlier life once
// entries must know.
func (w *world) reborn(ctx context.Context, replica *standin.Replica, lasts time.Duration) {
	turn := w.rows[replica]
	turn.Lock()
	defer turn.Unlock()
	defer w.book.disturb(hopUpstreams, everyEntry)()
	for _, silent := range []bool{false, true} {
		began := time.Now()
		replica.Restart(began.UnixMilli(), silent)
		replica.Register(w.standins.Store, "ready")
		wait(ctx, lasts+toldOf)
		if n := replica.StaleRequests(); n > 0 && ctx.Err() == nil && w.allCalm(began, time.Now()) {
			w.book.broken(Outlived, "%d requests still wait for an earlier life of %s", n, replica.ID)
		}
	}
}

// judgeConfiguration asks each entry for the last version's own route and for that of the
// version before.
func (w *world) judgeConfiguration() {
	w.mu.Lock()
	version := w.version
	w.mu.Unlock()
	if version == 1 {
		return // There is none before.
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callersPatience}
	for _, e := range w.entries {
		w.judgeRoute(client, e, version, http.StatusOK)
		w.judgeRoute(client, e, version-1, http.StatusNotFound)
	}
}

func (w *world) judgeRoute(client *http.Client, e *entry, version, want int) {
	call := standin.Call{ID: fmt.Sprintf("version-%d-%d", e.index, version), Path: standin.VersionPath(version) + "x"}
	request, err := call.Request(e.callers.Addr())
	if err != nil {
		w.book.broken(Unwell, "a request can't be made: %v", err)
		return
	}
	got, err := client.Do(request)
	if err != nil {
		w.book.broken(Unwell, "entry %d does not answer for version %d: %v", e.index, version, err)
		return
	}
	defer got.Body.Close()
	if got.StatusCode != want {
		w.book.broken(Stale, "entry %d answers %d for the route of version %d; want %d", e.index, got.StatusCode, version, want)
	}
}

// leave marks an upstream as leaving, and judges who still sends it requests.
func (w *world) leave(ctx context.Context, replica *standin.Replica, lasts time.Duration) {
	w.unused(ctx, replica, lasts, func() { replica.Register(w.standins.Store, "draining") })
}

// foreign leaves rows that no upstream wrote, one of them in place of an upstream's own, and
// judges who still sends that one requests.
func (w *world) foreign(ctx context.Context, replica *standin.Replica, lasts time.Duration) {
	store := w.standins.Store
	rows := map[string]string{
		"foreign-1-" + replica.ID: `"not base64!"`,
		"foreign-2-" + replica.ID: `17`,
		"foreign-3-" + replica.ID: `"e30="`, // {}
	}
	for key, value := range rows {
		store.PutRaw("servers", key, []byte(value))
		defer store.Remove("servers", key)
	}
	w.unused(ctx, replica, lasts, func() { store.PutRaw("servers", replica.ID, []byte(`"bm8gZW50cnk="`)) })
}

// unused makes an upstream one that may not be used, and judges who still sends it requests.
// What runs there may be a try that an entry was frozen over, so entries must have been well.
func (w *world) unused(ctx context.Context, replica *standin.Replica, lasts time.Duration, begin func()) {
	turn := w.rows[replica]
	turn.Lock()
	defer turn.Unlock()
	began := time.Now()
	begin()
	defer replica.Register(w.standins.Store, "ready")
	wait(ctx, leavesFor+lasts)
	ended := time.Now()
	if !w.allCalm(began, ended) {
		return
	}
	for _, run := range replica.Runs() {
		if after := run.At.Sub(began); after > lookAway && run.At.Before(ended) {
			w.book.broken(LeftAlone, "%s got %s %s after it began to leave", replica.ID, run.URI, after.Round(time.Millisecond))
		}
	}
}

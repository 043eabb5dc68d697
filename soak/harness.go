package soak

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	shared "acaciacleat.example/peers/settings"
	"acaciacleat.example/platform/standin"
	"acaciacleat.example/standin/relay"
	"github.com/pkg/errors"
)

// harness holds the parts of one run: the stand-ins, the relays, the entries and the plan.
type harness struct {
	plan       *Plan
	dir        string
	recorder   *recorder
	statements *statementRecord
	standins   *standin.Deployment
	// upstreamRelays are the relays in front of the upstreams, in the order of standins.Replicas.
	upstreamRelays []*relay.Relay
	entries        []*entry

	// rowLocks has a lock for each upstream's row in the registry, so that events change it one at
	// a time.
	refusals *refusalJudge

	rowLocks  map[*standin.Replica]*sync.Mutex
	zoneLocks zoneLocks

	mu sync.Mutex
	// stopTimes holds the time at which each process was told to stop gracefully.
	stopTimes map[*process]time.Time
	// configVersion is the latest version of the configuration.
	configVersion int
	// extraRoutes is the number of generated routes in that version.
	extraRoutes int
	// access draws what each version allows.
	access *accessHistory
	// storeLags counts the active StoreReadsBehind events.
	storeLags int
	// storeFaults counts the active faults of the store itself: the store recovers when the last
	// one ends.
	storeFaults int
}

// newHarness starts all parts and waits until all entries are ready.
func newHarness(ctx context.Context, plan *Plan, program, dir string) (*harness, error) {
	h := &harness{plan: plan, dir: dir, recorder: newRecorder(), statements: newStatementRecord(), stopTimes: make(map[*process]time.Time), configVersion: 1,
		access: newAccessHistory(plan.Seed), refusals: &refusalJudge{}}
	var err error
	if h.standins, err = standin.Start("127.0.0.1:0", plan.Engines, plan.Plains); err != nil {
		return nil, err
	}
	h.standins.Cold = plan.coldFigures()
	h.writeVersion(applyLimit)
	if err := h.startUpstreamRelays(); err != nil {
		return h, err
	}
	for i := range plan.Entries {
		if err := h.startEntry(i, program); err != nil {
			return h, err
		}
	}
	for _, e := range h.entries {
		go e.watch(ctx, h.recorder.checkVersion)
		go h.supervise(ctx, e)
	}
	return h, h.awaitReady(ctx)
}

// startUpstreamRelays configures the upstreams, starts a relay in front of each, and registers the
// upstreams under the addresses of their relays.
func (h *harness) startUpstreamRelays() error {
	for _, engine := range h.standins.Engines {
		engine.Events, engine.EventInterval = streamEvents, eventInterval
		engine.CrashOn(isFatal)
	}
	h.rowLocks = make(map[*standin.Replica]*sync.Mutex)
	for i, replica := range h.standins.Replicas() {
		replica.Zone = zoneOf(i)
		h.rowLocks[replica] = &sync.Mutex{}
		// Enough slots for all callers: entries that do not know of each other yet may choose the
		// same replica, and the refusal could be reported although it breaks no guarantee.
		replica.Slots = max(replica.Slots, h.plan.Callers+h.plan.AccessCallers)
		r, err := relay.New(replica.Address())
		if err != nil {
			return errors.Wrap(err, "relay before an upstream")
		}
		h.upstreamRelays = append(h.upstreamRelays, r)
		replica.Advertise = r.Addr()
		replica.Register(h.standins.Store, "ready")
	}
	return nil
}

func (h *harness) startEntry(i int, program string) error {
	store, err := relay.New(h.standins.Address())
	if err != nil {
		return errors.Wrap(err, "relay before the store")
	}
	vm := fmt.Sprintf("entry-%d", i)
	file, err := writeSettings(h.dir, vm, store.Addr(), shared.DefaultLog.Level)
	if err != nil {
		return err
	}
	e := &entry{index: i, program: program, settingsFile: file, logFile: filepath.Join(h.dir, vm+".log"), storeRelay: store, cpuPercent: h.plan.CPUPercent}
	h.entries = append(h.entries, e)
	return e.start()
}

// readyLimit bounds the time until all entries are ready at the start of a run.
const readyLimit = 30 * time.Second

func (h *harness) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for ctx.Err() == nil {
		if h.countReady() == len(h.entries) {
			return nil
		}
		wait(ctx, pollInterval)
	}
	return errors.Errorf("%d of %d entries became ready", h.countReady(), len(h.entries))
}

// countReady returns the number of entries that are ready.
func (h *harness) countReady() int {
	n := 0
	for _, e := range h.entries {
		if _, ready := e.current(); ready {
			n++
		}
	}
	return n
}

// supervise records each unexpected exit of an entry's process and then restarts the entry.
func (h *harness) supervise(ctx context.Context, e *entry) {
	for {
		p, _ := e.current()
		select {
		case <-ctx.Done():
			return
		case <-p.done:
		}
		if !p.exitExpected.Load() {
			h.recorder.addViolation(ProcessFailed, "entry %d ended by itself: %v", e.index, p.exitErr)
			end := h.recorder.beginDisruption(partProcess, e.index)
			h.restartEntry(e)
			end()
		}
		for ctx.Err() == nil {
			if next, _ := e.current(); next != p {
				break
			}
			wait(ctx, pollInterval)
		}
	}
}

// restartEntry starts a new process of an entry whose process has ended.
func (h *harness) restartEntry(e *entry) {
	if err := e.start(); err != nil {
		h.recorder.addViolation(ProcessFailed, "entry %d can't be started again: %v", e.index, err)
	}
}

// stoppedAt reports whether and when a process was told to stop.
func (h *harness) stoppedAt(p *process) (bool, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, stopped := h.stopTimes[p]
	return stopped, at
}

// exitSlack is how far a stop may exceed its time limit.
const exitSlack = time.Second

// stop stops an entry gracefully and checks that its process exits without an error and in time, unless
// the process was killed or paused meanwhile.
func (h *harness) stop(e *entry) {
	p, _ := e.current()
	began := time.Now()
	h.mu.Lock()
	h.stopTimes[p] = began
	h.mu.Unlock()
	e.terminate(syscall.SIGTERM)
	took := time.Since(began)
	if !h.recorder.undisrupted(e.index, began, time.Now(), partProcess) {
		return
	}
	if p.exitErr != nil || took > drainLimit+exitSlack {
		h.recorder.addViolation(ProcessFailed, "entry %d was told to stop and ended after %s: %v", e.index, took.Round(time.Millisecond), p.exitErr)
	}
}

// runsByURI returns the number of runs of each URI at all upstreams together.
func (h *harness) runsByURI() map[string]int {
	all := make(map[string]int)
	for _, replica := range h.standins.Replicas() {
		for _, run := range replica.Runs() {
			all[run.URI]++
		}
	}
	return all
}

// releaseLimit bounds the time until upstreams have released the slots and memory of ended requests.
// It is less than the time after which reserved memory expires by itself (3.5 s), so that expiry
// does not hide a missing release.
const releaseLimit = 2 * time.Second

// checkReleased waits until upstreams have released all slots and memory.
func (h *harness) checkReleased(ctx context.Context) {
	deadline := time.Now().Add(releaseLimit)
	for ctx.Err() == nil && time.Now().Before(deadline) && h.unreleased() != "" {
		wait(ctx, pollInterval)
	}
	if detail := h.unreleased(); detail != "" {
		h.recorder.addViolation(NotReleased, "%s after the last request had ended", detail)
	}
}

// unreleased describes an upstream that has not released all slots and memory, or returns "".
func (h *harness) unreleased() string {
	for i, replica := range h.standins.Replicas() {
		// An upstream that hangs can't know that its caller has closed a connection if the close was
		// lost on the way.
		unaware := min(replica.Hung(), h.upstreamRelays[i].Abandoned())
		if reservations, active := replica.Reserved(), replica.Active()-unaware; len(reservations) > 0 || active > 0 {
			return fmt.Sprintf("%s holds %d reservations and runs %d requests", replica.ID, len(reservations), active)
		}
	}
	return ""
}

// failureMarks are texts in the log of a process that has crashed or has a data race.
var failureMarks = [][]byte{[]byte("panic:"), []byte("has panicked"), []byte("fatal error:"), []byte("DATA RACE")}

// checkLogs reports each of the failure marks in the logs of the entries.
func (h *harness) checkLogs() {
	for _, e := range h.entries {
		text, err := os.ReadFile(e.logFile)
		if err != nil {
			h.recorder.addViolation(ProcessFailed, "the log of entry %d can't be read: %v", e.index, err)
			continue
		}
		for _, mark := range failureMarks {
			if bytes.Contains(text, mark) {
				h.recorder.addViolation(ProcessFailed, "the log of entry %d has %q", e.index, mark)
			}
		}
	}
}

// close kills all processes and stops the relays and stand-ins.
func (h *harness) close() {
	for _, e := range h.entries {
		if p, _ := e.current(); p != nil && !p.ended() {
			p.signal(syscall.SIGCONT)
			e.terminate(syscall.SIGKILL)
		}
		e.storeRelay.Close()
		if e.callerRelay != nil {
			e.callerRelay.Close()
		}
	}
	for _, r := range h.upstreamRelays {
		r.Close()
	}
	h.standins.Stop()
}

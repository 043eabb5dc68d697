package soak

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	shared "acaciacleat.example/peers/settings"
	"acaciacleat.example/platform/standin"
	"acaciacleat.example/standin/relay"
	"github.com/pkg/errors"
)

// world is one run: the stand-ins, the relays, the entries and their callers.
type world struct {
	plan     *Plan
	dir      string
	book     *book
	standins *standin.Deployment
	// upstreams stand before the replicas, in their order.
	upstreams []*relay.Relay
	entries   []*entry

	// rows has a lock for each upstream's row in the registry: one event at a time changes it.
	rows map[*standin.Replica]*sync.Mutex

	mu sync.Mutex
	// stops holds when a life was told to stop gracefully.
	stops   map[*process]time.Time
	version int
	// routes is how many the configuration has beside those of its own.
	routes int
	// storeFaults counts the store's own faults in force: the last to end restores it.
	storeFaults int
}

// newWorld starts everything and waits until all entries are ready.
func newWorld(ctx context.Context, plan *Plan, program, dir string) (*world, error) {
	w := &world{plan: plan, dir: dir, book: newBook(), stops: make(map[*process]time.Time), version: 1}
	var err error
	if w.standins, err = standin.Start("127.0.0.1:0", plan.Engines, plan.Plains); err != nil {
		return nil, err
	}
	w.standins.Configure(w.version, w.routes)
	if err := w.startUpstreams(); err != nil {
		return w, err
	}
	for i := range plan.Entries {
		if err := w.startEntry(i, program); err != nil {
			return w, err
		}
	}
	for _, e := range w.entries {
		go e.watch(ctx, w.book.judgeVersion)
		go w.guard(ctx, e)
	}
	return w, w.awaitReady(ctx)
}

func (w *world) startUpstreams() error {
	for _, engine := range w.standins.Engines {
		engine.Events, engine.EventInterval = streamEvents, eventEvery
		engine.CrashOn(func(run standin.Run) bool { return strings.HasPrefix(run.URI, fatalPrefix) })
	}
	w.rows = make(map[*standin.Replica]*sync.Mutex)
	for _, replica := range w.standins.Replicas() {
		w.rows[replica] = &sync.Mutex{}
		// Each caller finds a slot wherever it is sent: entries that have not heard of each
		// other yet may choose alike, and a refusal for that is no fault.
		replica.Slots = max(replica.Slots, w.plan.Callers)
		r, err := relay.New(replica.Address())
		if err != nil {
			return errors.Wrap(err, "relay before an upstream")
		}
		w.upstreams = append(w.upstreams, r)
		replica.Advertise = r.Addr()
		replica.Register(w.standins.Store, "ready")
	}
	return nil
}

func (w *world) startEntry(i int, program string) error {
	store, err := relay.New(w.standins.Address())
	if err != nil {
		return errors.Wrap(err, "relay before the store")
	}
	vm := fmt.Sprintf("entry-%d", i)
	file, err := writeSettings(w.dir, vm, store.Addr(), shared.DefaultLog.Level)
	if err != nil {
		return err
	}
	e := &entry{index: i, program: program, file: file, log: filepath.Join(w.dir, vm+".log"), store: store}
	w.entries = append(w.entries, e)
	return e.start()
}

// readyLimit bounds the time until all entries are ready at the begin.
const readyLimit = 30 * time.Second

func (w *world) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for ctx.Err() == nil {
		if w.ready() == len(w.entries) {
			return nil
		}
		wait(ctx, lookEvery)
	}
	return errors.Errorf("%d of %d entries became ready", w.ready(), len(w.entries))
}

func (w *world) ready() int {
	n := 0
	for _, e := range w.entries {
		if _, ready := e.now(); ready {
			n++
		}
	}
	return n
}

// guard notes the end of a process that nobody told to end, and replaces it.
func (w *world) guard(ctx context.Context, e *entry) {
	for {
		life, _ := e.now()
		select {
		case <-ctx.Done():
			return
		case <-life.done:
		}
		if !life.told.Load() {
			w.book.broken(Ended, "entry %d ended by itself: %v", e.index, life.exit)
			over := w.book.disturb(hopProcess, e.index)
			w.replace(e)
			over()
		}
		for ctx.Err() == nil {
			if next, _ := e.now(); next != life {
				break
			}
			wait(ctx, lookEvery)
		}
	}
}

// replace starts a new life of an entry whose process has ended.
func (w *world) replace(e *entry) {
	if err := e.start(); err != nil {
		w.book.broken(Ended, "entry %d can't be started again: %v", e.index, err)
	}
}

// stoppedAt tells whether and when a life was told to stop.
func (w *world) stoppedAt(life *process) (bool, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, stopped := w.stops[life]
	return stopped, at
}

// exitSlack is what a stop may take beyond its limit.
const exitSlack = time.Second

// stop ends an entry gracefully and judges how it ended.
func (w *world) stop(e *entry) {
	life, _ := e.now()
	began := time.Now()
	w.mu.Lock()
	w.stops[life] = began
	w.mu.Unlock()
	e.end(syscall.SIGTERM)
	took := time.Since(began)
	if !w.book.calm(e.index, began, time.Now(), hopProcess) {
		return
	}
	if life.exit != nil || took > drainLimit+exitSlack {
		w.book.broken(Ended, "entry %d was told to stop and ended after %s: %v", e.index, took.Round(time.Millisecond), life.exit)
	}
}

// runs counts what all upstreams ran, by URI.
func (w *world) runs() map[string]int {
	all := make(map[string]int)
	for _, replica := range w.standins.Replicas() {
		for _, run := range replica.Runs() {
			all[run.URI]++
		}
	}
	return all
}

// freeLimit bounds the time until upstreams have back what requests held. It is less than
// the time after which reserved memory expires by itself (3.5 s).
const freeLimit = 2 * time.Second

// judgeHeld waits until upstreams have all their places and memory back.
func (w *world) judgeHeld(ctx context.Context) {
	deadline := time.Now().Add(freeLimit)
	for ctx.Err() == nil && time.Now().Before(deadline) && w.held() != "" {
		wait(ctx, lookEvery)
	}
	if held := w.held(); held != "" {
		w.book.broken(Held, "%s after the last request had ended", held)
	}
}

func (w *world) held() string {
	for _, replica := range w.standins.Replicas() {
		if tickets, active := replica.Reserved(), replica.Active(); len(tickets) > 0 || active > 0 {
			return fmt.Sprintf("%s holds %d reservations and runs %d requests", replica.ID, len(tickets), active)
		}
	}
	return ""
}

// marks of a process that met a fault of its own.
var marks = [][]byte{[]byte("panic:"), []byte("fatal error:"), []byte("DATA RACE")}

func (w *world) judgeLogs() {
	for _, e := range w.entries {
		text, err := os.ReadFile(e.log)
		if err != nil {
			w.book.broken(Ended, "the log of entry %d can't be read: %v", e.index, err)
			continue
		}
		for _, mark := range marks {
			if bytes.Contains(text, mark) {
				w.book.broken(Ended, "the log of entry %d has %q", e.index, mark)
			}
		}
	}
}

// close ends all processes and stand-ins at once.
func (w *world) close() {
	for _, e := range w.entries {
		if life, _ := e.now(); life != nil && !life.ended() {
			life.signal(syscall.SIGCONT)
			e.end(syscall.SIGKILL)
		}
		e.store.Close()
		if e.callers != nil {
			e.callers.Close()
		}
	}
	for _, r := range w.upstreams {
		r.Close()
	}
	w.standins.Stop()
}

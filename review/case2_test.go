package review

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["2"] = departed }

// drainMs is DrainMs of the sheet.
const drainMs = 2000

// stableWindow is StableWindowMs of the sheet.
const stableWindow = 3 * time.Second

// sentCount counts the requests.
var sentCount atomic.Int64

// rounds is how often the case is played in one run, at most: until the rule breaks.
const rounds = 3

// departed cuts two machines off from the store, one after the other. While the second one is cut off, a quarter of the
// replicas leave, half of them without saying so. It counts the requests that machines in touch send to
// such a replica later than DrainMs after the store's acknowledgement that it is gone.
func departed(r *run) int {
	s := newStore()
	zones := []string{"walvis-hall", "swakop-hall", "arandis-hall"}
	var replicas []*plain
	add := func() *plain {
		i := len(replicas)
		p := newPlain(fmt.Sprintf("i-app-%d", i+1), "workshop-app", zones[i%3], 60*time.Millisecond)
		replicas = append(replicas, p)
		s.put("servers", p.id, p.registration("ready"))
		return p
	}
	for range 16 {
		add()
	}
	s.put("op", "config", revokedConfig(3, tenantKeys("mine", "key-of-mine")))
	for i := range 6 {
		name := fmt.Sprintf("edge-%s-%d", zones[i%3], i/3+1)
		r.addGateway(name, zones[i%3], s.serveAs(name))
	}
	for _, g := range r.gateways {
		g.awaitReady()
	}
	for round := range rounds {
		r.note("round %d", round+1)
		if late := departedRound(r, s, &replicas, 4*round, add); late > 0 {
			r.note("BROKEN: %d requests reached replicas later, from machines in touch", late)
			return broken
		}
	}
	r.note("held")
	return held
}

// departedRound returns the number of late requests. The four replicas from next on leave.
func departedRound(r *run, s *store, replicas *[]*plain, next int, add func() *plain) (late int) {
	time.Sleep(7 * time.Second)

	// readers are the machines that read the feed of replicas and tell the others. A machine that reads it for itself
	// only does so every 2.4 s.
	readers := func() (all []*gateway) {
		since := time.Now().Add(-2 * time.Second)
		for _, g := range r.gateways {
			n := s.readsSince(g.name, since)
			r.note("%s has read the feed of replicas %d times in 2 s", g.name, n)
			if n > 1 {
				all = append(all, g)
			}
		}
		return all
	}
	// touchFrom is when a machine that was cut off is in touch again.
	touchFrom := make(map[string]time.Time)
	cut := func(g *gateway, d time.Duration) {
		r.note("%s is cut off from the store for %v: its connections there are reset", g.name, d)
		s.cutOff(g.name, d)
		r.note("%s reaches the store again", g.name)
		touchFrom[g.name] = time.Now().Add(stableWindow)
	}
	// awaitReader waits until a machine other than the given one reads for others, and returns it.
	awaitReader := func(other *gateway) *gateway {
		for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
			all := readers()
			for i := range all {
				if g := all[len(all)-1-i]; other != nil && g != other {
					return g
				}
			}
			if other == nil && len(all) > 0 {
				return all[0]
			}
		}
		panic("no machine reads the feed of replicas for others")
	}
	first := awaitReader(nil)
	if r.trouble {
		cut(first, time.Second)
	}
	time.Sleep(5 * time.Second)

	// Callers: 80 requests a second at each machine.
	var sent sync.Map // The name of the gateway by the id.
	stop := make(chan struct{})
	var callers sync.WaitGroup
	statuses := make(map[int]int)
	var mu sync.Mutex
	for _, g := range r.gateways {
		for range 16 {
			callers.Go(func() {
				ticker := time.NewTicker(200 * time.Millisecond)
				defer ticker.Stop()
				for {
					select {
					case <-stop:
						return
					case <-ticker.C:
					}
					id := fmt.Sprintf("%016x", 0xabd00000+sentCount.Add(1))
					sent.Store(id, g.name)
					request, err := http.NewRequest("GET", "http://"+g.callers+"/parts/pump", strings.NewReader(""))
					must(err)
					request.Host = "workshop.example"
					request.Header.Set("Acaciacleat-Attempt-Id", id)
					request.Header.Set("Acaciacleat-Deadline-Ms", "1500")
					request.Header.Set("Api-Key", "key-of-mine")
					status := 0
					if answer, err := http.DefaultClient.Do(request); err == nil {
						_, _ = io.Copy(io.Discard, answer.Body)
						_ = answer.Body.Close()
						status = answer.StatusCode
					}
					mu.Lock()
					statuses[status]++
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(time.Second + rand.N(time.Second))

	second := awaitReader(first)
	began := time.Now()
	var cutting sync.WaitGroup
	if r.trouble {
		touchFrom[second.name] = began.Add(time.Hour)
		cutting.Go(func() { cut(second, 3*time.Second) })
	}
	// Replicas are taken away: a quarter of them leave at once. Two report that they are draining, of the others the
	// entry is removed. All go on serving for some seconds.
	time.Sleep(time.Until(began.Add(1100 * time.Millisecond)))
	leaving := (*replicas)[next : next+4]
	gone := make(map[*plain]time.Time)
	for i, old := range leaving {
		if i < 2 {
			s.put("servers", old.id, old.registration("draining"))
		} else {
			s.drop("servers", old.id)
		}
		gone[old] = time.Now()
		old.leave()
		r.note("the store acknowledges that %s is %s", old.id, []string{"draining", "gone"}[i/2])
	}
	cutting.Wait()
	time.Sleep(4 * time.Second)
	close(stop)
	callers.Wait()

	for _, old := range leaving {
		old.mu.Lock()
		last, by := time.Duration(0), ""
		for _, run := range old.runs {
			after := run.at.Sub(gone[old])
			if after < 0 {
				continue
			}
			from, _ := sent.Load(run.id)
			name := from.(string)
			last, by = max(last, after), name
			if after <= drainMs*time.Millisecond {
				continue
			}
			verdict := "LATE"
			if run.at.Before(touchFrom[name]) {
				verdict = "late, not counted: not in touch"
			} else {
				late++
			}
			r.note("%s reached %s %d ms after the acknowledgement, sent to %s: %s", run.id, old.id, after.Milliseconds(), name, verdict)
		}
		r.note("the last request reached %s %d ms after the acknowledgement, from %s; DrainMs is %d", old.id, last.Milliseconds(), by, drainMs)
		old.mu.Unlock()
	}
	r.note("statuses %v", statuses)
	for _, old := range leaving[:2] {
		s.drop("servers", old.id)
	}
	for range leaving {
		add()
	}
	return late
}

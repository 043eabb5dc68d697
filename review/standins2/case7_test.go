package standins2

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["7"] = playSilentFeed }

// The bounds of the small deployments.
const (
	drainBound   = 2 * time.Second // DrainMs
	stableWindow = 3 * time.Second // StableWindowMs
)

// goesOn is how long the replica goes on serving once its entry is removed: DrainMs and a little longer.
const goesOn = drainBound + 2200*time.Millisecond

// playSilentFeed lets the open connections between the gateways and the store go silent, while new ones work, and
// removes the entry of a replica shortly after. The replica has not said that it is draining, goes on serving for
// goesOn and exits.
func playSilentFeed(c *run) {
	s := newStore()
	address := c.serve(s)
	s.put("op", "config", keysConfig(3, "key-of-tenant-one-4711"))
	var replicas []*replica
	for i := range 3 {
		r := c.startReplica(&replica{id: fmt.Sprintf("i-work%d", i+1), service: "workshop", zone: "hall-a", slots: 6, work: 200 * time.Millisecond})
		s.put("servers", r.id, r.registration("ready"))
		replicas = append(replicas, r)
	}
	var watch pollWatch
	proxies := []*proxy{c.startProxy(address, watch.observe), c.startProxy(address, nil)}
	gateways := []*gateway{c.startGateway("edge-a", "hall-a", proxies[0].address), c.startGateway("edge-b", "hall-b", proxies[1].address)}

	var mu sync.Mutex
	sent := make(map[string]outcome)
	via := make(map[string]string)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 20 {
		g := gateways[i%len(gateways)]
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				path := "/parts/pump"
				if i >= 8 {
					path = "/jobs/card"
				}
				o := c.send(g.front, call{method: "POST", host: "workshop.example", path: path, key: "key-of-tenant-one-4711",
					deadline: 1500 * time.Millisecond, body: []byte("job")})
				mu.Lock()
				sent[o.id], via[o.id] = o, g.name
				mu.Unlock()
			}
		})
	}
	time.Sleep(8 * time.Second)
	poll := watch.next()
	if poll.IsZero() {
		c.fail("edge-a does not follow the feed")
	}
	time.Sleep(100 * time.Millisecond)
	silentAt := time.Now()
	if c.trouble {
		for _, p := range proxies {
			p.silence()
		}
		c.logf("the open connections to the store go silent, %d ms after a poll of edge-a", silentAt.Sub(poll).Milliseconds())
	}
	time.Sleep(200 * time.Millisecond)
	gone := replicas[0]
	s.remove("servers", gone.id)
	removedAt := time.Now()
	c.logf("the entry of %s is removed; it goes on serving for %d ms", gone.id, goesOn.Milliseconds())
	time.Sleep(time.Until(removedAt.Add(goesOn)))
	gone.stop()
	c.logf("%s exits", gone.id)
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()

	from := removedAt.Add(drainBound)
	if c.trouble && silentAt.Add(stableWindow).After(from) {
		from = silentAt.Add(stableWindow) // Before that the machines are not in touch.
	}
	late := make(map[string]int)
	var last time.Time
	before, lost := 0, 0
	for _, a := range gone.seen() {
		if a.at.Before(removedAt) {
			before++
		}
		o, ok := sent[a.id]
		if ok && !o.sent.Before(from) && a.at.After(removedAt.Add(drainBound)) {
			late[via[a.id]]++
			last = a.at
			if o.path == "/jobs/card" && (o.status != 200 || !o.whole) {
				lost++
			}
		}
	}
	c.logf("requests that reached %s: %d before its entry was removed, late ones by machine: %v", gone.id, before, late)
	if before < 20 {
		c.fail("only %d requests reached %s before", before, gone.id)
	}
	if len(late) > 0 {
		n := 0
		for _, one := range late {
			n += one
		}
		c.breaks("DRAIN: %d requests, sent by clients to machines in touch, reached %s later than %d ms after its entry was removed; the last one %d ms after it; %d jobs among them, which may run only once, ended without success as it left",
			n, gone.id, drainBound.Milliseconds(), last.Sub(removedAt).Milliseconds(), lost)
	}
}

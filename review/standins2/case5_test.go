package standins2

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["5"] = playStopWithQueue }

// modelConfig is a configuration of one model with the figures of huerta-andina's longest kind of request.
func modelConfig(version int) []byte {
	return fmt.Appendf(nil, `{"Version":%d,"RouteTable":[
 {"Name":"history","Host":"farm.example","Prefix":"/history/","Kind":"streaming","TimeoutMs":15000,"LatencyGoalMs":8000,"Priority":1,"Service":"model","Attempts":2,"Anonymous":false,"Sticky":true,"Resumable":true,"GapGoalMs":800}],
"Services":[{"Name":"model","HealthPath":"/healthz","MaxConns":428,"Protocol":"h1","Tls":false,"Engine":{"Slots":12,"KvCapacity":382500,"KvBytes":327680,"LinkMbps":400000.0,"Stride":52,"Models":[{"Name":"m"}],"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000.0,"pairs_per_m":0.0917,"chunk":2048,"report_lag_ms":200.0,"usual":{"prompt":4000,"answer":832},"HopMs":0.1}}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"tenant-1","ApiKeys":["key-of-tenant-one-4711"],"Priority":1}]}`, version)
}

const (
	grace     = 8 * time.Second        // GraceS
	lossSlack = 200 * time.Millisecond // LossSlackMs
	// engineSlots is the number of requests that an engine runs at once, and stride that of tokens in an event.
	engineSlots = 12
	stride      = 52
	// longAnswer is the number of tokens of the answers that take all places.
	longAnswer = 200 * stride
)

// playStopWithQueue stops one of two gateways in the planned way while all places of the engines are taken by answers
// that came over the other one. Prompts that come to the stopping gateway wait there for a place.
func playStopWithQueue(c *run) {
	s := newStore()
	address := c.serve(s)
	s.put("op", "config", modelConfig(3))
	engines := c.startFleet(s, 2)
	gateways := []*gateway{c.startGateway("edge-a", "hall-a", address), c.startGateway("edge-b", "hall-b", address)}
	time.Sleep(3 * time.Second)

	question := func(output int) call {
		return call{method: "POST", host: "farm.example", path: "/history/farm", key: "key-of-tenant-one-4711",
			deadline: 15 * time.Second, prompt: 4000, output: output, body: []byte("prompt")}
	}
	var transports []*http.Transport
	for range 4 {
		transport := &http.Transport{DisableCompression: true}
		defer transport.CloseIdleConnections()
		transports = append(transports, transport)
		if o := c.sendOver(transport, gateways[0].front, question(10*stride)); o.status != http.StatusOK || !o.whole {
			c.fail("a prompt was not answered on the quiet deployment")
		}
	}
	time.Sleep(stableWindow)

	var mu sync.Mutex
	var outcomes []outcome
	var clients sync.WaitGroup
	ask := func(transport *http.Transport, front string, output int) {
		o := c.sendOver(transport, front, question(output))
		mu.Lock()
		defer mu.Unlock()
		outcomes = append(outcomes, o)
	}
	for range 2 * engineSlots {
		clients.Go(func() {
			transport := &http.Transport{DisableCompression: true}
			defer transport.CloseIdleConnections()
			ask(transport, gateways[1].front, longAnswer)
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(700 * time.Millisecond)
	stoppedAt := time.Now()
	if c.trouble {
		c.terminate(gateways[0])
	}
	time.Sleep(1200 * time.Millisecond)
	for _, transport := range transports {
		clients.Go(func() { ask(transport, gateways[0].front, 10*stride) })
	}
	clients.Wait()

	served := 0
	for _, o := range outcomes {
		if o.status == http.StatusOK && o.whole {
			served++
		}
		arrivedAt, passedOn := engines.arrived(o.id)
		took := o.ended.Sub(o.sent)
		if passedOn && arrivedAt.After(stoppedAt) {
			c.logf("%s was passed on %d ms after the stop", o.id, arrivedAt.Sub(stoppedAt).Milliseconds())
		}
		if o.err == nil || o.status != 0 || passedOn || took < lossSlack || took >= o.deadline || o.sent.After(stoppedAt.Add(grace+time.Second)) {
			continue // What was passed on to a replica isn't counted: it may have been at work in the last sixth of the grace.
		}
		c.breaks("LOST: %s, sent %d ms after the SIGTERM, got no answer: its connection ended %d ms after it was sent (%v), its deadline and timeout are %d ms, and it was never passed on to a replica",
			o.id, o.sent.Sub(stoppedAt).Milliseconds(), took.Milliseconds(), o.err, o.deadline.Milliseconds())
	}
	c.logf("served %d of %d", served, len(outcomes))
	if served < 2*engineSlots {
		c.fail("only %d of %d were served", served, len(outcomes))
	}
}

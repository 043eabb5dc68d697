package standins2

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["4"] = playRevoked }

// keysConfig is a configuration of one plain service whose tenants have the given keys.
func keysConfig(version int, keys ...string) []byte {
	var tenants []string
	for i, key := range keys {
		list := ""
		if key != "" {
			list = fmt.Sprintf("%q", key)
		}
		tenants = append(tenants, fmt.Sprintf(`{"Name":"tenant-%d","ApiKeys":[%s],"Priority":1}`, i+1, list))
	}
	return fmt.Appendf(nil, `{"Version":%d,"RouteTable":[
 {"Name":"jobs","Host":"workshop.example","Prefix":"/jobs/","Kind":"non_idempotent","TimeoutMs":1500,"LatencyGoalMs":150,"Priority":2,"Service":"workshop","Attempts":2,"Anonymous":false},
 {"Name":"parts","Host":"workshop.example","Prefix":"/parts/","Kind":"idempotent","TimeoutMs":1500,"LatencyGoalMs":150,"Priority":2,"Service":"workshop","Attempts":2,"Anonymous":false}],
"Services":[{"Name":"workshop","HealthPath":"/healthz","MaxConns":48,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[%s]}`, version, strings.Join(tenants, ","))
}

// configApply is ConfigApplyMs of the small deployments.
const configApply = 2 * time.Second

// playRevoked takes the keys of all three tenants away, one each 0.4 s, and then sends requests with these keys, with a
// key that no configuration ever held, and with none.
func playRevoked(c *run) {
	s := newStore()
	address := c.serve(s)
	keys := []string{"key-of-tenant-one-4711", "key-of-tenant-two-4712", "key-of-tenant-three-4713"}
	s.put("op", "config", keysConfig(3, keys...))
	var replicas []*replica
	for i := range 3 {
		r := c.startReplica(&replica{id: fmt.Sprintf("i-work%d", i+1), service: "workshop", zone: "hall-a", slots: 6, work: 30 * time.Millisecond})
		s.put("servers", r.id, r.registration("ready"))
		replicas = append(replicas, r)
	}
	gateways := []*gateway{c.startGateway("edge-a", "hall-a", address), c.startGateway("edge-b", "hall-b", address)}
	time.Sleep(4 * time.Second)

	const never, none = "key-that-nobody-ever-had", ""
	tryAll := func(when string) map[string]string {
		sent := make(map[string]string)
		for _, g := range gateways {
			for _, key := range append(append([]string{}, keys...), never, none) {
				for _, path := range []string{"/jobs/card", "/parts/pump"} {
					o := c.send(g.front, call{method: "POST", host: "workshop.example", path: path, key: key, deadline: 1500 * time.Millisecond, body: []byte("job")})
					sent[o.id] = key
				}
			}
		}
		c.logf("%s: %d requests", when, len(sent))
		return sent
	}
	tryAll("before")
	var acknowledged time.Time
	if c.trouble {
		for i := range keys {
			if i > 0 {
				time.Sleep(400 * time.Millisecond)
			}
			keys := append([]string{}, keys...)
			for j := range i + 1 {
				keys[j] = ""
			}
			s.put("op", "config", keysConfig(5+2*i, keys...))
			acknowledged = time.Now()
			c.logf("version %d is acknowledged: the key of tenant-%d is taken away", 5+2*i, i+1)
		}
	}
	time.Sleep(configApply + time.Second)
	began := time.Now()
	after := tryAll("after")

	unknown, without, revoked := 0, 0, 0
	for _, r := range replicas {
		for _, a := range r.seen() {
			key, ok := after[a.id]
			switch {
			case !ok || !a.ran:
			case key == never:
				unknown++
			case key == none:
				without++
			case c.trouble:
				revoked++
			}
		}
	}
	c.logf("ran after the last version: %d with a key that was never held, %d without a key, %d with a key that was taken away", unknown, without, revoked)
	if unknown > 0 {
		c.breaks("ROUTE: %d requests ran whose key no configuration ever held, and %d without a key", unknown, without)
	}
	if revoked > 0 {
		c.breaks("CONFIG: %d requests ran with a key that was taken away, sent %d ms or more after the acknowledgement (ConfigApplyMs is %d)",
			revoked, began.Sub(acknowledged).Milliseconds(), configApply.Milliseconds())
	}
	served := 0
	for _, r := range replicas {
		for _, a := range r.seen() {
			if a.ran && a.tenant != "" {
				served++
			}
		}
	}
	if served < 12 {
		c.fail("only %d requests with good keys were served", served)
	}
}

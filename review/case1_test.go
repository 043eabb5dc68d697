package review

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

func init() { cases["1"] = revoked }

// tenantKeys is a tenant with its keys, as JSON.
func tenantKeys(name string, keys ...string) string {
	quoted := make([]string, len(keys))
	for i, key := range keys {
		quoted[i] = fmt.Sprintf("%q", key)
	}
	return fmt.Sprintf(`{"Name":%q,"ApiKeys":[%s],"Priority":1}`, name, strings.Join(quoted, ","))
}

// revokedConfig is a configuration of a plain service with two routes and the given tenants.
func revokedConfig(version int, tenants ...string) []byte {
	return fmt.Appendf(nil, `{"Version":%d,"RouteTable":[
 {"Name":"jobs","Host":"workshop.example","Prefix":"/jobs/","Kind":"non_idempotent","TimeoutMs":1500,"LatencyGoalMs":150,"Priority":2,"Service":"workshop-app","Attempts":1,"Anonymous":false},
 {"Name":"parts","Host":"workshop.example","Prefix":"/parts/","Kind":"idempotent","TimeoutMs":1500,"LatencyGoalMs":150,"Priority":2,"Service":"workshop-app","Attempts":2,"Anonymous":false}],
"Services":[{"Name":"workshop-app","HealthPath":"/healthz","MaxConns":48,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[%s]}`, version, strings.Join(tenants, ","))
}

// revoked takes the keys of the two tenants of a deployment away, one after the other, and then sends requests with
// these keys, with one that no configuration ever held, and without any.
func revoked(r *run) int {
	s := newStore()
	address := serve(s)
	zones := []string{"walvis-hall", "swakop-hall", "arandis-hall"}
	var replicas []*plain
	for i, zone := range zones {
		p := newPlain(fmt.Sprintf("i-app-%d", i+1), "workshop-app", zone, 30*time.Millisecond)
		replicas = append(replicas, p)
		s.put("servers", p.id, p.registration("ready"))
	}
	s.put("op", "config", revokedConfig(3, tenantKeys("mine", "key-of-mine"), tenantKeys("quarry", "key-of-quarry")))
	for i, zone := range zones {
		r.addGateway(fmt.Sprintf("edge-%s-%d", zone, i+1), zone, address)
	}
	for _, g := range r.gateways {
		g.awaitReady()
	}
	time.Sleep(4 * time.Second) // StableWindowMs, and the links between the gateways.

	count := 0
	send := func(g *gateway, method, path, key string) (status int, id string) {
		count++
		id = fmt.Sprintf("%016x", 0xabc00000+count)
		request, err := http.NewRequest(method, "http://"+g.callers+path, strings.NewReader(map[string]string{"POST": "card"}[method]))
		must(err)
		request.Host = "workshop.example"
		request.Header.Set("Acaciacleat-Attempt-Id", id)
		request.Header.Set("Acaciacleat-Deadline-Ms", "1500")
		if key != "" {
			request.Header.Set("Api-Key", key)
		}
		answer, err := http.DefaultClient.Do(request)
		if err != nil {
			r.note("%s to %s: %s %s, key %q: no answer: %v", id, g.name, method, path, key, err)
			return 0, id
		}
		defer answer.Body.Close()
		body, _ := io.ReadAll(answer.Body)
		tenant := "not run"
		for _, run := range ranOf(id, replicas...) {
			tenant = fmt.Sprintf("run by %s as tenant %q", run.replica, run.tenant)
		}
		r.note("%s to %s: %s %s, key %q: answered %d %.40q; %s", id, g.name, method, path, key, answer.StatusCode, body, tenant)
		return answer.StatusCode, id
	}
	round := func(keys ...string) (answers map[int]int, runs int) {
		answers = make(map[int]int)
		for _, g := range r.gateways {
			for _, key := range keys {
				for _, call := range [][2]string{{"POST", "/jobs/card"}, {"GET", "/parts/pump"}} {
					status, id := send(g, call[0], call[1], key)
					answers[status]++
					runs += len(ranOf(id, replicas...))
				}
			}
		}
		return answers, runs
	}

	r.note("version 3 is in force; keys of two tenants")
	answers, runs := round("key-of-mine", "key-of-quarry")
	r.note("with the keys: answers %v, %d runs", answers, runs)
	if answers[http.StatusOK] != 12 || runs != 12 {
		panic("the deployment doesn't serve requests with keys")
	}
	answers, runs = round("key-that-never-was", "")
	r.note("with no known key: answers %v, %d runs", answers, runs)
	if answers[http.StatusUnauthorized] != 12 || runs != 0 {
		panic("the deployment doesn't ask for keys")
	}

	valid := []string{"key-of-mine", "key-of-quarry"}
	if r.trouble {
		s.put("op", "config", revokedConfig(5, tenantKeys("mine"), tenantKeys("quarry", "key-of-quarry")))
		r.note("version 5 is acknowledged: the key of mine is taken away")
		time.Sleep(1500 * time.Millisecond)
		s.put("op", "config", revokedConfig(9, tenantKeys("mine"), tenantKeys("quarry")))
		r.note("version 9 is acknowledged: the key of quarry is taken away")
		valid = nil
	}
	time.Sleep(3500 * time.Millisecond) // ConfigApplyMs is 2000.
	r.note("3.5 s later; ConfigApplyMs is 2000")
	wrong := 0
	if len(valid) > 0 {
		answers, runs = round(valid...)
		r.note("with keys of the configuration: answers %v, %d runs", answers, runs)
		wrong += 12 - answers[http.StatusOK]
	}
	if r.trouble {
		answers, runs = round("key-of-mine", "key-of-quarry")
		r.note("CONFIG: with keys that were dropped: answers %v, %d runs", answers, runs)
		wrong += runs
	}
	answers, runs = round("key-that-never-was")
	r.note("ROUTE: with a key that no configuration ever held: answers %v, %d runs", answers, runs)
	wrong += runs
	answers, runs = round("")
	r.note("without a key, on routes that aren't anonymous: answers %v, %d runs", answers, runs)
	if wrong > 0 {
		r.note("BROKEN: %d requests were handled as no configuration in force allows", wrong)
		return broken
	}
	r.note("held")
	return held
}

package standins2

import (
	"fmt"
	"strings"
	"time"
)

// configApply is ConfigApplyMs of the small deployments.
const configApply = 2 * time.Second

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

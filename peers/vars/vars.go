// Package vars serves a process's expvars together with the variables of one component. A
// process may run several entries and agents, so the variables of a component are not
// published globally.
package vars

import (
	"expvar"
	"fmt"
	"net/http"
)

// Write writes one JSON object with the variables in own and all published variables.
func Write(w http.ResponseWriter, own map[string]expvar.Func) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprint(w, "{")
	separator := "\n"
	for name, value := range own {
		fmt.Fprintf(w, "%s%q: %s", separator, name, value.String())
		separator = ",\n"
	}
	expvar.Do(func(kv expvar.KeyValue) {
		fmt.Fprintf(w, "%s%q: %s", separator, kv.Key, kv.Value.String())
	})
	fmt.Fprint(w, "\n}\n")
}

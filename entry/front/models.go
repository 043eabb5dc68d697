package front

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"acaciacleat.example/core/document"
	"acaciacleat.example/peers/caller"
)

// models lists the models that the key's organisation may call.
func (f *Front) models(w http.ResponseWriter, r *http.Request) {
	q := f.begin(w, r, true)
	if q == nil {
		return
	}
	list := caller.ModelList{Object: "list", Data: []caller.Model{}}
	q.snapshot.Models(q.principal, func(ref *document.ModelRef) {
		list.Data = append(list.Data, caller.Model{ID: ref.Model.Name, Object: "model", OwnedBy: ref.Service.Name})
	})
	slices.SortFunc(list.Data, func(a, b caller.Model) int { return strings.Compare(a.ID, b.ID) })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
	q.finish(nil)
}

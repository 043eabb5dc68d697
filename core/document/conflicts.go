package document

import (
	"fmt"
	"slices"
	"strings"

	"acaciacleat.example/core/strictjson"
)

// CheckConflicts returns the conflicts between documents, each of which is valid by itself:
// a model served by two services, or a key that belongs to two organisations. With either,
// the result of a request would depend on the order in which the documents are read.
func CheckConflicts(services []*Service) []Fault {
	var faults []Fault
	snapshot := Compile(0, nil)
	for _, service := range services {
		faults = append(faults, snapshot.CheckConflicts(service)...)
		b := newBuilder(snapshot, 0, len(service.Organisations))
		b.putService(service)
		for i := range service.Organisations {
			b.grant(service.Name, &service.Organisations[i])
		}
		snapshot = b.build()
	}
	return faults
}

// CheckConflicts returns the conflicts between a valid document and the snapshot's documents
// of other services. It ignores the snapshot's document of the same name, which the new one
// replaces.
func (s *Snapshot) CheckConflicts(service *Service) []Fault {
	var faults []Fault
	for i := range service.Models {
		name := service.Models[i].Name
		ref := s.models[name]
		if ref == nil || ref.Service.Name == service.Name {
			continue
		}
		path := fmt.Sprintf("$.models[%d].name", i)
		faults = append(faults, strictjson.NewFault(path, name, "a name that service "+ref.Service.Name+" doesn't serve", "Rename one of the two models."))
	}
	for i := range service.Organisations {
		faults = append(faults, s.checkKeys(service.Name, i, &service.Organisations[i])...)
	}
	return faults
}

func (s *Snapshot) checkKeys(service string, index int, organisation *Organisation) []Fault {
	var faults []Fault
	for j, text := range organisation.KeyHashes {
		hash, _ := parseKeyHash(text)
		owner := s.Principal(hash)
		if owner == nil || owner.Organisation == organisation.Name || !owner.usesKeyElsewhere(service, text) {
			continue
		}
		path := fmt.Sprintf("$.organisations[%d].keyHashes[%d]", index, j)
		faults = append(faults, strictjson.NewFault(path, text, "a key that organisation "+owner.Organisation+" doesn't use", "Give each organisation keys of its own."))
	}
	return faults
}

// usesKeyElsewhere reports whether the document of a service other than the given one gives
// the organisation the key.
func (p *Principal) usesKeyElsewhere(service, key string) bool {
	return slices.ContainsFunc(p.grants, func(g grant) bool {
		return g.service != service && slices.ContainsFunc(g.organisation.KeyHashes, func(k string) bool {
			return strings.EqualFold(k, key)
		})
	})
}

package document

import "encoding/hex"

// Revision numbers the states of the whole store of documents; it only rises.
type Revision uint64

// Principal is an organisation with the services that it may call. It is immutable.
type Principal struct {
	Organisation string
	// services maps a service's name to the organisation's row in it.
	services map[string]*Organisation
}

// In returns the organisation's row in service, or nil when it may not call it.
func (p *Principal) In(service string) *Organisation { return p.services[service] }

// Snapshot is one revision of all documents, compiled for lookups on a request's
// path. It is immutable: a request holds one Snapshot from admission to its end.
type Snapshot struct {
	Revision Revision
	services map[string]*Service
	models   map[string]*ModelRef
	keys     map[KeyHash]*Principal
}

// ModelRef is a model together with its service.
type ModelRef struct {
	Service *Service
	Model   *Model
}

// Compile builds the snapshot of the given documents, which must be valid.
func Compile(revision Revision, services []*Service) *Snapshot {
	s := &Snapshot{
		Revision: revision,
		services: make(map[string]*Service, len(services)),
		models:   make(map[string]*ModelRef),
		keys:     make(map[KeyHash]*Principal),
	}
	principals := make(map[string]*Principal)
	for _, service := range services {
		s.services[service.Name] = service
		for i := range service.Models {
			model := &service.Models[i]
			s.models[model.Name] = &ModelRef{Service: service, Model: model}
		}
		for i := range service.Organisations {
			s.addOrganisation(principals, service, &service.Organisations[i])
		}
	}
	return s
}

func (s *Snapshot) addOrganisation(principals map[string]*Principal, service *Service, organisation *Organisation) {
	principal := principals[organisation.Name]
	if principal == nil {
		principal = &Principal{Organisation: organisation.Name, services: make(map[string]*Organisation, 1)}
		principals[organisation.Name] = principal
	}
	principal.services[service.Name] = organisation
	for _, text := range organisation.KeyHashes {
		var hash KeyHash
		if n, err := hex.Decode(hash[:], []byte(text)); err == nil && n == len(hash) {
			s.keys[hash] = principal
		}
	}
}

// Service returns the named service's document, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Model returns the named model with its service, or nil.
func (s *Snapshot) Model(name string) *ModelRef { return s.models[name] }

// Principal returns the organisation that owns the key with this hash, or nil.
func (s *Snapshot) Principal(hash KeyHash) *Principal { return s.keys[hash] }

// Models calls yield for each model that the principal may call, in no set order.
func (s *Snapshot) Models(principal *Principal, yield func(*ModelRef)) {
	for _, ref := range s.models {
		if principal.In(ref.Service.Name) != nil {
			yield(ref)
		}
	}
}

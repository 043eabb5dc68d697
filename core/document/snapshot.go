package document

// Revision numbers the states of the document store; it only increases.
type Revision uint64

// Principal is an organisation with the services that it may call. It is immutable.
type Principal struct {
	Organisation string
	// grants has one element for each service. As an organisation calls only a few services,
	// a linear search is faster, and a slice far smaller, than a map for each of 35,000
	// organisations.
	grants []grant
}

// grant permits an organisation to call a service, with the keys and limits that the service's
// document sets for it.
type grant struct {
	service      string
	organisation *Organisation
}

// OrganisationIn returns the organisation as the document of the named service describes it,
// or nil if the organisation may not call that service.
func (p *Principal) OrganisationIn(service string) *Organisation {
	for i := range p.grants {
		if p.grants[i].service == service {
			return p.grants[i].organisation
		}
	}
	return nil
}

// shardCount is the number of shards of the large maps. A change copies only the shards
// that it touches, each with about 140 of 35,000 organisations.
const shardCount = 256

// Snapshot is one revision of all documents, indexed for lookups during requests. It is
// immutable: a request uses one Snapshot from admission to its end.
type Snapshot struct {
	Revision   Revision
	services   map[string]*Service
	models     map[string]*ModelRef
	keys       [shardCount]map[KeyHash]*Principal
	principals [shardCount]map[string]*Principal
}

// ModelRef is a model together with its service.
type ModelRef struct {
	Service *Service
	Model   *Model
}

// Compile builds the snapshot of the given documents, which must be valid and free of
// conflicts: see Validate and CheckConflicts. The snapshot keeps the documents; they may not
// be changed afterwards.
func Compile(revision Revision, services []*Service) *Snapshot {
	size := 0
	for _, service := range services {
		size += len(service.Organisations)
	}
	b := newBuilder(&Snapshot{}, revision, size)
	for _, service := range services {
		b.putService(service)
		for i := range service.Organisations {
			b.grant(service.Name, &service.Organisations[i])
		}
	}
	return b.build()
}

// Service returns the named service's document, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Services calls yield for each document, in no particular order.
func (s *Snapshot) Services(yield func(*Service)) {
	for _, service := range s.services {
		yield(service)
	}
}

// Model returns the named model with its service, or nil.
func (s *Snapshot) Model(name string) *ModelRef { return s.models[name] }

// Principal returns the organisation that owns the key with this hash, or nil.
func (s *Snapshot) Principal(hash KeyHash) *Principal { return s.keys[hash[0]][hash] }

// Models calls yield for each model that the principal may call, in no particular order.
func (s *Snapshot) Models(principal *Principal, yield func(*ModelRef)) {
	for _, ref := range s.models {
		if principal.OrganisationIn(ref.Service.Name) != nil {
			yield(ref)
		}
	}
}

// OrganisationIn returns an organisation as the document of the named service describes it, or
// nil if the organisation may not call that service.
func (s *Snapshot) OrganisationIn(service, organisation string) *Organisation {
	principal := s.principalOf(organisation)
	if principal == nil {
		return nil
	}
	return principal.OrganisationIn(service)
}

func (s *Snapshot) principalOf(name string) *Principal {
	return s.principals[shardOf(name)][name]
}

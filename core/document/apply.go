package document

import (
	"encoding/hex"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// ErrUnknownService means that an update without a header concerns a service that the snapshot
// does not have. An earlier update is missing, and all documents must be loaded again.
var ErrUnknownService = errors.New("document: update of an unknown service")

// Apply returns the snapshot after the updates, at the given revision. It shares unchanged
// parts with s, which it does not change.
func (s *Snapshot) Apply(revision Revision, updates []Update) (*Snapshot, error) {
	size := 0
	for i := range updates {
		size += len(updates[i].Put) + len(updates[i].Drop)
	}
	b := newBuilder(s, revision, size)
	for i := range updates {
		if err := b.apply(&updates[i]); err != nil {
			return nil, err
		}
	}
	return b.build(), nil
}

// builder derives one snapshot from another. It copies each map and shard before it changes it.
type builder struct {
	snapshot *Snapshot
	// ownKeys and ownPrincipals mark the shards that are already copied.
	ownKeys       [shardCount]bool
	ownPrincipals [shardCount]bool
	// changes holds the changed principals, and changeIndex the index of each. build passes twice
	// over the slice: iterating over a map of 35,000 principals would miss the CPU's cache.
	changes     []principalChange
	changeIndex map[string]int
}

// principalChange is a principal before and after the change; before is nil for a new one.
type principalChange struct {
	before *Principal
	after  *Principal
}

// newBuilder returns a builder with capacity for size changed organisations.
func newBuilder(from *Snapshot, revision Revision, size int) *builder {
	next := *from
	next.Revision = revision
	next.services = cloneMap(from.services)
	next.models = cloneMap(from.models)
	return &builder{snapshot: &next, changes: make([]principalChange, 0, size), changeIndex: make(map[string]int, size)}
}

// cloneMap copies a map; unlike maps.Clone it never returns nil.
func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

// apply applies the update of one service. Removing an unknown service has no effect.
func (b *builder) apply(update *Update) error {
	old := b.snapshot.services[update.Service]
	if update.Removed {
		b.removeService(old)
		return nil
	}
	if old == nil && update.Header == nil {
		return errors.Wrap(ErrUnknownService, update.Service)
	}
	header := update.Header
	var organisations []Organisation
	if old != nil {
		organisations = old.Organisations
	}
	if header == nil {
		header = old
	}
	next := *header
	next.Organisations = mergeOrganisations(organisations, update)
	b.putService(&next)
	for _, name := range update.Drop {
		b.revoke(update.Service, name)
	}
	for i := range update.Put {
		// Copy the organisation: a pointer into the list would keep the whole list in memory.
		organisation := update.Put[i]
		b.grant(update.Service, &organisation)
	}
	return nil
}

// putService adds or replaces the document of a service and indexes its models.
func (b *builder) putService(service *Service) {
	b.dropModels(b.snapshot.services[service.Name])
	b.snapshot.services[service.Name] = service
	for i := range service.Models {
		model := &service.Models[i]
		b.snapshot.models[model.Name] = &ModelRef{Service: service, Model: model}
	}
}

// dropModels removes the models of a service, except those that another service has taken over
// in an update applied before.
func (b *builder) dropModels(service *Service) {
	if service == nil {
		return
	}
	for i := range service.Models {
		ref := b.snapshot.models[service.Models[i].Name]
		if ref != nil && ref.Service.Name == service.Name {
			delete(b.snapshot.models, service.Models[i].Name)
		}
	}
}

func (b *builder) removeService(service *Service) {
	if service == nil {
		return
	}
	b.dropModels(service)
	delete(b.snapshot.services, service.Name)
	for i := range service.Organisations {
		b.revoke(service.Name, service.Organisations[i].Name)
	}
}

func (b *builder) grant(service string, organisation *Organisation) {
	principal := b.editable(organisation.Name)
	for i := range principal.grants {
		if principal.grants[i].service == service {
			principal.grants[i].organisation = organisation
			return
		}
	}
	principal.grants = append(principal.grants, grant{service: service, organisation: organisation})
}

func (b *builder) revoke(service, organisation string) {
	principal := b.editable(organisation)
	principal.grants = slices.DeleteFunc(principal.grants, func(g grant) bool { return g.service == service })
}

// editable returns a copy of the principal that the builder may change.
func (b *builder) editable(organisation string) *Principal {
	if i, ok := b.changeIndex[organisation]; ok {
		return b.changes[i].after
	}
	before := b.snapshot.principalOf(organisation)
	after := &Principal{Organisation: organisation}
	if before != nil {
		after.grants = slices.Clone(before.grants)
	}
	b.changeIndex[organisation] = len(b.changes)
	b.changes = append(b.changes, principalChange{before: before, after: after})
	return after
}

// build enters the changed principals and returns the snapshot. It removes all old keys
// before it enters any new one; otherwise a key that moved from one organisation to another
// could be removed after it was entered.
func (b *builder) build() *Snapshot {
	for _, change := range b.changes {
		if change.before != nil {
			eachKey(change.before, func(hash KeyHash) { delete(b.keyShard(hash), hash) })
		}
	}
	for _, change := range b.changes {
		name := change.after.Organisation
		if len(change.after.grants) == 0 {
			delete(b.principalShard(name), name)
			continue
		}
		b.principalShard(name)[name] = change.after
		eachKey(change.after, func(hash KeyHash) { b.keyShard(hash)[hash] = change.after })
	}
	return b.snapshot
}

func (b *builder) keyShard(hash KeyHash) map[KeyHash]*Principal {
	i := hash[0]
	if !b.ownKeys[i] {
		b.ownKeys[i] = true
		b.snapshot.keys[i] = cloneMap(b.snapshot.keys[i])
	}
	return b.snapshot.keys[i]
}

func (b *builder) principalShard(name string) map[string]*Principal {
	i := shardOf(name)
	if !b.ownPrincipals[i] {
		b.ownPrincipals[i] = true
		b.snapshot.principals[i] = cloneMap(b.snapshot.principals[i])
	}
	return b.snapshot.principals[i]
}

func shardOf(name string) uint8 { return uint8(xxhash.Sum64String(name)) }

// eachKey calls yield for each valid key hash of a principal in any service.
func eachKey(principal *Principal, yield func(KeyHash)) {
	for _, g := range principal.grants {
		for _, text := range g.organisation.KeyHashes {
			if hash, ok := parseKeyHash(text); ok {
				yield(hash)
			}
		}
	}
}

func parseKeyHash(text string) (hash KeyHash, ok bool) {
	if len(text) != hex.EncodedLen(len(hash)) {
		return hash, false
	}
	_, err := hex.Decode(hash[:], []byte(text))
	return hash, err == nil
}

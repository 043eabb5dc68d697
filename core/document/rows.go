package document

import (
	"cmp"
	"reflect"
	"slices"
)

// Split splits a document into its header and its organisations, so that one of 35,000
// organisations can be changed without rewriting the others. The header and the
// list share the document's slices, so none of the three may be changed afterwards.
func Split(service *Service) (header *Service, organisations []Organisation) {
	copied := *service
	copied.Organisations = nil
	return &copied, service.Organisations
}

// Assemble is the inverse of Split. It sorts the organisations by name.
func Assemble(header *Service, organisations []Organisation) *Service {
	whole := *header
	whole.Organisations = slices.Clone(organisations)
	if !slices.IsSortedFunc(whole.Organisations, byName) {
		slices.SortFunc(whole.Organisations, byName)
	}
	return &whole
}

func byName(a, b Organisation) int { return cmp.Compare(a.Name, b.Name) }

// Update is the change of one service from one revision to the next. It holds complete new
// values, so that applying it is idempotent.
type Update struct {
	// Service names the service.
	Service string `json:"service"`
	// Removed is set if the service was deleted; the other fields are then empty.
	Removed bool `json:"removed,omitempty"`
	// Header is the new header; nil if it did not change.
	Header *Service `json:"header,omitempty"`
	// Put holds the new and changed organisations.
	Put []Organisation `json:"put,omitempty"`
	// Drop names the removed organisations.
	Drop []string `json:"drop,omitempty"`
}

// Empty reports whether the update changes nothing.
func (u *Update) Empty() bool {
	return !u.Removed && u.Header == nil && len(u.Put) == 0 && len(u.Drop) == 0
}

// UpdateBetween returns the update from old to new; old is nil for a new service.
func UpdateBetween(old, new *Service) Update {
	update := Update{Service: new.Name}
	header, organisations := Split(new)
	if old == nil {
		update.Header = header
		update.Put = organisations
		return update
	}
	oldHeader, oldOrganisations := Split(old)
	if !reflect.DeepEqual(oldHeader, header) {
		update.Header = header
	}
	before := organisationsByName(oldOrganisations)
	for i := range organisations {
		previous := before[organisations[i].Name]
		delete(before, organisations[i].Name)
		if previous == nil || !equalOrganisations(previous, &organisations[i]) {
			update.Put = append(update.Put, organisations[i])
		}
	}
	for name := range before {
		update.Drop = append(update.Drop, name)
	}
	slices.Sort(update.Drop)
	return update
}

func organisationsByName(organisations []Organisation) map[string]*Organisation {
	m := make(map[string]*Organisation, len(organisations))
	for i := range organisations {
		m[organisations[i].Name] = &organisations[i]
	}
	return m
}

func equalOrganisations(a, b *Organisation) bool {
	return a.Name == b.Name && a.Limits == b.Limits && slices.Equal(a.KeyHashes, b.KeyHashes)
}

// mergeOrganisations returns the organisations with an update applied, sorted by name. If the
// update contains an organisation several times, the last value applies.
func mergeOrganisations(organisations []Organisation, update *Update) []Organisation {
	put := organisationsByName(update.Put)
	dropped := make(map[string]bool, len(update.Drop))
	for _, name := range update.Drop {
		dropped[name] = true
	}
	merged := make([]Organisation, 0, len(organisations)+len(put))
	for i := range organisations {
		name := organisations[i].Name
		if put[name] == nil && !dropped[name] {
			merged = append(merged, organisations[i])
		}
	}
	for i := range update.Put {
		organisation := &update.Put[i]
		if put[organisation.Name] == organisation {
			merged = append(merged, *organisation)
		}
	}
	slices.SortFunc(merged, byName)
	return merged
}

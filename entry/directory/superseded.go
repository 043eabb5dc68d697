package directory

import (
	"acaciacleat.example/core/routes"
	"github.com/rs/zerolog"
)

// Superseded returns the routing table that was active before the present one, or nil if there was none.
func (k *Keeper) Superseded() *routes.Superseded { return k.superseded.Load() }

// supersede records that the active routing table is about to be replaced, and returns what that changes.
func (k *Keeper) supersede(next *routes.Table) routes.Changes {
	before := k.Table()
	changes := next.ChangesSince(before)
	if before != nil {
		k.superseded.Store(&routes.Superseded{Table: before, By: next.Version(), Changes: changes})
	}
	return changes
}

// maxListed is the number of routes, or of keys, that a line lists of those that were added, and of those that were removed.
const maxListed = 32

// listChanges adds to a line what a version has changed.
func listChanges(line *zerolog.Event, changes *routes.Changes) *zerolog.Event {
	unlisted := 0
	for _, list := range []struct {
		name  string
		names []string
	}{
		{"routes_added", changes.RoutesAdded},
		{"routes_removed", changes.RoutesRemoved},
		{"keys_added", changes.KeysAdded},
		{"keys_removed", changes.KeysRemoved},
	} {
		listed := list.names[:min(len(list.names), maxListed)]
		unlisted += len(list.names) - len(listed)
		if len(listed) > 0 {
			line = line.Strs(list.name, listed)
		}
	}
	if unlisted > 0 {
		line = line.Int("unlisted", unlisted)
	}
	return line
}

package directory

import (
	"maps"
	"slices"
	"sync"

	"acaciacleat.example/core/dispatch"
	"github.com/rs/zerolog"
)

// unreadable holds the keys of the registrations that can't be decoded, so that each is logged once. It is safe for
// concurrent use.
type unreadable struct {
	mu   sync.Mutex
	keys map[string]struct{}
}

// apply applies changes, or all registrations if whole is set. It returns the keys that are new.
func (u *unreadable) apply(changes []dispatch.Change, whole bool) (fresh []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	before := u.keys
	u.keys = make(map[string]struct{})
	if !whole {
		maps.Copy(u.keys, before)
	}
	for _, change := range changes {
		if !change.Unreadable {
			delete(u.keys, change.ID)
			continue
		}
		u.keys[change.ID] = struct{}{}
		if _, known := before[change.ID]; !known {
			fresh = append(fresh, change.ID)
		}
	}
	return fresh
}

// count returns the number of such registrations.
func (u *unreadable) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.keys)
}

const (
	// maxLoggedKeys bounds the keys that one update has logged, maxLoggedKeyBytes how much of each.
	maxLoggedKeys     = 8
	maxLoggedKeyBytes = 64
)

// logUnreadable logs registrations that can't be decoded, each with its fault.
func logUnreadable(log *zerolog.Logger, fresh []string, faults map[string]error) {
	slices.Sort(fresh)
	for _, key := range fresh[:min(len(fresh), maxLoggedKeys)] {
		log.Error().Err(faults[key]).Str("key", key[:min(len(key), maxLoggedKeyBytes)]).
			Msg("registration can't be decoded; it names no upstream to use")
	}
	if more := len(fresh) - maxLoggedKeys; more > 0 {
		log.Error().Int("entries", more).Msg("more registrations can't be decoded")
	}
}

// Unreadable returns the number of registrations that can't be decoded.
func (k *Keeper) Unreadable() int { return k.unreadable.count() }

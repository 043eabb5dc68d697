package gateway

import (
	"slices"
	"time"

	"acaciacleat.example/core/dispatch"
	"github.com/rs/zerolog"
)

// Upstreams applies changes of upstreams to the fleet and cancels calls to incarnations that
// have ended. It implements directory.Upstreams.
type Upstreams struct {
	Fleet   *dispatch.Fleet
	Clients *Clients
	// Crashes is notified of incarnations that have ended according to the registry.
	Crashes *CrashDetector
	Log     zerolog.Logger
}

// Apply implements directory.Upstreams.
func (u Upstreams) Apply(now time.Time, changes []dispatch.Change, whole bool) {
	for _, ended := range u.Fleet.ApplyChanges(now, changes, whole) {
		u.Log.Info().Str("upstream", ended.ID).Int64("born_ms", ended.StartedAtMs).
			Msg("upstream has started again under its id; what it had in hand is over")
		u.Clients.Close(ended)
		u.Crashes.upstreamEnded(ended, restarted)
	}
	u.Crashes.registryChanged()
	if held, since := u.Fleet.HeldBack(now); held > 0 && slices.ContainsFunc(changes, func(c dispatch.Change) bool { return c.Removed }) {
		u.Log.Info().Int("upstreams", held).Int64("since_return_ms", since.Milliseconds()).
			Msg("upstreams that the registry has removed stay in use: it was away, and they may register again")
	}
}

// RegistryUnavailable implements directory.Upstreams.
func (u Upstreams) RegistryUnavailable() { u.Fleet.RegistryUnavailable() }

// RegistryAnswered implements directory.Upstreams.
func (u Upstreams) RegistryAnswered(now time.Time) { u.Fleet.RegistryAnswered(now) }

// RegistryReturned implements directory.Upstreams.
func (u Upstreams) RegistryReturned(now time.Time) { u.Fleet.RegistryReturned(now) }

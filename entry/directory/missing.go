package directory

import "time"

// missingLimit is how long a version that another entry has may be missing after both feeds were read for it, before
// everything is read. A large one takes a while to be transferred, and reading anew would begin that again.
const missingLimit = time.Second

// VersionMissing records that another entry has had a version of the routes for a while that is not in force here. An
// entry that reads the store for itself then reads both feeds at once: what hid the version may hide other changes as
// well. If it is still missing after that, everything is read.
func (k *Keeper) VersionMissing(version uint64) {
	k.HeardOf(version)
	if k.config.Role().Listens() || k.missing.Swap(version) == version {
		return
	}
	for _, f := range []*feed{k.routes, k.upstreams} {
		f.atOnce.Store(true)
		f.readAgain()
	}
	time.AfterFunc(missingLimit, func() {
		if k.version() >= version {
			return
		}
		k.config.Log.Warn().Uint64("version", version).Uint64("in_force", k.version()).
			Msg("the store did not report routes that another entry has; reading all")
		for _, f := range []*feed{k.routes, k.upstreams} {
			f.anew.Store(true)
			f.readAgain()
		}
	})
}

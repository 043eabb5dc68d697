package link

import (
	"time"

	"acaciacleat.example/core/slowstart"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// coldTimes are, by the IDs of registered upstreams, how much longer they are cold, in milliseconds.
type coldTimes map[string]int64

// maxColdTimes bounds the cold times of one update, at several times the size that the system is
// designed for.
const maxColdTimes = 4096

// PackColdTimes puts the cold times of an update's changes into the field Routes, which an entry that
// runs an earlier version ignores in an update of upstreams.
func (u *FeedUpdate) PackColdTimes() error {
	all := make(coldTimes)
	for _, change := range u.Changes {
		if change.ColdFor > 0 && len(all) < maxColdTimes {
			all[change.ID] = change.ColdFor.Milliseconds()
		}
	}
	if len(all) == 0 {
		return nil
	}
	packed, err := msgpack.Marshal(all)
	if err != nil {
		return errors.Wrap(err, "pack cold times")
	}
	u.Routes = packed
	return nil
}

// UnpackColdTimes sets the cold times of a received update's changes. If they can't be read, the changes
// have none.
func (u *FeedUpdate) UnpackColdTimes() error {
	if len(u.Routes) == 0 {
		return nil
	}
	var all coldTimes
	if err := msgpack.Unmarshal(u.Routes, &all); err != nil {
		return errors.Wrap(err, "unpack cold times")
	}
	if len(all) > maxColdTimes {
		return errors.Errorf("unpack cold times: %d of them; there are at most %d", len(all), maxColdTimes)
	}
	for id, ms := range all {
		if ms < 0 || ms > slowstart.MaxRest.Milliseconds() {
			return errors.Errorf("unpack cold times: %d ms for %.50q; it must be from 0 to %d", ms, id, slowstart.MaxRest.Milliseconds())
		}
	}
	for i := range u.Changes {
		u.Changes[i].ColdFor = time.Duration(all[u.Changes[i].ID]) * time.Millisecond
	}
	return nil
}

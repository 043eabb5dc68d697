package link

import (
	"bytes"
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
	all, err := unpackColdTimes(u.Routes)
	if err != nil {
		return errors.WithMessage(err, "unpack cold times")
	}
	for i := range u.Changes {
		u.Changes[i].ColdFor = time.Duration(all[u.Changes[i].ID]) * time.Millisecond
	}
	return nil
}

func unpackColdTimes(packed []byte) (coldTimes, error) {
	dec := msgpack.NewDecoder(bytes.NewReader(packed))
	n, err := dec.DecodeMapLen()
	if err != nil {
		return nil, errors.Wrap(err, "decode map")
	}
	if n > maxColdTimes {
		return nil, errors.Errorf("%d of them; there are at most %d", n, maxColdTimes)
	}
	all := make(coldTimes)
	for range n {
		id, err := dec.DecodeString()
		if err != nil {
			return nil, errors.Wrap(err, "decode id")
		}
		ms, err := dec.DecodeInt64()
		if err != nil {
			return nil, errors.Wrap(err, "decode rest")
		}
		if ms < 0 || ms > slowstart.MaxRest.Milliseconds() {
			return nil, errors.Errorf("%d ms for %.50q; it must be from 0 to %d", ms, id, slowstart.MaxRest.Milliseconds())
		}
		all[id] = ms
	}
	return all, nil
}

// Package fetch decides how an entry fetches a large value that other entries, the holders,
// have and it lacks: one part at a time, from one holder at a time. It does no I/O.
//
// A holder only sends what is requested, and an entry requests the next part once it has
// received the last. So a slow or congested link only makes the transfer slower: the entry's
// other messages wait for at most one part, and a slow holder never causes a second copy to be
// sent over the link.
package fetch

import (
	"hash/crc32"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// PartBytes is the size of a part. Other messages on the link wait for at most one part.
	PartBytes = 32 << 10
	// maxParts bounds the memory that a holder can make an entry use.
	maxParts = 1024
	// HoldOff is how long an entry waits for its own feed, or for a follower, before it requests
	// a value from other entries.
	HoldOff = 150 * time.Millisecond
	// partTimeout is how long an entry waits for a part. A holder that did not answer in time is
	// then not asked again for the same time.
	partTimeout = 500 * time.Millisecond
	// busyBackoff is how long a holder that was busy is not asked again.
	busyBackoff = 100 * time.Millisecond
)

// Request requests a part. The holder returns the first part of its newest version if Part is zero
// or if it no longer has Version.
type Request struct {
	Version uint64
	Part    int
}

// Part is one part of an encoded value.
type Part struct {
	Version uint64
	// Sum is the checksum of the whole encoding.
	Sum  uint32
	Part int
	// Parts is the number of parts; zero says that the holder is busy.
	Parts int
	Data  []byte
}

// Fetcher is the state of fetching the newest version of one value. Its methods must be called
// with increasing times and not concurrently.
type Fetcher struct {
	random *rand.Rand
	// newest is the highest version announced. missingSince is when the entry began to lack a
	// newer version, and fetchAt is when to request one.
	newest       uint64
	missingSince time.Time
	fetchAt      time.Time
	// holders are the entries that have announced a version above the applied one.
	holders []holder
	// pendingHolder is the holder whose answer is awaited until deadline; empty for none.
	pendingHolder string
	deadline      time.Time
	// lastSource is the holder that sent the last part.
	lastSource string
	// partial holds the parts that have arrived.
	partial partial
	// delivered is the last version that was returned to the caller.
	delivered uint64
}

type holder struct {
	name    string
	version uint64
	near    bool
	// notBefore is when the holder may be asked again.
	notBefore time.Time
}

// partial is an encoding of which the parts before next have arrived.
type partial struct {
	version uint64
	sum     uint32
	parts   int
	next    int
	data    []byte
}

// New returns a Fetcher that chooses holders with the given source of random numbers.
func New(random *rand.Rand) *Fetcher { return &Fetcher{random: random} }

// Missing returns the newest version announced, if it is not applied, and since when a newer
// version has been missing; zero for none.
func (f *Fetcher) Missing(applied uint64) (version uint64, since time.Time) {
	if f.newest <= applied {
		return 0, time.Time{}
	}
	return f.newest, f.missingSince
}

// Announce records that another entry has a version. Near holders are asked first.
func (f *Fetcher) Announce(now time.Time, applied uint64, name string, near bool, version uint64) {
	have := max(applied, f.delivered)
	if version <= have {
		return
	}
	if f.newest <= have {
		f.missingSince, f.fetchAt = now, now.Add(HoldOff)
	}
	f.newest = max(f.newest, version)
	if i := f.holderIndex(name); i >= 0 {
		f.holders[i].version = max(f.holders[i].version, version)
		return
	}
	f.holders = append(f.holders, holder{name: name, version: version, near: near})
}

// RemoveHolder removes a holder because the link to it has ended.
func (f *Fetcher) RemoveHolder(name string) {
	f.holders = slices.DeleteFunc(f.holders, func(h holder) bool { return h.name == name })
	if f.pendingHolder == name {
		f.pendingHolder = ""
	}
}

// Next returns the request to send now and its holder, and when to call Next again. The name is
// empty if there is nothing to send now; the time is zero as well if nothing is missing or no
// holder is known.
func (f *Fetcher) Next(now time.Time, applied uint64) (request Request, name string, again time.Time) {
	have := max(applied, f.delivered)
	if f.partial.version <= have {
		f.partial = partial{}
	}
	// Holders of the delivered version are kept: the caller may still reject it.
	f.holders = slices.DeleteFunc(f.holders, func(h holder) bool { return h.version <= applied })
	switch {
	case f.newest <= have, len(f.holders) == 0:
		f.pendingHolder = ""
		return Request{}, "", time.Time{}
	case now.Before(f.fetchAt):
		return Request{}, "", f.fetchAt
	case f.pendingHolder != "" && now.Before(f.deadline):
		return Request{}, "", f.deadline
	case f.pendingHolder != "":
		f.backOff(f.pendingHolder, now.Add(partTimeout))
	}
	if name, again = f.chooseHolder(now, have); name == "" {
		return Request{}, "", again
	}
	f.pendingHolder, f.deadline = name, now.Add(partTimeout)
	return Request{Version: f.partial.version, Part: f.partial.next}, name, f.deadline
}

// chooseHolder returns the holder that sent the last part if it may be asked, otherwise a random
// near one, or a random one if none is near. The choice is random because all entries lack the
// same value at the same time.
func (f *Fetcher) chooseHolder(now time.Time, have uint64) (name string, again time.Time) {
	var near, all []string
	for _, h := range f.holders {
		switch {
		case h.version <= have:
		case h.notBefore.After(now):
			if again.IsZero() || h.notBefore.Before(again) {
				again = h.notBefore
			}
		case h.name == f.lastSource:
			return h.name, time.Time{}
		default:
			all = append(all, h.name)
			if h.near {
				near = append(near, h.name)
			}
		}
	}
	if len(near) > 0 {
		all = near
	}
	if len(all) == 0 {
		return "", again
	}
	return all[f.random.IntN(len(all))], time.Time{}
}

// Receive handles a part. With the last part it returns the whole encoding and its version.
func (f *Fetcher) Receive(now time.Time, applied uint64, name string, part *Part) (whole []byte, version uint64) {
	expected := f.pendingHolder == name
	if expected {
		f.pendingHolder = ""
	}
	switch {
	case part.Parts == 0:
		f.backOff(name, now.Add(busyBackoff))
		return nil, 0
	case part.Version <= max(applied, f.delivered), !part.valid():
		f.backOff(name, now.Add(partTimeout))
		return nil, 0
	case !f.partial.matches(part) && !expected:
		return nil, 0 // A late part of an abandoned version.
	case !f.partial.matches(part):
		f.partial = partial{version: part.Version, sum: part.Sum, parts: part.Parts}
	}
	f.lastSource = name
	if part.Part != f.partial.next {
		return nil, 0
	}
	f.partial.data = append(f.partial.data, part.Data...)
	f.partial.next++
	if f.partial.next < f.partial.parts {
		return nil, 0
	}
	complete := f.partial
	f.partial = partial{}
	if crc32.ChecksumIEEE(complete.data) != complete.sum {
		f.backOff(name, now.Add(partTimeout))
		return nil, 0
	}
	f.delivered = complete.version
	return complete.data, complete.version
}

// Reject records that the delivered version could not be applied, so that it is fetched again.
func (f *Fetcher) Reject(now time.Time, version uint64) {
	if f.delivered == version {
		f.delivered, f.fetchAt = 0, now.Add(partTimeout)
	}
}

// valid reports whether the fields of a part are consistent and within bounds.
func (p *Part) valid() bool {
	return p.Parts > 0 && p.Parts <= maxParts && p.Part >= 0 && p.Part < p.Parts && len(p.Data) <= PartBytes
}

func (p *partial) matches(part *Part) bool {
	return p.version == part.Version && p.sum == part.Sum && p.parts == part.Parts
}

// backOff excludes a holder from requests until the given time.
func (f *Fetcher) backOff(name string, until time.Time) {
	if f.pendingHolder == name {
		f.pendingHolder = ""
	}
	if f.lastSource == name {
		f.lastSource = ""
	}
	if i := f.holderIndex(name); i >= 0 {
		f.holders[i].notBefore = until
	}
}

func (f *Fetcher) holderIndex(name string) int {
	return slices.IndexFunc(f.holders, func(h holder) bool { return h.name == name })
}

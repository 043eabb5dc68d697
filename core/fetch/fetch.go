// Package fetch decides how an entry gets a large value that other entries have and it lacks: in
// parts, one at a time, from one holder at a time. It does no I/O.
//
// What an entry is sent follows from what it asks for, and it asks for the next part once it has the
// last. So a link that is narrow or congested makes the transfer slower and nothing else: the
// entry's other messages wait for one part at the most, and no holder that is slow is a reason to
// load the link with a second copy.
package fetch

import (
	"hash/crc32"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// PartBytes is the size of a part: other messages on the link wait for one at the most.
	PartBytes = 32 << 10
	// mostParts bounds what a holder can make an entry keep.
	mostParts = 1024
	// HoldOff is how long an entry waits for its own feed, or for a follower, before it asks others.
	HoldOff = 150 * time.Millisecond
	// partTimeout is how long an entry waits for a part, and for a holder that has not answered
	// before it is asked again.
	partTimeout = 500 * time.Millisecond
	// busyPause is how long a holder that was busy is left alone.
	busyPause = 100 * time.Millisecond
)

// Ask names a part. The first part of the newest version is wanted where Part is zero, and where
// the holder no longer has Version.
type Ask struct {
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

// Fetch is what one entry knows of a value that it may lack. Its methods are called with
// increasing times and not concurrently.
type Fetch struct {
	random *rand.Rand
	// newest is the highest version announced, since is when it was first missing, and start is
	// when to ask for it.
	newest uint64
	since  time.Time
	start  time.Time
	// holders are the entries that have announced a version that is missing.
	holders []holder
	// asked is the holder whose answer is awaited until due; empty for none.
	asked string
	due   time.Time
	// from is the holder that sent the last part.
	from string
	// got are the parts that have arrived.
	got partial
	// handed is the last version that was handed over.
	handed uint64
}

type holder struct {
	name    string
	version uint64
	near    bool
	// notBefore is when it may be asked again.
	notBefore time.Time
}

// partial is an encoding of which the parts up to next have arrived.
type partial struct {
	version uint64
	sum     uint32
	parts   int
	next    int
	data    []byte
}

// New returns a Fetch that draws holders from a source of random numbers.
func New(random *rand.Rand) *Fetch { return &Fetch{random: random} }

// Missing returns the newest version announced and since when it is missing; zero for none.
func (f *Fetch) Missing(inForce uint64) (version uint64, since time.Time) {
	if f.newest <= inForce {
		return 0, time.Time{}
	}
	return f.newest, f.since
}

// Announced notes that another entry has a version. Near ones are asked first.
func (f *Fetch) Announced(now time.Time, inForce uint64, name string, near bool, version uint64) {
	have := max(inForce, f.handed)
	if version <= have {
		return
	}
	if f.newest <= have {
		f.since, f.start = now, now.Add(HoldOff)
	}
	f.newest = max(f.newest, version)
	if i := f.index(name); i >= 0 {
		f.holders[i].version = max(f.holders[i].version, version)
		return
	}
	f.holders = append(f.holders, holder{name: name, version: version, near: near})
}

// Gone notes that the link to an entry has ended.
func (f *Fetch) Gone(name string) {
	f.holders = slices.DeleteFunc(f.holders, func(h holder) bool { return h.name == name })
	if f.asked == name {
		f.asked = ""
	}
}

// Next returns what to ask of which holder now, and when to call Next again; both zero where
// nothing is missing or nobody is known to have it.
func (f *Fetch) Next(now time.Time, inForce uint64) (ask Ask, name string, again time.Time) {
	have := max(inForce, f.handed)
	if f.got.version <= have {
		f.got = partial{}
	}
	// Not those of what was handed over: it may be dropped yet.
	f.holders = slices.DeleteFunc(f.holders, func(h holder) bool { return h.version <= inForce })
	switch {
	case f.newest <= have, len(f.holders) == 0:
		f.asked = ""
		return Ask{}, "", time.Time{}
	case now.Before(f.start):
		return Ask{}, "", f.start
	case f.asked != "" && now.Before(f.due):
		return Ask{}, "", f.due
	case f.asked != "":
		f.leave(f.asked, now.Add(partTimeout))
	}
	if name, again = f.choose(now, have); name == "" {
		return Ask{}, "", again
	}
	f.asked, f.due = name, now.Add(partTimeout)
	return Ask{Version: f.got.version, Part: f.got.next}, name, f.due
}

// choose returns the holder of the last part if it may be asked, otherwise one drawn from the near
// ones, or from all. Drawn, since all entries lack the same value at the same moment.
func (f *Fetch) choose(now time.Time, have uint64) (name string, again time.Time) {
	var near, all []string
	for _, h := range f.holders {
		switch {
		case h.version <= have:
		case h.notBefore.After(now):
			if again.IsZero() || h.notBefore.Before(again) {
				again = h.notBefore
			}
		case h.name == f.from:
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

// Received takes a part. It returns the whole encoding with the last one.
func (f *Fetch) Received(now time.Time, inForce uint64, name string, part *Part) (whole []byte, version uint64) {
	wanted := f.asked == name
	if wanted {
		f.asked = ""
	}
	switch {
	case part.Parts == 0:
		f.leave(name, now.Add(busyPause))
		return nil, 0
	case part.Version <= max(inForce, f.handed), !part.sound():
		f.leave(name, now.Add(partTimeout))
		return nil, 0
	case !f.got.matches(part) && !wanted:
		return nil, 0 // Late, of a version that was given up.
	case !f.got.matches(part):
		f.got = partial{version: part.Version, sum: part.Sum, parts: part.Parts}
	}
	f.from = name
	if part.Part != f.got.next {
		return nil, 0
	}
	f.got.data = append(f.got.data, part.Data...)
	f.got.next++
	if f.got.next < f.got.parts {
		return nil, 0
	}
	got := f.got
	f.got = partial{}
	if crc32.ChecksumIEEE(got.data) != got.sum {
		f.leave(name, now.Add(partTimeout))
		return nil, 0
	}
	f.handed = got.version
	return got.data, got.version
}

// Dropped takes back the last version that was handed over: it could not be taken up.
func (f *Fetch) Dropped(now time.Time, version uint64) {
	if f.handed == version {
		f.handed, f.start = 0, now.Add(partTimeout)
	}
}

// sound reports whether a part can be one of an encoding.
func (p *Part) sound() bool {
	return p.Parts > 0 && p.Parts <= mostParts && p.Part >= 0 && p.Part < p.Parts && len(p.Data) <= PartBytes
}

func (p *partial) matches(part *Part) bool {
	return p.version == part.Version && p.sum == part.Sum && p.parts == part.Parts
}

// leave asks a holder nothing until a moment.
func (f *Fetch) leave(name string, until time.Time) {
	if f.asked == name {
		f.asked = ""
	}
	if f.from == name {
		f.from = ""
	}
	if i := f.index(name); i >= 0 {
		f.holders[i].notBefore = until
	}
}

func (f *Fetch) index(name string) int {
	return slices.IndexFunc(f.holders, func(h holder) bool { return h.name == name })
}

// Package footprint accounts for the memory and the connections that clients hold at a server, and
// decides which connections give way when there is no room for more.
//
// A connection is charged before memory is used for it. Large holdings are bounded by a dynamic threshold:
// a group of connections, such as those of one organisation, may hold up to a multiple of what is free, so
// that several groups that ask for all of it leave room for others. If there is no room, the connections
// that have made least progress for their age and size are shed.
package footprint

import (
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ConnBytes is charged for each connection: buffers, the goroutine's stack, and what the kernel may
	// have received for it.
	ConnBytes = 40 << 10
	// SmallBytes is the holding of a connection up to which it is bounded by the total only.
	SmallBytes = 96 << 10
	// thresholdFactor is the multiple of the free memory that the large holdings of a group may reach.
	thresholdFactor = 2
	// groupSlots is the number of groups. Names share them by their hashes.
	groupSlots = 256
)

// Limits bounds what all connections together may hold.
type Limits struct {
	// Bytes is the memory.
	Bytes int64
	// Conns is the number of open connections.
	Conns int
}

// Ledger is the account of a server's connections. It is safe for concurrent use. Times are durations
// since any fixed moment.
type Ledger struct {
	limits Limits
	held   atomic.Int64
	groups [groupSlots]group
	seed   maphash.Seed
	counts [numReasons]atomic.Uint64
	// interval counts the calls of Expire.
	interval atomic.Uint32

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// open is the number of connections that have not been closed, opened that of all so far.
	open   int
	opened uint64
}

// group is a set of connections that share a threshold.
type group struct {
	held atomic.Int64
	// retired is what was freed in the last two intervals between calls of Expire.
	retired [2]atomic.Int64
}

// New returns a ledger without connections.
func New(limits Limits) *Ledger {
	return &Ledger{limits: limits, seed: maphash.MakeSeed(), conns: make(map[*Conn]struct{})}
}

// Owner is a connection as its server knows it. The ledger never calls it with its lock held.
type Owner interface {
	// Refuse answers the request whose head or body is being read, and then closes the connection.
	Refuse(Reason)
	// Abort closes the connection at once, unless its request is being served.
	Abort(Reason)
}

// NewConn returns a connection that is not open yet.
func (l *Ledger) NewConn(owner Owner) *Conn {
	c := &Conn{owner: owner}
	c.group.Store(&l.groups[0])
	return c
}

// Open opens a connection. ok is false if there is no room for it, even after others gave way; crowded is how many did
// because there were too many connections.
func (l *Ledger) Open(now time.Duration, c *Conn) (ok bool, crowded int) {
	c.since.Store(int64(now))
	c.progressed.Store(int64(now))
	if ok, crowded = l.add(now, c); ok && !l.acquire(now, c, ConnBytes, true) {
		l.Close(c)
		ok = false
	}
	if !ok {
		l.counts[NoRoom].Add(1)
	}
	return ok, crowded
}

// add makes c one of the open connections, unless there are too many and none gives way.
func (l *Ledger) add(now time.Duration, c *Conn) (ok bool, crowded int) {
	l.mu.Lock()
	var victims []victim
	if l.open >= l.limits.Conns {
		for _, enough := range []int{max(1+l.limits.Conns/connsShare, min(l.limits.Conns/2, minShedConns)), 1} {
			if victims == nil {
				victims = l.choose(now, c, need{close: true, met: func(_ int64, conns int) bool { return conns >= enough }})
			}
		}
	}
	if ok = l.open < l.limits.Conns; ok {
		l.opened++
		c.number = l.opened
		l.conns[c] = struct{}{}
		l.open++
	}
	l.mu.Unlock()
	shed(victims)
	return ok, len(victims)
}

// connsShare is the part of the connections that is shed at once, if as many give way, when there are too many.
const connsShare = 32

// minShedConns is the least number that is shed at once, if as many give way and are not more than half of all: a crowd that
// connects again and again otherwise fills the queue of new connections for longer than others wait there.
const minShedConns = 96

// Close removes a connection and all that it holds.
func (l *Ledger) Close(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; !ok {
		return
	}
	delete(l.conns, c)
	if c.state.Swap(closed) != closed {
		l.open--
	}
	l.take(c, c.held.Swap(0))
}

// Join makes a connection a member of the group with this name. Only its own goroutine may call it.
func (l *Ledger) Join(c *Conn, name string) {
	next := &l.groups[1+maphash.String(l.seed, name)%(groupSlots-1)]
	if c.group.Load() == next {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	held := c.held.Load()
	c.group.Load().held.Add(-held)
	next.held.Add(held)
	c.group.Store(next)
}

// Acquire charges a connection with n more bytes. It returns false if there is no room, even after others
// were shed.
func (l *Ledger) Acquire(now time.Duration, c *Conn, n int64) bool {
	if l.acquire(now, c, n, false) {
		return true
	}
	l.counts[NoRoom].Add(1)
	return false
}

// acquire charges a connection. Others that give way are closed at once, or refused if that is possible.
func (l *Ledger) acquire(now time.Duration, c *Conn, n int64, closing bool) bool {
	if l.charge(c, n) {
		return true
	}
	small := c.held.Load()+n <= SmallBytes
	score := float64(wasteful)
	switch {
	case closing:
		score = 0
	case small:
		score = leastScore
	}
	l.mu.Lock()
	victims := l.choose(now, c, need{score: score, close: closing, met: func(freed int64, _ int) bool {
		return allows(c, l.limits.Bytes-l.held.Load()-n+freed, n-freed, small)
	}})
	l.mu.Unlock()
	shed(victims)
	return l.charge(c, n)
}

// charge adds n bytes to what a connection holds if they fit and it has not been shed.
func (l *Ledger) charge(c *Conn, n int64) bool {
	free := l.limits.Bytes - l.held.Add(n)
	if c.state.Load() != open || !allows(c, free, n, c.held.Load()+n <= SmallBytes) {
		l.held.Add(-n)
		return false
	}
	c.held.Add(n)
	c.group.Load().held.Add(n)
	return true
}

// allows reports whether a connection may hold n more bytes if that leaves free bytes. small says that its holding stays
// small.
func allows(c *Conn, free, n int64, small bool) bool {
	return free >= 0 && (small || c.group.Load().held.Load()+n <= thresholdFactor*free)
}

// Release takes back n bytes that a connection was charged with, or what is left of them.
func (l *Ledger) Release(c *Conn, n int64) { l.take(c, c.uncharge(n)) }

// Retire takes back n bytes that a connection was charged with. Their memory has to be collected as garbage, so they
// remain in the totals for one to two intervals between calls of Expire.
func (l *Ledger) Retire(c *Conn, n int64) {
	if n <= SmallBytes {
		l.Release(c, n)
		return
	}
	if taken := c.uncharge(n); taken > 0 {
		c.group.Load().retired[l.interval.Load()%2].Add(taken)
	}
}

// collect takes what was retired before the last call out of the totals.
func (l *Ledger) collect() {
	next := l.interval.Add(1) % 2
	for i := range l.groups {
		if n := l.groups[i].retired[next].Swap(0); n != 0 {
			l.groups[i].held.Add(-n)
			l.held.Add(-n)
		}
	}
}

// take subtracts n bytes, which a connection holds no longer, from the totals.
func (l *Ledger) take(c *Conn, n int64) {
	c.group.Load().held.Add(-n)
	l.held.Add(-n)
}

// Count records that a request was refused or a connection closed for a reason that the ledger doesn't
// see by itself.
func (l *Ledger) Count(r Reason) { l.counts[r].Add(1) }

// Ended counts the connections that were closed, and the requests that were refused, by Reason.
type Ended [numReasons]uint64

// Ended returns the counts so far.
func (l *Ledger) Ended() Ended {
	var ended Ended
	for i := range ended {
		ended[i] = l.counts[i].Load()
	}
	return ended
}

// Usage is what connections hold.
type Usage struct {
	Bytes int64
	// Phases counts the open connections by Phase.
	Phases [numPhases]int
}

// Conns returns the number of open connections.
func (u Usage) Conns() int {
	n := 0
	for _, open := range u.Phases {
		n += open
	}
	return n
}

// Usage returns what connections hold now.
func (l *Ledger) Usage() Usage {
	u := Usage{Bytes: l.held.Load()}
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		u.Phases[c.phase.Load()]++
	}
	return u
}

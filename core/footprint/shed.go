package footprint

import (
	"cmp"
	"slices"
	"time"
)

const (
	// leastScore is the score from which a connection gives way to small requests, wasteful that from which
	// it gives way to large ones. Any that may give way does so to a new connection.
	leastScore = 0.4
	wasteful   = 2
	// minStall is the time without progress before which the sender of a head or a body doesn't give way, except to a new
	// connection, and minUnread that for the reader of an answer, which may wait for the network.
	minStall  = 250 * time.Millisecond
	minUnread = time.Second
	// stallWeight is the weight of the time without progress beside that of the whole phase.
	stallWeight = 4
	// minMoved is the number of bytes for which progress is counted at least.
	minMoved = 1 << 10
	// minFreed is the least memory for which a request is refused to make room.
	minFreed = 16 << 10
	// unusedScore is that of a new connection that has never been used, pendingScore that of one whose request has not been
	// read when a new connection needs its place; usedWeight is the weight of the time for which one that has been
	// used is idle, since it is likely to be used again.
	unusedScore  = 0.5
	pendingScore = 0.6
	usedWeight   = 0.01
	// stays is the score of a connection that doesn't give way.
	stays = -1
)

// victim is a connection that gives way.
type victim struct {
	conn   *Conn
	reason Reason
	score  float64
	// close says that it is closed at once, freed how many bytes that frees.
	close bool
	freed int64
}

func (l *Ledger) newVictim(c *Conn, reason Reason, score float64, closing bool) victim {
	v := victim{conn: c, reason: reason, score: score, freed: c.held.Load()}
	if phase := c.Phase(); !closing && (phase == Head || phase == Body) {
		v.freed -= ConnBytes // It lasts until the refusal has been read.
	} else {
		v.close = true
	}
	return v
}

// shed tells the owners of connections that these give way.
func shed(victims []victim) {
	for _, v := range victims {
		if v.close {
			v.conn.owner.Abort(v.reason)
		} else {
			v.conn.owner.Refuse(v.reason)
		}
	}
}

// need is what others must give way for.
type need struct {
	// score is the least score of those that give way.
	score float64
	// close says that they are closed at once.
	close bool
	// met reports whether it suffices that this many bytes and connections are freed.
	met func(freed int64, conns int) bool
}

// choose returns connections that give way to another one, the worst first, until the need is met. It returns none
// if all of them together don't suffice. What they hold no longer counts. It is called with mu held.
func (l *Ledger) choose(now time.Duration, to *Conn, n need) []victim {
	own := to.group.Load()
	var all []victim
	for c := range l.conns {
		group := c.group.Load()
		if c == to || !c.mayGiveWay() || group != own && group.held.Load() < own.held.Load() {
			continue
		}
		score := c.score(now, n.close)
		if score < n.score {
			continue
		}
		if v := l.newVictim(c, GaveWay, score, n.close); v.close || v.freed >= minFreed {
			all = append(all, v)
		}
	}
	slices.SortFunc(all, func(a, b victim) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.conn.number, b.conn.number))
	})
	freed, conns := int64(0), 0
	for i, v := range all {
		freed += v.freed
		if v.close {
			conns++
		}
		if n.met(freed, conns) {
			return l.discharge(all[:i+1])
		}
	}
	return nil
}

// mayGiveWay reports whether the connection hasn't given way yet. After a refusal it may still be closed.
func (c *Conn) mayGiveWay() bool {
	switch c.state.Load() {
	case open:
		return true
	case refused:
		return c.Phase() == Closing
	default:
		return false
	}
}

// discharge marks connections as refused or closed and takes back what that frees. It is called with mu held.
func (l *Ledger) discharge(victims []victim) []victim {
	for _, v := range victims {
		l.counts[v.reason].Add(1)
		if v.close {
			v.conn.state.Store(closed)
			l.open--
			l.take(v.conn, v.conn.held.Swap(0))
			continue
		}
		v.conn.state.Store(refused)
		l.Release(v.conn, v.freed)
	}
	return victims
}

// score tells how little progress a connection has made for its age and size: the seconds that it has held
// its memory for each byte moved, and those without progress. toConn says that it would give way to a new connection.
func (c *Conn) score(now time.Duration, toConn bool) float64 {
	age := now - time.Duration(c.since.Load())
	stalled := now - time.Duration(c.progressed.Load())
	switch phase := c.Phase(); {
	case phase == Serving:
		return stays
	case phase == Idle && c.served.Load():
		return usedWeight * age.Seconds()
	case phase == Idle:
		return unusedScore + age.Seconds()
	case toConn && phase != Answering:
		return pendingScore + stallWeight*stalled.Seconds()
	case phase == Answering && stalled < minUnread, stalled < minStall && age < minUnread:
		return stays
	}
	extra, moved := float64(max(c.held.Load()-ConnBytes, 0)), float64(max(c.moved.Load(), minMoved))
	return stallWeight*stalled.Seconds() + age.Seconds()*extra/moved
}

// Timeouts bounds how long the phases of a connection may last.
type Timeouts struct {
	Head, Idle time.Duration
}

// Expire sheds the connections that have been in their phase for too long. slack is added to all bounds, for the
// precision of now. It is called at regular intervals.
func (l *Ledger) Expire(now, slack time.Duration, timeouts Timeouts) {
	l.collect()
	var expired []victim
	l.mu.Lock()
	for c := range l.conns {
		if reason, ok := c.expired(now-slack, timeouts); ok && c.state.Load() == open {
			expired = append(expired, l.newVictim(c, reason, 0, false))
		}
	}
	expired = l.discharge(expired)
	l.mu.Unlock()
	shed(expired)
}

func (c *Conn) expired(now time.Duration, timeouts Timeouts) (Reason, bool) {
	age := now - time.Duration(c.since.Load())
	stalled := now - time.Duration(c.progressed.Load())
	deadline := time.Duration(c.deadline.Load())
	switch c.Phase() {
	case Idle:
		return IdleTimeout, age > timeouts.Idle
	case Head:
		return HeadTimeout, age > timeouts.Head
	case Body:
		return BodyTimeout, stalled > timeouts.Idle || deadline > 0 && now > deadline
	case Answering:
		return NotRead, stalled > timeouts.Idle
	default:
		return 0, false
	}
}

// Package idempotency decides whether a call may run, so that a call that must not be
// repeated runs at most once.
//
// The agent's Ledger runs an id at most once in one incarnation of the agent. The
// entry's Claim binds an Idempotency-Key to one agent incarnation by a row in the
// table service, so that a second try at any entry meets the first one's run. Both are
// pure: they do no I/O and the time is passed in.
package idempotency

import "time"

// Limits bounds what a Ledger keeps.
type Limits struct {
	// OfferAge is the greatest age of an offer's stamp; older offers are refused.
	OfferAge time.Duration
	// Remember is how long an id is kept after its call ended or was tombstoned. It
	// must be at least OfferAge: NewLedger raises it where it is not.
	Remember time.Duration
	// MaxIDs bounds the ids kept. When it is reached, new ids are refused: running an
	// id that cannot be remembered could run it twice.
	MaxIDs int
	// MaxResultBytes bounds the sizes of the results kept for replays. The oldest
	// results go first; their ids stay.
	MaxResultBytes int
}

// DefaultLimits suit one agent at the size that the design is worked out for.
var DefaultLimits = Limits{
	// Longer than an idle link is kept open, so that an entry's last stamp, which at
	// the latest came when the link was made, is seldom too old; and longer than a
	// link needs to be found silent and dialled anew several times.
	OfferAge: 2 * time.Minute,
	// Callers that lost an answer try again within minutes.
	Remember: 10 * time.Minute,
	// 3.6 calls/s an agent on average keep 2,200 ids in ten minutes; this leaves room
	// for forty times that, at about 130 bytes each.
	MaxIDs: 100_000,
	// A quarter of the 128 MB that a process may use.
	MaxResultBytes: 32 << 20,
}

func (l Limits) corrected() Limits {
	l.Remember = max(l.Remember, l.OfferAge)
	l.MaxIDs = max(l.MaxIDs, 1)
	return l
}

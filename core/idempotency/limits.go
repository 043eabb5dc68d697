// Package idempotency decides whether a call may run, so that a call that must not be
// repeated runs at most once.
//
// The agent's Ledger lets an id run at most once in one incarnation of the agent. The
// entry's Claim binds an Idempotency-Key to one agent incarnation by a row in the table
// service, so that a second try at any entry attaches to the run of the first. Neither
// does any I/O, and the time is passed to both.
package idempotency

import "time"

// Limits bounds the records and results of a Ledger.
type Limits struct {
	// OfferAge is the greatest accepted age of an offer's stamp; older offers are refused.
	OfferAge time.Duration
	// Retention is how long an id is kept after its call ended or was tombstoned. It
	// must be at least OfferAge; NewLedger raises it to OfferAge if it is less.
	Retention time.Duration
	// MaxIDs bounds the number of recorded ids. When it is reached, new ids are refused,
	// because an id that is not recorded could run twice.
	MaxIDs int
	// MaxResultBytes bounds the total size of the results stored for replays. The oldest
	// results are dropped first; their ids stay recorded.
	MaxResultBytes int
}

// DefaultLimits are the limits for one agent at the system's design size.
var DefaultLimits = Limits{
	// Longer than an idle link is kept open, so that an entry's last stamp, which is at
	// the latest from when the link was established, is seldom too old. Also longer than
	// it takes to detect a silent link and redial it several times.
	OfferAge: 2 * time.Minute,
	// Callers that lost an answer try again within minutes.
	Retention: 10 * time.Minute,
	// An agent takes 3.6 calls/s on average, which makes 2,200 ids in ten minutes. The
	// limit is over forty times that, at about 130 bytes for each id.
	MaxIDs: 100_000,
	// A quarter of the 128 MB of memory that a process may use.
	MaxResultBytes: 32 << 20,
}

func (l Limits) normalized() Limits {
	l.Retention = max(l.Retention, l.OfferAge)
	l.MaxIDs = max(l.MaxIDs, 1)
	return l
}

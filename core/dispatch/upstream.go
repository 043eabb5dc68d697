// Package dispatch chooses the upstreams of requests that an entry sends directly, without an
// agent in between. It tracks the state of each upstream and the requests placed there. It does
// no I/O.
package dispatch

import (
	"strconv"
	"time"

	"acaciacleat.example/core/ratelimit"
)

// Upstream is one incarnation of an upstream, as registered.
type Upstream struct {
	// ID names the upstream. It may be the same after a restart; StartedAtMs then distinguishes
	// the incarnations.
	ID string
	// StartedAtMs is the start time in Unix milliseconds; zero if the registration has none.
	StartedAtMs int64
	Service     string
	Address     string
	Zone        string
	// Slots is the number of requests that it can run at once.
	Slots int
	// Draining is set while the upstream completes its requests and takes no new ones.
	Draining bool
}

// Incarnation returns the name of this incarnation.
func (u *Upstream) Incarnation() string {
	if u.StartedAtMs == 0 {
		return u.ID
	}
	return u.ID + "@" + strconv.FormatInt(u.StartedAtMs, 10)
}

// Request holds the properties of a request that the choice of an upstream depends on.
type Request struct {
	Service string
	// PromptTokens and OutputTokens are set for engine requests, which are answered by a
	// stream.
	PromptTokens int
	OutputTokens int
	// FirstEventTarget is the time left to the target for the first event; GapTarget is the
	// target for the longest pause between events of the stream.
	FirstEventTarget time.Duration
	GapTarget        time.Duration
	// TimeToDeadline is the time left to the deadline. Patience is the time after which the
	// caller abandons a stream that has not begun; zero for none.
	TimeToDeadline time.Duration
	Patience       time.Duration
	// Organisation is the caller's organisation; empty if the route requires no key.
	Organisation string
	// Priority is set by the operator. If a waiting request must be deferred, the highest value
	// is deferred first and 0 last.
	Priority int
	// QueueID is the ID under which the request has waited in the queue; zero if it has not.
	QueueID PlacementID
	// Exclude lists the incarnations that the request must not use again.
	Exclude []string
	// PinnedTo is the only incarnation that may serve the request, with others only as helpers;
	// empty for any.
	PinnedTo string
	// Permit is the permit for an upstream's rate limit; zero for none.
	Permit GrantedPermit
	// Committed is set if an upstream may have worked on the request already. The request is
	// then not refused for its cost, because that would waste the work done so far.
	Committed bool
	// Beside is set for a call beside another one of the same request, which may still be answered. It goes to sound
	// upstreams only, and to none that needs a permit of another entry.
	Beside bool
	// FreeSlot restricts the request to upstreams of which a slot is free, as far as this entry knows.
	FreeSlot bool
}

// pins reports whether an upstream is the only one that may serve the request.
func (r *Request) pins(u *upstreamState) bool { return u.incarnation == r.PinnedTo }

// Choice is where a request goes.
type Choice struct {
	Upstream Upstream
	// Permit says how to have the request granted; set for NeedsPermit.
	Permit Permit
	// Helpers prefill parts of the prompt for Upstream.
	Helpers []Helper
	// Probe is set if upstreams have recently gone down and one of this choice is likely enough
	// to be down too: probe them before sending the request.
	Probe bool
	// Urgency is the priority of the request at the upstream; 0 goes first.
	Urgency int
	// Retry says when to call Choose again; set if the request waits in the queue.
	Retry Retry
	// Explanation explains the choice in logs.
	Explanation Explanation
}

// Retry tells a waiting request when to call Choose again.
type Retry struct {
	// After is the expected wait. Changed is closed when the state changes and the request may
	// go sooner; nil unless the request is at the head of the queue.
	After   time.Duration
	Changed <-chan struct{}
}

// Explanation holds the inputs of a choice and its predictions.
type Explanation struct {
	// Candidates is the number of upstreams that could take the request.
	Candidates int
	// Backlog is the prefill time ahead of the request at Upstream, Streams the number of
	// streams there, and MemoryTokens the tokens that its requests occupy.
	Backlog      time.Duration
	Streams      int
	MemoryTokens int
	// FirstEvent is the predicted time from the choice to the first event; zero without a
	// prediction.
	FirstEvent time.Duration
	// ExpectedLoss is the cost of the choice in request value: mainly the expected losses of
	// this request and of those that it delays.
	ExpectedLoss float64
	// Read is the prefill time of the whole prompt on one engine, and MeanBacklog the mean
	// prefill backlog of the engines.
	Read        time.Duration
	MeanBacklog time.Duration
	// FullPause is the time between two events of a stream at Upstream, by its figures and pace, while all
	// its slots are taken; zero for a plain service.
	FullPause time.Duration
	// Pace is how many times as long as published Upstream takes.
	Pace float64
	// KnownDown is set if another entry has proved that one of the upstreams is down.
	KnownDown bool
	// Limit is the rate limit that Upstream has named; zero for none.
	Limit ratelimit.Rate
	// Cold is set if Upstream is cold or was shortly before.
	Cold bool
	// LimitedHelpers is the number of helpers that have named one.
	LimitedHelpers int
	// ClearTime is the time until the engines have prefilled all placed parts and waiting
	// prompts, or until the rate limits allow a request; set if the request is refused.
	ClearTime time.Duration
	// Scarcity explains the refusal of a short prompt in scarcity; otherwise nil.
	Scarcity *Scarcity
}

// Scarcity explains why a short prompt is refused while engines lack free slots.
type Scarcity struct {
	Reason ScarcityRefusal
	// Ahead is the number of requests that go first, and Wait the expected time until it is the
	// request's turn.
	Ahead int
	Wait  time.Duration
	// Correction is the part of the predicted first event that corrects recent errors.
	Correction time.Duration
	// Rank is that of the organisation by its share, see fairshare.Ledger.
	Rank int
}

// Helper is an upstream that prefills a part of another one's prompt.
type Helper struct {
	Upstream Upstream
	// Reservation names the memory reservation to make there, and Tokens is its size; empty and
	// zero for none.
	Reservation string
	Tokens      int
}

// NeedsReservations reports whether memory must be reserved before the request is sent.
func (c *Choice) NeedsReservations() bool {
	for _, helper := range c.Helpers {
		if helper.Tokens > 0 {
			return true
		}
	}
	return false
}

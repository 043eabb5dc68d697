// Package dispatch chooses the upstreams of requests that an entry sends directly, without an
// agent in between. It tracks the state of each upstream and the requests placed there. It does
// no I/O.
package dispatch

import (
	"strconv"
	"time"
)

// Upstream is one incarnation of an upstream, as registered.
type Upstream struct {
	// ID names the upstream. It may be the same after a restart; Born then distinguishes the
	// incarnations.
	ID string
	// Born is the start time in Unix milliseconds; zero if the registration has none.
	Born    int64
	Service string
	Address string
	Zone    string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Leaving is set for an upstream that drains and takes no new requests.
	Leaving bool
}

// Incarnation returns the name of this incarnation.
func (u *Upstream) Incarnation() string {
	if u.Born == 0 {
		return u.ID
	}
	return u.ID + "@" + strconv.FormatInt(u.Born, 10)
}

// Request holds the properties of a request that the choice of an upstream depends on.
type Request struct {
	Service string
	// PromptTokens and OutputTokens are set for engine requests, which are answered by a
	// stream.
	PromptTokens int
	OutputTokens int
	// Aim is the time left to the target for the first event; GapAim is the target for the
	// longest pause between events of the stream.
	Aim    time.Duration
	GapAim time.Duration
	// Left is the time left to the deadline. Patience is the time after which the caller
	// abandons a stream that has not begun; zero for none.
	Left     time.Duration
	Patience time.Duration
	// Rank is the priority among waiting requests of one service; 0 goes first.
	Rank int
	// Turn is the ID under which the request has waited in the queue; zero if it has not.
	Turn WorkID
	// Exclude lists the incarnations that the request must not use again.
	Exclude []string
	// Keep is the only incarnation that may serve the request, with others only as helpers;
	// empty for any.
	Keep string
	// Committed is set if an upstream may have worked on the request already and the caller may
	// have a part of the answer. Such a request is not refused for its cost, which would waste
	// the work already paid for.
	Committed bool
}

// Choice is where a request goes.
type Choice struct {
	Upstream Upstream
	// Helpers prefill parts of the prompt for Upstream.
	Helpers []Helper
	// Ask is set after recent losses of upstreams, if one of this set is likely enough to be
	// down: probe them before sending the request.
	Ask bool
	// Urgency is the priority of the request at the upstream; 0 goes first.
	Urgency int
	// Turn says when to call Choose again; set if the request waits in the queue.
	Turn Turn
	// Why explains the choice in logs.
	Why Why
}

// Turn tells a waiting request when to call Choose again.
type Turn struct {
	// After is the expected wait. Changed is closed when the state changes and the request may
	// go sooner; nil unless the request is at the head of the queue.
	After   time.Duration
	Changed <-chan struct{}
}

// Why holds the inputs of a choice and its predictions.
type Why struct {
	// Candidates is the number of upstreams that could take the request.
	Candidates int
	// Backlog is the prefill time ahead of the request at Upstream, Streams the number of
	// streams there, and Memory the tokens that its requests occupy.
	Backlog time.Duration
	Streams int
	Memory  int
	// First is the predicted time from the choice to the first event; zero without a
	// prediction.
	First time.Duration
	// Cost is the request value that the choice is expected to lose.
	Cost float64
	// Read is the prefill time of the whole prompt on one engine, and Load the mean prefill
	// backlog of the engines.
	Read time.Duration
	Load time.Duration
	// AgainstProof is set if another entry has proved that one of the upstreams is down.
	AgainstProof bool
	// Clear is the time until the engines have prefilled all placed parts and waiting prompts;
	// set if the request is refused.
	Clear time.Duration
}

// Helper is an upstream that prefills a part of another one's prompt.
type Helper struct {
	Upstream Upstream
	// Ticket names the memory reservation to make there, and Tokens is its size; empty and zero
	// for none.
	Ticket string
	Tokens int
}

// Tickets reports whether memory must be reserved before the request is sent.
func (c *Choice) Tickets() bool {
	for _, helper := range c.Helpers {
		if helper.Tokens > 0 {
			return true
		}
	}
	return false
}

// Package dispatch chooses the upstreams of requests that an entry sends itself, without
// an agent between: it keeps what is known of each upstream and of the work that was
// placed there, and decides from it. It does no I/O.
package dispatch

import (
	"strconv"
	"time"
)

// Upstream is one incarnation of an upstream, as the registry tells it.
type Upstream struct {
	// ID names the upstream. One that starts again may keep it: Born then tells its lives
	// apart.
	ID string
	// Born is the time of its start in Unix milliseconds; zero where it is not told.
	Born    int64
	Service string
	Address string
	Zone    string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Leaving upstreams get no new work.
	Leaving bool
}

// Incarnation names one life of the upstream.
func (u *Upstream) Incarnation() string {
	if u.Born == 0 {
		return u.ID
	}
	return u.ID + "@" + strconv.FormatInt(u.Born, 10)
}

// Request is what a choice needs to know of a request.
type Request struct {
	Service string
	// Engine requests have prompt tokens and are answered by a stream.
	PromptTokens int
	OutputTokens int
	// Aim is the time left in which the answer should begin; GapAim the longest pause of
	// its stream that is on time.
	Aim    time.Duration
	GapAim time.Duration
	// Left is the time left to the deadline, and Patience that after which the caller leaves
	// a stream that has not begun; zero for none.
	Left     time.Duration
	Patience time.Duration
	// Rank orders requests of one service among those that wait; 0 goes first.
	Rank int
	// Turn names the request where it has waited for its turn; zero where it has not.
	Turn WorkID
	// Exclude lists the incarnations that the request has left.
	Exclude []string
	// Keep is the only incarnation that the request may go to, others may only help it; empty
	// for any.
	Keep string
	// Committed says that an upstream may have worked on the request already, and its caller
	// may have a part of the answer: it is not refused for its price, which would break off
	// what was paid for.
	Committed bool
}

// Choice is where a request goes.
type Choice struct {
	Upstream Upstream
	// Helpers read parts of the prompt for Upstream.
	Helpers []Helper
	// Ask says that upstreams have gone of late, so that one of a set this wide may have: ask
	// them before the request is sent.
	Ask bool
	// Urgency ranks the request at the upstream; 0 goes first.
	Urgency int
	// Turn is when to ask again; set where the request waits for its turn.
	Turn Turn
	// Why is what decided the choice, for those who read about it afterwards.
	Why Why
}

// Turn tells a request that waits for engines when to ask again.
type Turn struct {
	// After is the time after which its turn is expected, and Changed is closed where it may
	// come sooner; nil where others go first.
	After   time.Duration
	Changed <-chan struct{}
}

// Why holds the inputs of a choice and what was expected of it.
type Why struct {
	// Candidates is the number of upstreams that could take the request.
	Candidates int
	// Backlog is the reading time ahead of it at Upstream, Streams the number of streams
	// there, Memory the tokens that its requests fill.
	Backlog time.Duration
	Streams int
	Memory  int
	// First is when its first event is expected, after the choice; zero where it is not
	// predicted.
	First time.Duration
	// Cost is the worth that the choice is expected to lose.
	Cost float64
	// Read is the reading time of the whole prompt on one engine, and Load the mean of what
	// engines have to read already.
	Read time.Duration
	Load time.Duration
	// AgainstProof says that another entry has proved that one of the upstreams serves no more.
	AgainstProof bool
	// Clear is when engines will have read the parts that are placed and what waits now; set
	// where the request is refused.
	Clear time.Duration
}

// Helper is an upstream that reads a part of another's prompt.
type Helper struct {
	Upstream Upstream
	// Ticket names the memory that is to be reserved there, and Tokens is its size; empty
	// and zero for none.
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

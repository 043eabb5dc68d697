// Package dispatch chooses the upstreams of requests that an entry sends itself, without
// an agent between: it keeps what is known of each upstream and of the work that was
// placed there, and decides from it. It does no I/O.
package dispatch

import "time"

// Upstream is one incarnation of an upstream, as the registry tells it.
type Upstream struct {
	// ID is new with each start of the upstream.
	ID      string
	Service string
	Address string
	Zone    string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Leaving upstreams get no new work.
	Leaving bool
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
	// Left is the time left to the deadline.
	Left time.Duration
	// Exclude lists the upstreams that the request has left.
	Exclude []string
}

// Choice is where a request goes.
type Choice struct {
	Upstream Upstream
	// Helpers read parts of the prompt for Upstream.
	Helpers []Helper
	// Urgency ranks the request at the upstream; 0 goes first.
	Urgency int
}

// Helper is an upstream that reads a part of another's prompt.
type Helper struct {
	Upstream Upstream
	// Ticket names the memory that is reserved there; empty for none.
	Ticket string
}

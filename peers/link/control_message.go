package link

import (
	"encoding/binary"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/evidence"
	"acaciacleat.example/core/fetch"
	"acaciacleat.example/core/quarantine"
)

// Hold asks the agent of a group member to reserve engine memory, which it does when the
// request's turn has come in its own queue. With Confirm set it says that the group is
// complete and, repeated, that its leader lives.
type Hold struct {
	ID           call.ID
	Attempt      call.Attempt
	Tokens       int64
	Confirm      bool
	Organisation string
	PromptTokens int
	// TimeLeftMs is the time left to the request's deadline, in milliseconds.
	TimeLeftMs int64
}

// Held answers Hold.
type Held struct {
	ID      call.ID
	Attempt call.Attempt
	Confirm bool
	OK      bool
	// Upstream is the base URL of the member's engine.
	Upstream string
}

// Release gives a reservation back.
type Release struct {
	ID      call.ID
	Attempt call.Attempt
}

// ConfigPush passes on the changes that lead from revision After to Revision; see
// core/spread. Changes is empty when the sender no longer has them: the receiver then
// asks for them.
type ConfigPush struct {
	Root     string
	Zone     string
	After    uint64
	Revision uint64
	Changes  []byte
}

// ConfigAck tells that nodes have a revision in force.
type ConfigAck struct {
	Root     string
	Revision uint64
	Nodes    []string
}

// ConfigAsk asks for the changes after a revision.
type ConfigAsk struct {
	After uint64
	Nonce uint64
}

// ConfigAnswer answers ConfigAsk with changes, or with one part of the whole state when
// After is 0. Highest is the highest revision that the sender has heard of.
type ConfigAnswer struct {
	Nonce    uint64
	After    uint64
	Revision uint64
	Highest  uint64
	Changes  []byte
	Part     int
	Parts    int
}

// LimitAsk asks the entry that owns an organisation's limits for a request and for a batch
// beyond it; see core/limits.
type LimitAsk struct {
	Service      string
	Organisation string
	Sequence     uint64
	// Tokens are those of the request.
	Tokens float64
	// Held is the concurrency that the asker holds.
	Held int
	// MoreRequests and MoreTokens are wanted beyond the request.
	MoreRequests float64
	MoreTokens   float64
}

// LimitGrant answers LimitAsk.
type LimitGrant struct {
	Service      string
	Organisation string
	Sequence     uint64
	OK           bool
	Requests     float64
	Tokens       float64
	Held         int
	// RetryAfterMs is when the caller may ask again, in milliseconds; Refused is the least
	// number of tokens that has no chance before.
	RetryAfterMs int64
	Refused      float64
}

// LimitRenew tells an owner the concurrency that the sender holds. It is not answered.
type LimitRenew struct {
	Holds []LimitHold
}

// LimitHold is the concurrency held for one organisation.
type LimitHold struct {
	Service      string
	Organisation string
	Sequence     uint64
	Held         int
}

// StatusAsk asks an agent what its engine serves and how well.
type StatusAsk struct {
	Nonce uint64
}

// Status answers StatusAsk.
type Status struct {
	Nonce    uint64
	Model    string
	Version  string
	Adapters []string
	Role     string
	// Reported says that the engine has given a report since the agent's start; without it
	// the fields above are empty and mean nothing. EngineDown says that it gives none now.
	Reported   bool
	EngineDown bool
	// Requests, ErrorRate (0 to 1) and FirstMs, the mean time to first token in
	// milliseconds, are of the last minutes and of the version served now.
	Requests  int
	ErrorRate float64
	FirstMs   float64
	// OrderError tells why the last order failed; it is empty when it did not.
	OrderError string
}

// Order asks an agent to change what its engine serves.
type Order struct {
	Nonce   uint64
	Kind    string
	Model   string
	Version string
	Adapter string
	Role    string
	// Fence is the fencing number of the lease under which the order is given.
	Fence uint64
	// Stamp is the agent's clock as the sender saw it last. The order is to be begun within
	// StartMs of that and ended within LifeMs of its beginning, in milliseconds.
	Stamp   int64
	StartMs int64
	LifeMs  int64
}

// OrderAnswer tells whether an agent obeys an order. A refused one has no effect.
type OrderAnswer struct {
	Nonce  uint64
	OK     bool
	Detail string
}

// Works tells what an entry has placed on upstreams, in order.
type Works struct {
	// Origin is the entry's incarnation, which is not the sender's where the message was
	// passed on.
	Origin call.Incarnation
	// Pass asks the receiver to pass the message on to the entries of its availability zone.
	Pass   bool
	Events []dispatch.Event
	// Reports is what it has seen of upstreams, and Quarantine what it has of requests under
	// which upstreams crash.
	Reports    []evidence.Report
	Quarantine []quarantine.Report
	// Ask, if not nil, asks the receiver for a part of the routes that it has in force.
	Ask *fetch.Request
}

// RoutesPart is a part of the compressed encoding of a table of routes; see core/fetch. It is sent
// only to an entry that has asked for it.
type RoutesPart struct {
	Version uint64
	Sum     uint32
	Part    int
	Parts   int
	Data    []byte
}

// Routes tells which table of routes the sender has in force. Value, its encoding, is sent
// only where RoutesAsk has asked for it.
type Routes struct {
	Version uint64
	Value   []byte
}

// Feed names one of the platform's feeds that entries follow.
type Feed uint8

// The feeds.
const (
	FeedRoutes Feed = iota + 1
	FeedUpstreams
)

// String returns the feed's name for logs.
func (f Feed) String() string {
	switch f {
	case FeedRoutes:
		return "routes"
	case FeedUpstreams:
		return "upstreams"
	default:
		return "unknown"
	}
}

// News tells what the sender has just read of a feed.
type News struct {
	Feed Feed
	// From and To are the places in the feed between which it has read; Routes and
	// Changes are all that happened between them.
	From uint64
	To   uint64
	// Routes is the newest encoded table of routes; empty for no change.
	Routes []byte
	// Changes are those of upstreams.
	Changes []dispatch.Change
	// Omitted says that there are news too large to be sent along; see OmitRoutes.
	Omitted bool
	// Lost says that the sender could not read; Returned that it could not the time before.
	Lost     bool
	Returned bool
}

// OmitRoutes leaves out the table of routes and tells its version; zero for one that isn't known.
func (n *News) OmitRoutes(version uint64) {
	n.Omitted, n.Routes = true, nil
	if version > 0 {
		// An entry of the earlier version reads no routes where Omitted is set.
		n.Routes = binary.BigEndian.AppendUint64(nil, version)
	}
}

// OmittedVersion returns the version of a table of routes that was left out; zero for one that isn't
// known.
func (n *News) OmittedVersion() uint64 {
	if !n.Omitted || len(n.Routes) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(n.Routes)
}

// RoutesAsk asks for the whole encoded table of routes that the receiver has in force. Only entries
// that know no parts send it.
type RoutesAsk struct{}

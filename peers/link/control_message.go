package link

import (
	"encoding/binary"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/evacuation"
	"acaciacleat.example/core/evidence"
	"acaciacleat.example/core/fetch"
	"acaciacleat.example/core/overlay"
	"acaciacleat.example/core/pace"
	"acaciacleat.example/core/quarantine"
	"acaciacleat.example/core/ratelimit"
	"acaciacleat.example/core/slowstart"
)

// Hold asks the agent of a group member to reserve engine memory. The agent reserves it when the
// request reaches the head of the agent's own queue. With Confirm set, the message says that the
// group is complete; it is then repeated as the leader's heartbeat.
type Hold struct {
	ID           call.ID
	Attempt      call.Attempt
	Tokens       int64
	Confirm      bool
	Organisation string
	PromptTokens int
	// TimeLeftMs is the time until the request's deadline, in milliseconds.
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

// Release releases a reservation.
type Release struct {
	ID      call.ID
	Attempt call.Attempt
}

// ConfigPush pushes the changes from revision After to Revision; see core/spread. Changes is empty
// if the sender no longer has them; the receiver then requests them.
type ConfigPush struct {
	Root     string
	Zone     string
	After    uint64
	Revision uint64
	Changes  []byte
}

// ConfigAck acknowledges that nodes have applied a revision.
type ConfigAck struct {
	Root     string
	Revision uint64
	Nodes    []string
}

// ConfigRequest requests the changes after a revision.
type ConfigRequest struct {
	After uint64
	Nonce uint64
}

// ConfigAnswer answers ConfigRequest with the changes, or with one part of the whole state
// if After is 0. Highest is the highest revision known to the sender.
type ConfigAnswer struct {
	Nonce    uint64
	After    uint64
	Revision uint64
	Highest  uint64
	Changes  []byte
	Part     int
	Parts    int
}

// LimitRequest requests limits from the entry that owns an organisation's limits, for one request
// and for a batch in advance; see core/limits.
type LimitRequest struct {
	Service      string
	Organisation string
	Sequence     uint64
	// Tokens is the number of tokens of the request.
	Tokens float64
	// Held is the concurrency that the sender holds.
	Held int
	// MoreRequests and MoreTokens are the batch to grant in advance.
	MoreRequests float64
	MoreTokens   float64
}

// LimitGrant answers LimitRequest.
type LimitGrant struct {
	Service      string
	Organisation string
	Sequence     uint64
	OK           bool
	Requests     float64
	Tokens       float64
	Held         int
	// RetryAfterMs is the time after which the caller may retry, in milliseconds. Refused is the
	// smallest number of tokens that would be refused before then.
	RetryAfterMs int64
	Refused      float64
}

// LimitRenew renews the concurrency that the sender holds with the owner of the limits. It is not
// answered.
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

// StatusRequest asks an agent for the state of its engine: what it serves, and its requests, errors
// and latency.
type StatusRequest struct {
	Nonce uint64
}

// Status answers StatusRequest.
type Status struct {
	Nonce    uint64
	Model    string
	Version  string
	Adapters []string
	Role     string
	// Reported is set if the engine has reported its state since the agent started; otherwise Model,
	// Version, Adapters and Role are empty and have no meaning. EngineDown is set if the engine
	// currently does not report.
	Reported   bool
	EngineDown bool
	// Requests, ErrorRate (0 to 1) and FirstTokenMs, the mean time to first token in milliseconds,
	// cover the last minutes and only the version that is served now.
	Requests     int
	ErrorRate    float64
	FirstTokenMs float64
	// OrderError is the error of the last order; it is empty if the order succeeded.
	OrderError string
}

// Order asks an agent to change the model, version, adapter or role that its engine serves.
type Order struct {
	Nonce   uint64
	Kind    string
	Model   string
	Version string
	Adapter string
	Role    string
	// Fence is the fencing number of the lease under which the order is given.
	Fence uint64
	// Stamp is the agent's latest clock stamp known to the sender. The agent must start the order
	// within StartWithinMs after Stamp and complete it within CompleteWithinMs after the start, both
	// in milliseconds.
	Stamp            int64
	StartWithinMs    int64
	CompleteWithinMs int64
}

// OrderAnswer says whether an agent accepts an order. A refused order has no effect.
type OrderAnswer struct {
	Nonce  uint64
	OK     bool
	Detail string
}

// DispatchUpdate carries the changes of an entry's placements on upstreams, in order, and its
// reports.
type DispatchUpdate struct {
	// Origin is the incarnation of the entry that the message is from. If the message was
	// forwarded, Origin differs from the incarnation of the sender.
	Origin call.Incarnation
	// Forward asks the receiver to forward the message to the entries of its availability zone.
	Forward bool
	Events  []dispatch.Event
	// Reports are the entry's reports on upstreams, and Quarantine its reports on requests under
	// which upstreams crash.
	Reports    []evidence.Report
	Quarantine []quarantine.Report
	// PartRequest, if not nil, requests a part of the receiver's active routing table.
	PartRequest *fetch.Request
	// Limits are the entry's reports on the rate limits of upstreams. PermitAsk, if not nil, asks
	// the receiver to grant a request, and PermitReply answers the receiver's own question.
	Limits      []ratelimit.Report
	PermitAsk   *ratelimit.Ask
	PermitReply *ratelimit.Reply
	// Evacuation is the entry's report on evacuated zones.
	Evacuation evacuation.Report
	// Cold are the entry's reports on cold upstreams.
	Cold []slowstart.Report
	// Zones are the entry's reports on zones that can't reach each other.
	Zones []dispatch.ZoneReport
	// Shares are the entry's reports on organisations' shares in scarce engine time.
	Shares []dispatch.ShareReport
	// Paces are the entry's estimates of the paces of upstreams.
	Paces []pace.Report
}

// IsEmpty reports whether the message tells or asks nothing.
func (m *DispatchUpdate) IsEmpty() bool {
	told := len(m.Events) + len(m.Reports) + len(m.Quarantine) + len(m.Limits) + len(m.Cold) + len(m.Zones) + len(m.Shares) + len(m.Paces)
	return told == 0 && m.Evacuation.IsZero() && m.PartRequest == nil && m.PermitAsk == nil && m.PermitReply == nil
}

// RoutesPart is a part of the compressed encoding of a routing table; see core/fetch. It is sent
// only to an entry that has requested it.
type RoutesPart struct {
	Version uint64
	Sum     uint32
	Part    int
	Parts   int
	Data    []byte
}

// Routes announces the version of the sender's active routing table. Value, the
// table's encoding, is sent only to an entry that has sent RoutesRequest.
type Routes struct {
	Version uint64
	Value   []byte
}

// Feed identifies one of the platform's feeds that entries follow.
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

// FeedUpdate carries the changes that the sender has just read from a feed.
type FeedUpdate struct {
	Feed Feed
	// From and To are the feed positions between which the sender has read. Routes and Changes are
	// all the changes between them.
	From uint64
	To   uint64
	// Routes is the newest encoded routing table; it is empty if the table has not changed.
	Routes []byte
	// Changes are the changes of upstreams.
	Changes []dispatch.Change
	// Evacuations are the changes of evacuated zones, which come with the feed of routes; see
	// wireFeedUpdate.
	Evacuations []evacuation.Change `msgpack:"-"`
	// Omitted is set if the routing table has changed but is too large for this message; see
	// OmitRoutes.
	Omitted bool
	// ReadFailed is set if the sender's last read of the feed failed. Recovered is set if its last
	// read succeeded and the one before failed.
	ReadFailed bool
	Recovered  bool
	// Complete is set if the update lists everything as of To rather than changes. Age is then how long ago the
	// sender knew that nothing was missed, in whole milliseconds; zero if it doesn't say.
	Complete bool
	Age      time.Duration
	// Follower is the VM of the entry that has read the feed; empty if it is the sender.
	Follower string
	// Forward asks the receiver to forward the update; see core/overlay.
	Forward bool
	// Behind is set if there may be changes after To that the sender's read should have had.
	Behind bool
}

// Overlay carries what entries tell each other of the overlay itself; see core/overlay.
type Overlay struct {
	// Forward asks the receiver to forward the message.
	Forward bool
	// Relays are holders of slots, and Sizes the numbers of entries by zone.
	Relays []overlay.Relay
	Sizes  []overlay.ZoneSize
	// Gone are incarnations of entries whose placements are over.
	Gone []call.Incarnation
	// Ask names the feeds of which the sender lacks the state. They are not forwarded.
	Ask []Feed
}

// OmitRoutes removes the routing table and puts its version in its place. A version of zero means that
// the version is unknown; Routes is then empty.
func (u *FeedUpdate) OmitRoutes(version uint64) {
	u.Omitted, u.Routes = true, nil
	if version > 0 {
		// An entry that runs an earlier version of this program ignores Routes if Omitted is set.
		u.Routes = binary.BigEndian.AppendUint64(nil, version)
	}
}

// OmittedVersion returns the version of a routing table that was omitted, or zero if it is unknown
// or the table was not omitted.
func (u *FeedUpdate) OmittedVersion() uint64 {
	if !u.Omitted || len(u.Routes) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(u.Routes)
}

// RoutesRequest requests the whole encoding of the receiver's active routing table. Only entries that
// run a version without RoutesPart send it.
type RoutesRequest struct{}

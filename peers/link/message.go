package link

import (
	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
	"acaciacleat.example/core/routing"
)

// Type is the type of the message that a frame carries.
type Type uint8

// The frame types. The numbers are part of the protocol and must not be reused.
const (
	typeChallenge      Type = 1
	typeHello          Type = 2
	typeWelcome        Type = 3
	typePing           Type = 4
	typePong           Type = 5
	TypeOffer          Type = 10
	TypeAccepted       Type = 11
	TypeRefused        Type = 12
	TypeBody           Type = 13
	TypeHead           Type = 14
	TypeChunk          Type = 15
	TypeEnd            Type = 16
	TypeAck            Type = 17
	TypeCancel         Type = 18
	TypeCancelled      Type = 19
	TypeResume         Type = 20
	TypeUnknownCall    Type = 21
	TypeLeaving        Type = 22
	TypeLoads          Type = 23
	TypeLeft           Type = 24
	TypeHold           Type = 30
	TypeHeld           Type = 31
	TypeRelease        Type = 32
	TypeConfigPush     Type = 40
	TypeConfigAck      Type = 41
	TypeConfigRequest  Type = 42
	TypeConfigAnswer   Type = 43
	TypeLimitRequest   Type = 50
	TypeLimitGrant     Type = 51
	TypeLimitRenew     Type = 52
	TypeStatusRequest  Type = 60
	TypeStatus         Type = 61
	TypeOrder          Type = 62
	TypeOrderAnswer    Type = 63
	TypeDispatchUpdate Type = 70
	TypeRoutes         Type = 71
	TypeRoutesRequest  Type = 72
	TypeFeedUpdate     Type = 73
	TypeRoutesPart     Type = 74
	TypeOverlay        Type = 75
)

// Message is a message that a frame carries.
type Message interface{ Type() Type }

// GroupMember is an agent of a group and the address on which it accepts links.
type GroupMember struct {
	Agent string
	Link  string
}

// HeaderField is one HTTP header line.
type HeaderField struct {
	Name  string
	Value string
}

// Offer offers a call to an agent. The request's body is inline if it is small enough; otherwise it
// is sent in Body messages once the agent has accepted.
type Offer struct {
	ID      call.ID
	Attempt call.Attempt
	// BoundTo is the agent incarnation that may run the call; any other incarnation refuses it.
	BoundTo call.Incarnation
	// Stamp is the agent's latest clock stamp known to the entry, in nanoseconds since the agent
	// started. The agent refuses an offer with an old stamp, so that a delayed offer can't run a
	// call of which the agent has already dropped the record.
	Stamp        int64
	Service      string
	Model        string
	Organisation string
	// Plain is set for a call of a plain service, Chat for a chat completion, and Repeatable if the
	// call may run more than once.
	Plain      bool
	Chat       bool
	Repeatable bool
	// TimeLeftMs is the time until the deadline, in milliseconds.
	TimeLeftMs   int64
	PromptTokens int
	MaxTokens    int
	// Prefix holds the rolling digests of the prompt's prefixes; see core/prefix.
	Prefix []uint64
	// Delivered is the text that the client already has from earlier attempts, after which the
	// engine continues, and DeliveredTokens the number of its tokens.
	Delivered       string
	DeliveredTokens int
	TraceParent     string
	Method          string
	Path            string
	Header          []HeaderField
	BodyBytes       int
	Body            []byte
	// Group lists the agents that may take part in a request that needs the memory of more than one
	// engine, in order of preference.
	Group []GroupMember
	// Objective is the service's objective in the entry's revision of the documents, and Revision
	// the highest revision known to the entry. Agents store no documents, so each offer carries the
	// settings that they need.
	Objective string
	Revision  uint64
}

// Accepted means that the agent will run the call or already runs it.
type Accepted struct {
	ID      call.ID
	Attempt call.Attempt
	// Queued is the number of requests ahead of the call in the agent's queue.
	Queued int
	Load   LoadReport
}

// Refused refuses an offer. Execution says what the refusal proves: NotRun only if the call has not
// run in the agent's incarnation and never will.
type Refused struct {
	ID        call.ID
	Attempt   call.Attempt
	Code      result.Code
	Execution result.Execution
	Detail    string
	// Better is an agent that is believed to be less loaded; it may be empty.
	Better string
	// RetryAfterMs is the time after which the caller may retry, in milliseconds; 0 means that none
	// is given.
	RetryAfterMs int64
	// Stamp is the agent's clock stamp, to be used in the next offer.
	Stamp int64
	Load  LoadReport
}

// Body carries a part of an offer's body.
type Body struct {
	ID      call.ID
	Attempt call.Attempt
	Offset  int
	Data    []byte
}

// Head carries the status and headers of a plain service's response.
type Head struct {
	ID      call.ID
	Attempt call.Attempt
	Status  int
	Header  []HeaderField
}

// Chunk carries one part of a response. A received Chunk and its Data are valid only during the
// handler's call.
type Chunk struct {
	ID      call.ID
	Attempt call.Attempt
	Seq     uint64
	Tokens  uint32
	Data    []byte
}

// End ends a response. Seq is the sequence number that follows the last chunk's.
type End struct {
	ID               call.ID
	Attempt          call.Attempt
	Seq              uint64
	Code             result.Code
	Execution        result.Execution
	Detail           string
	FinishReason     string
	PromptTokens     int
	CachedTokens     int
	CompletionTokens int
	// QueueMs is the time that the call waited in the agent's queue, and FirstTokenMs the engine's
	// time to first token, both in milliseconds.
	QueueMs      float64
	FirstTokenMs float64
	Load         LoadReport
}

// Ack acknowledges all chunks up to Seq. The agent drops them from its buffer and may send more.
// A received Ack is valid only during the handler's call.
type Ack struct {
	ID      call.ID
	Attempt call.Attempt
	Seq     uint64
}

// Cancel cancels a call. The agent records the call's ID, so that it refuses a delayed offer of the
// call.
type Cancel struct {
	ID      call.ID
	Attempt call.Attempt
	// Stamp is the stamp of the call's offers.
	Stamp int64
}

// Cancelled answers Cancel. It says whether the call is known to have run.
type Cancelled struct {
	ID        call.ID
	Attempt   call.Attempt
	Execution result.Execution
	Stamp     int64
}

// Resume asks the agent to send a response's chunks from NextSeq on over this link.
type Resume struct {
	ID      call.ID
	Attempt call.Attempt
	NextSeq uint64
}

// UnknownCall answers Resume if the agent does not know the call.
type UnknownCall struct {
	ID      call.ID
	Attempt call.Attempt
}

// Leaving says that the sending agent drains: it accepts no new calls.
type Leaving struct {
	Agent string
}

// Left answers Leaving. The sender has sent, over this link, all offers for which it had already
// chosen the agent, and will send no more.
type Left struct{}

// LoadReport is a load digest and the agent that it describes.
type LoadReport struct {
	Agent       string
	Incarnation call.Incarnation
	Model       string
	Leaving     bool
	// AgeMs is the digest's age when it was sent, in milliseconds.
	AgeMs int64
	Load  routing.Load
	// Revision is the highest revision of the documents known to the agent.
	Revision uint64
}

// Loads carries the load digests of several agents.
type Loads struct {
	Reports []LoadReport
}

// Type implements Message.
func (*Offer) Type() Type          { return TypeOffer }
func (*Accepted) Type() Type       { return TypeAccepted }
func (*Refused) Type() Type        { return TypeRefused }
func (*Body) Type() Type           { return TypeBody }
func (*Head) Type() Type           { return TypeHead }
func (*Chunk) Type() Type          { return TypeChunk }
func (*End) Type() Type            { return TypeEnd }
func (*Ack) Type() Type            { return TypeAck }
func (*Cancel) Type() Type         { return TypeCancel }
func (*Cancelled) Type() Type      { return TypeCancelled }
func (*Resume) Type() Type         { return TypeResume }
func (*UnknownCall) Type() Type    { return TypeUnknownCall }
func (*Leaving) Type() Type        { return TypeLeaving }
func (*Left) Type() Type           { return TypeLeft }
func (*Loads) Type() Type          { return TypeLoads }
func (*Hold) Type() Type           { return TypeHold }
func (*Held) Type() Type           { return TypeHeld }
func (*Release) Type() Type        { return TypeRelease }
func (*ConfigPush) Type() Type     { return TypeConfigPush }
func (*ConfigAck) Type() Type      { return TypeConfigAck }
func (*ConfigRequest) Type() Type  { return TypeConfigRequest }
func (*ConfigAnswer) Type() Type   { return TypeConfigAnswer }
func (*LimitRequest) Type() Type   { return TypeLimitRequest }
func (*LimitGrant) Type() Type     { return TypeLimitGrant }
func (*LimitRenew) Type() Type     { return TypeLimitRenew }
func (*StatusRequest) Type() Type  { return TypeStatusRequest }
func (*Status) Type() Type         { return TypeStatus }
func (*Order) Type() Type          { return TypeOrder }
func (*OrderAnswer) Type() Type    { return TypeOrderAnswer }
func (*DispatchUpdate) Type() Type { return TypeDispatchUpdate }
func (*Routes) Type() Type         { return TypeRoutes }
func (*RoutesRequest) Type() Type  { return TypeRoutesRequest }
func (*FeedUpdate) Type() Type     { return TypeFeedUpdate }
func (*RoutesPart) Type() Type     { return TypeRoutesPart }
func (*Overlay) Type() Type        { return TypeOverlay }

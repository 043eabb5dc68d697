package link

import (
	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
	"acaciacleat.example/core/routing"
)

// Type tells what a frame carries.
type Type uint8

// The types of frame. Numbers are part of the protocol and never reused.
const (
	typeChallenge    Type = 1
	typeHello        Type = 2
	typeWelcome      Type = 3
	typePing         Type = 4
	typePong         Type = 5
	TypeOffer        Type = 10
	TypeAccepted     Type = 11
	TypeRefused      Type = 12
	TypeBody         Type = 13
	TypeHead         Type = 14
	TypeChunk        Type = 15
	TypeEnd          Type = 16
	TypeAck          Type = 17
	TypeCancel       Type = 18
	TypeCancelled    Type = 19
	TypeResume       Type = 20
	TypeGone         Type = 21
	TypeLeaving      Type = 22
	TypeLoads        Type = 23
	TypeLeft         Type = 24
	TypeHold         Type = 30
	TypeHeld         Type = 31
	TypeRelease      Type = 32
	TypeConfigPush   Type = 40
	TypeConfigAck    Type = 41
	TypeConfigAsk    Type = 42
	TypeConfigAnswer Type = 43
	TypeLimitAsk     Type = 50
	TypeLimitGrant   Type = 51
	TypeLimitRenew   Type = 52
	TypeStatusAsk    Type = 60
	TypeStatus       Type = 61
	TypeOrder        Type = 62
	TypeOrderAnswer  Type = 63
	TypeWorks        Type = 70
	TypeRoutes       Type = 71
	TypeRoutesAsk    Type = 72
	TypeNews         Type = 73
	TypeRoutesPart   Type = 74
)

// Message is anything that a frame carries.
type Message interface{ Type() Type }

// GroupMember is an agent with the address of its links.
type GroupMember struct {
	Agent string
	Link  string
}

// HeaderField is one HTTP header line.
type HeaderField struct {
	Name  string
	Value string
}

// Offer asks an agent to run a call. The body follows in Body messages once the agent
// has accepted, unless it is small enough to be inline.
type Offer struct {
	ID      call.ID
	Attempt call.Attempt
	// BoundTo is the agent incarnation that may run the call; any other refuses it.
	BoundTo call.Incarnation
	// Stamp is the agent's last clock stamp that the entry saw, in nanoseconds since the
	// agent's start. The agent refuses an offer with an old one, so that a late offer can
	// not run a call that the agent has already forgotten.
	Stamp        int64
	Service      string
	Model        string
	Organisation string
	Plain        bool
	Chat         bool
	Repeatable   bool
	// TimeLeftMs is the time left to the deadline, in milliseconds.
	TimeLeftMs      int64
	PromptTokens    int
	MaxTokens       int
	Prefix          []uint64
	Delivered       string
	DeliveredTokens int
	TraceParent     string
	Method          string
	Path            string
	Header          []HeaderField
	BodyBytes       int
	Body            []byte
	// Group lists agents that may take part in a request that needs the memory of more
	// than one engine, the best ones first.
	Group []GroupMember
	// Objective is the service's objective in the entry's revision of the documents, and
	// Revision the highest that the entry has heard of: agents keep no documents, they
	// learn with each offer what concerns them.
	Objective string
	Revision  uint64
}

// Accepted says that the agent will run the call, or runs it already.
type Accepted struct {
	ID      call.ID
	Attempt call.Attempt
	// Queued is the number of requests ahead of it.
	Queued int
	Load   LoadReport
}

// Refused is the agent's proof that this attempt did not run and never will.
type Refused struct {
	ID        call.ID
	Attempt   call.Attempt
	Code      result.Code
	Execution result.Execution
	Detail    string
	// Better names an agent believed to be less loaded; it may be empty.
	Better string
	// RetryAfterMs is when the caller may ask again, in milliseconds; 0 for no advice.
	RetryAfterMs int64
	// Stamp is the agent's clock stamp, for the next offer.
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

// Head carries the status and headers of a plain service's answer.
type Head struct {
	ID      call.ID
	Attempt call.Attempt
	Status  int
	Header  []HeaderField
}

// Chunk carries one frame of an answer. Data is valid only during the handler's call.
type Chunk struct {
	ID      call.ID
	Attempt call.Attempt
	Seq     uint64
	Tokens  uint32
	Data    []byte
}

// End closes an answer. Seq is the sequence number after the last chunk's.
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
	// QueueMs and FirstMs tell how long the call waited at the agent and how long the
	// engine took to its first token, in milliseconds.
	QueueMs float64
	FirstMs float64
	Load    LoadReport
}

// Ack acknowledges every chunk up to Seq; the agent forgets them and may send more.
type Ack struct {
	ID      call.ID
	Attempt call.Attempt
	Seq     uint64
}

// Cancel ends a call. The agent remembers the id, so that a late offer of it is refused.
type Cancel struct {
	ID      call.ID
	Attempt call.Attempt
	// Stamp is that of the call's offers.
	Stamp int64
}

// Cancelled answers Cancel with what is known about execution.
type Cancelled struct {
	ID        call.ID
	Attempt   call.Attempt
	Execution result.Execution
	Stamp     int64
}

// Resume asks for an answer's frames from NextSeq on over this link.
type Resume struct {
	ID      call.ID
	Attempt call.Attempt
	NextSeq uint64
}

// Gone answers Resume when the agent does not know the call.
type Gone struct {
	ID      call.ID
	Attempt call.Attempt
}

// Leaving says that the sender takes no new work.
type Leaving struct {
	Agent string
}

// Left answers Leaving: the sender has offered all that it had chosen the agent for, over
// this link, and will offer nothing more.
type Left struct{}

// LoadReport is a load digest with its origin.
type LoadReport struct {
	Agent       string
	Incarnation call.Incarnation
	Model       string
	Leaving     bool
	// AgeMs is how old the digest is at the sender, in milliseconds.
	AgeMs int64
	Load  routing.Load
	// Revision is the highest revision of the documents that the agent has heard of.
	Revision uint64
}

// Loads carries the digests of a group of agents.
type Loads struct {
	Reports []LoadReport
}

// Type implements Message.
func (*Offer) Type() Type        { return TypeOffer }
func (*Accepted) Type() Type     { return TypeAccepted }
func (*Refused) Type() Type      { return TypeRefused }
func (*Body) Type() Type         { return TypeBody }
func (*Head) Type() Type         { return TypeHead }
func (*Chunk) Type() Type        { return TypeChunk }
func (*End) Type() Type          { return TypeEnd }
func (*Ack) Type() Type          { return TypeAck }
func (*Cancel) Type() Type       { return TypeCancel }
func (*Cancelled) Type() Type    { return TypeCancelled }
func (*Resume) Type() Type       { return TypeResume }
func (*Gone) Type() Type         { return TypeGone }
func (*Leaving) Type() Type      { return TypeLeaving }
func (*Left) Type() Type         { return TypeLeft }
func (*Loads) Type() Type        { return TypeLoads }
func (*Hold) Type() Type         { return TypeHold }
func (*Held) Type() Type         { return TypeHeld }
func (*Release) Type() Type      { return TypeRelease }
func (*ConfigPush) Type() Type   { return TypeConfigPush }
func (*ConfigAck) Type() Type    { return TypeConfigAck }
func (*ConfigAsk) Type() Type    { return TypeConfigAsk }
func (*ConfigAnswer) Type() Type { return TypeConfigAnswer }
func (*LimitAsk) Type() Type     { return TypeLimitAsk }
func (*LimitGrant) Type() Type   { return TypeLimitGrant }
func (*LimitRenew) Type() Type   { return TypeLimitRenew }
func (*StatusAsk) Type() Type    { return TypeStatusAsk }
func (*Status) Type() Type       { return TypeStatus }
func (*Order) Type() Type        { return TypeOrder }
func (*OrderAnswer) Type() Type  { return TypeOrderAnswer }
func (*Works) Type() Type        { return TypeWorks }
func (*Routes) Type() Type       { return TypeRoutes }
func (*RoutesAsk) Type() Type    { return TypeRoutesAsk }
func (*News) Type() Type         { return TypeNews }
func (*RoutesPart) Type() Type   { return TypeRoutesPart }

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

// challenge opens the handshake; the acceptor sends it.
type challenge struct {
	Nonce []byte
}

// hello is the dialler's answer to the challenge.
type hello struct {
	Self  Identity
	Nonce []byte
	Proof []byte
}

// welcome is the acceptor's answer to hello.
type welcome struct {
	Self  Identity
	Proof []byte
	Stamp int64
}

// ping asks for a sign of life; pong answers with the sender's clock stamp.
type ping struct{}

type pong struct {
	Stamp int64
}

func (*challenge) Type() Type { return typeChallenge }
func (*hello) Type() Type     { return typeHello }
func (*welcome) Type() Type   { return typeWelcome }
func (*ping) Type() Type      { return typePing }
func (*pong) Type() Type      { return typePong }

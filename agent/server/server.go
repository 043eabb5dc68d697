// Package server implements the agent's I/O: it receives offers over links, queues them,
// executes them at its one upstream and sends the answers back.
//
// The agent alone decides what its upstream runs. Entries choose an agent from estimates;
// the agent accepts or refuses the call, and a refusal states whether it is proved that the
// call did not run.
package server

import (
	"sync"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/idempotency"
	"acaciacleat.example/core/load"
	"acaciacleat.example/core/reservation"
	"acaciacleat.example/core/result"
	"acaciacleat.example/core/scheduling"
	"acaciacleat.example/peers/collector"
	"acaciacleat.example/peers/engine"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/service"
	"acaciacleat.example/peers/table"
	"github.com/rs/zerolog"
)

// Limits bounds the calls and the memory of one agent.
type Limits struct {
	// Queue is the maximum number of calls in flight: those whose body is being received, that
	// are queued or running, or whose answer is still being read.
	Queue int
	// Running is the maximum number of concurrent calls at the upstream.
	Running int
	// StreamBytes bounds the unacknowledged bytes of one answer per entry.
	StreamBytes int
	// KeptBytes bounds the answer of a non-repeatable call that is kept for a repeat.
	KeptBytes int
	// BodyBytes bounds a call's body.
	BodyBytes int
	// Detached is how long an answer waits for its entry to resume on a new link.
	Detached time.Duration
}

// DefaultLimits are the limits for one agent beside one upstream.
var DefaultLimits = Limits{
	Queue:       10_000,
	Running:     256,
	StreamBytes: 64 << 10,
	KeptBytes:   1 << 20,
	BodyBytes:   32 << 20,
	Detached:    5 * time.Second,
}

// Placement executes the orders of the entry that holds the placement lease of the service.
// orders.Executor implements it.
type Placement interface {
	// OnMessage handles a message about placement. clock is the agent's clock, as returned by
	// Server.Stamp. It does not block.
	OnMessage(c *link.Conn, clock func() int64, message link.Message)
	// RecordEnd records the end of a call that ran at the engine.
	RecordEnd(now time.Time, end *link.End)
	// RecordReport records an engine's report, or the error of reading it.
	RecordReport(now time.Time, report engine.Report, err error)
}

// Config configures a Server. Exactly one of Engine and Plain is set.
type Config struct {
	VM      string
	Zone    string
	Service string
	Model   string
	// Upstream is the base URL of the upstream. Other agents of a group receive it.
	Upstream string
	Listen   string
	Keys     *link.Keys
	Engine   engine.Engine
	Plain    service.Service
	// Table is the store from which the agent reads the fencing number of the placement
	// lease. Without it the agent executes no orders.
	Table table.Store
	// Placement executes orders. It may be nil.
	Placement Placement
	Queue     scheduling.Queue
	// Incarnation identifies this run of the process; see call.Incarnation.
	Incarnation call.Incarnation
	Limits      Limits
	Timing      link.Timing
	// Tracer creates the spans of this hop; nil creates none.
	Tracer *collector.Tracer
	Log    zerolog.Logger
}

// Server is one agent. Its methods are safe for concurrent use.
type Server struct {
	config Config
	node   *link.Node
	log    zerolog.Logger

	mu     sync.Mutex
	ledger *idempotency.Ledger
	queue  scheduling.Queue
	live   map[call.ID]*liveCall
	memory *reservation.Pool
	// priority is the queue if it is a scheduling.Priority, which takes settings; nil otherwise.
	priority            *scheduling.Priority
	objective           string
	pendingReservations map[call.ID]*pendingReservation
	groupCalls          map[call.ID]*groupCall
	// running describes the started calls for the queue.
	running scheduling.Running
	// runningCalls is the number of calls running at the upstream.
	runningCalls int
	loadCounters loadCounters
	peers        *load.Group
	// model is the model in the engine's last report, or the configured one before the first
	// report.
	model string
	// missedReports counts consecutive missed reports of the engine.
	missedReports int
	// revision is the highest known revision of the documents. Replies carry it, so that an
	// entry that missed a change learns of it from agents as well.
	revision uint64
	// reservationsExpired and orphansCancelled are counters for Metrics.
	reservationsExpired int64
	orphansCancelled    int64
	leaving             bool
	crashes             crashDetector
	// awaitingLeft holds the links of entries that were sent Leaving and have not yet answered
	// Left, so that they may still offer a call; see link.Left.
	awaitingLeft map[*link.Conn]struct{}
	// idle is the channel that Drained returns, or nil before its first call.
	idle chan struct{}
}

// Start starts the agent, which accepts links at once. The engine's memory capacity is
// assumed until PollReports has read its first report.
func Start(config Config) (*Server, error) {
	if config.Limits == (Limits{}) {
		config.Limits = DefaultLimits
	}
	s := &Server{
		config:              config,
		log:                 config.Log.With().Str("vm", config.VM).Logger(),
		ledger:              idempotency.NewLedger(config.Incarnation, idempotency.DefaultLimits),
		queue:               config.Queue,
		live:                make(map[call.ID]*liveCall),
		peers:               load.NewGroup(config.VM),
		pendingReservations: make(map[call.ID]*pendingReservation),
		groupCalls:          make(map[call.ID]*groupCall),
		awaitingLeft:        make(map[*link.Conn]struct{}),
		model:               config.Model,
	}
	s.ledger.Stamp(time.Now())
	s.memory = reservation.NewPool(s.initialCapacity(), reservationOptions())
	s.priority, _ = config.Queue.(*scheduling.Priority)
	node, err := link.Start(link.Config{
		Listen: config.Listen,
		Self: link.Identity{
			VM:          config.VM,
			Role:        "agent",
			Zone:        config.Zone,
			Incarnation: config.Incarnation,
		},
		Keys:    config.Keys,
		Handler: s,
		Timing:  config.Timing,
		Stamp:   s.Stamp,
	})
	if err != nil {
		return nil, err
	}
	s.node = node
	return s, nil
}

// Addr returns the address on which the agent accepts links.
func (s *Server) Addr() string { return s.node.Addr() }

// Stamp returns the agent's clock, in nanoseconds since its start. Entries echo it in their
// messages.
func (s *Server) Stamp() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.ledger.Stamp(time.Now()))
}

// OnOpen implements link.Handler. An entry that opens a link to a leaving agent cannot have
// calls bound to the agent from before, so the agent does not wait for its Left message.
func (s *Server) OnOpen(c *link.Conn) {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	if leaving {
		_ = c.Send(&link.Leaving{Agent: s.config.VM})
	}
}

// OnMessage implements link.Handler.
func (s *Server) OnMessage(c *link.Conn, message link.Message) {
	switch m := message.(type) {
	case *link.Offer:
		s.onOffer(c, m)
	case *link.Body:
		s.onBody(m)
	case *link.Ack:
		s.onAck(c, m)
	case *link.Cancel:
		s.onCancel(c, m)
	case *link.Resume:
		s.onResume(c, m)
	case *link.Left:
		s.onLeft(c)
	case *link.Loads:
		s.onLoads(m)
	case *link.Hold:
		s.onHold(c, m)
	case *link.Held:
		s.onHeld(c, m)
	case *link.Release:
		s.onRelease(m)
	default:
		if s.config.Placement != nil {
			s.config.Placement.OnMessage(c, s.Stamp, message)
		}
	}
}

// OnClose implements link.Handler. Answers on the lost link are kept for a while, for the
// entry to resume them on a new link.
func (s *Server) OnClose(c *link.Conn, _ error) {
	s.onLeft(c)
	s.memberLost(c.Peer().VM)
	for _, l := range s.calls() {
		if l.detach(c) {
			time.AfterFunc(s.config.Limits.Detached, func() { s.dropDetached(l) })
		}
	}
}

func (s *Server) calls() []*liveCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*liveCall, 0, len(s.live))
	for _, l := range s.live {
		all = append(all, l)
	}
	return all
}

func (s *Server) findCall(id call.ID) *liveCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live[id]
}

// Close cancels all calls and closes all links at once.
func (s *Server) Close() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.node.Close()
	for _, l := range s.calls() {
		l.cancel(result.New(result.Draining, result.Unknown, "the agent was closed"))
	}
}

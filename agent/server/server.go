// Package server is the agent's shell: it takes offers over links, orders them in a
// queue, runs them at its one upstream and carries the answers back.
//
// The agent is the one authority on its upstream. Entries guess where a call should
// go; the agent accepts or refuses, and a refusal proves that the call did not run.
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

// Limits bounds what one agent holds.
type Limits struct {
	// Queue is the largest number of calls in hand: those whose body is arriving, that wait,
	// run, or whose answer is still being read.
	Queue int
	// Running is the largest number of calls at the upstream at once.
	Running int
	// StreamBytes bounds the unacknowledged bytes of one answer.
	StreamBytes int
	// KeptBytes bounds the whole answer of a non-repeatable call kept for a repeat.
	KeptBytes int
	// BodyBytes bounds a call's body.
	BodyBytes int
	// Detached is how long an answer waits for its entry to resume on a new link.
	Detached time.Duration
}

// DefaultLimits suit one agent beside one upstream.
var DefaultLimits = Limits{
	Queue:       10_000,
	Running:     256,
	StreamBytes: 64 << 10,
	KeptBytes:   1 << 20,
	BodyBytes:   32 << 20,
	Detached:    5 * time.Second,
}

// Placement carries out the orders of the entry that places the service's models.
// orders.Executor implements it.
type Placement interface {
	// OnMessage takes a message that concerns placement. clock is the agent's clock, as
	// Server.Stamp gives it. It does not block.
	OnMessage(c *link.Conn, clock func() int64, message link.Message)
	// Ended takes the end of a call that ran at the engine.
	Ended(now time.Time, end *link.End)
	// Reported takes the outcome of asking the engine for its report.
	Reported(now time.Time, report engine.Report, err error)
}

// Config configures a Server. Exactly one of Engine and Plain is set.
type Config struct {
	VM      string
	Zone    string
	Service string
	Model   string
	// Upstream is the base URL of the upstream, told to other agents for groups.
	Upstream string
	Listen   string
	Keys     *link.Keys
	Engine   engine.Engine
	Plain    service.Service
	// Table is where the agent reads the fencing number of the lease on placement. Without
	// it the agent obeys no orders.
	Table table.Store
	// Placement carries out orders; nil if there is none.
	Placement Placement
	Queue     scheduling.Queue
	// Incarnation identifies this life of the process; see call.Incarnation.
	Incarnation call.Incarnation
	Limits      Limits
	Timing      link.Timing
	// Tracer makes the spans of this hop; nil makes none.
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
	// priority is the queue where it is not the baseline; it takes settings.
	priority  *scheduling.Priority
	objective string
	holds     map[call.ID]*hold
	groups    map[call.ID]*groupCall
	// running is what started calls hold, as the queue wants to know it.
	running scheduling.Running
	// started is the number of calls at the upstream.
	started int
	load    loadBook
	group   *load.Group
	// model is the one that the engine served at its last report.
	model string
	// missedReports counts the reports in a row that the engine did not give.
	missedReports int
	// revision is the highest revision of the documents heard of; it rides on replies, so
	// that an entry that missed a change learns of it from agents too.
	revision uint64
	// expired and orphans count for Metrics.
	expired int64
	orphans int64
	leaving bool
	lives   lives
	// told are the links of entries that know that this agent leaves and may still have
	// chosen it for a call; see link.Left.
	told map[*link.Conn]struct{}
	idle chan struct{}
}

// Start opens the agent: it learns the engine's memory when the engine answers, and
// takes links at once.
func Start(config Config) (*Server, error) {
	if config.Limits == (Limits{}) {
		config.Limits = DefaultLimits
	}
	s := &Server{
		config: config,
		log:    config.Log.With().Str("vm", config.VM).Logger(),
		ledger: idempotency.NewLedger(config.Incarnation, idempotency.DefaultLimits),
		queue:  config.Queue,
		live:   make(map[call.ID]*liveCall),
		group:  load.NewGroup(config.VM),
		holds:  make(map[call.ID]*hold),
		groups: make(map[call.ID]*groupCall),
		told:   make(map[*link.Conn]struct{}),
		model:  config.Model,
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

// Addr returns the address on which the agent takes links.
func (s *Server) Addr() string { return s.node.Addr() }

// Stamp returns the agent's clock for entries to echo, in nanoseconds since its start.
func (s *Server) Stamp() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.ledger.Stamp(time.Now()))
}

// OnOpen implements link.Handler. An entry that opens a link to an agent that leaves can
// have no call bound to it from before, so its word is not waited for.
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

// OnClose implements link.Handler: answers on the lost link wait for their entry to
// dial anew.
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

func (s *Server) find(id call.ID) *liveCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live[id]
}

// Close ends all calls and links at once.
func (s *Server) Close() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.node.Close()
	for _, l := range s.calls() {
		l.cancel(result.New(result.Draining, result.Unknown, "the agent was closed"))
	}
}

package flight

import (
	"sync"

	"acaciacleat.example/core/call"
	"acaciacleat.example/entry/fleet"
	"acaciacleat.example/peers/collector"
	"acaciacleat.example/peers/link"
)

// shardCount is the number of shards. Each has its own lock, so that requests on different event
// loops seldom wait for each other.
const shardCount = 64

// Registry holds the requests in flight and delivers the messages of links to them. It
// implements link.Handler.
type Registry struct {
	view            *fleet.View
	tracer          *collector.Tracer
	handleOther     func(*link.Conn, link.Message)
	observeRevision func(from string, revision uint64)
	// pendingOffers delays agents that leave until no request is about to be offered to them.
	pendingOffers *pendingOffers
	// quarantine holds back requests that make upstreams crash; if nil, none are held back.
	quarantine Quarantine
	shards     [shardCount]shard
}

type shard struct {
	mu      sync.RWMutex
	flights map[call.ID]*Flight
}

// NewRegistry returns an empty registry; tracer may be nil. SetView must be called before
// links open.
func NewRegistry(tracer *collector.Tracer) *Registry {
	r := &Registry{tracer: tracer, pendingOffers: newPendingOffers()}
	for i := range r.shards {
		r.shards[i].flights = make(map[call.ID]*Flight)
	}
	return r
}

// SetOtherHandler sets the handler of messages that do not concern requests. It must be
// called before links open.
func (r *Registry) SetOtherHandler(handle func(*link.Conn, link.Message)) { r.handleOther = handle }

// SetRevisionObserver sets the function that receives the highest document revision that
// each agent reports. It must be called before links open.
func (r *Registry) SetRevisionObserver(observe func(from string, revision uint64)) {
	r.observeRevision = observe
}

// SetView sets the view that is updated from replies. It is not a parameter of NewRegistry
// because the view needs the node and the node needs the registry.
func (r *Registry) SetView(view *fleet.View) { r.view = view }

func (r *Registry) shard(id call.ID) *shard { return &r.shards[id[0]%shardCount] }

// add registers a flight under the ID that its offers carry. If another flight already has
// the ID, it returns that one instead.
func (r *Registry) add(id call.ID, f *Flight) *Flight {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if other := s.flights[id]; other != nil && other != f {
		return other
	}
	s.flights[id] = f
	return nil
}

func (r *Registry) remove(id call.ID, f *Flight) {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flights[id] == f {
		delete(s.flights, id)
	}
}

func (r *Registry) find(id call.ID) *Flight {
	s := r.shard(id)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.flights[id]
}

// Len returns the number of requests in flight.
func (r *Registry) Len() int {
	n := 0
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.RLock()
		n += len(s.flights)
		s.mu.RUnlock()
	}
	return n
}

// OnOpen implements link.Handler.
func (r *Registry) OnOpen(*link.Conn) {}

// OnMessage implements link.Handler.
func (r *Registry) OnMessage(c *link.Conn, message link.Message) {
	switch m := message.(type) {
	case *link.Chunk:
		if f := r.find(m.ID); f != nil {
			f.mailbox.putChunk(m)
		}
	case *link.Accepted:
		r.handleLoadReport(&m.Load)
		r.deliver(m.ID, c, m)
	case *link.Refused:
		c.SetStamp(m.Stamp)
		r.handleLoadReport(&m.Load)
		r.deliver(m.ID, c, m)
	case *link.End:
		r.handleLoadReport(&m.Load)
		r.deliver(m.ID, c, m)
	case *link.Head:
		r.deliver(m.ID, c, m)
	case *link.Cancelled:
		c.SetStamp(m.Stamp)
		r.deliver(m.ID, c, m)
	case *link.UnknownCall:
		r.deliver(m.ID, c, m)
	case *link.Leaving:
		r.view.RecordLeaving(c)
		r.pendingOffers.agentLeaving(c)
	case *link.Loads:
		for i := range m.Reports {
			r.handleLoadReport(&m.Reports[i])
		}
	default:
		r.handleOther(c, message)
	}
}

// handleLoadReport passes on a load report and the document revision in it.
func (r *Registry) handleLoadReport(load *link.LoadReport) {
	r.view.RecordLoad(load)
	r.observeRevision(load.Agent, load.Revision)
}

// deliver records a reply and passes its message to the request with this ID, if it is in flight.
func (r *Registry) deliver(id call.ID, c *link.Conn, message link.Message) {
	r.view.RecordReply(c)
	if f := r.find(id); f != nil {
		f.mailbox.putEvent(event{message: message, conn: c})
	}
}

// OnClose implements link.Handler. It notifies all requests; those on other links ignore the
// event.
func (r *Registry) OnClose(c *link.Conn, reason error) {
	r.view.RecordLinkLoss(c, reason)
	r.pendingOffers.linkClosed(c)
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.RLock()
		for _, f := range s.flights {
			f.mailbox.putEvent(event{conn: c})
		}
		s.mu.RUnlock()
	}
}

package flight

import (
	"sync"

	"acaciacleat.example/core/call"
	"acaciacleat.example/entry/fleet"
	"acaciacleat.example/peers/collector"
	"acaciacleat.example/peers/link"
)

// shards keeps requests on different event loops from waiting for each other.
const shards = 64

// Registry knows the requests in flight and hands them what arrives on links. It
// implements link.Handler.
type Registry struct {
	view   *fleet.View
	tracer *collector.Tracer
	other  func(*link.Conn, link.Message)
	heard  func(from string, revision uint64)
	// choices lets agents leave only when no request is about to be offered to them.
	choices *choices
	// quarantine holds back requests under which upstreams crash; nil holds none.
	quarantine Quarantine
	shards     [shards]shard
}

type shard struct {
	mu      sync.RWMutex
	flights map[call.ID]*Flight
}

// NewRegistry returns an empty registry; tracer may be nil. SetView must be called before
// links open.
func NewRegistry(tracer *collector.Tracer) *Registry {
	r := &Registry{tracer: tracer, choices: newChoices()}
	for i := range r.shards {
		r.shards[i].flights = make(map[call.ID]*Flight)
	}
	return r
}

// SetOther sets who takes messages that do not concern requests. It must be called before
// links open.
func (r *Registry) SetOther(other func(*link.Conn, link.Message)) { r.other = other }

// SetHeard sets who learns of the highest revision of the documents that agents have
// heard of. It must be called before links open.
func (r *Registry) SetHeard(heard func(from string, revision uint64)) { r.heard = heard }

// SetView sets the view that learns from replies. The view needs the node and the node
// needs the registry, hence the second step.
func (r *Registry) SetView(view *fleet.View) { r.view = view }

func (r *Registry) shard(id call.ID) *shard { return &r.shards[id[0]%shards] }

// add enters a flight under the id that its offers carry. It returns the flight that
// already has the id, if there is one.
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

// Len is the number of requests in flight.
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
			f.mail.putChunk(m)
		}
	case *link.Accepted:
		r.report(&m.Load)
		r.post(m.ID, c, m)
	case *link.Refused:
		c.SetStamp(m.Stamp)
		r.report(&m.Load)
		r.post(m.ID, c, m)
	case *link.End:
		r.report(&m.Load)
		r.post(m.ID, c, m)
	case *link.Head:
		r.post(m.ID, c, m)
	case *link.Cancelled:
		c.SetStamp(m.Stamp)
		r.post(m.ID, c, m)
	case *link.UnknownCall:
		r.post(m.ID, c, m)
	case *link.Leaving:
		r.view.Left(c)
		r.choices.left(c)
	case *link.Loads:
		for i := range m.Reports {
			r.report(&m.Reports[i])
		}
	default:
		r.other(c, message)
	}
}

// report passes on what came along with a reply.
func (r *Registry) report(load *link.LoadReport) {
	r.view.Report(load)
	r.heard(load.Agent, load.Revision)
}

func (r *Registry) post(id call.ID, c *link.Conn, message link.Message) {
	r.view.Replied(c)
	if f := r.find(id); f != nil {
		f.mail.putEvent(event{message: message, conn: c})
	}
}

// OnClose implements link.Handler: every request on the link learns of its loss.
func (r *Registry) OnClose(c *link.Conn, reason error) {
	r.view.Lost(c, reason)
	r.choices.closed(c)
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.RLock()
		for _, f := range s.flights {
			f.mail.putEvent(event{conn: c})
		}
		s.mu.RUnlock()
	}
}

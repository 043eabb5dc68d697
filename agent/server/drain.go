package server

import (
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/vmlist"
)

// Leave makes the agent refuse new calls and sends Leaving on every link. The links of
// entries are recorded before the message is sent, because Left may be received at once.
func (s *Server) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.node.Each(func(c *link.Conn) {
		if c.Peer().Role == string(vmlist.RoleEntry) {
			s.mu.Lock()
			s.awaitingLeft[c] = struct{}{}
			s.mu.Unlock()
		}
		if err := c.Send(&link.Leaving{Agent: s.config.VM}); err != nil {
			s.onLeft(c)
		}
	})
}

// onLeft records that no more calls are offered over a link, because of a Left message or
// because the link has closed.
func (s *Server) onLeft(c *link.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.awaitingLeft, c)
	s.signalIdle()
}

// Drained returns a channel that is closed once no call is in flight and no entry can still
// offer one. Call it after Leave.
func (s *Server) Drained() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	s.signalIdle()
	return s.idle
}

// signalIdle closes the channel of Drained if the agent is idle. It is called with mu held.
func (s *Server) signalIdle() {
	if s.idle == nil || len(s.live) > 0 || len(s.awaitingLeft) > 0 {
		return
	}
	select {
	case <-s.idle:
	default:
		close(s.idle)
	}
}

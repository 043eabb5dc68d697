package server

import (
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/vmlist"
)

// Leave refuses new work from now on and tells every VM that has a link. Those of entries
// are remembered before they are told: their word may come back at once.
func (s *Server) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.node.Each(func(c *link.Conn) {
		if c.Peer().Role == string(vmlist.RoleEntry) {
			s.mu.Lock()
			s.told[c] = struct{}{}
			s.mu.Unlock()
		}
		if err := c.Send(&link.Leaving{Agent: s.config.VM}); err != nil {
			s.onLeft(c)
		}
	})
}

// onLeft takes the word, or the end, of a link over which a call might still have come.
func (s *Server) onLeft(c *link.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.told, c)
	s.signalIdle()
}

// Drained returns a channel that is closed once no call is queued or running and no entry
// is about to offer one. Call it after Leave.
func (s *Server) Drained() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	s.signalIdle()
	return s.idle
}

// signalIdle is called with mu held.
func (s *Server) signalIdle() {
	if s.idle == nil || len(s.live) > 0 || len(s.told) > 0 {
		return
	}
	select {
	case <-s.idle:
	default:
		close(s.idle)
	}
}

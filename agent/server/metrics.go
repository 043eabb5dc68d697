package server

// Metrics is what an operator wants to know of an agent at one moment.
type Metrics struct {
	// Queue is the number of calls and group shares that wait for the upstream.
	Queue int
	// Live is the number of calls in hand, answers that are still being read included.
	Live int
	// MemoryUsed, MemoryFree and MemoryCapacity are the engine's KV cache by the agent's
	// book, in tokens; all 0 beside a plain service.
	MemoryUsed, MemoryFree, MemoryCapacity int64
	// PrefillRate is the measured rate in prompt tokens a second; 0 until there is one.
	PrefillRate float64
	// EngineDown is set while the engine gives no reports.
	EngineDown bool
	// Leaving is set once the agent takes no new work.
	Leaving bool
	// ReservationsExpired counts the reservations that the clock ended.
	ReservationsExpired int64
	// OrphansCancelled counts the cancellations of what the engine held for nobody.
	OrphansCancelled int64
}

// Metrics returns the agent's metrics at this moment.
func (s *Server) Metrics() Metrics {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := Metrics{
		Queue:               s.queue.Len(),
		Live:                len(s.live),
		PrefillRate:         s.load.load.PrefillRate,
		EngineDown:          s.engineDown(),
		Leaving:             s.leaving,
		ReservationsExpired: s.expired,
		OrphansCancelled:    s.orphans,
	}
	if s.config.Engine != nil {
		m.MemoryUsed = s.memory.Used()
		m.MemoryFree = s.memory.Free()
		m.MemoryCapacity = s.memory.Capacity()
	}
	return m
}

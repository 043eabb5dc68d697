package server

// Metrics are an agent's metrics at one moment.
type Metrics struct {
	// Queue is the number of queued calls and group reservations.
	Queue int
	// Live is the number of calls in flight, including those whose answer is still being read.
	Live int
	// MemoryUsed, MemoryFree and MemoryCapacity describe the engine's KV cache according to
	// the agent's pool, in tokens. All are 0 for a plain service.
	MemoryUsed, MemoryFree, MemoryCapacity int64
	// PrefillRate is the measured rate in prompt tokens per second; 0 until one is measured.
	PrefillRate float64
	// EngineDown is set while the engine gives no reports.
	EngineDown bool
	// Leaving is set once the agent refuses new calls.
	Leaving bool
	// ReservationsExpired counts the reservations that expired before they were released.
	ReservationsExpired int64
	// OrphansCancelled counts the cancellations of engine memory that had no reservation.
	OrphansCancelled int64
}

// Metrics returns the agent's current metrics.
func (s *Server) Metrics() Metrics {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := Metrics{
		Queue:               s.queue.Len(),
		Live:                len(s.live),
		PrefillRate:         s.loadCounters.load.PrefillRate,
		EngineDown:          s.engineDown(),
		Leaving:             s.leaving,
		ReservationsExpired: s.reservationsExpired,
		OrphansCancelled:    s.orphansCancelled,
	}
	if s.config.Engine != nil {
		m.MemoryUsed = s.memory.Used()
		m.MemoryFree = s.memory.Free()
		m.MemoryCapacity = s.memory.Capacity()
	}
	return m
}

package reservation

// SetCapacity sets the engine's memory in tokens, as given in its report. Existing
// reservations stay, even if they exceed the new capacity.
func (p *Pool) SetCapacity(tokens int64) { p.capacity = tokens }

// Capacity returns the engine's memory in tokens.
func (p *Pool) Capacity() int64 { return p.capacity }

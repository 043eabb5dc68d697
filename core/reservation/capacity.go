package reservation

// SetCapacity sets the engine's memory in tokens, as given in its report. Existing
// reservations stay, even if they exceed the new capacity.
func (b *Book) SetCapacity(tokens int64) { b.capacity = tokens }

// Capacity returns the engine's memory in tokens.
func (b *Book) Capacity() int64 { return b.capacity }

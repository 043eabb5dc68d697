package reservation

// SetCapacity changes the engine's memory in tokens, as its report tells it. What is
// held stays held, also where it is more than the new capacity.
func (b *Book) SetCapacity(tokens int64) { b.capacity = tokens }

// Capacity is the engine's memory in tokens.
func (b *Book) Capacity() int64 { return b.capacity }

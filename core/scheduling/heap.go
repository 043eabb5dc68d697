package scheduling

// heap is a binary heap that reports the index of each element, so that any element can be
// moved or removed. container/heap calls through an interface and boxes each element;
// with three heaps, a scheduling decision would exceed its budget of 2 µs.
type heap[T any] struct {
	items []T
	less  func(a, b T) bool
	// setIndex stores an element's index, or -1 once it has left the heap.
	setIndex func(item T, index int)
}

func (h *heap[T]) push(item T) {
	h.items = append(h.items, item)
	h.up(len(h.items)-1, item)
}

func (h *heap[T]) remove(i int) T {
	item := h.items[i]
	last := len(h.items) - 1
	moved := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if i != last {
		h.items[i] = moved
		h.fix(i)
	}
	h.setIndex(item, -1)
	return item
}

// fix restores the heap order after the element at i has changed.
func (h *heap[T]) fix(i int) {
	item := h.items[i]
	if i > 0 && h.less(item, h.items[(i-1)/2]) {
		h.up(i, item)
		return
	}
	h.down(i, item)
}

func (h *heap[T]) up(i int, item T) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(item, h.items[parent]) {
			break
		}
		h.set(i, h.items[parent])
		i = parent
	}
	h.set(i, item)
}

func (h *heap[T]) down(i int, item T) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if right := child + 1; right < len(h.items) && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], item) {
			break
		}
		h.set(i, h.items[child])
		i = child
	}
	h.set(i, item)
}

func (h *heap[T]) set(i int, item T) {
	h.items[i] = item
	h.setIndex(item, i)
}

package admit

// heap is a binary min-heap whose elements store their own index, so that any element can be moved or removed.
type heap[T any] struct {
	items []T
	less  func(a, b T) bool
	index func(T) *int // points to the element's index field; -1 if not in the heap
}

func (h *heap[T]) top() (T, bool) {
	if len(h.items) == 0 {
		var none T
		return none, false
	}
	return h.items[0], true
}

func (h *heap[T]) push(x T) {
	h.items = append(h.items, x)
	*h.index(x) = len(h.items) - 1
	h.up(len(h.items) - 1)
}

func (h *heap[T]) remove(x T) {
	i, last := *h.index(x), len(h.items)-1
	if i < 0 {
		return
	}
	h.swap(i, last)
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	*h.index(x) = -1
	if i < last {
		h.fixAt(i)
	}
}

func (h *heap[T]) fix(x T) {
	if i := *h.index(x); i >= 0 {
		h.fixAt(i)
	}
}

func (h *heap[T]) fixAt(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i
	*h.index(h.items[j]) = j
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *heap[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}

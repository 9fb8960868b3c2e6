package ibisqueue

// heapOrder compares the elements of a heap and gives access to the index that each element stores.
type heapOrder[E any] interface {
	less(a, b E) bool
	index(e E) *int
}

// indexedHeap is a heap for container/heap whose elements store their own index, so that any of them can be
// moved or removed in O(log n). The index of an element that was removed is -1.
type indexedHeap[E any, O heapOrder[E]] []E

func (h indexedHeap[E, O]) Len() int { return len(h) }

func (h indexedHeap[E, O]) Less(i, j int) bool {
	var o O
	return o.less(h[i], h[j])
}

func (h indexedHeap[E, O]) Swap(i, j int) {
	var o O
	h[i], h[j] = h[j], h[i]
	*o.index(h[i]), *o.index(h[j]) = i, j
}

// Push implements heap.Interface; use heap.Push instead.
func (h *indexedHeap[E, O]) Push(x any) {
	var o O
	e := x.(E)
	*o.index(e) = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface; use heap.Pop instead.
func (h *indexedHeap[E, O]) Pop() any {
	var o O
	var zero E
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = zero
	*h = (*h)[:last]
	*o.index(e) = -1
	return e
}

// entryHeap orders the entries of a group by due time.
type entryHeap = indexedHeap[*entry, byDue]

type byDue struct{}

func (byDue) less(a, b *entry) bool { return a.before(b) }
func (byDue) index(e *entry) *int   { return &e.index }

// groupHeap orders the groups of a level by their first entries.
type groupHeap = indexedHeap[*group, byHead]

type byHead struct{}

func (byHead) less(a, b *group) bool { return a.head().before(b.head()) }
func (byHead) index(g *group) *int   { return &g.index }

// deadlineHeap orders entries by their latest start.
type deadlineHeap = indexedHeap[*entry, byLatestStart]

type byLatestStart struct{}

func (byLatestStart) less(a, b *entry) bool { return a.item.LatestStart().Before(b.item.LatestStart()) }
func (byLatestStart) index(e *entry) *int   { return &e.deadlineIndex }

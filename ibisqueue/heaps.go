package ibisqueue

// order compares the elements of a heap, and tells where an element keeps its position in it.
type order[E any] interface {
	less(a, b E) bool
	pos(e E) *int
}

// indexedHeap is a heap, for container/heap, whose elements know their positions, so that any of them can
// be moved or removed in O(log n). The position of an element that was taken out is -1.
type indexedHeap[E any, O order[E]] []E

func (h indexedHeap[E, O]) Len() int { return len(h) }

func (h indexedHeap[E, O]) Less(i, j int) bool {
	var o O
	return o.less(h[i], h[j])
}

func (h indexedHeap[E, O]) Swap(i, j int) {
	var o O
	h[i], h[j] = h[j], h[i]
	*o.pos(h[i]), *o.pos(h[j]) = i, j
}

// Push is for container/heap.
func (h *indexedHeap[E, O]) Push(x any) {
	var o O
	e := x.(E)
	*o.pos(e) = len(*h)
	*h = append(*h, e)
}

// Pop is for container/heap.
func (h *indexedHeap[E, O]) Pop() any {
	var o O
	var none E
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = none
	*h = (*h)[:last]
	*o.pos(e) = -1
	return e
}

// entryHeap orders the items of a group.
type entryHeap = indexedHeap[*entry, byTurn]

type byTurn struct{}

func (byTurn) less(a, b *entry) bool { return a.before(b) }
func (byTurn) pos(e *entry) *int     { return &e.pos }

// groupHeap orders the groups of a level by their heads.
type groupHeap = indexedHeap[*group, byHead]

type byHead struct{}

func (byHead) less(a, b *group) bool { return a.head().before(b.head()) }
func (byHead) pos(g *group) *int     { return &g.pos }

// deadlineHeap orders items by their latest start.
type deadlineHeap = indexedHeap[*entry, byLatestStart]

type byLatestStart struct{}

func (byLatestStart) less(a, b *entry) bool { return a.item.LatestStart().Before(b.item.LatestStart()) }
func (byLatestStart) pos(e *entry) *int     { return &e.deadlinePos }

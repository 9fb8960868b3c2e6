package ibisqueue

// entryHeap orders the items of a group.
type entryHeap []*entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}

// Push is for container/heap.
func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.pos = len(*h)
	*h = append(*h, e)
}

// Pop is for container/heap.
func (h *entryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

// groupHeap orders the groups of a level by their heads.
type groupHeap []*group

func (h groupHeap) Len() int           { return len(h) }
func (h groupHeap) Less(i, j int) bool { return h[i].head().before(h[j].head()) }
func (h groupHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}

// Push is for container/heap.
func (h *groupHeap) Push(x any) {
	g := x.(*group)
	g.pos = len(*h)
	*h = append(*h, g)
}

// Pop is for container/heap.
func (h *groupHeap) Pop() any {
	last := len(*h) - 1
	g := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	g.pos = -1
	return g
}

// deadlineHeap orders items by their latest start.
type deadlineHeap []*entry

func (h deadlineHeap) Len() int { return len(h) }
func (h deadlineHeap) Less(i, j int) bool {
	return h[i].item.LatestStart().Before(h[j].item.LatestStart())
}
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadlinePos, h[j].deadlinePos = i, j
}

// Push is for container/heap.
func (h *deadlineHeap) Push(x any) {
	e := x.(*entry)
	e.deadlinePos = len(*h)
	*h = append(*h, e)
}

// Pop is for container/heap.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.deadlinePos = -1
	return e
}

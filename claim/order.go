package claim

// dropHeap is a min-heap of entries by dropAt.
type dropHeap []*entry

func (h dropHeap) Len() int           { return len(h) }
func (h dropHeap) Less(i, j int) bool { return h[i].dropAt < h[j].dropAt }

func (h dropHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *dropHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *dropHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

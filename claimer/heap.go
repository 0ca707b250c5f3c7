package claimer

import "container/heap"

// deadlineHeap is a min-heap of claims, ordered by deadline. It keeps
// pendingClaim.heapIndex up to date, so that any claim can be removed.
type deadlineHeap []*pendingClaim

func (h *deadlineHeap) add(p *pendingClaim)    { heap.Push(h, p) }
func (h *deadlineHeap) remove(p *pendingClaim) { heap.Remove(h, p.heapIndex) }

// Len implements heap.Interface.
func (h deadlineHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h deadlineHeap) Less(i, j int) bool {
	return h[i].claim.Deadline.Before(h[j].claim.Deadline)
}

// Swap implements heap.Interface.
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	p := x.(*pendingClaim)
	p.heapIndex = len(*h)
	*h = append(*h, p)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	p := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return p
}

package claimer

import "container/heap"

// deadlineHeap has the claim with the earliest deadline first.
type deadlineHeap []*pending

func (h *deadlineHeap) add(p *pending)    { heap.Push(h, p) }
func (h *deadlineHeap) remove(p *pending) { heap.Remove(h, p.place) }

// Len is part of heap.Interface.
func (h deadlineHeap) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h deadlineHeap) Less(i, j int) bool {
	return h[i].claim.Deadline.Before(h[j].claim.Deadline)
}

// Swap is part of heap.Interface.
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push is part of heap.Interface.
func (h *deadlineHeap) Push(x any) {
	p := x.(*pending)
	p.place = len(*h)
	*h = append(*h, p)
}

// Pop is part of heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	p := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return p
}

package scheduler

import "github.com/cactusreel/cactusreel/hostapi"

// workerIndex is a persistent tree over the workers of a cell in order of id. Each
// node holds the largest free capacity below it in each dimension, so that a search
// skips subtrees without enough. A change copies one path; older trees stay valid.
type workerIndex struct {
	left, right *workerIndex
	free        hostapi.Resources
	worker      *Worker
}

// newWorkerIndex builds the tree over workers, which must not be empty.
func newWorkerIndex(workers []*Worker) *workerIndex {
	if len(workers) == 1 {
		return &workerIndex{worker: workers[0], free: workers[0].Free()}
	}
	half := len(workers) / 2
	n := &workerIndex{left: newWorkerIndex(workers[:half]), right: newWorkerIndex(workers[half:])}
	n.free = maxResources(n.left.free, n.right.free)
	return n
}

// set returns the tree with the leaf at position i replaced. size is the
// number of leaves below n.
func (n *workerIndex) set(size, i int, w *Worker, free hostapi.Resources) *workerIndex {
	if size == 1 {
		return &workerIndex{worker: w, free: free}
	}
	half := size / 2
	left, right := n.left, n.right
	if i < half {
		left = left.set(half, i, w, free)
	} else {
		right = right.set(size-half, i-half, w, free)
	}
	return &workerIndex{left: left, right: right, free: maxResources(left.free, right.free)}
}

// leaf returns the leaf at position i.
func (n *workerIndex) leaf(size, i int) *workerIndex {
	for size > 1 {
		half := size / 2
		if i < half {
			n, size = n.left, half
			continue
		}
		n, size, i = n.right, size-half, i-half
	}
	return n
}

// nextFitting returns the first position, starting at from, whose free capacity
// covers need, or -1.
func (n *workerIndex) nextFitting(size, from int, need hostapi.Resources) int {
	if from >= size || !need.Fits(n.free) {
		return -1
	}
	if size == 1 {
		return 0
	}
	half := size / 2
	if i := n.left.nextFitting(half, from, need); i >= 0 {
		return i
	}
	if i := n.right.nextFitting(size-half, max(from-half, 0), need); i >= 0 {
		return half + i
	}
	return -1
}

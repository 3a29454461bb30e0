package share

// heapItem is an element of a queue; the queue keeps its index up to date.
type heapItem interface {
	cost() float64
	setIndex(i int)
}

func (p *entity) cost() float64  { return p.weightedCost }
func (p *entity) setIndex(i int) { p.index = i }

// queue is a heap of groups or accounts, the one with the lowest weighted cost first.
type queue[T heapItem] []T

// Len implements heap.Interface.
func (q queue[T]) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue[T]) Less(i, j int) bool { return q[i].cost() < q[j].cost() }

// Swap implements heap.Interface.
func (q queue[T]) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].setIndex(i)
	q[j].setIndex(j)
}

// Push implements heap.Interface.
func (q *queue[T]) Push(x any) {
	item := x.(T)
	item.setIndex(len(*q))
	*q = append(*q, item)
}

// Pop implements heap.Interface.
func (q *queue[T]) Pop() any {
	old := *q
	item := old[len(old)-1]
	*q = old[:len(old)-1]
	return item
}

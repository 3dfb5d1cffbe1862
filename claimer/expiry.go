package claimer

// deadline is when a claim expires, unless it has got a later deadline since.
type deadline struct {
	at  int64 // Unix milliseconds of the group
	key Key
}

// expiryQueue is a heap of deadlines, the earliest first.
type expiryQueue []deadline

// Len implements sort.Interface.
func (q expiryQueue) Len() int { return len(q) }

// Less implements sort.Interface.
func (q expiryQueue) Less(i, j int) bool { return q[i].at < q[j].at }

// Swap implements sort.Interface.
func (q expiryQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *expiryQueue) Push(x any) { *q = append(*q, x.(deadline)) }

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	last := len(*q) - 1
	d := (*q)[last]
	*q = (*q)[:last]
	return d
}

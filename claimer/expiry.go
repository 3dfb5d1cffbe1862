package claimer

// deadline is the time at which a claim expires. It is ignored when the claim has
// been given a later one since.
type deadline struct {
	at  int64 // Unix milliseconds, in the time of the group
	key Key
}

// expiryQueue is a min-heap of deadlines.
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

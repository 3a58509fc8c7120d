package state

import (
	"container/heap"
	"time"
)

// dueItem names something to look at when its time comes. An item may be out
// of date; what it names decides by itself what has expired. Items are small,
// because there is one for each key that is retained.
type dueItem struct {
	at     int64     // Unix nanoseconds
	key    *claimKey // a claim; without a service, an owner
	retire digest    // a retired key, if key is nil
}

// dueQueue is a priority queue of items by time.
type dueQueue []dueItem

// Len is part of heap.Interface.
func (q dueQueue) Len() int { return len(q) }

// Less is part of heap.Interface.
func (q dueQueue) Less(i, j int) bool { return q[i].at < q[j].at }

// Swap is part of heap.Interface.
func (q dueQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is part of heap.Interface.
func (q *dueQueue) Push(x any) { *q = append(*q, x.(dueItem)) }

// Pop is part of heap.Interface.
func (q *dueQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (q *dueQueue) add(at time.Time, key claimKey) {
	heap.Push(q, dueItem{at: at.UnixNano(), key: &key})
}

func (q *dueQueue) addOwner(at time.Time, name string) { q.add(at, claimKey{Key: name}) }

func (q *dueQueue) addRetired(at int64, mark digest) { heap.Push(q, dueItem{at: at, retire: mark}) }

// take returns the next item that is due, if any.
func (q *dueQueue) take(now time.Time) (dueItem, bool) {
	if len(*q) == 0 || (*q)[0].at > now.UnixNano() {
		return dueItem{}, false
	}
	return heap.Pop(q).(dueItem), true
}

// next returns the time of the first item, or the zero time.
func (q dueQueue) next() time.Time {
	if len(q) == 0 {
		return time.Time{}
	}
	return time.Unix(0, q[0].at).UTC()
}

package state

import (
	"container/heap"
	"time"
)

// expiry refers to a record that may expire at a given time. An expiry may be out
// of date, so the record itself is checked again. The struct is small, because
// there is one for every retained key.
type expiry struct {
	at      int64     // Unix nanoseconds
	key     *claimKey // a claim, or an owner if the service is empty
	keyHash digest    // digest of a retired key if key is nil
}

// expiryQueue is a priority queue ordered by time.
type expiryQueue []expiry

// Len implements heap.Interface.
func (q expiryQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q expiryQueue) Less(i, j int) bool { return q[i].at < q[j].at }

// Swap implements heap.Interface.
func (q expiryQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *expiryQueue) Push(x any) { *q = append(*q, x.(expiry)) }

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (q *expiryQueue) add(at time.Time, key claimKey) {
	heap.Push(q, expiry{at: at.UnixNano(), key: &key})
}

func (q *expiryQueue) addOwner(at time.Time, name string) { q.add(at, claimKey{Key: name}) }

func (q *expiryQueue) addRetired(at int64, id digest) { heap.Push(q, expiry{at: at, keyHash: id}) }

// take removes and returns the first expiry that is due, if any.
func (q *expiryQueue) take(now time.Time) (expiry, bool) {
	if len(*q) == 0 || (*q)[0].at > now.UnixNano() {
		return expiry{}, false
	}
	return heap.Pop(q).(expiry), true
}

// next returns the time of the first expiry, or the zero time for an empty queue.
func (q expiryQueue) next() time.Time {
	if len(q) == 0 {
		return time.Time{}
	}
	return time.Unix(0, q[0].at).UTC()
}

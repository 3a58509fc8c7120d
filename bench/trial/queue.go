package trial

// event is one item of the event queue.
type event struct {
	at         int64 // nanoseconds of virtual time
	kind       uint8
	id         int32  // index of an attempt, request, entry or callback, by kind
	generation uint32 // of the attempt or request; the event is ignored if it has moved on
}

// The kinds of events.
const (
	requestArrival  uint8 = iota // of a request at an entry
	attemptDelivery              // of an attempt at its target
	serviceEnd                   // the target has served an attempt
	responseArrival              // of a response at the entry
	requestTimeout               // of a request
	hedgeTimer                   // of a request
	entryTick                    // of an entry
	callbackDue                  // of a function
	cancelDelivery               // of a cancellation at the target
)

// eventQueue is a binary min-heap ordered by time. The order of events of the
// same time is not defined.
type eventQueue []event

func (q *eventQueue) push(e event) {
	heap := append(*q, e)
	i := len(heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if heap[parent].at <= e.at {
			break
		}
		heap[i] = heap[parent]
		i = parent
	}
	heap[i] = e
	*q = heap
}

func (q *eventQueue) pop() event {
	heap := *q
	top, last := heap[0], heap[len(heap)-1]
	heap = heap[:len(heap)-1]
	*q = heap
	if len(heap) == 0 {
		return top
	}
	i := 0
	for {
		child := 2*i + 1
		if child >= len(heap) {
			break
		}
		if child+1 < len(heap) && heap[child+1].at < heap[child].at {
			child++
		}
		if heap[child].at >= last.at {
			break
		}
		heap[i] = heap[child]
		i = child
	}
	heap[i] = last
	return top
}

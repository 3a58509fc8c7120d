package trial

// event is one entry of the event queue.
type event struct {
	at   int64 // nanoseconds of virtual time
	kind uint8
	id   int32  // attempt, request, entry or call, by kind
	gen  uint32 // of the attempt or request; older ones are void
}

// The kinds of events.
const (
	arrival  uint8 = iota // of a request at an entry
	delivery              // of an attempt at its target
	finished              // the target ends an attempt
	response              // arrives at the entry
	timeout               // of a request
	hedge                 // of a request
	ticking               // of an entry
	calling               // of a function
	cancel                // arrives at the target
)

// queue is a binary heap by time. Equal times keep no order.
type queue []event

func (q *queue) push(e event) {
	h := append(*q, e)
	i := len(h) - 1
	for i > 0 {
		up := (i - 1) / 2
		if h[up].at <= e.at {
			break
		}
		h[i] = h[up]
		i = up
	}
	h[i] = e
	*q = h
}

func (q *queue) pop() event {
	h := *q
	top, last := h[0], h[len(h)-1]
	h = h[:len(h)-1]
	*q = h
	if len(h) == 0 {
		return top
	}
	i := 0
	for {
		down := 2*i + 1
		if down >= len(h) {
			break
		}
		if down+1 < len(h) && h[down+1].at < h[down].at {
			down++
		}
		if h[down].at >= last.at {
			break
		}
		h[i] = h[down]
		i = down
	}
	h[i] = last
	return top
}

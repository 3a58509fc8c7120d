package budget

import (
	"container/heap"
	"container/list"
	"time"
)

// stallTime is the time without progress after which a body is given up before others.
const stallTime = time.Second

// ranking orders open connections by what their loss costs their callers.
type ranking struct {
	heaps [stageCount]byHeld
	order [stageCount]list.List // of *Holder with a body, the one without progress for longest first
}

func (r *ranking) init() {
	for i := range r.order {
		r.order[i].Init()
	}
}

func hasBody(s Stage) bool { return s == Body || s == Forwarding }

func (r *ranking) add(h *Holder) {
	heap.Push(&r.heaps[h.stage], h)
	if hasBody(h.stage) {
		h.element = r.order[h.stage].PushBack(h)
	}
}

// remove takes an open connection out of the ranking, which closes it for further bytes.
func (r *ranking) remove(h *Holder) {
	heap.Remove(&r.heaps[h.stage], h.index)
	if h.element != nil {
		r.order[h.stage].Remove(h.element)
		h.element = nil
	}
}

// fix restores the order after a change of the bytes of a connection.
func (r *ranking) fix(h *Holder) { heap.Fix(&r.heaps[h.stage], h.index) }

// advance restores the order after progress of a connection.
func (r *ranking) advance(h *Holder) {
	if h.element != nil {
		r.order[h.stage].MoveToBack(h.element)
	}
}

// worst returns the connection to give up first, nil if there is none: of the first stage
// the one whose body has stopped for longest, or else the one that holds most. The one
// that asks counts with the bytes that it asks for.
func (r *ranking) worst(now time.Time, asking *Holder, n int64) *Holder {
	for stage := range Serving {
		if first := r.order[stage].Front(); first != nil {
			h, _ := first.Value.(*Holder)
			if h != asking && now.Sub(h.progress) >= stallTime {
				return h
			}
		}
		if len(r.heaps[stage]) == 0 {
			continue
		}
		h := r.heaps[stage][0]
		if asking.stage == stage && asking.held+asking.waiting+n > h.held+h.waiting {
			return asking
		}
		return h
	}
	return nil
}

// byHeld is a heap whose first holder holds most.
type byHeld []*Holder

func (r byHeld) Len() int           { return len(r) }
func (r byHeld) Less(i, j int) bool { return r[i].held+r[i].waiting > r[j].held+r[j].waiting }

func (r byHeld) Swap(i, j int) {
	r[i], r[j] = r[j], r[i]
	r[i].index, r[j].index = i, j
}

// Push appends a holder, for package heap.
func (r *byHeld) Push(x any) {
	h := x.(*Holder) //nolint:forcetypeassert // only add calls it
	h.index = len(*r)
	*r = append(*r, h)
}

// Pop removes the last holder, for package heap.
func (r *byHeld) Pop() any {
	last := len(*r) - 1
	h := (*r)[last]
	(*r)[last] = nil
	*r = (*r)[:last]
	h.index = -1
	return h
}

package fleet

import (
	"github.com/galenalock/galenalock/core/wire"
)

// Advised takes the watch list of the leader, which entries linked only to
// this replica need as well.
func (f *Fleet) Advised(o wire.Orders) {
	f.post(func() {
		f.watch, f.advised = o.Watch, f.Clock()
		f.order()
	})
}

// watched returns the watch list for the orders: the own one of the leader, or
// the one that the leader sent lately.
func (f *Fleet) watched() []wire.Watched {
	if f.Leads() {
		if f.hooks.Watch == nil {
			return nil
		}
		return f.hooks.Watch(f.Clock())
	}
	if f.Clock().Sub(f.advised) >= watchLife {
		return nil
	}
	return f.watch
}

// advise sends the watch list to the other replicas when the orders have
// changed, and each second while it is not empty.
func (f *Fleet) advise(o wire.Orders) {
	if f.Advise == nil || !f.Leads() {
		return
	}
	now := f.Clock()
	same := len(o.Watch) == len(f.watch)
	for i := range o.Watch {
		same = same && o.Watch[i] == f.watch[i]
	}
	if same && (len(o.Watch) == 0 || now.Sub(f.advising) < orderEvery) {
		return
	}
	f.watch, f.advising = o.Watch, now
	f.Advise(wire.Orders{Watch: o.Watch})
}

package fleet

import (
	"github.com/galenalock/galenalock/core/wire"
)

// ReceiveWatchList stores the watch list of the leader and sends it to the linked
// entries, which may have no link to the leader.
func (f *Fleet) ReceiveWatchList(o wire.Orders) {
	f.post(func() {
		f.watchList, f.watchListReceived = o.Watch, f.Clock()
		f.pushOrders()
	})
}

// currentWatchList returns the watch list for the orders: on the leader the one
// from the hook, on other replicas the one received within watchListTTL.
func (f *Fleet) currentWatchList() []wire.Watched {
	if f.IsLeader() {
		if f.hooks.WatchList == nil {
			return nil
		}
		return f.hooks.WatchList(f.Clock())
	}
	if f.Clock().Sub(f.watchListReceived) >= watchListTTL {
		return nil
	}
	return f.watchList
}

// shareWatchList sends the leader's watch list to the other replicas when it has
// changed, and every refreshInterval while it is not empty.
func (f *Fleet) shareWatchList(o wire.Orders) {
	if f.SendWatchList == nil || !f.IsLeader() {
		return
	}
	now := f.Clock()
	same := len(o.Watch) == len(f.watchList)
	for i := range o.Watch {
		same = same && o.Watch[i] == f.watchList[i]
	}
	if same && (len(o.Watch) == 0 || now.Sub(f.watchListSent) < refreshInterval) {
		return
	}
	f.watchList, f.watchListSent = o.Watch, now
	f.SendWatchList(wire.Orders{Watch: o.Watch})
}

package fleet

import (
	"time"

	"github.com/galenalock/galenalock/control/batch"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/wire"
)

// ReceiveSuspects forwards the suspects reported by an entry to the linked entries
// of its region, together with others that arrive shortly after. Direct suspects,
// received from the entry itself, are also sent to the other replicas of the
// region.
func (f *Fleet) ReceiveSuspects(c *link.Conn, s wire.Suspects, direct bool) {
	f.postStats(func() {
		now := f.Clock()
		f.suspects.Add(now, c.Peer().Instance, s.Region, s.List, direct)
		due, _ := f.suspects.Next()
		if wait := due.Sub(now); wait > 0 && wait <= batch.Delay { // a longer one means that the clock was set back
			f.suspectTimer.Reset(wait)
			return
		}
		f.flushSuspects(now)
	})
}

// flushSuspects sends the collected suspects.
func (f *Fleet) flushSuspects(now time.Time) {
	for name, region := range f.suspects.Flush(now) {
		shared, err := link.Encode(wire.KindSuspects, wire.Suspects{Region: name, List: region.All()})
		if err != nil {
			f.Log.WithField(logs.FieldError, err.Error()).Error("suspects not encoded")
			continue
		}
		for c, s := range f.sessions {
			switch {
			case !s.wantsTargets || !s.isPrimary || c.Peer().Region != name:
			case !region.Reported(c.Peer().Instance):
				f.logSendError(c, c.SendEncoded(shared))
			default:
				if list := region.Except(c.Peer().Instance); len(list) > 0 {
					f.send(c, wire.KindSuspects, wire.Suspects{Region: name, List: list})
				}
			}
		}
		if list := region.Direct(); len(list) > 0 {
			f.SendSuspects(wire.Suspects{Region: name, List: list})
		}
	}
}

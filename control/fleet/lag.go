package fleet

import (
	"time"

	"github.com/galenalock/galenalock/core/link"
)

// lagDelay is the time from the arrival of a revision at this replica until an entry
// that has not reported it counts as lagging. Reports follow a change within 0.1 s.
const lagDelay = time.Second

// laggingEntries returns the links of the entries that have not reported the newest
// revision although it arrived at this replica some time ago.
func (f *Fleet) laggingEntries(now time.Time) []*link.Conn {
	if now.Sub(f.installedAt) < lagDelay {
		return nil
	}
	var out []*link.Conn
	for c, s := range f.sessions {
		if !s.isEntry {
			continue
		}
		if i := f.instances[c.Peer().Instance]; i != nil && i.Revision < f.revisions.Number() {
			out = append(out, c)
		}
	}
	return out
}

// remindLaggingEntries announces the newest revision once more to the linked entries
// that lag. The message that they got, or their pull, may have been lost.
func (f *Fleet) remindLaggingEntries(now time.Time) {
	lagging := f.laggingEntries(now)
	if len(lagging) == 0 {
		return
	}
	for _, c := range lagging {
		f.announceRevision(c, f.sessions[c])
	}
	f.Log.WithField("revision", f.revisions.Number()).WithField("entries", len(lagging)).WithField("first", lagging[0].Peer().Instance).
		WithField("age", now.Sub(f.installedAt).String()).Warn("entries lag")
}

package fleet

import "time"

// lagDelay is the time from the arrival of a revision at this replica until an entry
// that has not reported it counts as lagging. Reports follow a change within 0.1 s.
const lagDelay = time.Second

// laggingEntries returns the linked entries that have not reported the newest
// revision although it arrived at this replica some time ago.
func (f *Fleet) laggingEntries(now time.Time) []string {
	if now.Sub(f.installedAt) < lagDelay {
		return nil
	}
	var out []string
	for c, s := range f.sessions {
		if !s.isEntry {
			continue
		}
		if i := f.instances[c.Peer().Instance]; i != nil && i.Revision < f.revisions.Number() {
			out = append(out, i.Name)
		}
	}
	return out
}

// logLaggingEntries logs how many linked entries lag, if there are any.
func (f *Fleet) logLaggingEntries(now time.Time) {
	if lagging := f.laggingEntries(now); len(lagging) > 0 {
		f.Log.WithField("revision", f.revisions.Number()).WithField("entries", len(lagging)).WithField("first", lagging[0]).
			WithField("age", now.Sub(f.installedAt).String()).Warn("entries lag")
	}
}

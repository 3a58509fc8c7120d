package stub

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/core/wire"
)

// States that a target announces.
const (
	StateCold    = "cold"
	StateReady   = "ready"
	StateLeaving = "leaving"
)

// announceTimeout bounds one attempt, so that a hung entry does not let the
// announced time to live expire before another entry is tried.
const announceTimeout = time.Second

// announceUntil sends an announcement at each interval, and one at the end of the
// cold start, until ctx ends.
func (s *Stub) announceUntil(ctx context.Context) {
	ticker := time.NewTicker(time.Duration(s.settings.Interval))
	defer ticker.Stop()
	coldEnd := time.NewTimer(time.Duration(s.settings.ColdStart))
	defer coldEnd.Stop()
	for {
		_ = s.announceOnce(ctx) // repeated at the next interval
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-coldEnd.C:
		}
	}
}

// announceOnce sends one announcement to the first entry that accepts it, starting
// with a different entry each time. Only one announcement is in flight, so that
// their sequence numbers arrive in order.
func (s *Stub) announceOnce(ctx context.Context) error {
	if len(s.settings.Entries) == 0 {
		return nil
	}
	s.announceMu.Lock()
	defer s.announceMu.Unlock()
	renewal := s.nextAnnouncement()
	body, err := json.Marshal(renewal)
	if err != nil {
		return eris.Wrap(err, "encode announcement")
	}
	var last error
	for i := range s.settings.Entries {
		entry := s.settings.Entries[(int(renewal.Seq)+i)%len(s.settings.Entries)]
		last = s.postAnnouncement(ctx, entry, body)
		if last == nil {
			s.counters.update(func(n *Counts) { n.Announced++; n.State = renewal.State })
			return nil
		}
	}
	return last
}

func (s *Stub) postAnnouncement(ctx context.Context, entry netip.AddrPort, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.String()+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "create announcement request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(request)
	if err != nil {
		return eris.Wrapf(err, "announce to %s", entry)
	}
	response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return eris.Errorf("announce to %s: status %d", entry, response.StatusCode)
	}
	return nil
}

// nextAnnouncement returns an announcement with the next sequence number.
func (s *Stub) nextAnnouncement() wire.Renew {
	return wire.Renew{
		Service:     s.settings.Service,
		Address:     s.Address(),
		Region:      s.settings.Region,
		DataCentre:  s.settings.DataCentre,
		Slots:       s.settings.Slots,
		Connections: s.settings.Connections,
		Start:       s.startTime,
		Seq:         s.seq.Add(1),
		State:       s.announcedState(),
		TTL:         time.Duration(s.settings.TTL).Seconds(),
		Load:        s.slots.inflight(),
	}
}

func (s *Stub) announcedState() string {
	switch {
	case s.leaving.Load():
		return StateLeaving
	case time.Since(s.startTime) < time.Duration(s.settings.ColdStart):
		return StateCold
	}
	return StateReady
}

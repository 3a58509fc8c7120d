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

// The states that a target announces.
const (
	StateCold    = "cold"
	StateReady   = "ready"
	StateLeaving = "leaving"
)

// announceTimeout bounds one attempt, so that a hung entry does not use up the
// time to live.
const announceTimeout = time.Second

// announce repeats the announcement until ctx ends.
func (s *Stub) announce(ctx context.Context) {
	ticker := time.NewTicker(time.Duration(s.settings.Interval))
	defer ticker.Stop()
	warm := time.NewTimer(time.Duration(s.settings.Cold))
	defer warm.Stop()
	for {
		_ = s.announceOnce(ctx) // repeated at the next interval
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-warm.C:
		}
	}
}

// announceOnce sends one announcement to the first entry that accepts it,
// beginning with another entry each time. Announcements are sent one by one, so
// that their sequence numbers arrive in order.
func (s *Stub) announceOnce(ctx context.Context) error {
	if len(s.settings.Entries) == 0 {
		return nil
	}
	s.announcing.Lock()
	defer s.announcing.Unlock()
	renewal := s.renewal()
	body, err := json.Marshal(renewal)
	if err != nil {
		return eris.Wrap(err, "announcement")
	}
	var last error
	for i := range s.settings.Entries {
		entry := s.settings.Entries[(int(renewal.Seq)+i)%len(s.settings.Entries)]
		last = s.post(ctx, entry, body)
		if last == nil {
			s.count.change(func(n *Counts) { n.Announced++; n.State = renewal.State })
			return nil
		}
	}
	return last
}

func (s *Stub) post(ctx context.Context, entry netip.AddrPort, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.String()+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "announcement")
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

// renewal returns the next announcement.
func (s *Stub) renewal() wire.Renew {
	return wire.Renew{
		Service:     s.settings.Service,
		Address:     s.Address(),
		Region:      s.settings.Region,
		DataCentre:  s.settings.DataCentre,
		Slots:       s.settings.Slots,
		Connections: s.settings.Connections,
		Start:       s.start,
		Seq:         s.seq.Add(1),
		State:       s.state(),
		TTL:         time.Duration(s.settings.TTL).Seconds(),
		Load:        s.slots.inflight(),
	}
}

func (s *Stub) state() string {
	switch {
	case s.leaving.Load():
		return StateLeaving
	case time.Since(s.start) < time.Duration(s.settings.Cold):
		return StateCold
	}
	return StateReady
}

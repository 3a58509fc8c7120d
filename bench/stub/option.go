package stub

import (
	"net/netip"
	"time"
)

// Option changes a setting of a target.
type Option func(*Settings)

// WithSettings replaces all settings, so it comes before other options.
func WithSettings(settings Settings) Option { return func(s *Settings) { *s = settings } }

// WithAddress sets the listening address.
func WithAddress(address netip.AddrPort) Option { return func(s *Settings) { s.Address = address } }

// WithService sets the announced service.
func WithService(name string) Option { return func(s *Settings) { s.Service = name } }

// WithPlace sets the announced region and data centre.
func WithPlace(region, dataCentre string) Option {
	return func(s *Settings) { s.Region, s.DataCentre = region, dataCentre }
}

// WithEntries sets the peer addresses of the entries to announce to.
func WithEntries(entries ...netip.AddrPort) Option { return func(s *Settings) { s.Entries = entries } }

// WithSlots sets the number of slots and the number of requests that may wait for
// one.
func WithSlots(slots, queue int) Option {
	return func(s *Settings) { s.Slots, s.Queue = slots, queue }
}

// WithLatency sets the median latency and the sigma of its log-normal
// distribution.
func WithLatency(median time.Duration, sigma float64) Option {
	return func(s *Settings) { s.Latency, s.Sigma = Duration(median), sigma }
}

// WithColdStart sets the length of the cold start and the latency factor at its
// beginning.
func WithColdStart(length time.Duration, factor float64) Option {
	return func(s *Settings) { s.ColdStart, s.ColdFactor = Duration(length), factor }
}

// WithInterval sets the time between announcements and the announced time to live.
func WithInterval(interval, ttl time.Duration) Option {
	return func(s *Settings) { s.Interval, s.TTL = Duration(interval), Duration(ttl) }
}

// WithGrace sets the time from the announcement of leaving until the target stops
// listening.
func WithGrace(grace time.Duration) Option { return func(s *Settings) { s.Grace = Duration(grace) } }

// WithSize sets the number of bytes in the answer to a lookup.
func WithSize(size int) Option { return func(s *Settings) { s.Size = size } }

// WithSeed sets the seed for the random latencies and the shares of faults.
func WithSeed(seed uint64) Option { return func(s *Settings) { s.Seed = seed } }

// WithFault sets the fault that is active from the start.
func WithFault(fault Fault) Option { return func(s *Settings) { s.Fault = fault } }

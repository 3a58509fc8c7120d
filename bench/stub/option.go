package stub

import (
	"net/netip"
	"time"
)

// Option changes the settings of a target.
type Option func(*Settings)

// WithSettings replaces all settings.
func WithSettings(settings Settings) Option { return func(s *Settings) { *s = settings } }

// WithAddress sets the listening address.
func WithAddress(address netip.AddrPort) Option { return func(s *Settings) { s.Address = address } }

// WithService sets the announced service.
func WithService(name string) Option { return func(s *Settings) { s.Service = name } }

// WithPlace sets the announced region and data centre.
func WithPlace(region, dataCentre string) Option {
	return func(s *Settings) { s.Region, s.DataCentre = region, dataCentre }
}

// WithEntries sets the peer addresses that take announcements.
func WithEntries(entries ...netip.AddrPort) Option { return func(s *Settings) { s.Entries = entries } }

// WithSlots sets the number of slots and the length of the queue for them.
func WithSlots(slots, queue int) Option {
	return func(s *Settings) { s.Slots, s.Queue = slots, queue }
}

// WithLatency sets the median latency and the sigma of its log-normal spread.
func WithLatency(median time.Duration, spread float64) Option {
	return func(s *Settings) { s.Latency, s.Spread = Duration(median), spread }
}

// WithCold sets the length of the cold start and the latency factor at its beginning.
func WithCold(length time.Duration, chill float64) Option {
	return func(s *Settings) { s.Cold, s.Chill = Duration(length), chill }
}

// WithInterval sets the time between announcements and the announced time to live.
func WithInterval(interval, ttl time.Duration) Option {
	return func(s *Settings) { s.Interval, s.TTL = Duration(interval), Duration(ttl) }
}

// WithGrace sets the time between the announcement of leaving and the end of listening.
func WithGrace(grace time.Duration) Option { return func(s *Settings) { s.Grace = Duration(grace) } }

// WithSize sets the bytes of the body of an answer to a lookup.
func WithSize(size int) Option { return func(s *Settings) { s.Size = size } }

// WithSeed sets the seed of latencies and fault shares.
func WithSeed(seed uint64) Option { return func(s *Settings) { s.Seed = seed } }

// WithFault sets the fault in force from the start.
func WithFault(fault Fault) Option { return func(s *Settings) { s.Fault = fault } }

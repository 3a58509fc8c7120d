package quota

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// meterTime is the time constant of a Meter.
	meterTime = 8 * time.Second
	// DemandLifetime is the age at which the demand of an entry no longer counts.
	DemandLifetime = 12 * time.Second
	// RenewInterval is the interval at which what is known about limits and demands
	// is sent again to other entries, some of which may have started meanwhile.
	RenewInterval = 5 * time.Second
	// demandFactor is the ratio by which a demand must change to be sent before
	// that.
	demandFactor = 2
	// minDemand is the demand below which an entry has none, in requests a second.
	minDemand = 0.05
)

// Demand is the demand of an entry for one service.
type Demand struct {
	Entry  uint64 // identifies the entry
	Region string
	Rate   float64 // requests a second, zero for no demand
}

// SortDemands sorts demands by entry, as Share requires, and returns them.
func SortDemands(list []Demand) []Demand {
	slices.SortFunc(list, func(x, y Demand) int { return cmp.Compare(x.Entry, y.Entry) })
	return list
}

// weight returns the weight of the demand in the distribution of the limit of a
// target in the given region.
func (d *Demand) weight(region string) float64 {
	if d.Region != region {
		return d.Rate * remoteWeight
	}
	return d.Rate
}

// Meter measures the demand of this entry for a service. The zero value is ready
// for use.
type Meter struct {
	mu      sync.Mutex
	count   float64 // requests, weighted by age
	updated time.Time
}

// Record counts a request.
func (m *Meter) Record(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.count = m.decayed(now) + 1
	m.updated = now
}

// Rate returns the demand in requests a second.
func (m *Meter) Rate(now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if rate := m.decayed(now) / meterTime.Seconds(); rate >= minDemand {
		return rate
	}
	return 0
}

func (m *Meter) decayed(now time.Time) float64 {
	age := max(0, now.Sub(m.updated))
	return m.count * math.Exp(-age.Seconds()/meterTime.Seconds())
}

// Demands holds the demands of all entries for one service, as they were sent
// last. It is not safe for concurrent use. The zero value is empty.
type Demands struct {
	list   []timedDemand // sorted by entry
	sent   Demand        // of this entry
	sentAt time.Time
}

type timedDemand struct {
	Demand
	sentAt time.Time
}

// Set records the demand that an entry sent at the given time, unless a newer one
// is known.
func (d *Demands) Set(sent time.Time, demand Demand) {
	i, found := slices.BinarySearchFunc(d.list, demand.Entry, func(known timedDemand, entry uint64) int {
		return cmp.Compare(known.Entry, entry)
	})
	if !found {
		d.list = slices.Insert(d.list, i, timedDemand{})
	}
	if !sent.Before(d.list[i].sentAt) {
		d.list[i] = timedDemand{Demand: demand, sentAt: sent}
	}
}

// Announce takes the current demand of this entry. It reports whether it is to be
// sent to the other entries, and then also records it: the distribution is
// computed from the demands that all entries know.
func (d *Demands) Announce(now time.Time, own Demand) bool {
	age := now.Sub(d.sentAt)
	changed := own.Rate > d.sent.Rate*demandFactor || own.Rate*demandFactor < d.sent.Rate
	due := d.sentAt.IsZero() || changed || age >= RenewInterval && own.Rate > 0
	if !due || own.Rate == 0 && d.sent.Rate == 0 {
		return false
	}
	d.sent, d.sentAt = own, now
	d.Set(now, own)
	return true
}

// Reset forgets when the demand of this entry was sent.
func (d *Demands) Reset() { d.sent, d.sentAt = Demand{}, time.Time{} }

// Expire removes demands that have not been sent again, and reports whether there
// were any.
func (d *Demands) Expire(now time.Time) bool {
	before := len(d.list)
	d.list = slices.DeleteFunc(d.list, func(known timedDemand) bool { return now.Sub(known.sentAt) >= DemandLifetime })
	return len(d.list) < before
}

// List returns the demands, sorted by entry.
func (d *Demands) List() []Demand {
	out := make([]Demand, len(d.list))
	for i := range d.list {
		out[i] = d.list[i].Demand
	}
	return out
}

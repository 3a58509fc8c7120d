package enrol

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// placeholderService is the service of placeholders. No service text can contain it,
	// because it is no valid name of a service, so entries give placeholders no requests.
	placeholderService = "(ended)"
	placeholderPort    = 1
)

// discardPrefix is the prefix of the addresses of placeholders, which RFC 6666 reserves
// for traffic that is discarded.
var discardPrefix = netip.MustParsePrefix("100::/64")

// Placeholder returns an announcement that registers an incarnation whose end arrived
// before any announcement of it. The end that follows then leaves a row that refuses
// its delayed announcements. Its sequence number is the largest one, so that no delayed
// announcement replaces it before.
func Placeholder(name string, start time.Time, region, datacentre string) Announcement {
	address := discardPrefix.Addr().As16()
	binary.BigEndian.PutUint64(address[8:], xxhash.Sum64String(name))
	return Announcement{
		Name: name, Service: placeholderService, Address: netip.AddrPortFrom(netip.AddrFrom16(address), placeholderPort),
		Region: region, DataCentre: datacentre, Slots: 1, Start: start, Seq: math.MaxUint64, State: Draining,
	}
}

// IsPlaceholder reports whether the row was registered by a placeholder.
func (t *Target) IsPlaceholder() bool {
	return t.Service == placeholderService && t.Seq == math.MaxUint64 && discardPrefix.Contains(t.Address.Addr())
}

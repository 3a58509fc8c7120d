package daemon

import (
	"context"
	"net/netip"

	"github.com/sirupsen/logrus"

	"github.com/galenalock/galenalock/control/relay"
	"github.com/galenalock/galenalock/core/enrol"
	"github.com/galenalock/galenalock/core/state"
)

// Services are the operations of a replica for additional interfaces.
type Services struct {
	// Announce returns when an announcement of a target has been committed. Its
	// errors are *enrol.Error, *StaleError and those of Submit.
	Announce func(ctx context.Context, a enrol.Announcement) error
	// Submit returns when a service text with the given rank, or one with a higher
	// rank, has been committed. Its errors are those of relay.Relay.Propose.
	Submit func(ctx context.Context, rank uint64, change string, text []byte) (state.Submitted, error)
	// Newest returns the text with the highest rank that was committed before the
	// call. An error is a *relay.NoQuorumError.
	Newest func(ctx context.Context) (rank uint64, text []byte, err error)
	// Nearest returns the peer address of the replica that targets of a data centre
	// should announce themselves to, or false if no linked one is nearer than this
	// one.
	Nearest func(datacentre string) (netip.AddrPort, bool)
	// Region returns the region of a data centre.
	Region func(datacentre string) (string, bool)
	Log    *logrus.Entry
}

// errStarting refuses calls before the data directory is open.
var errStarting = &relay.NoQuorumError{Reason: "the replica is starting"}

func (d *Daemon) services() Services {
	p := d.parts
	return Services{
		Announce: func(ctx context.Context, a enrol.Announcement) error {
			if !d.dataOpen.Load() {
				return errStarting
			}
			return d.registry.announce(ctx, a)
		},
		Submit:  d.submitRanked,
		Newest:  d.newestText,
		Nearest: d.nearestReplica,
		Region: func(datacentre string) (string, bool) {
			region, ok := d.settings.Regions[datacentre]
			return region, ok
		},
		Log: p.log,
	}
}

func (d *Daemon) submitRanked(ctx context.Context, rank uint64, change string, text []byte) (state.Submitted, error) {
	if !d.dataOpen.Load() {
		return state.Submitted{}, errStarting
	}
	result, err := d.parts.relay.Propose(ctx, state.Command{Submit: &state.Submit{Rank: rank, Change: change, Text: text}})
	log := d.parts.log.WithField("rank", rank)
	if err != nil {
		log.WithField("error", err.Error()).Warn("service text not acknowledged")
		return state.Submitted{}, err
	}
	if result.Submitted == nil {
		return state.Submitted{}, &relay.UnknownError{Reason: "the answer to a submission is empty"}
	}
	log.WithField("outcome", string(result.Submitted.Outcome)).WithField("revision", result.Submitted.Revision).Info("service text submitted")
	return *result.Submitted, nil
}

func (d *Daemon) newestText(ctx context.Context) (uint64, []byte, error) {
	if !d.dataOpen.Load() {
		return 0, nil, errStarting
	}
	if err := d.parts.relay.CatchUp(ctx); err != nil {
		return 0, nil, err
	}
	v := d.parts.machine.view.Load()
	newest := v.Newest()
	if newest.Number == 0 {
		return 0, nil, nil
	}
	text, ok := v.Text(newest.Number)
	if !ok {
		return 0, nil, &relay.NoQuorumError{Reason: "the newest text is not kept"}
	}
	return newest.Rank, text, nil
}

// nearestReplica prefers a replica of the data centre, then one of its region. Only
// linked replicas are considered, since others may be down.
func (d *Daemon) nearestReplica(datacentre string) (netip.AddrPort, bool) {
	s := &d.settings
	region := s.Regions[datacentre]
	if s.DataCentre == datacentre {
		return netip.AddrPort{}, false
	}
	var near netip.AddrPort
	for _, peer := range d.parts.links.Peers() {
		if peer.DataCentre == datacentre {
			return peer.PeerAddress, true
		}
		if peer.Region == region && s.Region != region {
			near = peer.PeerAddress
		}
	}
	return near, near.IsValid()
}

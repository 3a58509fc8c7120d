package agent

import (
	"net/netip"

	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/wire"
)

// noticeLink returns the link to the replica that passes notices on, or nil.
func (a *Agent) noticeLink() *link.Conn {
	if a.registry != nil {
		return a.registry.primary
	}
	if links := *a.controlLinks.Load(); len(links) > 0 {
		return links[0]
	}
	return nil
}

// sendNotice sends a notice to control, which passes it on to other entries.
func (a *Agent) sendNotice(kind wire.Kind, body any) {
	if c := a.noticeLink(); c != nil {
		_ = c.Send(kind, body) // a failed send closes the link
	}
}

// knownTarget returns the target that a notice is about and its service, or nil if
// this incarnation is not known. start is in Unix milliseconds.
func (a *Agent) knownTarget(service string, address netip.AddrPort, start int64) (*upstream, *target) {
	u := a.upstreams[service]
	if u == nil {
		return nil, nil
	}
	t := u.targets[address]
	if t == nil || t.Start.UnixMilli() != start {
		return nil, nil
	}
	return u, t
}

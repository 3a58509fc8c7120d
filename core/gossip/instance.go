package gossip

import (
	"net/netip"

	"github.com/galenalock/galenalock/core/wire"
)

// Instance describes an instance. Its encoding is the body of the instance's
// record.
type Instance struct {
	_          struct{} `cbor:",toarray"`
	Role       wire.Role
	Region     string
	DataCentre string
	Peer       netip.AddrPort
}

// Instance decodes the body of the record of an instance.
func (r *Record) Instance() (Instance, error) {
	var i Instance
	err := wire.Decode(r.Body, &i)
	return i, err
}

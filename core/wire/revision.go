package wire

import "time"

// Revision carries a revision of the service text, either in full or as a splice
// to apply to the receiver's text. Data is compressed with DEFLATE. A Revision
// without Data announces only the number and the checksum.
type Revision struct {
	Number   uint64 `cbor:"number"`
	Checksum uint64 `cbor:"sum"`             // xxHash of the full text
	Base     uint64 `cbor:"base,omitempty"`  // revision that the splice applies to, 0: Data is the full text
	Head     int    `cbor:"head,omitempty"`  // bytes kept from the start of the base text
	Tail     int    `cbor:"tail,omitempty"`  // bytes kept from the end of the base text
	Data     []byte `cbor:"data,omitempty"`  // text between them
	HasData  bool   `cbor:"whole,omitempty"` // Data is present
}

// Pull asks for the newest revision. The answer may be a splice to apply to
// revision Have.
type Pull struct {
	Have     uint64 `cbor:"have"`
	Checksum uint64 `cbor:"sum"`
}

// Confirm asks a control replica for the revision that a majority confirms.
type Confirm struct{}

// Confirmed is the answer to Confirm.
type Confirmed struct {
	Number   uint64 `cbor:"number"`
	Checksum uint64 `cbor:"sum"`
}

// ReportInterval is the interval at which an instance repeats an unchanged Report.
const ReportInterval = 15 * time.Second

// Report describes the state of an instance to control.
type Report struct {
	Instance  string        `cbor:"instance"`
	Start     time.Time     `cbor:"start"`
	Number    uint64        `cbor:"number"` // active revision
	State     string        `cbor:"state"`  // StateStarting, StateReady, StateDraining or StateNoPath
	Inflight  int           `cbor:"inflight"`
	Confirmed time.Duration `cbor:"confirmed"` // age of the last confirmation by control or a peer
}

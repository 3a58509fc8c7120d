package wire

import "time"

// Revision carries a revision of the service text, whole or as a splice of the
// receiver's text. Data is compressed with DEFLATE. An empty Data announces
// only the number and the checksum.
type Revision struct {
	Number uint64 `cbor:"number"`
	Sum    uint64 `cbor:"sum"`             // xxhash of the whole text
	Base   uint64 `cbor:"base,omitempty"`  // revision that the splice applies to, 0: Data is the whole text
	Head   int    `cbor:"head,omitempty"`  // bytes kept from the start of the base
	Tail   int    `cbor:"tail,omitempty"`  // bytes kept from the end of the base
	Data   []byte `cbor:"data,omitempty"`  // what stands between them
	Whole  bool   `cbor:"whole,omitempty"` // Data is present
}

// Pull asks for the newest revision; the answer may be a splice of Have.
type Pull struct {
	Have uint64 `cbor:"have"`
	Sum  uint64 `cbor:"sum"`
}

// Confirm asks a control replica for the revision that a majority confirms.
type Confirm struct{}

// Confirmed answers Confirm.
type Confirmed struct {
	Number uint64 `cbor:"number"`
	Sum    uint64 `cbor:"sum"`
}

// Report tells control the state of an instance.
type Report struct {
	Instance  string        `cbor:"instance"`
	Start     time.Time     `cbor:"start"`
	Number    uint64        `cbor:"number"` // revision in force
	State     string        `cbor:"state"`  // "starting", "ready" or "draining"
	Inflight  int           `cbor:"inflight"`
	Confirmed time.Duration `cbor:"confirmed"` // age of the last confirmation by control or a peer
}

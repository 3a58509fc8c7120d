package serve

import "encoding/binary"

// Limits of HTTP/2 connections with a budget. net/http holds up to 1 MiB of the bodies on
// each connection by default, and 250 streams.
const (
	http2Buffer  = 64 << 10 // the least that the protocol allows
	http2Streams = 100
)

// Estimated memory of HTTP/2 connections in bytes.
const (
	http2ConnCost = 64 << 10 // goroutines, frame buffers, header tables
	// http2FieldBytes is what the protocol counts for a field besides its text. It bounds
	// the fields of a head.
	http2FieldBytes = 32
	// http2ReplyCost is that of the reply to a control frame, of which net/http queues at
	// most http2Replies.
	http2ReplyCost = 128
	http2Replies   = 10_000
)

const (
	requestLineHTTP2 = "PRI * HTTP/2.0\r\n" // the start of the connection preface
	prefaceRest      = len("\r\nSM\r\n\r\n")
	frameHeaderSize  = 9
)

// Types of frames, and the flag of the end of a head.
const (
	frameData         = 0
	frameHeaders      = 1
	frameSettings     = 4
	framePing         = 6
	frameContinuation = 9
	flagEndHeaders    = 4
)

// http2State estimates what net/http holds for an HTTP/2 connection before handlers do.
type http2State struct {
	encrypted bool // frames are not visible
	maxFields int64

	skip        int // bytes of the preface or of a payload
	frameHeader []byte
	kind, flags byte

	data      int64 // bytes of bodies that no handler has read
	headBytes int64 // of heads whose handlers have not begun
	heads     int64 // whole ones among them
	replies   int64
}

func newHTTP2State(encrypted bool, maxHeaderBytes int) *http2State {
	return &http2State{encrypted: encrypted, maxFields: int64(maxHeaderBytes)/http2FieldBytes + 1, skip: prefaceRest}
}

// receive counts received bytes.
func (s *http2State) receive(b []byte) {
	if s.encrypted {
		s.data += int64(len(b))
		s.headBytes += int64(len(b))
		return
	}
	for len(b) > 0 {
		if s.skip > 0 {
			n := min(s.skip, len(b))
			s.countPayload(int64(n))
			s.skip -= n
			b = b[n:]
			continue
		}
		n := min(frameHeaderSize-len(s.frameHeader), len(b))
		s.frameHeader = append(s.frameHeader, b[:n]...)
		b = b[n:]
		if len(s.frameHeader) == frameHeaderSize {
			s.beginFrame()
		}
	}
}

func (s *http2State) beginFrame() {
	h := s.frameHeader
	s.skip = int(binary.BigEndian.Uint32(h) >> 8)
	s.kind, s.flags = h[3], h[4]
	s.frameHeader = h[:0]
	switch s.kind {
	case frameHeaders, frameContinuation:
		if s.flags&flagEndHeaders != 0 {
			s.heads++
		}
	case frameSettings, framePing:
		s.replies++
	}
}

func (s *http2State) countPayload(n int64) {
	switch s.kind {
	case frameData:
		s.data += n
	case frameHeaders, frameContinuation:
		s.headBytes += n
	}
}

// taken records that a handler has begun, which counts its head itself.
func (s *http2State) taken() {
	if s.heads > 0 {
		s.headBytes -= s.headBytes / s.heads
		s.heads--
	}
}

// read records that a handler has read a part of a body.
func (s *http2State) read(n int64) { s.data = max(0, s.data-n) }

// idle records that there are no requests.
func (s *http2State) idle() {
	if s.encrypted {
		s.headBytes = 0
	}
	if s.heads > 0 { // rejected by net/http
		s.headBytes, s.heads = 0, 0
	}
	s.data, s.replies = 0, 0
}

// cost estimates the memory of the connection. A field of the header table takes one byte.
func (s *http2State) cost() int64 {
	fields := min(s.headBytes, (s.heads+1)*s.maxFields)
	return http2ConnCost + min(s.data, http2Buffer) + fields*headLineCost + s.heads*requestCost + min(s.replies, http2Replies)*http2ReplyCost
}

// unfinishedHead estimates the memory of a head that has begun and is not whole.
func (s *http2State) unfinishedHead() int64 {
	if s.heads > 0 {
		return 0
	}
	return min(s.headBytes, s.maxFields) * headLineCost
}

package store

import (
	"encoding/binary"
	"hash/crc32"
)

// A record consists of a header and a payload. The header holds the payload size,
// the CRC-32C of all other bytes of the record, the batch number, the number of
// records that follow in the batch, and the kind. The batch number and the number
// of remaining records distinguish an incomplete last batch, of which the disk may
// have written later blocks before earlier ones, from damage in a synced batch.
const (
	recordHeaderSize = 4 + 4 + 8 + 4 + 1
	maxPayloadSize   = 16<<20 + 1024
)

type recordKind uint8

const (
	kindEntry     recordKind = iota + 1 // raft.Entry
	kindHardState                       // raft.HardState
	kindReset                           // discards all entries before it; the log continues after a received snapshot
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type record struct {
	batch     uint64
	remaining uint32
	kind      recordKind
	payload   []byte
}

func appendRecord(out []byte, r record) []byte {
	start := len(out)
	out = binary.BigEndian.AppendUint32(out, uint32(len(r.payload)))
	out = binary.BigEndian.AppendUint32(out, 0)
	out = binary.BigEndian.AppendUint64(out, r.batch)
	out = binary.BigEndian.AppendUint32(out, r.remaining)
	out = append(out, byte(r.kind))
	out = append(out, r.payload...)
	binary.BigEndian.PutUint32(out[start+4:], recordChecksum(out[start:]))
	return out
}

// recordChecksum returns the CRC-32C of all bytes except the checksum itself.
func recordChecksum(rec []byte) uint32 {
	return crc32.Update(crc32.Checksum(rec[:4], castagnoli), castagnoli, rec[8:])
}

// parseRecord parses the record at the start of data. The payload is a subslice of
// data. If the record is invalid, reason says why.
func parseRecord(data []byte) (r record, size int, reason string) {
	if len(data) < recordHeaderSize {
		return r, 0, "incomplete record header"
	}
	length := binary.BigEndian.Uint32(data)
	if length > maxPayloadSize {
		return r, 0, "record size out of range"
	}
	size = recordHeaderSize + int(length)
	if size > len(data) {
		return r, 0, "incomplete record"
	}
	r.kind = recordKind(data[16+4])
	if r.kind < kindEntry || r.kind > kindReset {
		return r, 0, "unknown kind of record"
	}
	if binary.BigEndian.Uint32(data[4:]) != recordChecksum(data[:size]) {
		return r, 0, "checksum mismatch"
	}
	r.batch = binary.BigEndian.Uint64(data[8:])
	r.remaining = binary.BigEndian.Uint32(data[16:])
	r.payload = data[recordHeaderSize:size]
	return r, size, ""
}

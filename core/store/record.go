package store

import (
	"encoding/binary"
	"hash/crc32"
)

// A record is a header and a payload. The header holds the payload size, the
// CRC-32C of everything after the checksum, the number of the batch, the
// number of records left in the batch, and the kind. Batch and left tell an
// unfinished last batch, in which the disk may have written later blocks before
// earlier ones, from damage in a batch that was synced.
const (
	headerSize = 4 + 4 + 8 + 4 + 1
	maxPayload = 16<<20 + 1024
)

type recordKind uint8

const (
	kindEntry recordKind = iota + 1 // raft.Entry
	kindHard                        // raft.HardState
	kindReset                       // the log continues after a received snapshot
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type record struct {
	batch   uint64
	left    uint32
	kind    recordKind
	payload []byte
}

func appendRecord(out []byte, r record) []byte {
	start := len(out)
	out = binary.BigEndian.AppendUint32(out, uint32(len(r.payload)))
	out = binary.BigEndian.AppendUint32(out, 0)
	out = binary.BigEndian.AppendUint64(out, r.batch)
	out = binary.BigEndian.AppendUint32(out, r.left)
	out = append(out, byte(r.kind))
	out = append(out, r.payload...)
	binary.BigEndian.PutUint32(out[start+4:], sum(out[start:]))
	return out
}

// sum covers the size and everything after the checksum.
func sum(rec []byte) uint32 {
	return crc32.Update(crc32.Checksum(rec[:4], castagnoli), castagnoli, rec[8:])
}

// parseRecord reads the record at the start of data. The payload shares data.
func parseRecord(data []byte) (r record, size int, reason string) {
	if len(data) < headerSize {
		return r, 0, "incomplete record header"
	}
	length := binary.BigEndian.Uint32(data)
	if length > maxPayload {
		return r, 0, "record size out of range"
	}
	size = headerSize + int(length)
	if size > len(data) {
		return r, 0, "incomplete record"
	}
	r.kind = recordKind(data[16+4])
	if r.kind < kindEntry || r.kind > kindReset {
		return r, 0, "unknown kind of record"
	}
	if binary.BigEndian.Uint32(data[4:]) != sum(data[:size]) {
		return r, 0, "checksum mismatch"
	}
	r.batch = binary.BigEndian.Uint64(data[8:])
	r.left = binary.BigEndian.Uint32(data[16:])
	r.payload = data[headerSize:size]
	return r, size, ""
}

package store

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/galenalock/galenalock/core/raft"
	"github.com/galenalock/galenalock/core/wire"
)

// snapshotHeader is the header of a snapshot file. Size is the length of the
// machine state that follows it in bytes.
type snapshotHeader struct {
	Index   uint64       `cbor:"index"`
	Term    uint64       `cbor:"term"`
	Members raft.Members `cbor:"members"`
	Size    uint64       `cbor:"size"`
}

// encodeSnapshot returns the parts of a snapshot file: the size and checksum of the
// header, the header, the checksum of the data, and the data.
func encodeSnapshot(s raft.Snapshot) ([][]byte, error) {
	head, err := wire.Encode(snapshotHeader{Index: s.Index, Term: s.Term, Members: s.Members, Size: uint64(len(s.Data))})
	if err != nil {
		return nil, err
	}
	prefix := binary.BigEndian.AppendUint32(nil, uint32(len(head)))
	prefix = binary.BigEndian.AppendUint32(prefix, crc32.Checksum(head, castagnoli))
	check := binary.BigEndian.AppendUint32(nil, crc32.Checksum(s.Data, castagnoli))
	return [][]byte{prefix, head, check, s.Data}, nil
}

func decodeSnapshot(file string, data []byte) (raft.Snapshot, error) {
	damage := func(offset int, reason string) (raft.Snapshot, error) {
		return raft.Snapshot{}, &DamageError{File: file, Offset: int64(offset), Reason: reason}
	}
	if len(data) < 8 {
		return damage(0, "incomplete header")
	}
	size := uint64(binary.BigEndian.Uint32(data))
	if size > uint64(len(data)-8) {
		return damage(0, "incomplete header")
	}
	head, body := data[8:8+size], data[8+size:]
	if crc32.Checksum(head, castagnoli) != binary.BigEndian.Uint32(data[4:]) {
		return damage(0, "checksum mismatch in the header")
	}
	var h snapshotHeader
	if err := wire.Decode(head, &h); err != nil {
		return damage(8, err.Error())
	}
	offset := 8 + int(size)
	if uint64(len(body)) != h.Size+4 {
		return damage(offset, "data size differs from the header")
	}
	if crc32.Checksum(body[4:], castagnoli) != binary.BigEndian.Uint32(body) {
		return damage(offset, "checksum mismatch in the data")
	}
	return raft.Snapshot{Index: h.Index, Term: h.Term, Members: h.Members, Data: body[4:]}, nil
}

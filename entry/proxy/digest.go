package proxy

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"hash"
	"strings"
)

const (
	digestPrefix = "sha-256=:"
	digestSuffix = ":"
)

var (
	errDigestMismatch = errors.New("the body does not match its Content-Digest")
	errDigestFormat   = errors.New("the sha-256 value is not in the form sha-256=:base64: of RFC 9530")
)

// digest verifies a body against the sha-256 value of its Content-Digest header.
type digest struct {
	want []byte
	hash hash.Hash
}

// parseDigest parses a Content-Digest header. It returns nil if the header has no
// sha-256 value.
func parseDigest(header string) (*digest, error) {
	for item := range strings.SplitSeq(header, ",") {
		item = strings.TrimSpace(item)
		if !strings.HasPrefix(strings.ToLower(item), "sha-256=") {
			continue
		}
		if len(item) < len(digestPrefix)+len(digestSuffix) || item[len(digestPrefix)-1] != ':' || !strings.HasSuffix(item, digestSuffix) {
			return nil, errDigestFormat
		}
		want, err := base64.StdEncoding.DecodeString(item[len(digestPrefix) : len(item)-len(digestSuffix)])
		if err != nil || len(want) != sha256.Size {
			return nil, errDigestFormat
		}
		return &digest{want: want, hash: sha256.New()}, nil
	}
	return nil, nil
}

func (d *digest) matches() bool { return bytes.Equal(d.hash.Sum(nil), d.want) }

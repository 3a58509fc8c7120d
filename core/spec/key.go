package spec

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal notation.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// DigestKey returns the digest of a key as callers send it.
func DigestKey(key string) Digest { return sha256.Sum256([]byte(key)) }

// Key is a key of a workspace.
type Key struct {
	Digest Digest
	Plain  string // as callers send it, empty if the text holds only the digest
}

// Forms of a key in a text.
const (
	plainPrefix  = "plain:"
	digestPrefix = "sha256:"
	maxKeyLength = 512
)

// parseKey parses a key of a text. The reason is empty if it is valid, and does not
// contain the key.
func parseKey(source string) (k Key, reason string) {
	if text, ok := strings.CutPrefix(source, plainPrefix); ok {
		if !validKey(text) {
			return k, fmt.Sprintf("must have 1 to %d visible ASCII characters after %q", maxKeyLength, plainPrefix)
		}
		return Key{Digest: DigestKey(text), Plain: text}, ""
	}
	text, ok := strings.CutPrefix(source, digestPrefix)
	if !ok {
		return k, fmt.Sprintf("begins with neither %q nor %q", plainPrefix, digestPrefix)
	}
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(k.Digest) {
		return k, fmt.Sprintf("is no SHA-256 digest of %d hexadecimal digits", hex.EncodedLen(len(k.Digest)))
	}
	return Key{Digest: Digest(raw)}, ""
}

// validKey reports whether a key can be sent in a header.
func validKey(key string) bool {
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return key != "" && len(key) <= maxKeyLength
}

// source returns the form of the key in a text.
func (k *Key) source() string {
	if k.Plain != "" {
		return plainPrefix + k.Plain
	}
	return digestPrefix + k.Digest.String()
}

// NewKey returns the key that callers send as plain. It does not check it; Parse does.
func NewKey(plain string) Key { return Key{Digest: DigestKey(plain), Plain: plain} }

// plainKeys matches keys in a text, as basic and as literal strings of TOML.
var plainKeys = regexp.MustCompile(`"plain:(?:[^"\\\n]|\\.)*"|'plain:[^'\n]*'`)

// Redact replaces the keys of a text by their digests. Parse returns a Text with the same
// meaning for the result. What looks like a key in a comment is replaced as well.
func Redact(text []byte) []byte {
	switch escaped := bytes.ContainsRune(text, '\\'); {
	case !escaped && !bytes.Contains(text, []byte(plainPrefix)):
		return text
	case bytes.Contains(text, []byte(`"""`)) || bytes.Contains(text, []byte(`'''`)):
		return redactParsed(text)
	case escaped:
		return redactParsed(redactStrings(text))
	}
	return redactStrings(text)
}

func redactStrings(text []byte) []byte {
	return plainKeys.ReplaceAllFunc(text, func(match []byte) []byte {
		content := string(match[1 : len(match)-1])
		if match[0] == '"' {
			// Escapes of TOML that Go does not have do not occur in a valid key.
			if unquoted, err := strconv.Unquote(string(match)); err == nil {
				content = unquoted
			}
		}
		return []byte(`"` + digestPrefix + DigestKey(strings.TrimPrefix(content, plainPrefix)).String() + `"`)
	})
}

// redactParsed replaces the keys of a text whose notation plainKeys may not match: with an
// escape in the prefix, or in a string of several lines. The result has no comments if the
// text has such keys.
func redactParsed(text []byte) []byte {
	parsed, err := Parse(text)
	if err != nil {
		return redactStrings(text) // never accepted as a revision
	}
	found := false
	for _, w := range parsed.Workspaces {
		for i := range w.Keys {
			found = found || w.Keys[i].Plain != ""
			w.Keys[i].Plain = ""
		}
	}
	if !found {
		return text
	}
	encoded, _ := Encode(parsed) // does not fail for what Parse accepts
	return encoded
}

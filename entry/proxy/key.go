package proxy

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"net/http"
	"strings"

	"github.com/galenalock/galenalock/core/poison"
	"github.com/galenalock/galenalock/core/refuse"
)

const maxKeyLength = 255 // bytes

// readKey reads the idempotency key of a request that must not be repeated. For other
// kinds, and in a dialect without keys, the header has no meaning and is forwarded
// unchanged.
func (c *call) readKey() error {
	header := c.proxy.dialect.IdempotencyKey
	if !c.atMostOnce || header == "" {
		return nil
	}
	values := c.r.Header[header]
	if len(values) == 0 {
		if c.request.Kind.KeyRequired {
			return notRunError(refuse.NoKey, "")
		}
		return nil
	}
	if len(values) > 1 {
		return notRunError(refuse.BadKey, "the header occurs more than once")
	}
	key, ok := parseKey(values[0])
	if !ok {
		return notRunError(refuse.BadKey, "a key has 1 to 255 visible ASCII characters")
	}
	c.key = key
	return nil
}

// parseKey parses a key in bare form or as a quoted string of RFC 9651.
func parseKey(s string) (string, bool) {
	s = strings.TrimSpace(s)
	if len(s) >= 2 && s[0] == '"' && s[len(s)-1] == '"' {
		var ok bool
		if s, ok = unescapeString(s[1 : len(s)-1]); !ok {
			return "", false
		}
	}
	if s == "" || len(s) > maxKeyLength {
		return "", false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return "", false
		}
	}
	return s, true
}

func unescapeString(s string) (string, bool) {
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		if s[i] == '"' {
			return "", false
		}
		if s[i] == '\\' {
			i++
			if i == len(s) || s[i] != '"' && s[i] != '\\' {
				return "", false
			}
		}
		b.WriteByte(s[i])
	}
	return b.String(), true
}

// fingerprint identifies the request that a key was used for: a hash of method,
// path within the service, query, workspace and body. Headers are left out, since
// clients change dates, trace context and credentials when they resend.
func fingerprint(r *http.Request, path, workspace string, body []byte) uint64 {
	h := sha256.New()
	writeParts(h, r.Method, path, r.URL.RawQuery, workspace)
	writeLength(h, len(body))
	h.Write(body)
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// print identifies the request for targets: a hash of service, method, host, URI,
// workspace, credentials and body. The body of a streamed request is not known in
// advance, so only its length counts.
func (c *call) print() poison.Print {
	c.printOnce.Do(func() {
		h := sha256.New()
		writeParts(h, c.request.Service.Name, c.r.Method, c.r.Host, c.uri, c.request.Workspace)
		for _, name := range []string{"Authorization", "Cookie"} {
			if name != headerAuthorization || !c.access.enforced { // targets do not get it
				writeParts(h, c.r.Header[name]...)
			}
			writeLength(h, 0) // ends the list of values
		}
		if c.streaming {
			writeLength(h, int(c.upload.length))
		} else {
			writeLength(h, len(c.bufferedBody))
			h.Write(c.bufferedBody)
		}
		copy(c.printValue[:], h.Sum(nil))
	})
	return c.printValue
}

func writeParts(h hash.Hash, parts ...string) {
	for _, part := range parts {
		writeLength(h, len(part))
		h.Write([]byte(part))
	}
}

// writeLength hashes the length of the next part, so that different splits of
// the same bytes have different fingerprints.
func writeLength(h hash.Hash, n int) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(n))
	h.Write(b[:])
}

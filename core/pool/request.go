package pool

import (
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
)

// Request is one request to one target.
type Request struct {
	Target  netip.AddrPort
	Method  string
	URI     string // path and query as on the request line
	Host    string
	Header  http.Header // without framing headers
	Data    []byte      // body that is held in memory
	Body    io.Reader   // body that is streamed; Data is ignored
	Length  int64       // of Body, -1 when unknown
	Trailer http.Header // announced names; values are read after Body ended
	Expect  bool        // send Body only after 100 Continue

	Once bool // use a connection that proved itself recently, or a new one
	New  bool // use a new connection

	Ready    func(reused bool) error              // asked when a connection is open, before the first byte is written; may be nil
	Informed func(status int, header http.Header) // told of each 1xx response but 100; may be nil
}

func (r *Request) streams() bool { return r.Body != nil }

// head appends the request line and the headers.
func (r *Request) head(b []byte) ([]byte, error) {
	if !token(r.Method) || r.URI == "" || strings.ContainsAny(r.URI, " \r\n\x00") || strings.ContainsAny(r.Host, " \r\n\x00") {
		return nil, &RequestError{Reason: "malformed request line"}
	}
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		if framing(name) {
			continue
		}
		if !token(name) {
			return nil, &RequestError{Reason: "malformed header name"}
		}
		for _, value := range values {
			if strings.ContainsAny(value, "\r\n\x00") {
				return nil, &RequestError{Reason: "malformed value of header " + name}
			}
			b = field(b, name, value)
		}
	}
	return append(r.frame(b), "\r\n"...), nil
}

// frame appends the headers that delimit the body.
func (r *Request) frame(b []byte) []byte {
	switch {
	case r.streams() && r.Length < 0:
		b = field(b, "Transfer-Encoding", "chunked")
		for name := range r.Trailer {
			if token(name) && !framing(name) {
				b = field(b, "Trailer", name)
			}
		}
	case r.streams():
		b = field(b, "Content-Length", strconv.FormatInt(r.Length, 10))
	case len(r.Data) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		b = field(b, "Content-Length", strconv.Itoa(len(r.Data)))
	}
	if r.streams() && r.Expect {
		b = field(b, "Expect", "100-continue")
	}
	return b
}

func field(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// framing reports whether the pool itself writes the header.
func framing(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Host", "Content-Length", "Transfer-Encoding", "Trailer", "Expect", "Connection":
		return true
	}
	return false
}

func token(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`()<>@,;:\"/[]?={}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}

package pool

import (
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
)

// Request is an HTTP request to one target.
type Request struct {
	Target         netip.AddrPort
	Method         string
	URI            string // path and query as in the request line
	Host           string
	Header         http.Header // headers that the pool itself writes, such as Content-Length, are ignored
	BufferedBody   []byte      // body held in memory
	Body           io.Reader   // streamed body; replaces BufferedBody
	Length         int64       // length of Body in bytes, negative: unknown
	Trailer        http.Header // names are announced in the head, values are read at the end of Body
	ExpectContinue bool        // wait for 100 Continue before Body is sent

	NonRepeatable bool // use only a new connection or one that recently received a response
	NewConnection bool // do not reuse a connection

	// MayReuse reports whether the connection may carry another request after this
	// response. May be nil.
	MayReuse func(response *http.Response) bool

	BeforeSend      func(reused bool) error              // called when a connection is open, before the first byte is written; an error stops the request; may be nil
	OnInformational func(status int, header http.Header) // called for each 1xx response except 100; may be nil
}

func (r *Request) streamsBody() bool { return r.Body != nil }

// appendHead appends the request line and the headers.
func (r *Request) appendHead(b []byte) ([]byte, error) {
	if !isToken(r.Method) || r.URI == "" || strings.ContainsAny(r.URI, " \r\n\x00") || strings.ContainsAny(r.Host, " \r\n\x00") {
		return nil, &RequestError{Reason: "malformed request line"}
	}
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		if isFramingHeader(name) {
			continue
		}
		if !isToken(name) {
			return nil, &RequestError{Reason: "malformed header name"}
		}
		for _, value := range values {
			if strings.ContainsAny(value, "\r\n\x00") {
				return nil, &RequestError{Reason: "malformed value of header " + name}
			}
			b = appendField(b, name, value)
		}
	}
	return append(r.appendFraming(b), "\r\n"...), nil
}

// appendFraming appends the headers that delimit the body.
func (r *Request) appendFraming(b []byte) []byte {
	switch {
	case r.streamsBody() && r.Length < 0:
		b = appendField(b, "Transfer-Encoding", "chunked")
		for name := range r.Trailer {
			if isToken(name) && !isFramingHeader(name) {
				b = appendField(b, "Trailer", name)
			}
		}
	case r.streamsBody():
		b = appendField(b, "Content-Length", strconv.FormatInt(r.Length, 10))
	case len(r.BufferedBody) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		b = appendField(b, "Content-Length", strconv.Itoa(len(r.BufferedBody)))
	}
	if r.streamsBody() && r.ExpectContinue {
		b = appendField(b, "Expect", "100-continue")
	}
	return b
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// isFramingHeader reports whether the pool itself writes or omits the header.
func isFramingHeader(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Host", "Content-Length", "Transfer-Encoding", "Trailer", "Expect", "Connection":
		return true
	}
	return false
}

func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`()<>@,;:\"/[]?={}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}

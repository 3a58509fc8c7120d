package proxy_test

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/entry/proxy"
)

// Guards against a truncated or stalled response that ends cleanly for the
// caller. The naive variant ends the response where it was truncated.
func TestTruncatedResponses(t *testing.T) {
	cases := []struct{ name, response string }{
		{"before the head", ""},
		{"in the status line", "HTTP/1.1 2"},
		{"in the head", "HTTP/1.1 200 OK\r\nContent-Le"},
		{"after the head", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"},
		{"short of Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n12345678"},
		{"in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n1234"},
		{"before the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n1234\r\n"},
		{"in the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n1234\r\n0\r\n"},
		{"without length", "HTTP/1.1 200 OK\r\n\r\n1234"},
	}
	for _, c := range cases {
		for _, stall := range []bool{false, true} {
			for _, h2c := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s stall=%t h2c=%t", c.name, stall, h2c), func(t *testing.T) {
					is := is.New(t)
					target := listen(t, func(conn net.Conn, in *bufio.Reader) {
						if _, err := http.ReadRequest(in); err != nil {
							return
						}
						_, _ = io.WriteString(conn, c.response)
						if stall {
							_, _ = in.ReadByte() // until the proxy closes the connection
						}
					})
					e := startEntry(t, h2c, proxy.Hooks{}, proxy.Rules{}, target)
					status, header, _, err := e.send(http.MethodGet, "/tables/x", nil, "Galenalock-Deadline", "40")
					is.True(err != nil || status >= 500 && header.Get("Content-Type") == "application/problem+json")
				})
			}
		}
	}
	is := is.New(t)
	target := respond(t, cases[6].response, nil)
	naive := startEntry(t, false, proxy.Hooks{}, proxy.Rules{AbortTruncated: func(error) bool { return false }}, target)
	_, _, body, err := naive.send(http.MethodGet, "/tables/x", nil, "Galenalock-Deadline", "40")
	is.NoErr(err)
	is.Equal(body, "1234")
}

// uploadTarget returns the connection handler of a target that reports whether an
// upload was complete.
func uploadTarget(t *testing.T, began, complete chan<- bool) func(c net.Conn, in *bufio.Reader) {
	return func(c net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if began != nil {
			began <- true
		}
		_, err = io.Copy(io.Discard, r.Body)
		complete <- err == nil
		_, _ = io.WriteString(c, "HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n")
	}
}

// truncatedBody is a request body that fails once the target has received its
// beginning.
type truncatedBody struct {
	first io.Reader
	began <-chan bool
}

func (c *truncatedBody) Read(p []byte) (int, error) {
	if n, err := c.first.Read(p); err == nil {
		return n, nil
	}
	<-c.began
	return 0, io.ErrClosedPipe
}

// Guards against an upload that the caller aborted and that looks complete to the
// target. The naive variant ends the body cleanly where the caller aborted it.
func TestTruncatedUploads(t *testing.T) {
	const size = 128 << 10
	for _, h2c := range []bool{false, true} {
		for _, length := range []int64{2 * size, -1} {
			for _, naive := range []bool{true, false} {
				t.Run(fmt.Sprintf("h2c=%t length=%d naive=%t", h2c, length, naive), func(t *testing.T) {
					is := is.New(t)
					began, complete := make(chan bool, 1), make(chan bool, 1)
					rules := proxy.Rules{}
					if naive {
						rules.UploadError = func(error) error { return io.EOF }
					}
					e := startEntry(t, h2c, proxy.Hooks{}, rules, listen(t, uploadTarget(t, began, complete)))
					r, err := http.NewRequest(http.MethodPut, e.url+"/files/1", &truncatedBody{bytes.NewReader(make([]byte, size)), began})
					is.NoErr(err)
					r.Host, r.ContentLength = "ledger.example", length
					response, err := e.client.Do(r)
					if err == nil {
						response.Body.Close()
					}
					// With Content-Length the target detects the naive variant too.
					is.Equal(<-complete, naive && length < 0)
				})
			}
		}
	}
}

// Guards against an upload with a wrong digest that looks complete to the
// target. The naive variant ignores the header.
func TestDigest(t *testing.T) {
	data := bytes.Repeat([]byte("survey"), 40<<10)
	sum := sha256.Sum256(data)
	right := "sha-512=:AA==:, sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
	sum[0]++
	wrong := "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
	for _, h2c := range []bool{false, true} {
		for _, chunked := range []bool{false, true} {
			for _, c := range []struct {
				digest          string
				naive, complete bool
			}{{right, false, true}, {wrong, true, true}, {wrong, false, false}} {
				is := is.New(t)
				complete := make(chan bool, 1)
				rules := proxy.Rules{}
				if c.naive {
					rules.ExpectedDigest = func(http.Header) string { return "" }
				}
				e := startEntry(t, h2c, proxy.Hooks{}, rules, listen(t, uploadTarget(t, nil, complete)))
				var body io.Reader = bytes.NewReader(data)
				if chunked {
					body = io.MultiReader(body)
				}
				status, _, answer, err := e.send(http.MethodPut, "/files/1", body, "Content-Digest", c.digest)
				is.NoErr(err)
				is.Equal(<-complete, c.complete)
				is.Equal(status == 201, c.complete)
				is.True(c.complete || strings.Contains(answer, `"reason":"baddigest","run":"unknown"`))
			}
		}
	}
}

// Guards against buffering of bytes for which the other side waits, in both
// directions.
func TestStreamsBothWays(t *testing.T) {
	for _, h2c := range []bool{false, true} {
		is := is.New(t)
		target := listen(t, func(c net.Conn, in *bufio.Reader) {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			var b [1]byte
			for {
				if _, err := r.Body.Read(b[:]); err != nil {
					break
				}
				_, _ = fmt.Fprintf(c, "1\r\n%s\r\n", b[:])
			}
			_, _ = io.WriteString(c, "0\r\n\r\n")
		})
		e := startEntry(t, h2c, proxy.Hooks{}, proxy.Rules{}, target)
		read, write := io.Pipe()
		r, err := http.NewRequest(http.MethodPut, e.url+"/files/1", read)
		is.NoErr(err)
		r.Host = "ledger.example"
		go func() { _, _ = write.Write([]byte("a")) }()
		response, err := e.client.Do(r)
		is.NoErr(err)
		var b [1]byte
		for _, next := range []string{"b", "c", ""} {
			_, err := io.ReadFull(response.Body, b[:])
			is.NoErr(err)
			if next != "" {
				_, err = io.WriteString(write, next)
				is.NoErr(err)
			}
		}
		is.Equal(string(b[:]), "c")
		write.Close()
		_, err = response.Body.Read(b[:])
		is.Equal(err, io.EOF)
		response.Body.Close()
	}
}

// Guards against an upload that is sent although the target refuses it by its
// header, and against 1xx responses that are lost or forwarded twice.
func TestInformationalResponses(t *testing.T) {
	is := is.New(t)
	target := listen(t, func(c net.Conn, in *bufio.Reader) {
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if r.URL.Path == "/files/refused" {
				_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
			if r.Header.Get("Expect") != "" {
				_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	e := startEntry(t, false, proxy.Hooks{}, proxy.Rules{}, target)
	head := "PUT /files/%s HTTP/1.1\r\nHost: ledger.example\r\nContent-Length: 3\r\nExpect: 100-continue\r\nConnection: close\r\n\r\n"
	is.True(strings.HasPrefix(e.sendRaw(t, fmt.Sprintf(head, "refused")), "HTTP/1.1 413"))
	got := e.sendRaw(t, fmt.Sprintf(head, "taken")+"abc")
	is.True(strings.HasPrefix(got, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"))
	got = e.sendRaw(t, "GET /tables/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	is.True(strings.HasPrefix(got, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n"))
}

// Guards against an informational response that is lost because the final one has
// arrived by the time it is forwarded.
func TestInformationalResponseComesFirst(t *testing.T) {
	is := is.New(t)
	answered := make(chan struct{}, 1)
	target := respond(t, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", func(*http.Request, string) { answered <- struct{}{} })
	late := func(*spec.Service, *spec.Kind) (time.Duration, bool) {
		<-answered
		<-time.After(5 * time.Millisecond) // both responses are read meanwhile
		return 0, false
	}
	e := startEntry(t, false, proxy.Hooks{HedgeDelay: late}, proxy.Rules{}, target)
	for range 20 {
		got := e.sendRaw(t, "GET /tables/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		is.True(strings.HasPrefix(got, "HTTP/1.1 103 Early Hints\r\n"))
	}
}

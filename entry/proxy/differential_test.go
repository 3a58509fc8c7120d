package proxy_test

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/entry/proxy"
)

// echoHandler is a target that derives its response from the query and returns
// method, URI, headers, body and trailer of the request in response headers.
func echoHandler(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := w.Header()
	h.Set("X-Seen", fmt.Sprintf("%s %s %s %d %x", r.Method, r.RequestURI, r.Header.Values("X-Many"), len(body), body[:min(len(body), 8)]))
	h.Set("X-Trailer-Seen", r.Trailer.Get("X-Sum"))
	h.Add("Set-Cookie", "a=1")
	h.Add("Set-Cookie", "b=2")
	h.Set("Trailer", "X-End")
	q := r.URL.Query()
	size, _ := strconv.Atoi(q.Get("size"))
	status, _ := strconv.Atoi(q.Get("status"))
	switch {
	case q.Get("framing") == "length":
		h.Del("Trailer")
		h.Set("Content-Length", strconv.Itoa(size))
	case status == 204 || status == 304:
		h.Del("Trailer")
	}
	w.WriteHeader(status)
	for piece := range slices.Chunk(bytes.Repeat([]byte("t"), size), 1+size/3) {
		_, _ = w.Write(piece)
		if q.Get("framing") == "chunks" {
			w.(http.Flusher).Flush()
		}
	}
	if h.Get("Trailer") != "" {
		h.Set("X-End", "reached")
	}
}

// describeResponse sends one request and returns the complete response as text.
func describeResponse(client *http.Client, url, method string, body []byte, chunked bool, many []string) (string, error) {
	var source io.Reader
	if len(body) > 0 {
		source = bytes.NewReader(body)
	}
	if chunked {
		source = io.MultiReader(bytes.NewReader(body))
	}
	r, err := http.NewRequest(method, url, source)
	if err != nil {
		return "", err
	}
	r.Host = "tables.example"
	r.Header["X-Many"] = many
	if chunked {
		r.Trailer = http.Header{"X-Sum": {"7"}}
	}
	response, err := client.Do(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err
	}
	if method == http.MethodHead && response.ProtoMajor == 2 {
		// The HTTP/2 client moves the Trailer header to Response.Trailer.
		for name := range response.Trailer {
			response.Header.Add("Trailer", name)
		}
		response.Trailer = nil
	}
	var b strings.Builder
	fmt.Fprintln(&b, response.StatusCode, response.ContentLength, len(data), response.Trailer)
	for _, name := range slices.Sorted(maps.Keys(response.Header)) {
		if name != "Date" {
			fmt.Fprintln(&b, name, response.Header[name])
		}
	}
	return b.String(), nil
}

// Guards against responses through the proxy that differ from direct responses of
// the target.
func TestDifferential(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(echoHandler))
	defer server.Close()
	target := netip.MustParseAddrPort(server.Listener.Addr().String())
	direct := &http.Client{Transport: &http.Transport{DisableCompression: true}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	defer direct.CloseIdleConnections()
	const seed = 20261204
	t.Logf("seed %d", seed)
	rounds := 2000
	if testing.Short() {
		rounds = 80
	}
	for _, h2c := range []bool{false, true} {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 0))
		e := startEntry(t, h2c, proxy.Hooks{}, proxy.Rules{}, target)
		methods := []string{"GET", "HEAD", "OPTIONS", "PUT", "POST", "PATCH", "DELETE"}
		statuses := []int{200, 200, 201, 204, 206, 302, 304, 404, 500, 503}
		sizes := []int{0, 1, 100, 4096, 40 << 10, 100 << 10}
		framings := []string{"length", "chunks", "auto"}
		for range rounds {
			method := methods[random.IntN(len(methods))]
			status := statuses[random.IntN(len(statuses))]
			size, framing := sizes[random.IntN(len(sizes))], framings[random.IntN(len(framings))]
			if status == 204 || status == 304 {
				size, framing = 0, "auto"
			}
			var body []byte
			chunked := false
			if method != "GET" && method != "HEAD" && method != "OPTIONS" {
				body = bytes.Repeat([]byte("b"), sizes[random.IntN(len(sizes))])
				// The HTTP/1.1 client drops the trailers of an empty body.
				chunked = random.IntN(2) == 0 && len(body) > 0
			}
			many := make([]string, random.IntN(3))
			for i := range many {
				many[i] = strconv.Itoa(random.IntN(100))
			}
			uri := fmt.Sprintf("/a%%20b/%d?size=%d&status=%d&framing=%s", random.IntN(10), size, status, framing)
			want, err := describeResponse(direct, server.URL+uri, method, body, chunked, many)
			is.NoErr(err)
			got, err := describeResponse(e.client, e.url+"/tables"+uri, method, body, chunked, many)
			is.NoErr(err)
			if got != want {
				t.Fatalf("h2c=%t %s %s body=%d chunked=%t\ndirect:\n%s\nproxy:\n%s", h2c, method, uri, len(body), chunked, want, got)
			}
		}
	}
}

package serve_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/serve"
)

func start(t *testing.T, opts ...serve.Option) (*serve.Server, string, chan error) {
	s := serve.New(opts...)
	if err := s.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve() }()
	t.Cleanup(s.Close)
	return s, s.Addr().String(), ended
}

func ExampleWriteProblem() {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "/v1/status", nil)
	serve.WriteProblem(w, r, &serve.ProblemError{Status: 409, Reason: "conflict", Extensions: map[string]any{"revision": 7}})
	fmt.Print(w.Body)
	// Output: {"reason":"conflict","revision":7,"status":409,"title":"Conflict","type":"about:blank#conflict"}
}

// Guards against a body without a limit, a panic that ends the process, and error
// responses that are not problem+json.
func TestRouterAnswersProblems(t *testing.T) {
	is := is.New(t)
	log, err := logs.New(io.Discard, "info", nil)
	is.NoErr(err)
	r := serve.NewRouter(log)
	r.Post("/body", func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			serve.WriteProblem(w, r, err)
		}
	})
	r.Get("/panic", func(http.ResponseWriter, *http.Request) { panic("fault") })
	limits := serve.DefaultLimits()
	limits.MaxRequestBodyBytes = 10
	_, addr, _ := start(t, serve.WithHandler(r), serve.WithLimits(limits))
	for _, c := range []struct {
		method, path, body string
		status             int
	}{
		{http.MethodPost, "/body", strings.Repeat("x", 11), 413},
		{http.MethodPost, "/body", strings.Repeat("x", 10), 200},
		{http.MethodGet, "/panic", "", 500},
		{http.MethodGet, "/none", "", 404},
		{http.MethodDelete, "/body", "", 405},
	} {
		req, err := http.NewRequest(c.method, "http://"+addr+c.path, strings.NewReader(c.body))
		is.NoErr(err)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, c.status)
		is.True(resp.Header.Get("X-Request-Id") != "")
		if c.status != 200 {
			is.Equal(resp.Header.Get("Content-Type"), "application/problem+json")
		}
	}
}

// Guards against a shutdown that aborts a request in flight.
func TestShutdownWaitsForRequests(t *testing.T) {
	is := is.New(t)
	arrived, proceed := make(chan struct{}), make(chan struct{})
	s, addr, ended := start(t, serve.WithHTTP2(), serve.WithHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-proceed
		_, _ = io.WriteString(w, "whole")
	})))
	body := make(chan string)
	go func() {
		transport := &http.Transport{Protocols: new(http.Protocols)}
		transport.Protocols.SetUnencryptedHTTP2(true)
		defer transport.CloseIdleConnections()
		resp, err := (&http.Client{Transport: transport}).Get("http://" + addr)
		if err != nil {
			body <- err.Error()
			return
		}
		defer resp.Body.Close()
		data, _ := io.ReadAll(resp.Body)
		body <- fmt.Sprint(resp.ProtoMajor, string(data))
	}()
	<-arrived
	shutdownErr := make(chan error)
	go func() { shutdownErr <- s.Shutdown(context.Background()) }()
	is.NoErr(<-ended) // the listener is closed, the request is still in flight
	close(proceed)
	is.Equal(<-body, "2whole")
	is.NoErr(<-shutdownErr)
}

// Guards against a caller that occupies a connection by sending its header
// slowly.
func TestSlowHeaderTimesOut(t *testing.T) {
	is := is.New(t)
	limits := serve.DefaultLimits()
	limits.HeaderTimeout = 20 * time.Millisecond
	_, addr, _ := start(t, serve.WithHandler(http.NotFoundHandler()), serve.WithLimits(limits))
	c, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\n")
	is.NoErr(err)
	_, err = io.ReadAll(c) // ends when the server closes the connection
	is.NoErr(err)
}

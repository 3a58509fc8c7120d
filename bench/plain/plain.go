// Package plain is the naive proxy that entries are compared with: round robin
// over net/http.Transport, health checks, retry on failure and a fixed timeout.
package plain

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	attempts = 3
	// threshold is the number of consecutive failures that eject a target.
	threshold = 3
	// timeout is the time that an entry waits before it doubts an old
	// connection, so that the variants differ in what they conclude.
	timeout    = time.Second
	probeEvery = time.Second
	spare      = 8 // idle connections for each target, as an entry keeps
)

// Counts are the counters of a proxy.
type Counts struct {
	Retries   int64 `json:"retries"`
	Ejections int64 `json:"ejections"`
}

// Proxy is the handler of the naive proxy.
type Proxy struct {
	prefix    string
	targets   []*target
	next      atomic.Uint64
	transport *http.Transport
	prober    *http.Client
	timeout   time.Duration
	retries   atomic.Int64
	ejections atomic.Int64
}

type target struct {
	address  netip.AddrPort
	failures atomic.Int64
	out      atomic.Bool
}

// Option changes a proxy.
type Option func(*Proxy)

// WithTimeout sets the time that one attempt may take.
func WithTimeout(d time.Duration) Option { return func(p *Proxy) { p.timeout = d } }

// New returns a proxy that removes the prefix from paths.
func New(prefix string, targets []netip.AddrPort, opts ...Option) *Proxy {
	p := &Proxy{
		prefix:    prefix,
		transport: &http.Transport{MaxIdleConnsPerHost: spare, DisableCompression: true},
		// A check on a connection of its own passes while old connections are silent.
		prober:  &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}},
		timeout: timeout,
	}
	for _, a := range targets {
		p.targets = append(p.targets, &target{address: a})
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Counts returns the counters.
func (p *Proxy) Counts() Counts {
	return Counts{Retries: p.retries.Load(), Ejections: p.ejections.Load()}
}

// Run checks the health of the targets until ctx ends.
func (p *Proxy) Run(ctx context.Context) {
	ticker := time.NewTicker(probeEvery)
	defer ticker.Stop()
	defer p.transport.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var checks sync.WaitGroup
		for _, t := range p.targets {
			checks.Go(func() { p.check(ctx, t) })
		}
		checks.Wait()
	}
}

func (p *Proxy) check(ctx context.Context, t *target) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/livez", t.address), nil)
	if err != nil {
		return
	}
	resp, err := p.prober.Do(r)
	if err != nil || resp.StatusCode != http.StatusOK {
		p.failed(t)
	}
	if err != nil {
		return
	}
	resp.Body.Close()
	if resp.StatusCode == http.StatusOK && t.out.Load() {
		t.failures.Store(0)
		t.out.Store(false)
	}
}

func (p *Proxy) failed(t *target) {
	if t.failures.Add(1) >= threshold && t.out.CompareAndSwap(false, true) {
		p.ejections.Add(1)
	}
}

// pick returns the next target in service, or any when all are out.
func (p *Proxy) pick() *target {
	var t *target
	for range p.targets {
		t = p.targets[p.next.Add(1)%uint64(len(p.targets))]
		if !t.out.Load() {
			break
		}
	}
	return t
}

// ServeHTTP answers one request that has no body.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var err error
	for i := range attempts {
		if i > 0 {
			p.retries.Add(1)
		}
		t := p.pick()
		var resp *http.Response
		var data []byte
		if resp, data, err = p.attempt(r, t); err != nil {
			p.failed(t)
			continue
		}
		t.failures.Store(0)
		for name, values := range resp.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = w.Write(data) // a caller that is gone gets no answer
		return
	}
	http.Error(w, err.Error(), http.StatusBadGateway)
}

func (p *Proxy) attempt(r *http.Request, t *target) (*http.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(r.Context(), p.timeout)
	defer cancel()
	out := r.Clone(ctx)
	out.URL = &url.URL{Scheme: "http", Host: t.address.String(), Path: strings.TrimPrefix(r.URL.Path, p.prefix)}
	out.RequestURI = ""
	resp, err := p.transport.RoundTrip(out)
	if err != nil {
		return nil, nil, eris.Wrap(err, "attempt")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, data, eris.Wrap(err, "attempt")
}

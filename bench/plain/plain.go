// Package plain implements the naive proxy that entries are compared with: round
// robin over net/http.Transport, with health checks, retries and a fixed timeout.
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
	maxAttempts = 3
	// ejectAfter is the number of consecutive failures after which a target is
	// ejected.
	ejectAfter = 3
	// defaultTimeout equals the longest time that an entry waits before it probes
	// a target on a new connection.
	defaultTimeout = time.Second
	probeInterval  = time.Second
	maxIdleConns   = 8 // per target, as in an entry
)

// Counts holds the counters of a proxy.
type Counts struct {
	Retries   int64 `json:"retries"`
	Ejections int64 `json:"ejections"`
}

// Proxy is the naive proxy, an HTTP handler.
type Proxy struct {
	prefix      string
	targets     []*target
	next        atomic.Uint64
	transport   *http.Transport
	probeClient *http.Client
	timeout     time.Duration
	retries     atomic.Int64
	ejections   atomic.Int64
}

type target struct {
	address  netip.AddrPort
	failures atomic.Int64
	ejected  atomic.Bool
}

// Option changes a setting of a proxy.
type Option func(*Proxy)

// WithTimeout sets the timeout of one attempt.
func WithTimeout(d time.Duration) Option { return func(p *Proxy) { p.timeout = d } }

// New returns a proxy for the targets that removes the prefix from paths.
func New(prefix string, targets []netip.AddrPort, opts ...Option) *Proxy {
	p := &Proxy{
		prefix:    prefix,
		transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true},
		// A probe opens a new connection, so it succeeds while old ones are silent.
		probeClient: &http.Client{Timeout: defaultTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		timeout:     defaultTimeout,
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

// Run probes the health of the targets until ctx ends, then closes the idle
// connections.
func (p *Proxy) Run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	defer p.transport.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var probes sync.WaitGroup
		for _, t := range p.targets {
			probes.Go(func() { p.probe(ctx, t) })
		}
		probes.Wait()
	}
}

func (p *Proxy) probe(ctx context.Context, t *target) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/livez", t.address), nil)
	if err != nil {
		return
	}
	resp, err := p.probeClient.Do(r)
	if err != nil || resp.StatusCode != http.StatusOK {
		p.recordFailure(t)
	}
	if err != nil {
		return
	}
	resp.Body.Close()
	if resp.StatusCode == http.StatusOK && t.ejected.Load() {
		t.failures.Store(0)
		t.ejected.Store(false)
	}
}

func (p *Proxy) recordFailure(t *target) {
	if t.failures.Add(1) >= ejectAfter && t.ejected.CompareAndSwap(false, true) {
		p.ejections.Add(1)
	}
}

// nextTarget returns the next target that is not ejected, or any target if all are.
func (p *Proxy) nextTarget() *target {
	var t *target
	for range p.targets {
		t = p.targets[p.next.Add(1)%uint64(len(p.targets))]
		if !t.ejected.Load() {
			break
		}
	}
	return t
}

// ServeHTTP forwards a request without a body, since a retry could not send the
// body again.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var err error
	for i := range maxAttempts {
		if i > 0 {
			p.retries.Add(1)
		}
		t := p.nextTarget()
		var resp *http.Response
		var data []byte
		if resp, data, err = p.attempt(r, t); err != nil {
			p.recordFailure(t)
			continue
		}
		t.failures.Store(0)
		for name, values := range resp.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = w.Write(data) // fails only if the caller is gone
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

package stub

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// drainTimeout bounds the wait for requests in flight after the grace time.
const drainTimeout = 30 * time.Second

// Stub is a stub target.
type Stub struct {
	settings  Settings
	listener  *listener
	client    *http.Client
	counters  *counter
	slots     *slots
	body      []byte
	startTime time.Time
	seq       atomic.Uint64
	leaving   atomic.Bool
	fault     atomic.Pointer[faultSince]

	announceMu sync.Mutex

	mu   sync.Mutex
	rand *rand.Rand
}

type faultSince struct {
	fault Fault
	since time.Time
}

// New returns a target that listens on its address. Call Run to serve requests.
func New(opts ...Option) (*Stub, error) {
	settings := Defaults()
	for _, o := range opts {
		o(&settings)
	}
	if err := settings.Fault.validate(); err != nil {
		return nil, err
	}
	tcp, err := net.Listen("tcp", settings.Address.String())
	if err != nil {
		return nil, eris.Wrap(err, "target: listen")
	}
	s := &Stub{
		settings:  settings,
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}},
		counters:  newCounter(),
		slots:     newSlots(settings.Slots, settings.Queue),
		body:      fillerText(settings.Size),
		startTime: time.Now(),
		rand:      rand.New(rand.NewPCG(settings.Seed, 0)),
	}
	s.listener = &listener{Listener: tcp, counters: s.counters}
	s.fault.Store(&faultSince{fault: settings.Fault, since: s.startTime})
	return s, nil
}

// Address returns the address on which the target listens.
func (s *Stub) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// StartTime returns the start time, which identifies the incarnation of the
// target.
func (s *Stub) StartTime() time.Time { return s.startTime }

// Counts returns a copy of the counters.
func (s *Stub) Counts() Counts {
	counts := s.counters.snapshot()
	counts.Inflight = s.slots.inflight()
	return counts
}

// Fault returns the fault that is active now.
func (s *Stub) Fault() Fault {
	t := s.fault.Load()
	return t.fault.activeAt(time.Since(t.since))
}

// SetFault replaces the fault. If Silent is set, the connections open now become
// silent.
func (s *Stub) SetFault(fault Fault) error {
	if err := fault.validate(); err != nil {
		return err
	}
	s.fault.Store(&faultSince{fault: fault, since: time.Now()})
	if fault.Silent {
		s.listener.silenceOpen()
	}
	return nil
}

// Run serves requests and announces the target until ctx ends. It then announces
// that the target leaves, serves for the grace time and waits for the requests in
// flight.
func (s *Stub) Run(ctx context.Context) error {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: s.handler(), Protocols: protocols, ReadHeaderTimeout: time.Minute}
	serveErrs := make(chan error, 1)
	go func() { serveErrs <- server.Serve(s.listener) }()
	announceCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var announcer sync.WaitGroup
	announcer.Go(func() { s.announceUntil(announceCtx) })
	defer announcer.Wait()
	defer cancel()
	defer s.client.CloseIdleConnections()
	select {
	case err := <-serveErrs:
		return eris.Wrap(err, "target: serve")
	case <-ctx.Done():
	}
	s.announceLeaving(announceCtx)
	return s.shutDown(server, serveErrs)
}

// announceLeaving announces that the target leaves and waits for the grace time.
// Counts.LastArrival counts from the first accepted announcement.
func (s *Stub) announceLeaving(ctx context.Context) {
	s.leaving.Store(true)
	grace := time.NewTimer(time.Duration(s.settings.Grace))
	defer grace.Stop()
	for s.announceOnce(ctx) != nil {
		retry := time.NewTimer(announceTimeout / 4)
		select {
		case <-grace.C:
			retry.Stop()
			return
		case <-retry.C:
		}
	}
	s.counters.recordLeaving(time.Now())
	<-grace.C
}

func (s *Stub) shutDown(server *http.Server, served <-chan error) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	err := server.Shutdown(ctx)
	if serveErr := <-served; !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.Join(err, serveErr)
	}
	return eris.Wrap(err, "target: shut down")
}

// drawLatency returns a random latency for the next request, with the factor of
// the cold start and without a fault.
func (s *Stub) drawLatency() time.Duration {
	factor := 1.0
	if cold := time.Duration(s.settings.ColdStart); cold > 0 {
		if age := time.Since(s.startTime); age < cold {
			factor = s.settings.ColdFactor + (1-s.settings.ColdFactor)*float64(age)/float64(cold)
		}
	}
	if s.settings.Sigma > 0 {
		s.mu.Lock()
		factor *= math.Exp(s.settings.Sigma * s.rand.NormFloat64())
		s.mu.Unlock()
	}
	return time.Duration(float64(s.settings.Latency) * factor)
}

// chance reports true at random, with a probability of share.
func (s *Stub) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.Float64() < share
}

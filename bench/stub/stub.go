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

// drainTimeout bounds the end of requests in flight after the grace time.
const drainTimeout = 30 * time.Second

// Stub is one stand-in target.
type Stub struct {
	settings Settings
	listener *listener
	client   *http.Client
	count    *counter
	slots    *slots
	body     []byte
	start    time.Time
	seq      atomic.Uint64
	leaving  atomic.Bool
	fault    atomic.Pointer[timed]

	announcing sync.Mutex

	mu   sync.Mutex
	rand *rand.Rand
}

type timed struct {
	fault Fault
	since time.Time
}

// New binds the listening address and returns the target, which serves in Run.
func New(opts ...Option) (*Stub, error) {
	settings := Defaults()
	for _, o := range opts {
		o(&settings)
	}
	if err := settings.Fault.check(); err != nil {
		return nil, err
	}
	bound, err := net.Listen("tcp", settings.Address.String())
	if err != nil {
		return nil, eris.Wrap(err, "target")
	}
	s := &Stub{
		settings: settings,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}},
		count:    newCounter(),
		slots:    newSlots(settings.Slots, settings.Queue),
		body:     filler(settings.Size),
		start:    time.Now(),
		rand:     rand.New(rand.NewPCG(settings.Seed, 0)),
	}
	s.listener = &listener{Listener: bound, count: s.count}
	s.fault.Store(&timed{fault: settings.Fault, since: s.start})
	return s, nil
}

// Address returns the bound address.
func (s *Stub) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Start returns the time of the start, which is the incarnation of the target.
func (s *Stub) Start() time.Time { return s.start }

// Counts returns a copy of the counters.
func (s *Stub) Counts() Counts {
	counts := s.count.snapshot()
	counts.Inflight = s.slots.inflight()
	return counts
}

// Fault returns the fault in force now.
func (s *Stub) Fault() Fault {
	t := s.fault.Load()
	return t.fault.at(time.Since(t.since))
}

// SetFault replaces the fault. A silent one hits the connections open now.
func (s *Stub) SetFault(fault Fault) error {
	if err := fault.check(); err != nil {
		return err
	}
	s.fault.Store(&timed{fault: fault, since: time.Now()})
	if fault.Silent {
		s.listener.silence()
	}
	return nil
}

// Run serves and announces until ctx ends, then announces that it leaves,
// goes on serving for the grace time and lets requests in flight finish.
func (s *Stub) Run(ctx context.Context) error {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: s.handler(), Protocols: protocols, ReadHeaderTimeout: time.Minute}
	served := make(chan error, 1)
	go func() { served <- server.Serve(s.listener) }()
	announcing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var announcer sync.WaitGroup
	announcer.Go(func() { s.announce(announcing) })
	defer announcer.Wait()
	defer cancel()
	defer s.client.CloseIdleConnections()
	select {
	case err := <-served:
		return eris.Wrap(err, "target")
	case <-ctx.Done():
	}
	s.leave(announcing)
	return s.drain(server, served)
}

// leave announces that the target leaves and waits for the grace time. The
// bound on new requests counts from the first accepted announcement.
func (s *Stub) leave(ctx context.Context) {
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
	s.count.leave(time.Now())
	<-grace.C
}

func (s *Stub) drain(server *http.Server, served <-chan error) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	err := server.Shutdown(ctx)
	if serving := <-served; !errors.Is(serving, http.ErrServerClosed) {
		err = errors.Join(err, serving)
	}
	return eris.Wrap(err, "target shutdown")
}

// latency draws the time that the next request takes without a fault.
func (s *Stub) latency() time.Duration {
	factor := 1.0
	if cold := time.Duration(s.settings.Cold); cold > 0 {
		if age := time.Since(s.start); age < cold {
			factor = s.settings.Chill + (1-s.settings.Chill)*float64(age)/float64(cold)
		}
	}
	if s.settings.Spread > 0 {
		s.mu.Lock()
		factor *= math.Exp(s.settings.Spread * s.rand.NormFloat64())
		s.mu.Unlock()
	}
	return time.Duration(float64(s.settings.Latency) * factor)
}

// chance reports true for the given share of calls.
func (s *Stub) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.Float64() < share
}

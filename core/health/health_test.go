package health_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/health"
	"github.com/galenalock/galenalock/core/wire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 8080)
}

// simulation sends synthetic traffic to targets of two regions through one monitor.
type simulation struct {
	monitor *health.Monitor
	targets []*health.Target
	rng     *rand.Rand
	now     time.Time
	load    int // reported in each response, of 6 slots
	factor  func(target int) float64
	failing func(target int) float64
	rows    map[netip.AddrPort]wire.TargetEvidence
	first   map[netip.AddrPort]time.Duration
	sent    []time.Time // times of the messages
}

func newSimulation(seed uint64, count int, opts ...health.Option) *simulation {
	s := &simulation{
		monitor: health.New(start, "tables", "salish", opts...), rng: rand.New(rand.NewPCG(seed, 1)), now: start,
		factor: func(int) float64 { return 1 }, failing: func(int) float64 { return 0 },
		rows: map[netip.AddrPort]wire.TargetEvidence{}, first: map[netip.AddrPort]time.Duration{},
	}
	for i := range count {
		region := []string{"salish", "haida"}[i%2]
		s.targets = append(s.targets, s.monitor.Target(start, address(i), start, region, region+"-0"))
	}
	return s
}

// run sends rate requests per second to each target for a duration. Latencies
// are log-normal with sigma 1, so that the 99th percentile is ten times the
// median.
func (s *simulation) run(d time.Duration, rate float64) {
	began, step := s.now, 10*time.Millisecond
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		for i, t := range s.targets {
			if s.rng.Float64() > rate*step.Seconds() {
				continue
			}
			outcome := health.OK
			if s.rng.Float64() < s.failing(i) {
				outcome = health.Failed
			}
			latency := time.Duration(4e6 * s.factor(i) * math.Exp(s.rng.NormFloat64()))
			t.Start(s.now).Finish(s.now.Add(latency), outcome)
			t.RecordLoad(s.now, s.load, 6)
		}
		if s.now.Sub(start)%(50*time.Millisecond) != 0 {
			continue
		}
		s.monitor.Tick(s.now)
		rows := s.monitor.Evidence(s.now)
		if len(rows) > 0 {
			s.sent = append(s.sent, s.now)
		}
		for _, row := range rows {
			sum := s.rows[row.Target]
			sum.Score, sum.Good, sum.Slow, sum.Failed = sum.Score+row.Score, sum.Good+row.Good, sum.Slow+row.Slow, sum.Failed+row.Failed
			s.rows[row.Target] = sum
			if _, ok := s.first[row.Target]; !ok {
				s.first[row.Target] = s.now.Sub(began)
			}
		}
	}
}

func Example() {
	now := start
	m := health.New(now, "tables", "salish")
	t := m.Target(now, netip.MustParseAddrPort("10.0.0.1:80"), start, "salish", "salish-0")

	call := t.Start(now) // a traffic goroutine
	call.Finish(now.Add(4*time.Millisecond), health.OK)

	now = now.Add(50 * time.Millisecond) // the control goroutine
	m.Tick(now)
	fmt.Println(t.Weight(), len(m.Evidence(now)))
	// Output: 1 0
}

// Guards against evidence from the queue that forms for a moment at a healthy
// target while all slots of the service are in use, and against a slow target that
// is not detected in that state.
func TestSaturatedPeers(t *testing.T) {
	burst := func(seed uint64, factor float64, length time.Duration, opts ...health.Option) float64 {
		s := newSimulation(seed, 12, opts...)
		s.load = 8
		s.run(10*time.Second, 20)
		s.factor = func(i int) float64 { return []float64{1, factor}[boolToInt(i == 4)] }
		clear(s.rows)
		s.run(length, 20)
		return s.rows[address(4)].Score
	}
	never := health.WithSaturation(func(float64) bool { return false })
	threshold := health.Fast.Threshold()
	naive, actual := 0.0, 0.0 // pooled from ten entries that see the same queue
	for seed := range uint64(10) {
		is := is.New(t)
		naive += burst(seed, 3, time.Second, never)
		actual += burst(seed, 3, time.Second)
		is.True(burst(seed, 10, 5*time.Second) > threshold)
	}
	t.Logf("evidence of ten entries: %.1f, without regard to the load: %.1f", actual, naive)
	is := is.New(t)
	is.True(naive > threshold)
	is.True(actual < threshold)
}

// Guards against the weight of a slow target that stays high or becomes zero, and
// against a late report of it. The target for an ejection is one second, of which
// 400 ms are reserved: 250 ms for the wait before the second report, 150 ms for
// the way to the leader, the commit and the way back.
func TestSlowTarget(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		s := newSimulation(seed, 12)
		s.run(10*time.Second, 20)
		clear(s.rows)
		clear(s.first)
		s.factor = func(i int) float64 { return []float64{1, 10}[boolToInt(i == 5)] }
		s.run(2*time.Second, 20)
		is.True(s.first[address(5)] <= 600*time.Millisecond)
		for i := range 12 {
			// The evidence of this entry alone suffices, within two seconds.
			is.Equal(s.rows[address(i)].Score > health.Fast.Threshold(), i == 5)
		}
		is.True(s.targets[5].Weight() > 0)
		is.True(s.targets[5].Weight() < 0.3)
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Guards against an entry that sends more than four messages in any second.
func TestMessageRate(t *testing.T) {
	is := is.New(t)
	s := newSimulation(4, 12)
	var watch []netip.AddrPort
	for i := range 12 {
		watch = append(watch, address(i))
	}
	s.monitor.SetWatched(watch)
	s.factor = func(i int) float64 { return []float64{1, 10}[boolToInt(i == 5)] }
	s.run(20*time.Second, 50)
	is.True(len(s.sent) > 40)
	for i := 4; i < len(s.sent); i++ {
		is.True(s.sent[i].Sub(s.sent[i-4]) >= time.Second)
	}
}

// Guards against evidence against single targets when all of them change at once.
// The naive variant has no self-check.
func TestCommonFailure(t *testing.T) {
	is := is.New(t)
	evidence := func(opts ...health.Option) (bad int) {
		s := newSimulation(7, 12, opts...)
		s.run(10*time.Second, 20)
		clear(s.rows)
		s.failing = func(int) float64 { return 0.9 }
		s.run(5*time.Second, 20)
		for _, row := range s.rows {
			bad += row.Slow + row.Failed
		}
		return bad
	}
	naive := evidence(health.WithSelfCheck(func(int, int) bool { return false }))
	actual := evidence()
	is.True(naive > 100)
	is.True(actual < naive/10)
}

// Guards against a slow link to a region that is mistaken for slow targets.
func TestFaultyLink(t *testing.T) {
	is := is.New(t)
	s := newSimulation(3, 12)
	s.run(20*time.Second, 20)
	clear(s.rows)
	s.factor = func(i int) float64 { return []float64{1, 8}[i%2] }
	s.run(8*time.Second, 20)
	is.Equal(s.monitor.FaultyRegions(), []string{"haida"})
	is.True(s.targets[1].Weight() <= 0.1)
	is.True(s.targets[2].Weight() > 0.5)
}

// Guards against a stalled request that counts as bad only when it ends.
func TestPendingCounts(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 12)
	s.run(5*time.Second, 20)
	clear(s.first)
	call := s.targets[4].Start(s.now)
	s.now = s.now.Add(500 * time.Millisecond)
	s.monitor.Tick(s.now)
	rows := s.monitor.Evidence(s.now)
	is.Equal(len(rows), 1)
	is.Equal(rows[0].Target, address(4))
	is.Equal(rows[0].Slow, 1)

	// A second count when the request ends would double the evidence.
	call.Finish(s.now, health.OK)
	s.monitor.Tick(s.now.Add(50 * time.Millisecond))
	s.now = s.now.Add(time.Second)
	s.monitor.Tick(s.now)
	is.Equal(len(s.monitor.Evidence(s.now)), 0)
}

// Guards against a silent connection that takes its target out of service, and
// against the closing of connections of a target that does not answer at all.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	target := newSimulation(1, 3).targets[0]
	old := target.OpenConn(start)
	old.Sent(start)
	now := start.Add(600 * time.Millisecond)
	dead, probe := target.SilentConns(now)
	is.Equal(len(dead), 0)
	is.True(probe)

	fresh := target.OpenConn(now)
	fresh.Sent(now)
	fresh.Received(now.Add(5 * time.Millisecond))
	dead, probe = target.SilentConns(now.Add(10 * time.Millisecond))
	is.Equal(dead, []*health.Conn{old})
	is.True(!probe)
	old.Close()
	dead, _ = target.SilentConns(now.Add(time.Second))
	is.Equal(len(dead), 0)
}

// Guards against counts that are lost or doubled by data races under concurrent
// traffic.
func TestConcurrentTraffic(t *testing.T) {
	is := is.New(t)
	m := health.New(start, "tables", "salish")
	target := m.Target(start, address(1), start, "salish", "salish-0")
	m.SetWatched([]netip.AddrPort{address(1)})
	var traffic sync.WaitGroup
	const workers, each = 8, 2000
	for w := range workers {
		traffic.Go(func() {
			for i := range each {
				now := start.Add(time.Duration(i) * time.Millisecond)
				call := target.Start(now)
				call.Finish(now.Add(time.Duration(w)*time.Millisecond), health.OK)
			}
		})
	}
	total := 0
	now := start
	read := func() {
		now = now.Add(300 * time.Millisecond)
		m.Tick(now)
		for _, row := range m.Evidence(now) {
			total += row.Good + row.Slow + row.Failed
		}
	}
	for range 50 {
		read()
	}
	traffic.Wait()
	// Evidence without a bad observation is sent only while all MessageBurst
	// messages are available.
	for range 10 {
		read()
	}
	is.Equal(total, workers*each)
	is.Equal(target.Pending(), 0)
}

func BenchmarkCall(b *testing.B) {
	m := health.New(start, "tables", "salish")
	target := m.Target(start, address(1), start, "salish", "salish-0")
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		now := start
		for pb.Next() {
			now = now.Add(time.Microsecond)
			target.Start(now).Finish(now.Add(time.Millisecond), health.OK)
		}
	})
}

func BenchmarkTick(b *testing.B) {
	s := newSimulation(1, 40)
	s.run(3*time.Second, 50)
	b.ReportAllocs()
	for b.Loop() {
		s.now = s.now.Add(50 * time.Millisecond)
		s.monitor.Tick(s.now)
	}
}

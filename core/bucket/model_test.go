package bucket_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"github.com/galenalock/galenalock/core/bucket"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	modelReplicas = 5
	modelTick     = 10 * time.Millisecond
	modelStart    = time.Hour // of the clock
	modelWait     = 190 * time.Millisecond
	modelTimeout  = 250 * time.Millisecond // of a question
	modelWindow   = 5 * time.Second
	frameBytes    = 35 // around the body of a message
)

// model is a fleet of entries with uneven demand for the tokens of workspaces.
type model struct {
	rng        *rand.Rand
	naive      bool // equal shares instead of tokens
	duration   time.Duration
	workspaces []*modelWorkspace
	directory  *bucket.Directory
	entries    []*modelEntry
	queue      map[time.Duration][]func(now time.Duration)
	leader     *bucket.Allocator
	replicas   []*modelReplica
	office     uint64
	// acknowledged has the replicas that use promises of the present leader only.
	acknowledged map[int]bool
	// answers reports whether a replica hears an entry, arrives whether its answer arrives.
	answers, arrives func(now time.Duration, e *modelEntry) bool
	// hears reports whether the leader hears a replica, heard the other direction.
	hears, heard func(now time.Duration, r *modelReplica) bool
	frozen       func(now time.Duration, e *modelEntry) bool
	events       map[time.Duration]func(now time.Duration)
	waiters      map[*bucket.Waiter]*modelWorkspace
	up, down     int // bytes
}

type modelWorkspace struct {
	name    string
	demand  float64 // requests a second of the fleet
	limit   bucket.Limit
	factor  func(since time.Duration) float64 // of the demand
	ideal   *rate.Limiter
	offered int
	allowed int // by a bucket for the whole fleet
	refused int // although the bucket for the whole fleet allowed as many
	ran     []time.Duration
}

type modelReplica struct {
	number  int
	id      uint64
	standby *bucket.Standby
}

type modelEntry struct {
	number  int
	id      uint64
	weight  float64
	stock   *bucket.Stock
	shares  map[*modelWorkspace]*rate.Limiter
	backlog []*modelWorkspace // requests that arrived while the entry was frozen
	down    bool
}

func newModel(seed uint64, entries, workspaces int, demand, headroom float64) *model {
	m := &model{
		rng: rand.New(rand.NewPCG(seed, 1)), duration: 24 * time.Second,
		queue: map[time.Duration][]func(time.Duration){}, events: map[time.Duration]func(time.Duration){},
		waiters: map[*bucket.Waiter]*modelWorkspace{},
	}
	always := func(time.Duration, *modelEntry) bool { return true }
	m.answers, m.arrives = always, always
	linked := func(time.Duration, *modelReplica) bool { return true }
	m.hears, m.heard = linked, linked
	for i := range modelReplicas {
		m.replicas = append(m.replicas, &modelReplica{
			number: i, id: uint64(1000 + i), standby: bucket.NewStandby(rand.New(rand.NewPCG(seed, uint64(i)))),
		})
	}
	m.frozen = func(time.Duration, *modelEntry) bool { return false }
	total := 0.0
	for i := range workspaces {
		total += math.Pow(float64(i+1), -1.2)
	}
	for i := range workspaces {
		d := demand * math.Pow(float64(i+1), -1.2) / total
		w := &modelWorkspace{name: "workspace-" + strconv.Itoa(i), demand: d}
		w.limit = bucket.Limit{Rate: headroom * d, Burst: headroom * d}
		w.factor = func(time.Duration) float64 { return 1 }
		w.ideal = rate.NewLimiter(rate.Limit(w.limit.Rate), max(1, int(w.limit.Burst)))
		m.workspaces = append(m.workspaces, w)
	}
	total = 0
	m.directory = bucket.NewDirectory(nil)
	for i := range entries {
		e := &modelEntry{number: i, weight: 0.2 + m.rng.Float64()}
		total += e.weight
		m.entries = append(m.entries, e)
		m.restart(e)
	}
	for _, e := range m.entries {
		e.weight /= total
	}
	m.elect(modelStart - time.Minute)
	return m
}

func (m *model) elect(now time.Duration) {
	m.office++
	m.leader = bucket.NewAllocator(now, m.office)
	m.acknowledged = map[int]bool{}
}

// restart replaces an entry by one without history.
func (m *model) restart(e *modelEntry) {
	e.id = m.rng.Uint64()
	e.stock = bucket.NewStock(rand.New(rand.NewPCG(e.id, 2)))
	e.stock.SetDirectory(m.directory)
	e.shares = map[*modelWorkspace]*rate.Limiter{}
}

// setLimits changes all limits by a factor.
func (m *model) setLimits(factor float64) {
	var list []bucket.Workspace
	for _, w := range m.workspaces {
		w.limit.Rate, w.limit.Burst = w.limit.Rate*factor, w.limit.Burst*factor
		list = append(list, bucket.Workspace{Name: w.name, Limit: w.limit})
	}
	m.directory = bucket.NewDirectory(list)
	for _, e := range m.entries {
		e.stock.SetDirectory(m.directory)
	}
}

func (m *model) after(now, d time.Duration, f func(now time.Duration)) {
	at := (now + d + modelTick - 1) / modelTick * modelTick
	m.queue[at] = append(m.queue[at], f)
}

func (m *model) delay() time.Duration {
	return 2*time.Millisecond + time.Duration(m.rng.Int64N(int64(25*time.Millisecond)))
}

func wall(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }

func (m *model) run() {
	m.setLimits(1)
	for now := modelStart; now < modelStart+m.duration; now += modelTick {
		if f := m.events[now-modelStart]; f != nil {
			f(now)
		}
		for _, f := range m.queue[now] {
			f(now)
		}
		delete(m.queue, now)
		for _, w := range m.workspaces {
			m.offer(now, w)
		}
		for _, e := range m.entries {
			if !m.naive && !e.down && !m.frozen(now, e) {
				m.step(now, e)
			}
		}
	}
}

// offer lets callers send requests of a workspace.
func (m *model) offer(now time.Duration, w *modelWorkspace) {
	expected := w.demand * w.factor(now-modelStart) * modelTick.Seconds()
	for limit, p := math.Exp(-expected), m.rng.Float64(); p > limit; p *= m.rng.Float64() {
		e := m.pick()
		if e.down {
			continue
		}
		w.offered++
		if w.ideal.AllowN(wall(now), 1) {
			w.allowed++
		}
		if m.frozen(now, e) {
			e.backlog = append(e.backlog, w)
			continue
		}
		m.request(now, e, w)
	}
}

func (m *model) pick() *modelEntry {
	for {
		x := m.rng.Float64()
		for _, e := range m.entries {
			if x -= e.weight; x < 0 {
				return e
			}
		}
	}
}

func (m *model) request(now time.Duration, e *modelEntry, w *modelWorkspace) {
	if m.naive {
		l := e.shares[w]
		if l == nil {
			share := w.limit.Rate / float64(len(m.entries))
			l = rate.NewLimiter(rate.Limit(share), max(1, int(math.Ceil(share))))
			e.shares[w] = l
		}
		m.decide(now, w, l.AllowN(wall(now), 1))
		return
	}
	r, waiter := e.stock.Take(now, untilBoth(now+modelWait), w.name, 0)
	if waiter == nil {
		m.decide(now, w, r.Outcome == bucket.Taken)
		return
	}
	m.waiters[waiter] = w
}

func (m *model) decide(now time.Duration, w *modelWorkspace, ran bool) {
	if ran {
		w.ran = append(w.ran, now)
		return
	}
	w.refused++
}

func (m *model) wake(now time.Duration, decided []*bucket.Waiter) {
	for _, waiter := range decided {
		m.decide(now, m.waiters[waiter], waiter.Result.Outcome == bucket.Taken)
		delete(m.waiters, waiter)
	}
}

func (m *model) step(now time.Duration, e *modelEntry) {
	for _, w := range e.backlog {
		m.request(now, e, w)
	}
	e.backlog = nil
	q, decided := e.stock.Step(now)
	m.wake(now, decided)
	if q == nil {
		return
	}
	m.up += size(q.Body)
	id, done := e.id, false
	finish := func(now time.Duration, f func()) {
		if !done && e.id == id && !e.down {
			done = true
			f()
		}
	}
	m.after(now, m.delay(), func(now time.Duration) {
		if !m.answers(now, e) {
			return
		}
		q.Body.Entry = id
		m.ask(now, m.replicas[e.number%modelReplicas], q.Body, func(now time.Duration, answer wire.TokenAnswer) {
			m.after(now, m.delay(), func(now time.Duration) {
				if !m.arrives(now, e) {
					return
				}
				m.whenAwake(now, e, func(now time.Duration) {
					finish(now, func() {
						m.down += size(answer)
						m.wake(now, e.stock.Receive(now, q, answer))
					})
				})
			})
		})
	})
	m.after(now, modelTimeout, func(now time.Duration) {
		m.whenAwake(now, e, func(now time.Duration) { finish(now, func() { e.stock.Fail(now, q) }) })
	})
}

// ask lets a replica answer a question, by itself or by asking the leader.
func (m *model) ask(now time.Duration, r *modelReplica, q wire.TokenRequest, answer func(now time.Duration, a wire.TokenAnswer)) {
	b := wire.TokenBatch{List: []wire.TokenRequest{q}}
	if r.standby.Serves(now) {
		answer(now, r.standby.Serve(now, q))
		b.List = nil // only finds out whether the leader answers
	}
	sent := now
	b.Replica, b.Office = r.standby.Question(now), r.standby.Office()
	b.Replica.Entry = r.id
	m.after(now, m.delay(), func(now time.Duration) {
		if !m.hears(now, r) {
			return
		}
		a := m.leader.Serve(now, b, m.directory)
		if b.Office == a.Office {
			m.acknowledged[r.number] = true
			if len(m.acknowledged) == modelReplicas {
				m.leader.ReplicasAcknowledged(now)
			}
		}
		m.after(now, m.delay(), func(now time.Duration) {
			switch {
			case !m.heard(now, r):
			case r.standby.Receive(now, sent, b.Replica, a) && len(a.List) == 1:
				answer(now, a.List[0])
			case a.Pending && len(b.List) == 1:
				answer(now, wire.TokenAnswer{Office: a.Office, Pending: true})
			}
		})
	})
}

func (m *model) whenAwake(now time.Duration, e *modelEntry, f func(now time.Duration)) {
	if m.frozen(now, e) {
		m.after(now, modelTick, func(now time.Duration) { m.whenAwake(now, e, f) })
		return
	}
	f(now)
}

func size(body any) int {
	data, err := wire.Encode(body)
	if err != nil {
		panic(err)
	}
	return len(data) + frameBytes
}

// result sums up a run.
type result struct {
	overshoot float64 // largest number of requests in a window over the bound
	refused   float64 // part of the requests allowed by a bucket for the whole fleet
	worst     float64 // the same for the workspace that is worst off
	up, down  float64 // bytes a second of an entry
}

// measure sums up the requests after a time. limit returns the limit that binds them.
func (m *model) measure(from time.Duration) result {
	var r result
	allowed, lost := 0, 0
	for _, w := range m.workspaces {
		bound := 1.1*(w.limit.Rate*modelWindow.Seconds()+max(1, w.limit.Burst)) + 20
		first := 0
		for i, at := range w.ran {
			for at-w.ran[first] >= modelWindow {
				first++
			}
			if w.ran[first] >= modelStart+from {
				r.overshoot = max(r.overshoot, float64(i-first+1)/bound)
			}
		}
		missing := min(w.refused, max(0, w.allowed-len(w.ran)))
		allowed, lost = allowed+w.allowed, lost+missing
		if w.allowed > 20 {
			r.worst = max(r.worst, float64(missing)/float64(w.allowed))
		}
	}
	r.refused = float64(lost) / float64(allowed)
	seconds := float64(len(m.entries)) * m.duration.Seconds()
	r.up, r.down = float64(m.up)/seconds, float64(m.down)/seconds
	return r
}

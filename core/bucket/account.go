package bucket

import (
	"math"
	"time"

	"github.com/galenalock/galenalock/core/wire"
)

const (
	// shortageTime is the time constant with which refused tokens count as a queue.
	shortageTime = 500 * time.Millisecond
	// youngSlots is the number of slots in which young tokens are counted.
	youngSlots = 8
)

// account is the bucket of one workspace.
type account struct {
	limit    Limit
	level    float64
	at       time.Duration // time of level, shortage and the sums of the pools
	shortage float64       // tokens refused recently
	office   time.Duration // start of the office
	// replicasUntil is the time until which replicas may hold promises of former leaders.
	replicasUntil time.Duration
	entries       pool
	replicas      pool

	young    [youngSlots + 1]float64 // tokens granted recently and not returned, by slot
	youngSum float64
	slot     int64 // current slot
}

// newAccount returns the account of a leader that took office at the given time.
func newAccount(office time.Duration, l Limit) *account {
	return &account{
		limit: l, office: office, at: office + OfficeDelay, replicasUntil: office + reserveTime,
		entries: newPool(entryPart, entryMargin), replicas: newPool(replicaPart, replicaMargin),
	}
}

// reservedUntil returns the time until which holders of a pool may hold promises of
// former leaders.
func (ac *account) reservedUntil(p *pool) time.Duration {
	if p == &ac.replicas {
		return ac.replicasUntil
	}
	return ac.office + reserveTime
}

// reserve returns the part of the rate that is kept back for promises of former leaders
// to the holders of a pool.
func (ac *account) reserve(p *pool) float64 {
	if ac.at >= ac.reservedUntil(p) {
		return 0
	}
	return p.reserve(ac.limit.Rate, ac.at-ac.office-LeaseTime)
}

// advance refills the bucket, except for what promises of former leaders and those to
// lapsed holders may use.
func (ac *account) advance(now time.Duration, lapsed []*contact) {
	if now <= ac.at {
		return
	}
	refill := ac.limit.Rate * (now - ac.at).Seconds()
	for _, p := range []*pool{&ac.entries, &ac.replicas} {
		refill -= ac.reserve(p) * max(0, min(now, ac.reservedUntil(p))-ac.at).Seconds()
		for _, c := range lapsed {
			refill -= p.charge(c.holder, ac.at, c.silence(ac.at, now))
		}
	}
	ac.entries.shrink(now - ac.at)
	ac.replicas.shrink(now - ac.at)
	ac.shortage *= decay(now-ac.at, shortageTime)
	ac.at = now
	ac.shiftYoung(now)
	ac.add(refill)
}

// add adds tokens up to the depth. It also stops the bucket from filling up while many
// tokens are held, as these may return.
func (ac *account) add(tokens float64) {
	most := min(ac.limit.depth(), ac.limit.depth()+ac.limit.Rate*ac.limit.returnTime().Seconds()-ac.youngSum)
	ac.level = min(ac.level+tokens, max(ac.level, most))
}

func (ac *account) slotTime() time.Duration { return ac.limit.returnTime() / youngSlots }

func (ac *account) shiftYoung(now time.Duration) {
	slot := int64(now / ac.slotTime())
	for n := 0; ac.slot < slot && n < len(ac.young); n++ {
		ac.slot++
		i := ac.slot % int64(len(ac.young))
		ac.youngSum -= ac.young[i]
		ac.young[i] = 0
	}
	ac.slot = slot
}

// takeBack returns tokens to the bucket, at most as many as are young. The oldest are
// removed first: too low an age of the others only makes the bucket fill later.
func (ac *account) takeBack(n float64) float64 {
	left := n
	for k := int64(1); k <= int64(len(ac.young)) && left > 0; k++ {
		i := (ac.slot + k) % int64(len(ac.young))
		took := min(left, ac.young[i])
		ac.young[i] -= took
		ac.youngSum -= took
		left -= took
	}
	ac.level = min(ac.level+n-left, max(ac.level, ac.limit.depth()))
	return n - left
}

// setLimit continues with the tokens that the new limit allows.
func (ac *account) setLimit(l Limit) {
	if l == ac.limit {
		return
	}
	if l.Rate < ac.limit.Rate {
		ac.entries.scale(l.Rate / ac.limit.Rate)
		ac.replicas.scale(l.Rate / ac.limit.Rate)
	}
	if l.returnTime() != ac.limit.returnTime() {
		ac.young, ac.youngSum = [youngSlots + 1]float64{}, 0 // entries return no tokens of another limit
		ac.slot = 0
	}
	ac.limit = l
	ac.shiftYoung(ac.at)
	ac.level = min(ac.level, l.depth())
}

// serve answers a demand of an entry that came through a replica, which is 0 if the entry
// asked directly. It returns the promise to the replica as well.
func (ac *account) serve(now time.Duration, entry, replica uint64, d wire.TokenDemand) (wire.TokenGrant, float64) {
	returned := ac.takeBack(float64(d.Return))
	granted := max(0, min(float64(d.Want), math.Floor(ac.level)))
	ac.level -= granted
	ac.young[ac.slot%int64(len(ac.young))] += granted
	ac.youngSum += granted

	promised := ac.record(now, &ac.entries, entry, granted-returned, d.Release)
	promisedReplica := 0.0
	if replica != 0 {
		promisedReplica = ac.record(now, &ac.replicas, replica, granted-returned, 0)
	}
	grant := wire.TokenGrant{Tokens: int(granted), Rate: int(promised * 1000)}
	if missing := float64(d.Want) - granted; missing > 0 {
		ac.shortage += missing
		wait := (max(1, ac.shortage) - ac.level) / ac.limit.Rate
		grant.Wait = int(min(math.Ceil(wait*1000), maxWaitMillis))
	}
	return grant, promisedReplica
}

// record counts tokens of a holder and the promise that it released, in thousandths.
func (ac *account) record(now time.Duration, p *pool, holder uint64, tokens float64, released int) float64 {
	return p.record(now, holder, tokens, float64(released)/1000, p.part*ac.limit.Rate-ac.reserve(p))
}

// maxWaitMillis limits the time after which a caller is told to come back.
const maxWaitMillis = 5000

// prune removes holders without grants, and reports whether the account is as if it were
// new.
func (ac *account) prune(now time.Duration) bool {
	keep := now < ac.office+reserveTime
	ac.entries.prune(now, keep)
	ac.replicas.prune(now, keep)
	return len(ac.entries.shares) == 0 && len(ac.replicas.shares) == 0 && ac.level >= ac.limit.depth()
}

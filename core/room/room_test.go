package room_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/room"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// full returns an estimator of targets with a utilization, from ten reports.
func full(now time.Time, utilization float64) *room.Estimator {
	e := &room.Estimator{}
	e.SetTiers(map[room.Tier]bool{room.SameDataCentre: true})
	for range 10 {
		e.RecordLoad(now, room.SameDataCentre, int(10*utilization), 10)
		e.RecordAnswer(now, time.Duration(100*utilization)*time.Millisecond, utilization)
	}
	return e
}

// Guards against limits that rest on a single report or on old ones, and against a
// queueing delay that is counted as work.
func TestEstimate(t *testing.T) {
	is := is.New(t)
	e := &room.Estimator{}
	e.RecordLoad(start, room.SameDataCentre, 50, 10)
	single := e.At(start)
	is.True(!single.Known())

	e = full(start, 3)
	fresh, later, old := e.At(start), e.At(start.Add(5*time.Second)), e.At(start.Add(10*time.Second))
	is.True(fresh.Known() && room.Limits(&fresh, 0))
	is.Equal(fresh.SlotTime, 100*time.Millisecond)
	is.Equal(fresh.QueueDelay, 200*time.Millisecond)
	is.True(later.Known() && later.Utilization < fresh.Utilization)
	is.Equal(old.Age, 10*time.Second)
	is.True(!old.Known() && !room.Limits(&old, 3))
}

// Guards against sheds of a service with room that are taken for an overload, and
// against a few sheds that are taken for a service that sheds.
func TestSheds(t *testing.T) {
	is := is.New(t)
	e := full(start, 0.5)
	one := e.At(start)
	is.True(!one.Sheds())
	for range 10 {
		e.RecordShed(start)
	}
	shedding := e.At(start)
	is.True(shedding.Sheds() && !room.Limits(&shedding, 0))
	e = full(start, 4)
	for range 10 {
		e.RecordShed(start)
	}
	overloaded := e.At(start)
	is.True(!overloaded.Sheds())
}

// Guards against an urgent rank that is limited while others are admitted, against
// ranks that starve, and against admissions that do not fall with the utilization.
func TestPacerShares(t *testing.T) {
	for _, utilization := range []float64{1, 2, 3, 4} {
		is := is.New(t)
		e := full(start, utilization).At(start)
		p := room.NewPacer(start)
		arrived, admitted := [3]int{}, [3]int{}
		for n := range 4000 {
			now := start.Add(time.Duration(n) * 50 * time.Millisecond)
			rank := [...]int{2, 1, 2, 0, 2, 2, 1, 2, 2, 0}[n%10]
			p.Arrive(now, &e, rank)
			arrived[rank]++
			if p.Take(now, &e, rank, 0) {
				admitted[rank]++
				p.Answer(now, &e)
			}
		}
		shares, all := [3]float64{}, float64(admitted[0]+admitted[1]+admitted[2])/4000
		for rank := range shares {
			shares[rank] = float64(admitted[rank]) / float64(arrived[rank])
		}
		t.Logf("utilization %.0f: %.2f of all, %.2f of the ranks", utilization, all, shares)
		const few = 0.01 // admissions are whole
		is.True(shares[0] >= shares[1]-few && shares[1] >= shares[2]-few)
		is.True(shares[2] >= all/4)
		is.True((all > 0.999) == (utilization <= 1))
	}
}

// Guards against requests that are held or refused while targets further away have room
// or are unknown, and against requests that leave a data centre which has room.
func TestTiers(t *testing.T) {
	is := is.New(t)
	load := func(e *room.Estimator, tier room.Tier, utilization float64) room.Estimate {
		for range 10 {
			e.RecordLoad(start, tier, int(10*utilization), 10)
		}
		return e.At(start)
	}
	e := &room.Estimator{}
	e.SetTiers(map[room.Tier]bool{room.SameDataCentre: true, room.SameRegion: true, room.OtherRegion: true})
	near := load(e, room.SameDataCentre, 1)
	is.Equal(near.Free, room.SameDataCentre)
	full := load(e, room.SameDataCentre, 4)
	is.True(room.Limits(&full, 0))
	is.Equal(full.Unknown, room.SameRegion)
	full = load(e, room.SameRegion, 2)
	is.Equal(full.Unknown, room.OtherRegion)
	is.Equal(full.Utilization, 700.0/300) // of both
	far := load(e, room.OtherRegion, 0.5)
	is.True(room.Limits(&far, 0))
	is.Equal(far.Free, room.OtherRegion)
	is.Equal(far.Utilization, 700.0/300)
	later := e.At(start.Add(12 * time.Second))
	is.Equal(later.Free, room.SameDataCentre)
	e = &room.Estimator{}
	load(e, room.SameDataCentre, 0.5)
	e.SetTiers(map[room.Tier]bool{room.SameRegion: true}) // the nearest ones are lost
	load(e, room.SameRegion, 3)
	lost := e.At(start.Add(5 * time.Second))
	is.True(room.Limits(&lost, 0))
}

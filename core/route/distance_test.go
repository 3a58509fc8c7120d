package route_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/route"
)

// Guards against a request of a few bytes that waits for busy targets although those of
// the other data centre are idle, and against one of 5 kB that leaves for them; and
// against a data centre that is regarded as near although connecting to it takes long.
func TestDistanceIsMeasured(t *testing.T) {
	is := is.New(t)
	now := start.Add(time.Minute)
	away := func(bytes int64, connect time.Duration, use float64) float64 {
		r, targets := routeAmongTwelve(now)
		var volume route.Volume
		is.Equal(volume.Mean(), 0.0)
		volume.Record(0, bytes)
		for i := range targets {
			e := r.Endpoint(targets[i].Address)
			e.Begin()
			e.End(200 * time.Millisecond)
			if targets[i].DataCentre == "salish-0" {
				e.RecordConnect(time.Millisecond)
				e.RecordLoad(now, int(use*float64(targets[i].Slots)), targets[i].Slots)
				continue
			}
			e.RecordConnect(connect)
			e.RecordLoad(now, 0, targets[i].Slots)
		}
		left, rng := 0.0, rand.New(rand.NewPCG(1, 2))
		for range 1000 {
			e := r.PickByCost(now, rng.Uint64(), route.Request{Bytes: volume.Mean()})
			is.Equal(e.Region(), "salish")
			if e.Address() != address(0) && e.Address() != address(6) {
				left++
			}
		}
		return left / 1000
	}
	is.True(away(100, 2*time.Millisecond, 0.9) > 0.8)
	is.True(away(5000, 2*time.Millisecond, 0.9) < 0.05)
	is.True(away(100, 300*time.Millisecond, 0.9) < 0.05)
	is.True(away(360_000, 2*time.Millisecond, 0.9) == 0)
	is.True(away(360_000, 2*time.Millisecond, 4) > 0.8) // the queues nearby are full
}

// Guards against entries that take the targets of another data centre for idle because
// they have not used them lately, and against ones that never learn that these are.
func TestUnknownLoadIsAssumedAlike(t *testing.T) {
	is := is.New(t)
	now := start.Add(time.Minute)
	away := func(running float64) float64 {
		r, targets := routeAmongTwelve(now)
		for i := range targets {
			e := r.Endpoint(targets[i].Address)
			e.Begin()
			e.End(200 * time.Millisecond)
			if targets[i].DataCentre == "salish-0" {
				e.RecordLoad(now, int(running*float64(targets[i].Slots)), targets[i].Slots)
			}
		}
		left, rng := 0.0, rand.New(rand.NewPCG(1, 2))
		for range 1000 {
			e := r.PickByCost(now, rng.Uint64(), route.Request{Bytes: 600})
			if e.Address() != address(0) && e.Address() != address(6) {
				left++
			}
		}
		return left / 1000
	}
	is.True(away(0.7) < 0.1)
	is.True(away(2) > 0.8)
}

package store_test

import (
	"errors"
	"math/rand"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/store"
)

// Guards against a disk that fills up in the middle of a call and then ends the
// store, loses what was acknowledged or keeps half of the refused call. Each
// refused call is made again once there is room; then the power is lost.
func TestFullDisk(t *testing.T) {
	refused := 0
	for seed := range int64(300) {
		is := is.New(t)
		rng := rand.New(rand.NewSource(seed))
		d := newDisk(seed)
		s, err := open(d)
		is.NoErr(err)
		m := load(s)
		for range 30 {
			c := m.random(rng)
			d.limited, d.room = rng.Intn(3) == 0, rng.Intn(300)
			err := c.call(s)
			d.limited = false
			var full *store.FullError
			if errors.As(err, &full) {
				refused++
				is.True(errors.Is(err, syscall.ENOSPC))
				err = c.call(s)
			}
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			m = c.end
		}
		again, err := open(d.reboot())
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if got := load(again); !same(got, m) {
			t.Fatalf("seed %d: holds %v, want %v", seed, got, m)
		}
	}
	t.Logf("%d calls refused", refused)
	is.New(t).True(refused > 500)
}

package store_test

import (
	"errors"
	"math/rand"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/store"
)

// Guards against a disk that fills up during a call and makes the store unusable,
// loses acknowledged data, or keeps part of the failed call. Each failed call is
// repeated once there is space; at the end the disk loses its unsynced data.
func TestFullDisk(t *testing.T) {
	refused := 0
	for seed := range int64(300) {
		is := is.New(t)
		rng := rand.New(rand.NewSource(seed))
		d := newDisk(seed)
		s, err := openStore(d)
		is.NoErr(err)
		m := loadModel(s)
		for range 30 {
			c := m.randomChange(rng)
			d.spaceLimited, d.freeSpace = rng.Intn(3) == 0, rng.Intn(300)
			err := c.call(s)
			d.spaceLimited = false
			var full *store.FullError
			if errors.As(err, &full) {
				refused++
				is.True(errors.Is(err, syscall.ENOSPC))
				err = c.call(s)
			}
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			m = c.final
		}
		again, err := openStore(d.reboot())
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if got := loadModel(again); !equalModels(got, m) {
			t.Fatalf("seed %d: holds %v, want %v", seed, got, m)
		}
	}
	t.Logf("%d calls refused", refused)
	is.New(t).True(refused > 500)
}

package value_test

import (
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/value"
)

// Guards against a slow fetch that replaces the value of one that began later.
func TestLatestKeepsTheNewestFetch(t *testing.T) {
	is := is.New(t)
	var l value.Latest[string]
	is.Equal(l.Load(), "")
	slow, fast := l.Begin(), l.Begin()
	l.Store(fast, "new")
	l.Store(slow, "old")
	is.Equal(l.Load(), "new")
	l.Store(l.Begin(), "newer")
	is.Equal(l.Load(), "newer")
}

// Guards against concurrent fetches of which not the last one is kept.
func TestLatestOfManyFetches(t *testing.T) {
	is := is.New(t)
	const fetches = 200
	var l value.Latest[uint64]
	var group sync.WaitGroup
	for range fetches {
		group.Go(func() {
			number := l.Begin()
			l.Store(number, number)
		})
	}
	group.Wait()
	is.Equal(l.Load(), uint64(fetches))
}

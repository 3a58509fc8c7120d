package board_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/control/board"
	"github.com/galenalock/galenalock/core/wire"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against notices that are replaced by older ones, that never expire, or
// whose age does not grow while they are kept.
func TestBoardKeepsNewestNotice(t *testing.T) {
	is := is.New(t)
	b := newBoard(board.WithLifetime[uint64, wire.Demand](10 * time.Second))
	b.Add(start, []wire.Demand{{Entry: 1, Rate: 2, Age: time.Second}, {Entry: 2, Rate: 5}})
	is.Equal(len(b.Add(start.Add(time.Second), []wire.Demand{{Entry: 1, Rate: 9, Age: 3 * time.Second}})), 0)
	byEntry := map[uint64]wire.Demand{}
	for _, d := range b.List(start.Add(2 * time.Second)) {
		byEntry[d.Entry] = d
	}
	is.Equal(byEntry[1], wire.Demand{Entry: 1, Rate: 2, Age: 3 * time.Second})
	is.Equal(byEntry[2], wire.Demand{Entry: 2, Rate: 5, Age: 2 * time.Second})
	is.Equal(len(b.List(start.Add(9*time.Second))), 1)
	is.Equal(len(b.List(start.Add(10*time.Second))), 0)
}

// Guards against a board that grows without bound.
func TestBoardIsBounded(t *testing.T) {
	is := is.New(t)
	b := newBoard(board.WithLifetime[uint64, wire.Demand](10*time.Second), board.WithCapacity[uint64, wire.Demand](100))
	for n := range uint64(1000) {
		b.Add(start.Add(time.Duration(n)*time.Millisecond), []wire.Demand{{Entry: n}})
	}
	list := b.List(start.Add(time.Second))
	is.Equal(len(list), 100)
	for _, d := range list {
		is.True(d.Entry >= 900) // the newest ones are kept
	}
	b.Add(start.Add(20*time.Second), []wire.Demand{{Entry: 1e6}})
	is.Equal(len(b.List(start.Add(20*time.Second))), 1)
}

// Guards against notices of one event that each of many instances makes all
// others receive, and against changes and renewals that are lost among them.
func TestRepeatsAreNotNew(t *testing.T) {
	is := is.New(t)
	b := newBoard(board.WithRepeats[uint64](2*time.Second, func(known, d wire.Demand) bool { return known.Rate == d.Rate }))
	add := func(after time.Duration, rate float64) int {
		return len(b.Add(start.Add(after), []wire.Demand{{Entry: 1, Rate: rate}}))
	}
	is.Equal(add(0, 5), 1)
	for n := range 100 {
		is.Equal(add(time.Duration(n)*10*time.Millisecond, 5), 0)
	}
	is.Equal(add(time.Second, 6), 1)
	is.Equal(add(time.Second, 6), 0)
	is.Equal(add(3*time.Second, 6), 1)
}

func newBoard(opts ...board.Option[uint64, wire.Demand]) *board.Board[uint64, wire.Demand] {
	return board.New(func(d wire.Demand) uint64 { return d.Entry }, func(d wire.Demand) time.Duration { return d.Age }, opts...)
}

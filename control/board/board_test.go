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

// Guards against notices that go around without end, because each instance that
// reports the same event measures another age.
func TestSameEventIsNewOnce(t *testing.T) {
	is := is.New(t)
	b := newBoard(board.WithOnce[uint64](func(d wire.Demand) bool { return d.Entry == 1 }))
	for entry, newAgain := range map[uint64]int{1: 0, 2: 1} {
		is.Equal(len(b.Add(start, []wire.Demand{{Entry: entry}})), 1)
		is.Equal(len(b.Add(start.Add(time.Second), []wire.Demand{{Entry: entry}})), newAgain)
	}
}

func newBoard(opts ...board.Option[uint64, wire.Demand]) *board.Board[uint64, wire.Demand] {
	return board.New(func(d wire.Demand) uint64 { return d.Entry }, func(d wire.Demand) time.Duration { return d.Age }, opts...)
}

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
	b := board.New(10*time.Second, func(d wire.Demand) uint64 { return d.Entry }, func(d wire.Demand) time.Duration { return d.Age })
	b.Add(start, []wire.Demand{{Entry: 1, Rate: 2, Age: time.Second}, {Entry: 2, Rate: 5}})
	b.Add(start.Add(time.Second), []wire.Demand{{Entry: 1, Rate: 9, Age: 3 * time.Second}})
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
	b := board.New(10*time.Second, func(d wire.Demand) uint64 { return d.Entry }, func(d wire.Demand) time.Duration { return d.Age })
	for n := range uint64(10000) {
		b.Add(start, []wire.Demand{{Entry: n}})
	}
	is.Equal(len(b.List(start)), 4096)
	b.Add(start.Add(20*time.Second), []wire.Demand{{Entry: 1e6}})
	is.Equal(len(b.List(start.Add(20*time.Second))), 1)
}

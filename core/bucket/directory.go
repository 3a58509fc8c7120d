package bucket

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/galenalock/galenalock/core/spec"
)

// Workspace is a workspace with its limit. A rate of 0 means that it has none.
type Workspace struct {
	Name  string
	Limit Limit
}

// Directory maps the workspaces of a service text to the numbers by which messages
// refer to them. A number depends on the name only: 32 bits of its hash, which keep
// messages short, or 64 bits if another workspace has the same 32 bits. Processes with
// different texts may thus not know a number, but do not confuse workspaces.
type Directory struct {
	byName   map[string]listing
	byNumber map[uint64]Workspace
}

type listing struct {
	number uint64
	limit  Limit
}

// NewDirectory returns the directory of the workspaces, whose names differ.
func NewDirectory(workspaces []Workspace) *Directory {
	d := &Directory{byName: make(map[string]listing, len(workspaces)), byNumber: make(map[uint64]Workspace, len(workspaces))}
	count := make(map[uint32]int, len(workspaces))
	for _, w := range workspaces {
		count[short(w.Name)]++
	}
	for _, w := range workspaces {
		number := uint64(short(w.Name))
		if count[short(w.Name)] > 1 {
			number = xxhash.Sum64String(w.Name) | 1<<63 // differs from every short number
		}
		d.byName[w.Name] = listing{number: number, limit: w.Limit}
		d.byNumber[number] = w
	}
	return d
}

// DirectoryOf returns the directory of a service text.
func DirectoryOf(t *spec.Text) *Directory {
	list := make([]Workspace, len(t.Workspaces))
	for i, w := range t.Workspaces {
		list[i] = Workspace{Name: w.Name, Limit: Limit{Rate: w.RateLimit, Burst: w.Burst}}
	}
	return NewDirectory(list)
}

func short(name string) uint32 { return uint32(xxhash.Sum64String(name) & math.MaxUint32) }

// Number returns the number of a workspace, 0 if it is not listed.
func (d *Directory) Number(name string) uint64 { return d.byName[name].number }

package store_test

import (
	"errors"
	"io/fs"
	"math/rand"
	"path/filepath"
	"sort"
	"syscall"

	"github.com/galenalock/galenalock/core/store"
)

var errCrash = errors.New("crash")

// disk is a simulated file system that crashes at a chosen operation and then
// forgets what was not synced.
type disk struct {
	rng     *rand.Rand
	now     map[string]*inode // directory as the process sees it
	stable  map[string]*inode // directory as synced
	pending []func(map[string]*inode)
	ops     int
	crashAt int  // number of the operation, zero for never
	after   bool // crash after the effect instead of before it
	crashed bool
	broken  map[string]bool // operations that return an error
	ignored string          // operation that does nothing
	limited bool            // writes go as far as there is room
	room    int             // bytes
}

type inode struct{ data, stable []byte }

func newDisk(seed int64) *disk {
	return &disk{rng: rand.New(rand.NewSource(seed)), now: map[string]*inode{}, stable: map[string]*inode{}}
}

// do runs an operation unless the crash comes before it.
func (d *disk) do(name string, effect func() error) error {
	if d.crashed {
		return errCrash
	}
	d.ops++
	if d.broken[name] {
		return errors.New(name + " fails")
	}
	if name == d.ignored {
		effect = func() error { return nil }
	}
	if d.ops == d.crashAt {
		d.crashed = true
		if d.after {
			_ = effect()
		}
		return errCrash
	}
	return effect()
}

// reboot returns the disk after a crash: each change that was not synced may or
// may not have reached it, block by block.
func (d *disk) reboot() *disk {
	next := newDisk(d.rng.Int63())
	next.ignored = d.ignored
	for _, change := range d.pending {
		if d.rng.Intn(2) == 0 {
			change(d.stable)
		}
	}
	for name, node := range d.stable {
		data := d.torn(node)
		next.now[name] = &inode{data, append([]byte(nil), data...)}
		next.stable[name] = next.now[name]
	}
	return next
}

const block = 16

func (d *disk) torn(n *inode) []byte {
	if len(n.data) < len(n.stable) { // truncated
		if d.rng.Intn(2) == 0 {
			return append([]byte(nil), n.data...)
		}
		return append([]byte(nil), n.stable...)
	}
	size := len(n.stable) + d.rng.Intn(len(n.data)-len(n.stable)+1)
	if d.rng.Intn(4) == 0 {
		size = len(n.data)
	}
	out := append([]byte(nil), n.data[:size]...)
	for at := len(n.stable); at < size; at += block {
		if d.rng.Intn(3) == 0 {
			clear(out[at:min(size, at+block)])
		}
	}
	return out
}

func (d *disk) direct(change func(map[string]*inode)) {
	change(d.now)
	d.pending = append(d.pending, change)
}

func (d *disk) files() store.Files {
	return store.Files{
		Mkdir: func(string) error { return d.do("mkdir", func() error { return nil }) },
		List: func(dir string) (names []string, err error) {
			err = d.do("list", func() error {
				for name := range d.now {
					if filepath.Dir(name) == dir {
						names = append(names, filepath.Base(name))
					}
				}
				sort.Strings(names)
				return nil
			})
			return names, err
		},
		Read: func(name string) (data []byte, err error) {
			err = d.do("read", func() error {
				n, ok := d.now[name]
				if !ok {
					return fs.ErrNotExist
				}
				data = append([]byte(nil), n.data...)
				return nil
			})
			return data, err
		},
		Create: func(name string) (h store.Handle, err error) {
			n := &inode{}
			err = d.do("create", func() error {
				d.direct(func(dir map[string]*inode) { dir[name] = n })
				return nil
			})
			return d.handle(n), err
		},
		Append: func(name string) (h store.Handle, err error) {
			err = d.do("append", func() error { return nil })
			return d.handle(d.now[name]), err
		},
		Truncate: func(name string, size int64) error {
			return d.do("truncate", func() error {
				d.now[name].data = d.now[name].data[:size:size]
				return nil
			})
		},
		Rename: func(from, to string) error {
			return d.do("rename", func() error {
				n := d.now[from]
				d.direct(func(dir map[string]*inode) {
					delete(dir, from)
					dir[to] = n
				})
				return nil
			})
		},
		Remove: func(name string) error {
			return d.do("remove", func() error {
				d.direct(func(dir map[string]*inode) { delete(dir, name) })
				return nil
			})
		},
		SyncDir: func(string) error {
			return d.do("syncdir", func() error {
				for _, change := range d.pending {
					change(d.stable)
				}
				d.pending = nil
				return nil
			})
		},
	}
}

func (d *disk) handle(n *inode) store.Handle {
	return store.Handle{
		Write: func(data []byte) error {
			return d.do("write", func() error {
				if d.limited && len(data) > d.room {
					n.data = append(n.data, data[:d.room]...)
					d.room = 0
					return &fs.PathError{Op: "write", Path: "file", Err: syscall.ENOSPC}
				}
				d.room -= len(data)
				n.data = append(n.data, data...)
				return nil
			})
		},
		Sync: func() error {
			return d.do("sync", func() error {
				n.stable = append([]byte(nil), n.data...)
				return nil
			})
		},
		Close: func() error { return d.do("close", func() error { return nil }) },
	}
}

func (d *disk) clone() *disk {
	next := newDisk(1)
	for name, n := range d.now {
		next.now[name] = &inode{append([]byte(nil), n.data...), append([]byte(nil), n.data...)}
		next.stable[name] = next.now[name]
	}
	return next
}

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

// disk is a simulated file system that crashes at a chosen operation. After a crash
// changes that were not synced may be lost.
type disk struct {
	rng          *rand.Rand
	current      map[string]*inode // directory as the process sees it
	synced       map[string]*inode // directory as synced
	pending      []func(map[string]*inode)
	ops          int
	crashAt      int  // number of the operation, zero for never
	crashAfter   bool // crash after the effect instead of before it
	crashed      bool
	failing      map[string]bool // operations that return an error
	ignored      string          // operation that succeeds without effect
	spaceLimited bool            // writes fail with ENOSPC once freeSpace is used up
	freeSpace    int             // bytes
}

type inode struct{ data, synced []byte }

func newDisk(seed int64) *disk {
	return &disk{rng: rand.New(rand.NewSource(seed)), current: map[string]*inode{}, synced: map[string]*inode{}}
}

// perform runs an operation unless the disk has crashed or crashes before it.
func (d *disk) perform(name string, effect func() error) error {
	if d.crashed {
		return errCrash
	}
	d.ops++
	if d.failing[name] {
		return errors.New(name + " fails")
	}
	if name == d.ignored {
		effect = func() error { return nil }
	}
	if d.ops == d.crashAt {
		d.crashed = true
		if d.crashAfter {
			_ = effect()
		}
		return errCrash
	}
	return effect()
}

// reboot returns the disk after a crash. Each unsynced directory change, and each
// block of unsynced data, may or may not have reached it.
func (d *disk) reboot() *disk {
	next := newDisk(d.rng.Int63())
	next.ignored = d.ignored
	for _, change := range d.pending {
		if d.rng.Intn(2) == 0 {
			change(d.synced)
		}
	}
	for name, node := range d.synced {
		data := d.tornContent(node)
		next.current[name] = &inode{data, append([]byte(nil), data...)}
		next.synced[name] = next.current[name]
	}
	return next
}

const blockSize = 16

func (d *disk) tornContent(n *inode) []byte {
	if len(n.data) < len(n.synced) { // truncated
		if d.rng.Intn(2) == 0 {
			return append([]byte(nil), n.data...)
		}
		return append([]byte(nil), n.synced...)
	}
	size := len(n.synced) + d.rng.Intn(len(n.data)-len(n.synced)+1)
	if d.rng.Intn(4) == 0 {
		size = len(n.data)
	}
	out := append([]byte(nil), n.data[:size]...)
	for at := len(n.synced); at < size; at += blockSize {
		if d.rng.Intn(3) == 0 {
			clear(out[at:min(size, at+blockSize)])
		}
	}
	return out
}

func (d *disk) updateDir(change func(map[string]*inode)) {
	change(d.current)
	d.pending = append(d.pending, change)
}

func (d *disk) files() store.Files {
	return store.Files{
		Mkdir: func(string) error { return d.perform("mkdir", func() error { return nil }) },
		List: func(dir string) (names []string, err error) {
			err = d.perform("list", func() error {
				for name := range d.current {
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
			err = d.perform("read", func() error {
				n, ok := d.current[name]
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
			err = d.perform("create", func() error {
				d.updateDir(func(dir map[string]*inode) { dir[name] = n })
				return nil
			})
			return d.handle(n), err
		},
		Append: func(name string) (h store.Handle, err error) {
			err = d.perform("append", func() error { return nil })
			return d.handle(d.current[name]), err
		},
		Truncate: func(name string, size int64) error {
			return d.perform("truncate", func() error {
				d.current[name].data = d.current[name].data[:size:size]
				return nil
			})
		},
		Rename: func(from, to string) error {
			return d.perform("rename", func() error {
				n := d.current[from]
				d.updateDir(func(dir map[string]*inode) {
					delete(dir, from)
					dir[to] = n
				})
				return nil
			})
		},
		Remove: func(name string) error {
			return d.perform("remove", func() error {
				d.updateDir(func(dir map[string]*inode) { delete(dir, name) })
				return nil
			})
		},
		SyncDir: func(string) error {
			return d.perform("syncdir", func() error {
				for _, change := range d.pending {
					change(d.synced)
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
			return d.perform("write", func() error {
				if d.spaceLimited && len(data) > d.freeSpace {
					n.data = append(n.data, data[:d.freeSpace]...)
					d.freeSpace = 0
					return &fs.PathError{Op: "write", Path: "file", Err: syscall.ENOSPC}
				}
				d.freeSpace -= len(data)
				n.data = append(n.data, data...)
				return nil
			})
		},
		Sync: func() error {
			return d.perform("sync", func() error {
				n.synced = append([]byte(nil), n.data...)
				return nil
			})
		},
		Close: func() error { return d.perform("close", func() error { return nil }) },
	}
}

func (d *disk) clone() *disk {
	next := newDisk(1)
	for name, n := range d.current {
		next.current[name] = &inode{append([]byte(nil), n.data...), append([]byte(nil), n.data...)}
		next.synced[name] = next.current[name]
	}
	return next
}

package store

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
)

// Files holds the file operations of a store. Tests replace them to simulate
// failures and crashes.
type Files struct {
	Mkdir    func(dir string) error
	List     func(dir string) ([]string, error) // base names in ascending order
	Read     func(name string) ([]byte, error)
	Create   func(name string) (Handle, error) // truncates an existing file; writes append
	Append   func(name string) (Handle, error) // opens an existing file; writes append
	Truncate func(name string, size int64) error
	Rename   func(from, to string) error
	Remove   func(name string) error
	SyncDir  func(dir string) error
}

// Handle holds the operations of an open file.
type Handle struct {
	Write func(data []byte) error
	Sync  func() error
	Close func() error
}

// OS returns the file operations of the operating system.
func OS() Files {
	return Files{
		Mkdir: func(dir string) error { return os.MkdirAll(dir, 0o750) },
		List:  listFiles,
		Read:  os.ReadFile,
		Create: func(name string) (Handle, error) {
			return openFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND)
		},
		Append: func(name string) (Handle, error) { return openFile(name, os.O_WRONLY|os.O_APPEND) },
		Truncate: func(name string, size int64) error {
			return os.Truncate(name, size)
		},
		Rename:  os.Rename,
		Remove:  os.Remove,
		SyncDir: syncDir,
	}
}

func openFile(name string, flag int) (Handle, error) {
	f, err := os.OpenFile(name, flag, 0o640)
	if err != nil {
		return Handle{}, err
	}
	return Handle{
		Write: func(data []byte) error {
			_, err := f.Write(data)
			return err
		},
		Sync:  f.Sync,
		Close: f.Close,
	}, nil
}

func listFiles(dir string) ([]string, error) {
	found, err := os.ReadDir(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var names []string
	for _, f := range found {
		if !f.IsDir() {
			names = append(names, f.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

func syncDir(dir string) error {
	f, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

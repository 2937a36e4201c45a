package rosterstore

import (
	"io"
	"io/fs"
	"os"
)

// fileSystem is the part of a file system that the store uses, so that tests can break it at
// any step.
type fileSystem interface {
	List(dir string) ([]string, error)
	Read(path string) ([]byte, error)
	// Create makes a new file and fails where there is one.
	Create(path string) (file, error)
	// Link gives a file a further name and fails where that is taken.
	Link(from, to string) error
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(dir string) error
}

type file interface {
	io.Writer
	Sync() error
	Close() error
}

// osFileSystem is the real one.
type osFileSystem struct{}

func (osFileSystem) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// Read guards memory against a file that has grown, or is none.
func (osFileSystem) Read(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if info, err := f.Stat(); err != nil || !info.Mode().IsRegular() {
		return nil, &fs.PathError{Op: "read", Path: path, Err: fs.ErrInvalid}
	}
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err == nil && len(text) > maxFileBytes {
		err = ErrTooLarge
	}
	return text, err
}

func (osFileSystem) Create(path string) (file, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
}

func (osFileSystem) Link(from, to string) error   { return os.Link(from, to) }
func (osFileSystem) Rename(from, to string) error { return os.Rename(from, to) }
func (osFileSystem) Remove(path string) error     { return os.Remove(path) }

func (osFileSystem) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

package rosterstore

import (
	"io"
	"io/fs"
	"os"
)

// fileSystem is the part of a file system that the store uses. Tests replace it by one that fails at any step.
type fileSystem interface {
	// List returns the names of a folder's files.
	List(dir string) ([]string, error)
	// Read returns the content of a file, and fails for one that is larger than maxFileBytes or no regular file.
	Read(path string) ([]byte, error)
	// Create makes a new file and fails if the path exists.
	Create(path string) (file, error)
	// Link gives a file a further name and fails if the name exists.
	Link(from, to string) error
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes the names of a folder's files durable.
	SyncDir(dir string) error
}

// file is a file that is open for writing.
type file interface {
	io.Writer
	Sync() error
	Close() error
}

// osFileSystem is the operating system's file system.
type osFileSystem struct{}

// List implements fileSystem.
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

// Read implements fileSystem.
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

// Create implements fileSystem.
func (osFileSystem) Create(path string) (file, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
}

// Link implements fileSystem.
func (osFileSystem) Link(from, to string) error { return os.Link(from, to) }

// Rename implements fileSystem.
func (osFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements fileSystem.
func (osFileSystem) Remove(path string) error { return os.Remove(path) }

// SyncDir implements fileSystem.
func (osFileSystem) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

package rosterstore

import (
	"io"
	"io/fs"
	"os"
)

// fileSystem holds the file operations that the store uses. Tests inject faults through it.
type fileSystem interface {
	// List returns the names of the files in a directory.
	List(dir string) ([]string, error)
	// Read returns the content of a file. It fails with ErrTooLarge if the file is larger than
	// maxFileBytes, and with fs.ErrInvalid if it is not a regular file.
	Read(path string) ([]byte, error)
	// Create creates a file for writing. It fails with fs.ErrExist if the path exists.
	Create(path string) (file, error)
	// Link creates a hard link to a file. It fails with fs.ErrExist if the new path exists.
	Link(from, to string) error
	// Rename moves a file and replaces an existing file at the new path.
	Rename(from, to string) error
	// Remove deletes a file. It fails with fs.ErrNotExist if there is none.
	Remove(path string) error
	// SyncDir makes the directory entries of a directory durable.
	SyncDir(dir string) error
}

// file is a file that is open for writing.
type file interface {
	io.Writer
	Sync() error
	Close() error
}

// osFileSystem implements fileSystem by the operating system's files.
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
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err == nil && len(data) > maxFileBytes {
		err = ErrTooLarge
	}
	return data, err
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

package journal

import (
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

const (
	stateFile        = "state"
	newStateFile     = "state.new"
	damagedStateFile = "state.damaged"
	fileMode         = 0o600
)

// File is a member's file on a disk. Its calls block for the disk; it is not safe for concurrent use.
type File struct {
	dir  string
	file *os.File
	size int64
}

// Size returns the file's length in bytes.
func (f *File) Size() int64 { return f.size }

// Load reads the file of a folder without changing anything, as of a member that may be running.
func Load(dir string) (State, error) {
	data, err := os.ReadFile(filepath.Join(dir, stateFile))
	if err != nil {
		return State{}, errors.Wrap(err, "journal: the file can't be read")
	}
	state, _, err := Read(data)
	return state, err
}

// Create writes a whole file into a folder that has none.
func Create(dir string, content []byte) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "journal: the folder can't be made")
	}
	file, err := os.OpenFile(filepath.Join(dir, stateFile), os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return errors.Wrap(err, "journal: the folder holds a file already, or can't be written to")
	}
	defer file.Close()
	return errors.Wrap(writeAndSync(file, content), "journal: the file can't be written")
}

// Open reads the file of a folder, which is made if it is missing, and leaves it cut after its last
// good record. A file that is damaged is put aside, and the state returned is empty together with
// ErrDamaged: the member comes back as one that has lost its disk.
func Open(dir string) (*File, State, error) {
	empty, _, _ := Read(nil)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, empty, errors.Wrap(err, "journal: the folder can't be made")
	}
	path := filepath.Join(dir, stateFile)
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, empty, errors.Wrap(err, "journal: the file can't be read")
	}
	state, validLength, damage := Read(data)
	if errors.Is(damage, ErrFormat) {
		return nil, empty, errors.Wrap(damage, path)
	}
	if damage != nil {
		if err := os.Rename(path, filepath.Join(dir, damagedStateFile)); err != nil {
			return nil, empty, errors.Wrap(err, "journal: the damaged file can't be put aside")
		}
		state, validLength = empty, 0
	}
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, empty, errors.Wrap(err, "journal: the file can't be opened")
	}
	f := &File{dir: dir, file: file}
	if err := f.truncate(int64(validLength)); err != nil {
		return nil, empty, err
	}
	return f, state, damage
}

// truncate shortens the file to its good records, so that later ones follow those.
func (f *File) truncate(validLength int64) error {
	if err := f.file.Truncate(validLength); err != nil {
		return errors.Wrap(err, "journal: the torn end can't be cut off")
	}
	f.size = validLength
	if _, err := f.file.Seek(validLength, 0); err != nil {
		return errors.Wrap(err, "journal: the file has no end")
	}
	if err := f.file.Sync(); err != nil {
		return errors.Wrap(err, "journal: the file can't be synced")
	}
	return f.syncDir()
}

// Write appends records and syncs them.
func (f *File) Write(records []byte) error {
	n, err := f.file.Write(records)
	f.size += int64(n)
	if err != nil {
		return errors.Wrap(err, "journal: a write failed")
	}
	return errors.Wrap(f.file.Sync(), "journal: a sync failed")
}

// Rewrite replaces the whole file: a new one is written and synced, then takes the old one's name.
func (f *File) Rewrite(content io.WriterTo) error {
	path := filepath.Join(f.dir, newStateFile)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return errors.Wrap(err, "journal: the new file can't be made")
	}
	size, err := writeImage(file, content)
	if err == nil {
		err = os.Rename(path, filepath.Join(f.dir, stateFile))
	}
	if err != nil {
		file.Close()
		return errors.Wrap(err, "journal: the new file can't be put in place")
	}
	f.file.Close()
	f.file, f.size = file, size
	return f.syncDir()
}

// writeImage writes a whole file and syncs it.
func writeImage(file *os.File, content io.WriterTo) (int64, error) {
	size, err := content.WriteTo(file)
	if err != nil {
		return size, err
	}
	return size, file.Sync()
}

func writeAndSync(file *os.File, content []byte) error {
	if _, err := file.Write(content); err != nil {
		return err
	}
	return file.Sync()
}

func (f *File) syncDir() error {
	dir, err := os.Open(f.dir)
	if err != nil {
		return errors.Wrap(err, "journal: the folder can't be opened")
	}
	defer dir.Close()
	return errors.Wrap(dir.Sync(), "journal: the folder can't be synced")
}

// Close closes the file.
func (f *File) Close() error { return f.file.Close() }

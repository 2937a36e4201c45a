package journal

import (
	"bytes"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

const (
	stateFile        = "state"
	newStateFile     = "state.new"     // a rewritten file before it replaces the old one
	damagedStateFile = "state.damaged" // a damaged file, kept for inspection
	fileMode         = 0o600
	dirMode          = 0o700
)

// File is the open state file of a member. Its methods block on disk I/O.
type File struct {
	dir  string
	file *os.File
	size int64
}

// Load reads the state file in a directory without changing it, so that the member may be running. It returns the errors of
// Read.
func Load(dir string) (State, error) {
	data, err := os.ReadFile(filepath.Join(dir, stateFile))
	if err != nil {
		return State{}, errors.Wrap(err, "journal: reading the state file")
	}
	state, _, err := Read(data)
	return state, err
}

// Create writes and syncs the state file of a new member. It creates the directory if necessary and returns an error if the
// directory already contains a state file.
func Create(dir string, content []byte) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return errors.Wrap(err, "journal: creating the folder")
	}
	file, err := os.OpenFile(filepath.Join(dir, stateFile), os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return errors.Wrap(err, "journal: creating the state file in a folder without one")
	}
	defer file.Close()
	_, err = writeAndSync(file, bytes.NewReader(content))
	return errors.Wrap(err, "journal: writing the state file")
}

// Open reads the state file in a directory, creates it if necessary, and truncates it after its valid records. If the file is
// damaged, Open renames it and returns an empty File, an empty state and ErrDamaged, so that the member continues as if it
// had lost its disk. With any other error the File is nil.
func Open(dir string) (*File, State, error) {
	empty, _, _ := Read(nil)
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, empty, errors.Wrap(err, "journal: creating the folder")
	}
	path := filepath.Join(dir, stateFile)
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, empty, errors.Wrap(err, "journal: reading the state file")
	}
	state, validLength, damage := Read(data)
	if errors.Is(damage, ErrFormat) {
		return nil, empty, errors.Wrap(damage, path)
	}
	if damage != nil {
		if err := os.Rename(path, filepath.Join(dir, damagedStateFile)); err != nil {
			return nil, empty, errors.Wrap(err, "journal: renaming the damaged state file")
		}
		state, validLength = empty, 0
	}
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, empty, errors.Wrap(err, "journal: opening the state file")
	}
	f := &File{dir: dir, file: file}
	if err := f.truncate(int64(validLength)); err != nil {
		return nil, empty, err
	}
	return f, state, damage
}

// Size returns the length of the file, in bytes.
func (f *File) Size() int64 { return f.size }

// Write appends records and syncs the file. After an error it is unknown how many of their bytes are on disk.
func (f *File) Write(records []byte) error {
	n, err := f.file.Write(records)
	f.size += int64(n)
	if err != nil {
		return errors.Wrap(err, "journal: appending records")
	}
	return errors.Wrap(f.file.Sync(), "journal: syncing the state file")
}

// Rewrite replaces the content of the file. It writes and syncs a new file and then renames it to the old one's name, so that
// a crash leaves either the old content or the new.
func (f *File) Rewrite(content io.WriterTo) error {
	path := filepath.Join(f.dir, newStateFile)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return errors.Wrap(err, "journal: creating the new state file")
	}
	size, err := writeAndSync(file, content)
	if err == nil {
		err = os.Rename(path, filepath.Join(f.dir, stateFile))
	}
	if err != nil {
		file.Close() // the incomplete new file is not used
		return errors.Wrap(err, "journal: replacing the state file")
	}
	f.file.Close() // its error does not matter: everything still needed was synced
	f.file, f.size = file, size
	return f.syncDir()
}

// Close closes the file. All records written have already been synced.
func (f *File) Close() error { return f.file.Close() }

// truncate truncates the file after its valid records, where new records are appended.
func (f *File) truncate(validLength int64) error {
	if err := f.file.Truncate(validLength); err != nil {
		return errors.Wrap(err, "journal: cutting off the torn end of the state file")
	}
	f.size = validLength
	if _, err := f.file.Seek(validLength, io.SeekStart); err != nil {
		return errors.Wrap(err, "journal: seeking the end of the state file")
	}
	if err := f.file.Sync(); err != nil {
		return errors.Wrap(err, "journal: syncing the state file")
	}
	return f.syncDir()
}

// syncDir syncs the directory, so that the creation or renaming of a file survives a crash.
func (f *File) syncDir() error {
	dir, err := os.Open(f.dir)
	if err != nil {
		return errors.Wrap(err, "journal: opening the folder")
	}
	defer dir.Close()
	return errors.Wrap(dir.Sync(), "journal: syncing the folder")
}

// writeAndSync writes content to a file, syncs the file and returns the number of bytes written.
func writeAndSync(file *os.File, content io.WriterTo) (int64, error) {
	size, err := content.WriteTo(file)
	if err != nil {
		return size, err
	}
	return size, file.Sync()
}

package rosterstore

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
)

// Dir accesses the generations of one dispatcher in a directory. Several dispatchers may share a
// directory, and so may the old and the new process of one dispatcher during an upgrade. It is not
// safe for concurrent use within a process.
type Dir struct {
	path           string
	name           string // of the dispatcher; empty for any
	maxGenerations int    // number of generations, and of corrupt files, that prune keeps
	files          fileSystem
	nextGeneration uint64 // lowest number that a new generation may get
}

// The parts of file names. A generation's file is named roster-HASH-NUMBER.state, where HASH is the
// hash of the dispatcher's name.
const (
	prefix        = "roster-"
	suffix        = ".state"
	corruptSuffix = ".bad" // appended to the name of a corrupt file
	tempSuffix    = ".new" // of a temporary file, which is named roster-HASH-PID.new
)

// Open returns the Dir of a dispatcher at a path. It creates the directory if it does not exist and
// reads no files. Save keeps the given number of generations.
func Open(path, name string, retained int) (*Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("create state directory: %w", err)
	}
	return &Dir{path: path, name: name, maxGenerations: retained, files: osFileSystem{}}, nil
}

// SetDispatcher selects another dispatcher, whose generations are read and written from now on.
func (d *Dir) SetDispatcher(name string) { d.name, d.nextGeneration = name, 0 }

// StoredFile is the file of a generation and the result of reading it.
type StoredFile struct {
	File       string    // file name, without the directory
	Generation uint64    // higher numbers are newer
	Snapshot   *Snapshot // nil if the file could not be read
	Err        error     // why the file could not be read
}

// namePrefix returns the common prefix of the names of this dispatcher's files. The dispatcher's
// name is hashed, as it may contain characters that are not allowed in file names.
func (d *Dir) namePrefix() string {
	h := fnv.New32a()
	h.Write([]byte(d.name))
	return fmt.Sprintf("%s%08x-", prefix, h.Sum32())
}

// generations returns the files of the generations, newest first, without reading them. They are
// ordered by number, not by time, as the clock may have been set back between two of them.
func (d *Dir) generations() ([]StoredFile, error) {
	names, err := d.files.List(d.path)
	if err != nil {
		return nil, fmt.Errorf("list state directory: %w", err)
	}
	var out []StoredFile
	for _, name := range names {
		digits, ok := strings.CutPrefix(strings.TrimSuffix(name, suffix), d.namePrefix())
		if d.name == "" { // of any dispatcher
			_, digits, ok = strings.Cut(strings.TrimPrefix(strings.TrimSuffix(name, suffix), prefix), "-")
		}
		if !ok || !strings.HasSuffix(name, suffix) {
			continue
		}
		if n, err := strconv.ParseUint(digits, 10, 64); err == nil {
			out = append(out, StoredFile{File: name, Generation: n})
		}
	}
	slices.SortFunc(out, func(a, b StoredFile) int { return cmp.Compare(b.Generation, a.Generation) })
	return out, nil
}

// ReadAll reads every generation and returns them, newest first. The error of a file that can't be
// read is in its StoredFile. Unlike Load it changes no files.
func (d *Dir) ReadAll() ([]StoredFile, error) {
	files, err := d.generations()
	for i := range files {
		f := &files[i]
		var data []byte
		if data, f.Err = d.files.Read(filepath.Join(d.path, f.File)); f.Err == nil {
			f.Snapshot, f.Err = Decode(data, d.name)
		}
	}
	return files, err
}

// Load returns the newest generation that can be read, nil if there is none. It calls onSkipped for
// each file that it skips as unreadable. A corrupt or too large file is renamed so that it is not
// read again; a file of a newer program version stays, as that version may be started again. Load
// also removes the temporary files that ended processes left behind.
func (d *Dir) Load(onSkipped func(file string, reason error)) (*Snapshot, error) {
	files, err := d.generations()
	if err != nil {
		return nil, err
	}
	for _, f := range files {
		d.nextGeneration = max(d.nextGeneration, f.Generation+1)
	}
	d.removeStaleTempFiles()
	for _, f := range files {
		path := filepath.Join(d.path, f.File)
		data, err := d.files.Read(path)
		if err == nil {
			f.Snapshot, err = Decode(data, d.name)
		}
		if err == nil {
			return f.Snapshot, nil
		}
		if errors.Is(err, fs.ErrNotExist) {
			continue // the other process of an upgrade removed it meanwhile
		}
		if errors.Is(err, ErrCorrupt) || errors.Is(err, ErrTooLarge) {
			_ = d.files.Rename(path, path+corruptSuffix) // on failure it is skipped again
		}
		onSkipped(f.File, err)
	}
	return nil, nil
}

// removeStaleTempFiles removes the temporary files of processes that ended during a write.
func (d *Dir) removeStaleTempFiles() {
	names, err := d.files.List(d.path)
	if err != nil {
		return
	}
	for _, name := range names {
		pidText, ok := strings.CutPrefix(strings.TrimSuffix(name, tempSuffix), d.namePrefix())
		pid, err := strconv.Atoi(pidText)
		if ok && strings.HasSuffix(name, tempSuffix) && err == nil && pid > 0 && syscall.Kill(pid, 0) == syscall.ESRCH {
			_ = d.files.Remove(filepath.Join(d.path, name)) // best effort: the file is never read
		}
	}
}

// maxNameAttempts bounds how often in a row Save retries when the other process of an upgrade has
// taken the next generation's name.
const maxNameAttempts = 16

// Save writes a snapshot as the newest generation and removes the oldest generations beyond the
// number that is kept. It writes a temporary file, syncs it, links it to the generation's name and
// syncs the directory, so that every generation's file is complete whenever the process or the
// machine stops. A link never replaces a file, so the two processes of an upgrade do not overwrite
// each other's generations.
func (d *Dir) Save(s *Snapshot) error {
	data, err := Encode(s)
	if err != nil {
		return err
	}
	temp := filepath.Join(d.path, fmt.Sprintf("%s%d%s", d.namePrefix(), os.Getpid(), tempSuffix))
	if err := d.files.Remove(temp); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("remove old temporary state file: %w", err)
	}
	if err := d.write(temp, data); err != nil {
		_ = d.files.Remove(temp) // frees the name for the next Save
		return fmt.Errorf("write temporary state file: %w", err)
	}
	err = d.linkGeneration(temp)
	_ = d.files.Remove(temp) // the generation's link keeps the content
	if err != nil {
		return fmt.Errorf("link state file: %w", err)
	}
	if err := d.files.SyncDir(d.path); err != nil {
		return fmt.Errorf("sync state directory: %w", err)
	}
	return d.prune()
}

// write creates a file with the given content and syncs it.
func (d *Dir) write(path string, data []byte) error {
	f, err := d.files.Create(path)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// linkGeneration links a temporary file to the name of the next free generation. If the name is
// taken, the other process of an upgrade may be many generations ahead, so the next attempt uses
// the number after the newest generation in the directory.
func (d *Dir) linkGeneration(temp string) error {
	var err error
	for range maxNameAttempts {
		number := d.nextGeneration
		d.nextGeneration++
		err = d.files.Link(temp, filepath.Join(d.path, fmt.Sprintf("%s%020d%s", d.namePrefix(), number, suffix)))
		if !errors.Is(err, fs.ErrExist) {
			return err
		}
		files, listErr := d.generations()
		if listErr != nil {
			return listErr
		}
		if len(files) > 0 {
			d.nextGeneration = max(d.nextGeneration, files[0].Generation+1)
		}
	}
	return err
}

// prune removes the oldest generations, and the oldest files that Load renamed as corrupt, beyond
// maxGenerations of each.
func (d *Dir) prune() error {
	files, err := d.generations()
	if err != nil {
		return err
	}
	var failures []error
	remove := func(name string) {
		if err := d.files.Remove(filepath.Join(d.path, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			failures = append(failures, err)
		}
	}
	for _, f := range files[min(len(files), d.maxGenerations):] {
		remove(f.File)
	}
	names, err := d.files.List(d.path)
	if err != nil {
		return errors.Join(append(failures, err)...)
	}
	corruptFiles := slices.DeleteFunc(names, func(name string) bool {
		return !strings.HasPrefix(name, d.namePrefix()) || !strings.HasSuffix(name, corruptSuffix)
	})
	slices.Sort(corruptFiles)
	for _, name := range corruptFiles[:max(len(corruptFiles)-d.maxGenerations, 0)] {
		remove(name)
	}
	return errors.Join(failures...)
}

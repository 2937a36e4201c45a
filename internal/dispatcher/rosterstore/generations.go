package rosterstore

import (
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

// Dir is a folder with the generations of one dispatcher, or of several by their names.
type Dir struct {
	path           string
	name           string
	retained       int
	files          fileSystem
	nextGeneration uint64 // the least number that a new generation may have
}

// Open names the folder, the dispatcher and how many generations are kept; it makes the
// folder if there is none. It reads nothing.
func Open(path, name string, keep int) (*Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("the folder of the state: %w", err)
	}
	return &Dir{path: path, name: name, retained: keep, files: osFileSystem{}}, nil
}

// Rename has the folder be of another dispatcher from now on.
func (d *Dir) Rename(name string) { d.name, d.nextGeneration = name, 0 }

// StoredFile is a file of the folder and what came of reading it.
type StoredFile struct {
	File       string
	Generation uint64
	Snapshot   *Snapshot // nil where it can't be read
	Err        error     // why
}

const (
	prefix        = "roster-"
	suffix        = ".state"
	corruptSuffix = ".bad" // after the name of a file that was set aside
	draftSuffix   = ".new" // after that of one that is being written
)

// stem begins the names of this dispatcher's files. Guards against names that no file can
// have, and keeps dispatchers apart that share a folder.
func (d *Dir) stem() string {
	h := fnv.New32a()
	h.Write([]byte(d.name))
	return fmt.Sprintf("%s%08x-", prefix, h.Sum32())
}

// generations returns the generations' files by their numbers, the newest first.
func (d *Dir) generations() ([]StoredFile, error) {
	names, err := d.files.List(d.path)
	if err != nil {
		return nil, fmt.Errorf("the folder of the state: %w", err)
	}
	var out []StoredFile
	for _, name := range names {
		digits, ok := strings.CutPrefix(strings.TrimSuffix(name, suffix), d.stem())
		if d.name == "" { // anybody's
			_, digits, ok = strings.Cut(strings.TrimPrefix(strings.TrimSuffix(name, suffix), prefix), "-")
		}
		if !ok || !strings.HasSuffix(name, suffix) {
			continue
		}
		if n, err := strconv.ParseUint(digits, 10, 64); err == nil {
			out = append(out, StoredFile{File: name, Generation: n})
		}
	}
	// By number, not by time: the clock may have gone back between two of them.
	slices.SortFunc(out, func(a, b StoredFile) int { return -compare(a.Generation, b.Generation) })
	return out, nil
}

func compare(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// ReadAll reads every generation, the newest first, and changes nothing.
func (d *Dir) ReadAll() ([]StoredFile, error) {
	files, err := d.generations()
	for i := range files {
		f := &files[i]
		var text []byte
		if text, f.Err = d.files.Read(filepath.Join(d.path, f.File)); f.Err == nil {
			f.Snapshot, f.Err = Decode(text, d.name)
		}
	}
	return files, err
}

// Load returns the newest generation that can be read, nil if there is none. Files that
// are broken are set aside under another name, and said is told of each that is passed
// over; one of a newer version stays, as that program may come back.
func (d *Dir) Load(skipped func(file string, reason error)) (*Snapshot, error) {
	files, err := d.generations()
	if err != nil {
		return nil, err
	}
	for _, f := range files {
		d.nextGeneration = max(d.nextGeneration, f.Generation+1)
	}
	d.removeDrafts()
	for _, f := range files {
		path := filepath.Join(d.path, f.File)
		text, err := d.files.Read(path)
		if err == nil {
			f.Snapshot, err = Decode(text, d.name)
		}
		if err == nil {
			return f.Snapshot, nil
		}
		if errors.Is(err, fs.ErrNotExist) {
			continue // the other process of an upgrade has just let it go
		}
		if errors.Is(err, ErrCorrupt) || errors.Is(err, ErrTooLarge) {
			_ = d.files.Rename(path, path+corruptSuffix) // where it can't be, it is passed over again next time
		}
		skipped(f.File, err)
	}
	return nil, nil
}

// removeDrafts removes the drafts of processes that have ended in the middle of one.
func (d *Dir) removeDrafts() {
	names, err := d.files.List(d.path)
	if err != nil {
		return
	}
	for _, name := range names {
		text, ok := strings.CutPrefix(strings.TrimSuffix(name, draftSuffix), d.stem())
		pid, err := strconv.Atoi(text)
		if ok && strings.HasSuffix(name, draftSuffix) && err == nil && pid > 0 && syscall.Kill(pid, 0) == syscall.ESRCH {
			_ = d.files.Remove(filepath.Join(d.path, name)) // it does no harm
		}
	}
}

// maxNameAttempts bounds how often a name is taken by the other process in the same moment.
const maxNameAttempts = 16

// Save writes a further generation: a file of its own, synced, then given its name, then
// the folder is synced; so that whatever happens at any moment each name stands for a
// whole file. Older generations than are kept go. Guards the other process of an upgrade
// by a name that can be given once: no file ever replaces another.
func (d *Dir) Save(s *Snapshot) error {
	text, err := Encode(s)
	if err != nil {
		return err
	}
	draft := filepath.Join(d.path, fmt.Sprintf("%s%d%s", d.stem(), os.Getpid(), draftSuffix))
	if err := d.files.Remove(draft); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("an old draft: %w", err)
	}
	if err := d.write(draft, text); err != nil {
		_ = d.files.Remove(draft) // room for the next one
		return fmt.Errorf("writing the state: %w", err)
	}
	for range maxNameAttempts {
		number := d.nextGeneration
		d.nextGeneration++
		err = d.files.Link(draft, filepath.Join(d.path, fmt.Sprintf("%s%020d%s", d.stem(), number, suffix)))
		if !errors.Is(err, fs.ErrExist) {
			break
		}
	}
	_ = d.files.Remove(draft)
	if err != nil {
		return fmt.Errorf("naming the state: %w", err)
	}
	if err := d.files.SyncDir(d.path); err != nil {
		return fmt.Errorf("syncing the folder of the state: %w", err)
	}
	return d.prune()
}

func (d *Dir) write(path string, text []byte) error {
	f, err := d.files.Create(path)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// prune lets go of generations past those that are kept, and of what was set aside past
// as many.
func (d *Dir) prune() error {
	files, err := d.generations()
	if err != nil {
		return err
	}
	var failures []error
	for _, f := range files[min(len(files), d.retained):] {
		if err := d.files.Remove(filepath.Join(d.path, f.File)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			failures = append(failures, err)
		}
	}
	names, err := d.files.List(d.path)
	if err != nil {
		return errors.Join(append(failures, err)...)
	}
	corrupt := slices.DeleteFunc(names, func(name string) bool {
		return !strings.HasPrefix(name, d.stem()) || !strings.HasSuffix(name, corruptSuffix)
	})
	slices.Sort(corrupt)
	for _, name := range corrupt[:max(len(corrupt)-d.retained, 0)] {
		if err := d.files.Remove(filepath.Join(d.path, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			failures = append(failures, err)
		}
	}
	return errors.Join(failures...)
}

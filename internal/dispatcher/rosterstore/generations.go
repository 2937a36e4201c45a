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

// Dir is a folder with the generations of one dispatcher. Several dispatchers may share a folder, as may the two
// processes of an upgrade. It is not safe for concurrent use within a process.
type Dir struct {
	path           string
	name           string // the dispatcher's; empty for any
	retained       int    // generations that are kept
	files          fileSystem
	nextGeneration uint64 // the lowest number that a new generation may have
}

// The parts of file names.
const (
	prefix        = "roster-"
	suffix        = ".state"
	corruptSuffix = ".bad" // follows the name of a file that was set aside
	draftSuffix   = ".new" // follows the stem and the process id of a file that is being written
)

// Open names the folder, which it makes if there is none, the dispatcher and how many generations are kept. It reads
// nothing.
func Open(path, name string, retained int) (*Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("the folder of the state: %w", err)
	}
	return &Dir{path: path, name: name, retained: retained, files: osFileSystem{}}, nil
}

// Rename changes the dispatcher whose generations are read and written from now on.
func (d *Dir) Rename(name string) { d.name, d.nextGeneration = name, 0 }

// StoredFile is a file of the folder and the result of reading it.
type StoredFile struct {
	File       string // its name in the folder
	Generation uint64
	Snapshot   *Snapshot // nil if it can't be read
	Err        error     // why it can't
}

// stem returns how the names of this dispatcher's files begin. The dispatcher's name is hashed, as it may hold
// characters that a file name can't.
func (d *Dir) stem() string {
	h := fnv.New32a()
	h.Write([]byte(d.name))
	return fmt.Sprintf("%s%08x-", prefix, h.Sum32())
}

// generations returns the generations' files, the newest first, without reading them. They are ordered by number, not by
// time: the clock may have been set back between two of them.
func (d *Dir) generations() ([]StoredFile, error) {
	names, err := d.files.List(d.path)
	if err != nil {
		return nil, fmt.Errorf("the folder of the state: %w", err)
	}
	var out []StoredFile
	for _, name := range names {
		digits, ok := strings.CutPrefix(strings.TrimSuffix(name, suffix), d.stem())
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

// Load returns the newest generation that can be read, nil if there is none. A corrupt file is set aside under another
// name; one of a newer version of the program stays, as that program may be started again. Skipped is called for each
// file that can't be read.
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
			continue // the other process of an upgrade has just removed it
		}
		if errors.Is(err, ErrCorrupt) || errors.Is(err, ErrTooLarge) {
			_ = d.files.Rename(path, path+corruptSuffix) // if that fails, it is skipped again next time
		}
		skipped(f.File, err)
	}
	return nil, nil
}

// removeDrafts removes the drafts of processes that ended during a write.
func (d *Dir) removeDrafts() {
	names, err := d.files.List(d.path)
	if err != nil {
		return
	}
	for _, name := range names {
		text, ok := strings.CutPrefix(strings.TrimSuffix(name, draftSuffix), d.stem())
		pid, err := strconv.Atoi(text)
		if ok && strings.HasSuffix(name, draftSuffix) && err == nil && pid > 0 && syscall.Kill(pid, 0) == syscall.ESRCH {
			_ = d.files.Remove(filepath.Join(d.path, name)) // a draft that stays does no harm
		}
	}
}

// maxNameAttempts bounds how often in a row the other process of an upgrade may take the next generation's name.
const maxNameAttempts = 16

// Save writes a further generation and removes those past the number that is kept. The generation is written to a draft,
// which is synced, linked to its name, and the folder synced: whenever the process or the machine stops, each name stands
// for a complete file. A link never replaces a file, so the two processes of an upgrade do not overwrite each other's.
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
		_ = d.files.Remove(draft) // makes room for the next one
		return fmt.Errorf("writing the state: %w", err)
	}
	err = d.linkGeneration(draft)
	_ = d.files.Remove(draft) // the content stays under the generation's name
	if err != nil {
		return fmt.Errorf("naming the state: %w", err)
	}
	if err := d.files.SyncDir(d.path); err != nil {
		return fmt.Errorf("syncing the folder of the state: %w", err)
	}
	return d.prune()
}

// write writes and syncs a new file.
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

// linkGeneration gives a draft the name of the next generation that is free. Where the name is taken, the other process
// may be many generations ahead: the next attempt follows the newest.
func (d *Dir) linkGeneration(draft string) error {
	var err error
	for range maxNameAttempts {
		number := d.nextGeneration
		d.nextGeneration++
		err = d.files.Link(draft, filepath.Join(d.path, fmt.Sprintf("%s%020d%s", d.stem(), number, suffix)))
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

// prune removes generations past those that are kept, and files that were set aside past as many.
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
	for _, f := range files[min(len(files), d.retained):] {
		remove(f.File)
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
		remove(name)
	}
	return errors.Join(failures...)
}

package rosterstore

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// testSnapshot returns a snapshot every part of which holds the number, so that a mixture of two
// snapshots is detected.
func testSnapshot(number, nodes int) *Snapshot {
	s := &Snapshot{Name: "n0", Saved: time.Duration(number), Rev: uint64(number), Discovery: fmt.Sprint("d", number)}
	for i := range nodes {
		uid := fmt.Sprintf("s-%d", i)
		s.Nodes = append(s.Nodes, Node{UID: uid, Entry: json.RawMessage(fmt.Sprintf(`{"uid":%q,"n":%d}`, uid, number)),
			Confirmed: time.Duration(number), By: ByDiscovery})
	}
	return s
}

// checkTestSnapshot returns an error if a snapshot differs from that of testSnapshot for its Rev
// and number of nodes.
func checkTestSnapshot(s *Snapshot) error {
	if diff := cmp.Diff(testSnapshot(int(s.Rev), len(s.Nodes)), s); diff != "" {
		return fmt.Errorf("snapshot differs from the one that was saved (-want +got):\n%s", diff)
	}
	return nil
}

func encode(t *testing.T, s *Snapshot) []byte {
	t.Helper()
	data, err := Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestDecode checks that Decode rejects a file that is truncated at any byte, has any bit
// flipped, is too long, has a newer version, or belongs to another dispatcher.
func TestDecode(t *testing.T) {
	good := encode(t, testSnapshot(7, 3))
	s, err := Decode(good, "n0")
	if err != nil || checkTestSnapshot(s) != nil {
		t.Fatal(err, checkTestSnapshot(s))
	}
	for n := range good {
		if _, err := Decode(good[:n], ""); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("file truncated to %d bytes: got %v, want ErrCorrupt", n, err)
		}
		for bit := range 8 {
			bad := bytes.Clone(good)
			bad[n] ^= 1 << bit
			if _, err := Decode(bad, ""); err == nil {
				t.Fatalf("bit %d of byte %d flipped: got no error", bit, n)
			}
		}
	}
	if _, err := Decode(append(bytes.Clone(good), 0), ""); !errors.Is(err, ErrCorrupt) {
		t.Errorf("file with a trailing byte: got %v, want ErrCorrupt", err)
	}
	newer := bytes.Clone(good)
	binary.BigEndian.PutUint32(newer[len(magicNumber):], version+1)
	if _, err := Decode(newer, ""); !errors.Is(err, ErrNewerVersion) {
		t.Errorf("file of a newer version: got %v, want ErrNewerVersion", err)
	}
	if _, err := Decode(good, "n1"); !errors.Is(err, ErrOtherDispatcher) {
		t.Errorf("file of another dispatcher: got %v, want ErrOtherDispatcher", err)
	}
}

// FuzzDecode checks that Decode returns either a snapshot or an error for any input.
func FuzzDecode(f *testing.F) {
	good, _ := Encode(testSnapshot(7, 3))
	f.Add(good)
	f.Add(good[:headerSize])
	f.Fuzz(func(t *testing.T, file []byte) {
		if s, err := Decode(file, ""); (s == nil) == (err == nil) {
			t.Errorf("got snapshot %v and error %v, want exactly one of them", s, err)
		}
	})
}

// memFS is an in-memory file system that loses unsynced data in a crash and injects a fault at a
// given step.
type memFS struct {
	names           map[string]*inode // as processes see them
	synced          map[string]*inode // as they are on disk
	stepsUntilFault int               // steps before the fault occurs; below 0 for never
	fault           string            // steps that fail: "off": all; "full": writes; "ro": changes
}

// inode is the content of a file: everything that was written, and the synced part of it.
type inode struct{ data, synced []byte }

var errPowerOff = errors.New("power is off")

func newMemFS() *memFS {
	return &memFS{names: map[string]*inode{}, synced: map[string]*inode{}, stepsUntilFault: -1}
}

// step counts an operation and returns the error of the injected fault, if any. The operation
// writes data if writes is set, and modifies the file system if changes is set.
func (m *memFS) step(writes, changes bool) error {
	if m.stepsUntilFault > 0 {
		m.stepsUntilFault--
	}
	if m.stepsUntilFault != 0 {
		return nil
	}
	switch {
	case m.fault == "off":
		return errPowerOff
	case m.fault == "full" && writes:
		return syscall.ENOSPC
	case m.fault == "ro" && changes:
		return syscall.EROFS
	}
	return nil
}

// crash simulates a power failure: directory entries that were not synced may or may not exist,
// and unsynced content is truncated anywhere.
func (m *memFS) crash(draw func(n int) int) {
	all := map[string]bool{}
	for name := range m.names {
		all[name] = true
	}
	for name := range m.synced {
		all[name] = true
	}
	remaining := map[string]*inode{}
	for _, name := range slices.Sorted(keys(all)) {
		current, synced := m.names[name], m.synced[name]
		node := synced
		if draw(2) == 0 {
			node = current
		}
		if node == nil {
			continue
		}
		data := node.synced
		if len(node.data) > len(data) {
			data = node.data[:len(data)+draw(len(node.data)-len(data)+1)]
		}
		remaining[name] = &inode{data: bytes.Clone(data), synced: bytes.Clone(data)}
	}
	m.names, m.synced, m.stepsUntilFault = remaining, map[string]*inode{}, -1
	for name, node := range remaining {
		m.synced[name] = node
	}
}

func keys(m map[string]bool) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

func (m *memFS) List(string) ([]string, error) {
	var out []string
	for name := range m.names {
		out = append(out, filepath.Base(name))
	}
	return out, m.step(false, false)
}

func (m *memFS) Read(path string) ([]byte, error) {
	if n := m.names[path]; n != nil {
		return bytes.Clone(n.data), m.step(false, false)
	}
	return nil, fs.ErrNotExist
}

func (m *memFS) Create(path string) (file, error) {
	if err := m.step(false, true); err != nil {
		return nil, err
	}
	if m.names[path] != nil {
		return nil, fs.ErrExist
	}
	m.names[path] = &inode{}
	return &memFile{m, m.names[path]}, nil
}

func (m *memFS) Link(from, to string) error {
	if err := m.step(false, true); err != nil {
		return err
	}
	if m.names[to] != nil {
		return fs.ErrExist
	}
	m.names[to] = m.names[from]
	return nil
}

func (m *memFS) Rename(from, to string) error {
	if err := m.step(false, true); err != nil {
		return err
	}
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

func (m *memFS) Remove(path string) error {
	if m.names[path] == nil {
		return fs.ErrNotExist
	}
	if err := m.step(false, true); err != nil {
		return err
	}
	delete(m.names, path)
	return nil
}

func (m *memFS) SyncDir(string) error {
	if err := m.step(false, false); err != nil {
		return err
	}
	m.synced = map[string]*inode{}
	for name, node := range m.names {
		m.synced[name] = node
	}
	return nil
}

// memFile is a file of a memFS that is open for writing.
type memFile struct {
	disk *memFS
	node *inode
}

func (o *memFile) Write(data []byte) (int, error) {
	for i := 0; i < len(data); i += 64 { // a write may stop anywhere
		part := data[i:min(i+64, len(data))]
		if err := o.disk.step(true, true); err != nil {
			o.node.data = append(o.node.data, part[:len(part)/2]...)
			return i + len(part)/2, err
		}
		o.node.data = append(o.node.data, part...)
	}
	return len(data), nil
}

func (o *memFile) Sync() error {
	if err := o.disk.step(false, false); err != nil {
		return err
	}
	o.node.synced = bytes.Clone(o.node.data)
	return nil
}

func (o *memFile) Close() error { return o.disk.step(false, false) }

// TestBrokenDisk checks that after any disk fault or power failure Load returns a complete
// generation that is not older than the last one saved without an error.
func TestBrokenDisk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMemFS()
		d := &Dir{path: "/s", name: "n0", maxGenerations: rapid.IntRange(2, 4).Draw(t, "keep"), files: m}
		lastSaved, number := 0, 0
		for range rapid.IntRange(1, 6).Draw(t, "processes") {
			m.fault = rapid.SampledFrom([]string{"off", "full", "ro"}).Draw(t, "fault")
			m.stepsUntilFault = rapid.IntRange(1, 60).Draw(t, "steps")
			for range 4 {
				number++
				if d.Save(testSnapshot(number, rapid.IntRange(0, 20).Draw(t, "nodes"))) == nil {
					lastSaved = number
				}
			}
			if m.fault == "off" || rapid.Bool().Draw(t, "crash") {
				m.crash(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") })
			}
			m.stepsUntilFault = -1
			d = &Dir{path: "/s", name: "n0", maxGenerations: d.maxGenerations, files: m}
			s, err := d.Load(func(string, error) {})
			switch {
			case err != nil:
				t.Fatal(err)
			case s == nil && lastSaved > 0:
				t.Fatalf("generation %d was saved, but Load found none", lastSaved)
			case s == nil:
				continue
			}
			if err := checkTestSnapshot(s); err != nil {
				t.Fatal(err)
			}
			if int(s.Rev) < lastSaved || int(s.Rev) > number {
				t.Fatalf("Load returned generation %d, want one from the last saved, %d, to the newest attempted", s.Rev, lastSaved)
			}
			if files, _ := d.generations(); len(files) > d.maxGenerations+4 {
				t.Fatalf("%d generations are kept, want at most maxGenerations+4", len(files))
			}
		}
	})
}

// TestLoad checks that Load returns the readable generation with the highest number, regardless
// of its time, that it skips unreadable files, and that it renames only the corrupt one.
func TestLoad(t *testing.T) {
	path := t.TempDir()
	d, err := Open(path, "n0", 3)
	if err != nil {
		t.Fatal(err)
	}
	for n := 1; n <= 4; n++ {
		s := testSnapshot(n, 2)
		s.Saved = time.Duration(100 - n)
		if err := d.Save(s); err != nil {
			t.Fatal(err)
		}
	}
	files, err := d.generations()
	if err != nil || len(files) != 3 {
		t.Fatalf("got %d generations, %v; want 3", len(files), err)
	}
	write := func(i int, data []byte) {
		if err := os.WriteFile(filepath.Join(path, files[i].File), data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	newer := encode(t, testSnapshot(9, 1))
	binary.BigEndian.PutUint32(newer[len(magicNumber):], version+1)
	write(0, newer)
	write(1, []byte("torn"))
	var skipped []string
	s, err := d.Load(func(file string, reason error) { skipped = append(skipped, reason.Error()) })
	if err != nil || s == nil || s.Rev != 2 {
		t.Fatalf("Load = %+v, %v; want Rev 2", s, err)
	}
	if diff := cmp.Diff([]string{ErrNewerVersion.Error(), ErrCorrupt.Error()}, skipped); diff != "" {
		t.Errorf("errors of skipped files (-want +got):\n%s", diff)
	}
	names, _ := os.ReadDir(path)
	var remaining []string
	for _, n := range names {
		remaining = append(remaining, strings.TrimPrefix(n.Name(), files[0].File[:len(files[0].File)-len("4.state")]))
	}
	if diff := cmp.Diff([]string{"1.state", "2.state.bad", "3.state"}, remaining); diff != "" {
		t.Errorf("files after Load (-want +got):\n%s", diff)
	}
	if other, err := Open(path, "n1", 3); err != nil {
		t.Fatal(err)
	} else if s, err := other.Load(func(string, error) {}); s != nil || err != nil {
		t.Errorf("Load for another dispatcher = %v, %v; want nil, nil", s, err)
	}
}

// TestSaveByTwoProcesses checks that the two processes of an upgrade can save to one directory at
// the same time without losing a generation of either.
func TestSaveByTwoProcesses(t *testing.T) {
	path := t.TempDir()
	var dirs []*Dir
	for range 2 {
		d, err := Open(path, "n0", 50)
		if err != nil {
			t.Fatal(err)
		}
		d.files = writerFS{osFileSystem{}, len(dirs)}
		dirs = append(dirs, d)
	}
	done := make(chan error, 2)
	for i, d := range dirs {
		go func() {
			for n := range 20 {
				if err := d.Save(testSnapshot(100*i+n, 5)); err != nil {
					done <- err
					return
				}
			}
			done <- nil
		}()
	}
	for range dirs {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	all, err := dirs[0].ReadAll()
	if err != nil || len(all) != 40 {
		t.Fatalf("got %d generations, %v; want 40", len(all), err)
	}
	for _, f := range all {
		if f.Err != nil || checkTestSnapshot(f.Snapshot) != nil {
			t.Errorf("%s: %v", f.File, f.Err)
		}
	}
}

// TestSaveFarBehindOtherProcess checks that Save succeeds in a process that knows of no
// generation while the other process of an upgrade has written more than maxNameAttempts of them.
func TestSaveFarBehindOtherProcess(t *testing.T) {
	path := t.TempDir()
	var dirs []*Dir
	for range 2 {
		d, err := Open(path, "n0", 50)
		if err != nil {
			t.Fatal(err)
		}
		dirs = append(dirs, d)
	}
	for n := range 2*maxNameAttempts + 1 {
		if err := dirs[0].Save(testSnapshot(n, 5)); err != nil {
			t.Fatal(err)
		}
	}
	if err := dirs[1].Save(testSnapshot(100, 5)); err != nil {
		t.Fatal(err)
	}
	all, err := dirs[0].ReadAll()
	if err != nil || len(all) != 2*maxNameAttempts+2 || all[0].Generation != 2*maxNameAttempts+1 {
		t.Fatalf("got %d generations, the newest %d, %v; want all of them, and the new one as the newest", len(all), all[0].Generation, err)
	}
}

// writerFS gives each of two writers in one process its own names of temporary files, as two
// processes have by their process IDs.
type writerFS struct {
	osFileSystem
	number int
}

// tempPath returns the writer's own path for a temporary file, and other paths unchanged.
func (d writerFS) tempPath(path string) string {
	if strings.HasSuffix(path, tempSuffix) {
		return path + strconv.Itoa(d.number)
	}
	return path
}
func (d writerFS) Create(path string) (file, error) { return d.osFileSystem.Create(d.tempPath(path)) }
func (d writerFS) Link(from, to string) error       { return d.osFileSystem.Link(d.tempPath(from), to) }
func (d writerFS) Remove(path string) error         { return d.osFileSystem.Remove(d.tempPath(path)) }

// blockedFS is a file system whose Create blocks until release is closed.
type blockedFS struct {
	*memFS
	release chan struct{}
}

func (h blockedFS) Create(path string) (file, error) {
	<-h.release
	return h.memFS.Create(path)
}

// TestHangingDisk checks that neither Put nor Close waits for a hanging disk, and that only the
// newest snapshot is written once the disk works again.
func TestHangingDisk(t *testing.T) {
	m := blockedFS{newMemFS(), make(chan struct{})}
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := NewWriter(&Dir{path: "/s", name: "n0", maxGenerations: 3, files: m}, time.Millisecond, logrus.NewEntry(log))
	for n := range 1000 {
		w.Put(testSnapshot(n, 1))
	}
	w.Close(time.Now().Add(10 * time.Millisecond))
	close(m.release)
	<-w.done
	if n := w.Written(); n < 1 || n > 2 {
		t.Errorf("%d generations written for 1000 snapshots put at once, want 1 or 2", n)
	}
	s, err := (&Dir{path: "/s", name: "n0", maxGenerations: 3, files: m.memFS}).Load(func(string, error) {})
	if err != nil || s == nil || s.Rev != 999 {
		t.Errorf("Load = %+v, %v; want Rev 999", s, err)
	}
}

// TestKills checks that no generation is lost or corrupt when a process is killed at random
// moments while it saves. CI kills it only a few times; FROSTTIDE_KILLS sets another number.
func TestKills(t *testing.T) {
	if dir := os.Getenv("FROSTTIDE_KILL_DIR"); dir != "" {
		writeUntilKilled(t, dir)
	}
	kills := 12
	if text := os.Getenv("FROSTTIDE_KILLS"); text != "" {
		kills, _ = strconv.Atoi(text)
	}
	dir := t.TempDir()
	last := uint64(0)
	for i := range kills {
		within := 12_000
		if last == 0 { // on a busy machine nothing may have been written so far
			within *= 1 + i
		}
		killWriter(t, dir, time.Duration(rand.IntN(within))*time.Microsecond)
		last = checkGenerations(t, dir, i, last)
	}
	if last == 0 {
		t.Error("no process saved a generation before it was killed")
	}
	names, _ := os.ReadDir(dir)
	if len(names) > 3+2 {
		t.Errorf("%d files in the directory, want at most 3 generations and 2 others", len(names))
	}
}

// writeUntilKilled runs in the process that TestKills kills: it saves generations until the kill.
// It prints "writes" as soon as there is a generation.
func writeUntilKilled(t *testing.T, dir string) {
	t.Helper()
	d, err := Open(dir, "n0", 3)
	if err != nil {
		t.Fatal(err)
	}
	last, err := d.Load(func(string, error) {})
	if err != nil {
		t.Fatal(err)
	}
	n := 1
	if last != nil {
		n = int(last.Rev) + 1
	} else if err := d.Save(testSnapshot(0, 200)); err != nil { // so that a slow machine saves one
		t.Fatal(err)
	}
	fmt.Println("writes")
	for ; ; n++ {
		if err := d.Save(testSnapshot(n, 200)); err != nil {
			t.Fatal(err)
		}
	}
}

// killWriter starts a process that saves to a directory, and kills it the given time after it has
// printed that it writes.
func killWriter(t *testing.T, dir string, after time.Duration) {
	t.Helper()
	cmd := exec.Command(os.Args[0], "-test.run=^TestKills$")
	cmd.Env = append(os.Environ(), "FROSTTIDE_KILL_DIR="+dir)
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(out, make([]byte, len("writes"))); err != nil {
		t.Fatal(err)
	}
	time.Sleep(after) // the random time of the kill is what is tested
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
}

// checkGenerations fails the test if a generation is corrupt after a kill, or if the newest one
// is older than the newest before the kill. It returns the Rev of the newest.
func checkGenerations(t *testing.T, dir string, kill int, newest uint64) uint64 {
	t.Helper()
	d, err := Open(dir, "n0", 3)
	if err != nil {
		t.Fatal(err)
	}
	all, err := d.ReadAll()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range all {
		if f.Err != nil {
			t.Fatalf("kill %d: %s: %v", kill, f.File, f.Err)
		}
		if err := checkTestSnapshot(f.Snapshot); err != nil {
			t.Fatalf("kill %d: %v", kill, err)
		}
	}
	if len(all) == 0 && newest > 0 || len(all) > 0 && all[0].Snapshot.Rev < newest {
		t.Fatalf("kill %d: generation %d was saved before and is lost", kill, newest)
	}
	if len(all) > 0 {
		newest = all[0].Snapshot.Rev
	}
	return newest
}

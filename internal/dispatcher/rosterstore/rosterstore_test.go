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

// sample returns a snapshot each part of which holds its number, so that a mixture of two is
// detected.
func sample(number, nodes int) *Snapshot {
	s := &Snapshot{Name: "n0", Saved: time.Duration(number), Rev: uint64(number), Discovery: fmt.Sprint("d", number)}
	for i := range nodes {
		uid := fmt.Sprintf("s-%d", i)
		s.Nodes = append(s.Nodes, Node{UID: uid, Entry: json.RawMessage(fmt.Sprintf(`{"uid":%q,"n":%d}`, uid, number)),
			Confirmed: time.Duration(number), By: ByDiscovery})
	}
	return s
}

// checkSample returns an error if a snapshot is not one that sample has returned.
func checkSample(s *Snapshot) error {
	if diff := cmp.Diff(sample(int(s.Rev), len(s.Nodes)), s); diff != "" {
		return fmt.Errorf("a mixture (-want +got):\n%s", diff)
	}
	return nil
}

func encode(t *testing.T, s *Snapshot) []byte {
	t.Helper()
	text, err := Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// TestDecode has a file rejected that is truncated at any byte, changed in any bit, too long, of
// another version, or another dispatcher's.
func TestDecode(t *testing.T) {
	good := encode(t, sample(7, 3))
	s, err := Decode(good, "n0")
	if err != nil || checkSample(s) != nil {
		t.Fatal(err, checkSample(s))
	}
	for n := range good {
		if _, err := Decode(good[:n], ""); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("cut at %d: %v", n, err)
		}
		for bit := range 8 {
			bad := bytes.Clone(good)
			bad[n] ^= 1 << bit
			if _, err := Decode(bad, ""); err == nil {
				t.Fatalf("bit %d of byte %d is changed, which is not detected", bit, n)
			}
		}
	}
	if _, err := Decode(append(bytes.Clone(good), 0), ""); !errors.Is(err, ErrCorrupt) {
		t.Errorf("longer: %v", err)
	}
	newer := bytes.Clone(good)
	binary.BigEndian.PutUint32(newer[len(magicNumber):], version+1)
	if _, err := Decode(newer, ""); !errors.Is(err, ErrNewerVersion) {
		t.Errorf("newer: %v", err)
	}
	if _, err := Decode(good, "n1"); !errors.Is(err, ErrOtherDispatcher) {
		t.Errorf("another's: %v", err)
	}
}

// FuzzDecode has any file lead to a snapshot or an error.
func FuzzDecode(f *testing.F) {
	good, _ := Encode(sample(7, 3))
	f.Add(good)
	f.Add(good[:headerSize])
	f.Fuzz(func(t *testing.T, file []byte) {
		if s, err := Decode(file, ""); (s == nil) == (err == nil) {
			t.Errorf("%v and %v", s, err)
		}
	})
}

// memory is a file system in memory that loses what was not synced when the power fails, and that
// fails at a given step.
type memory struct {
	names  map[string]*inode // as programs see them
	synced map[string]*inode // as they are on the disk
	steps  int               // until it fails; below 0 for never
	how    string            // "off": all steps fail; "full": writes fail; "ro": changes fail
}

// inode is a file's content: all that was written, and what was synced of it.
type inode struct{ data, synced []byte }

var errOff = errors.New("the power is off")

func newMemory() *memory {
	return &memory{names: map[string]*inode{}, synced: map[string]*inode{}, steps: -1}
}

// step counts a step and returns its error.
func (m *memory) step(writes, changes bool) error {
	if m.steps > 0 {
		m.steps--
	}
	if m.steps != 0 {
		return nil
	}
	switch {
	case m.how == "off":
		return errOff
	case m.how == "full" && writes:
		return syscall.ENOSPC
	case m.how == "ro" && changes:
		return syscall.EROFS
	}
	return nil
}

// crash simulates a power failure: names that were not synced may or may not exist, and the
// content of a file that was not synced is truncated anywhere.
func (m *memory) crash(draw func(n int) int) {
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
	m.names, m.synced, m.steps = remaining, map[string]*inode{}, -1
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

func (m *memory) List(string) ([]string, error) {
	var out []string
	for name := range m.names {
		out = append(out, filepath.Base(name))
	}
	return out, m.step(false, false)
}

func (m *memory) Read(path string) ([]byte, error) {
	if n := m.names[path]; n != nil {
		return bytes.Clone(n.data), m.step(false, false)
	}
	return nil, fs.ErrNotExist
}

func (m *memory) Create(path string) (file, error) {
	if err := m.step(false, true); err != nil {
		return nil, err
	}
	if m.names[path] != nil {
		return nil, fs.ErrExist
	}
	m.names[path] = &inode{}
	return &open{m, m.names[path]}, nil
}

func (m *memory) Link(from, to string) error {
	if err := m.step(false, true); err != nil {
		return err
	}
	if m.names[to] != nil {
		return fs.ErrExist
	}
	m.names[to] = m.names[from]
	return nil
}

func (m *memory) Rename(from, to string) error {
	if err := m.step(false, true); err != nil {
		return err
	}
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

func (m *memory) Remove(path string) error {
	if m.names[path] == nil {
		return fs.ErrNotExist
	}
	if err := m.step(false, true); err != nil {
		return err
	}
	delete(m.names, path)
	return nil
}

func (m *memory) SyncDir(string) error {
	if err := m.step(false, false); err != nil {
		return err
	}
	m.synced = map[string]*inode{}
	for name, node := range m.names {
		m.synced[name] = node
	}
	return nil
}

// open is a file of memory that is open for writing.
type open struct {
	disk *memory
	node *inode
}

func (o *open) Write(text []byte) (int, error) {
	for i := 0; i < len(text); i += 64 { // a write may stop anywhere
		part := text[i:min(i+64, len(text))]
		if err := o.disk.step(true, true); err != nil {
			o.node.data = append(o.node.data, part[:len(part)/2]...)
			return i + len(part)/2, err
		}
		o.node.data = append(o.node.data, part...)
	}
	return len(text), nil
}

func (o *open) Sync() error {
	if err := o.disk.step(false, false); err != nil {
		return err
	}
	o.node.synced = bytes.Clone(o.node.data)
	return nil
}

func (o *open) Close() error { return o.disk.step(false, false) }

// TestBrokenDisk has a complete generation load whenever the disk or the power fails, and none
// that is older than the last one that was saved without an error.
func TestBrokenDisk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMemory()
		d := &Dir{path: "/s", name: "n0", maxGenerations: rapid.IntRange(2, 4).Draw(t, "keep"), files: m}
		saved, number := 0, 0
		for range rapid.IntRange(1, 6).Draw(t, "lives") {
			m.how = rapid.SampledFrom([]string{"off", "full", "ro"}).Draw(t, "how")
			m.steps = rapid.IntRange(1, 60).Draw(t, "steps")
			for range 4 {
				number++
				if d.Save(sample(number, rapid.IntRange(0, 20).Draw(t, "nodes"))) == nil {
					saved = number
				}
			}
			if m.how == "off" || rapid.Bool().Draw(t, "crash") {
				m.crash(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") })
			}
			m.steps = -1
			d = &Dir{path: "/s", name: "n0", maxGenerations: d.maxGenerations, files: m}
			s, err := d.Load(func(string, error) {})
			switch {
			case err != nil:
				t.Fatal(err)
			case s == nil && saved > 0:
				t.Fatalf("generation %d was saved and nothing is there", saved)
			case s == nil:
				continue
			}
			if err := checkSample(s); err != nil {
				t.Fatal(err)
			}
			if int(s.Rev) < saved || int(s.Rev) > number {
				t.Fatalf("generation %d is there, %d was saved last", s.Rev, saved)
			}
			if files, _ := d.generations(); len(files) > d.maxGenerations+4 {
				t.Fatalf("%d generations are kept", len(files))
			}
		}
	})
}

// TestLoad has Load skip files that can't be read, and take the highest number whatever the times
// are.
func TestLoad(t *testing.T) {
	path := t.TempDir()
	d, err := Open(path, "n0", 3)
	if err != nil {
		t.Fatal(err)
	}
	for n := 1; n <= 4; n++ {
		s := sample(n, 2)
		s.Saved = time.Duration(100 - n)
		if err := d.Save(s); err != nil {
			t.Fatal(err)
		}
	}
	files, err := d.generations()
	if err != nil || len(files) != 3 {
		t.Fatalf("%d generations are kept, %v", len(files), err)
	}
	write := func(i int, text []byte) {
		if err := os.WriteFile(filepath.Join(path, files[i].File), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	newer := encode(t, sample(9, 1))
	binary.BigEndian.PutUint32(newer[len(magicNumber):], version+1)
	write(0, newer)
	write(1, []byte("torn"))
	var skipped []string
	s, err := d.Load(func(file string, reason error) { skipped = append(skipped, reason.Error()) })
	if err != nil || s == nil || s.Rev != 2 {
		t.Fatalf("loaded %+v, %v", s, err)
	}
	if diff := cmp.Diff([]string{ErrNewerVersion.Error(), ErrCorrupt.Error()}, skipped); diff != "" {
		t.Errorf("skipped (-want +got):\n%s", diff)
	}
	names, _ := os.ReadDir(path)
	var remaining []string
	for _, n := range names {
		remaining = append(remaining, strings.TrimPrefix(n.Name(), files[0].File[:len(files[0].File)-len("4.state")]))
	}
	if diff := cmp.Diff([]string{"1.state", "2.state.bad", "3.state"}, remaining); diff != "" {
		t.Errorf("files (-want +got):\n%s", diff)
	}
	if other, err := Open(path, "n1", 3); err != nil {
		t.Fatal(err)
	} else if s, err := other.Load(func(string, error) {}); s != nil || err != nil {
		t.Errorf("another dispatcher loads %v, %v", s, err)
	}
}

// TestTwoProcesses has the two processes of an upgrade write into one folder without losing a
// generation of either.
func TestTwoProcesses(t *testing.T) {
	path := t.TempDir()
	var dirs []*Dir
	for range 2 {
		d, err := Open(path, "n0", 50)
		if err != nil {
			t.Fatal(err)
		}
		d.files = drafts{osFileSystem{}, len(dirs)}
		dirs = append(dirs, d)
	}
	done := make(chan error, 2)
	for i, d := range dirs {
		go func() {
			for n := range 20 {
				if err := d.Save(sample(100*i+n, 5)); err != nil {
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
		t.Fatalf("%d generations, %v", len(all), err)
	}
	for _, f := range all {
		if f.Err != nil || checkSample(f.Snapshot) != nil {
			t.Errorf("%s: %v", f.File, f.Err)
		}
	}
}

// TestFarBehindTheOtherProcess has a process write that knows of no generation while the other
// has written many more than it would try names.
func TestFarBehindTheOtherProcess(t *testing.T) {
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
		if err := dirs[0].Save(sample(n, 5)); err != nil {
			t.Fatal(err)
		}
	}
	if err := dirs[1].Save(sample(100, 5)); err != nil {
		t.Fatal(err)
	}
	all, err := dirs[0].ReadAll()
	if err != nil || len(all) != 2*maxNameAttempts+2 || all[0].Generation != 2*maxNameAttempts+1 {
		t.Fatalf("%d generations, the newest %d, %v", len(all), all[0].Generation, err)
	}
}

// drafts gives each of two writers of one process its own name of drafts, as two processes have.
type drafts struct {
	osFileSystem
	number int
}

// own returns the writer's name of a draft.
func (d drafts) own(path string) string {
	if strings.HasSuffix(path, tempSuffix) {
		return path + strconv.Itoa(d.number)
	}
	return path
}
func (d drafts) Create(path string) (file, error) { return d.osFileSystem.Create(d.own(path)) }
func (d drafts) Link(from, to string) error       { return d.osFileSystem.Link(d.own(from), to) }
func (d drafts) Remove(path string) error         { return d.osFileSystem.Remove(d.own(path)) }

// hanging is a file system whose writes block until wait is closed.
type hanging struct {
	*memory
	wait chan struct{}
}

func (h hanging) Create(path string) (file, error) {
	<-h.wait
	return h.memory.Create(path)
}

// TestHangingDisk has neither Put nor the shutdown wait for a disk that hangs, and only the
// newest snapshot written afterwards.
func TestHangingDisk(t *testing.T) {
	m := hanging{newMemory(), make(chan struct{})}
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := NewWriter(&Dir{path: "/s", name: "n0", maxGenerations: 3, files: m}, time.Millisecond, logrus.NewEntry(log))
	for n := range 1000 {
		w.Put(sample(n, 1))
	}
	w.Close(time.Now().Add(10 * time.Millisecond))
	close(m.wait)
	<-w.done
	if n := w.Written(); n < 1 || n > 2 {
		t.Errorf("%d generations were written for 1000 put at once", n)
	}
	s, err := (&Dir{path: "/s", name: "n0", maxGenerations: 3, files: m.memory}).Load(func(string, error) {})
	if err != nil || s == nil || s.Rev != 999 {
		t.Errorf("the last state is %+v, %v", s, err)
	}
}

// TestKills has no generation lost or corrupt when the process is killed at random moments of
// writing. CI kills it a few times; FROSTTIDE_KILLS sets another number.
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
		if last == 0 { // on a busy machine nothing has been written in that time yet
			within *= 1 + i
		}
		killWriter(t, dir, time.Duration(rand.IntN(within))*time.Microsecond)
		last = checkGenerations(t, dir, i, last)
	}
	if last == 0 {
		t.Error("nothing was ever written")
	}
	names, _ := os.ReadDir(dir)
	if len(names) > 3+2 {
		t.Errorf("%d files are left", len(names))
	}
}

// writeUntilKilled is the process that TestKills kills: it saves one generation after another.
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
	} else if err := d.Save(sample(0, 200)); err != nil { // on a slow machine none would get so far
		t.Fatal(err)
	}
	fmt.Println("writes")
	for ; ; n++ {
		if err := d.Save(sample(n, 200)); err != nil {
			t.Fatal(err)
		}
	}
}

// killWriter starts a process that writes into a folder and kills it a while after it has begun
// to write.
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
	time.Sleep(after) // the moment is what is tested
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
}

// checkGenerations fails the test if a generation is corrupt after a kill, or none is as new as
// the last one before. It returns the newest.
func checkGenerations(t *testing.T, dir string, kill int, last uint64) uint64 {
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
		if err := checkSample(f.Snapshot); err != nil {
			t.Fatalf("kill %d: %v", kill, err)
		}
	}
	if len(all) == 0 && last > 0 || len(all) > 0 && all[0].Snapshot.Rev < last {
		t.Fatalf("kill %d: generation %d is lost", kill, last)
	}
	if len(all) > 0 {
		last = all[0].Snapshot.Rev
	}
	return last
}

package quorum

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/fleet/clusterport"
	"frosttide/internal/dispatcher/fleet/ledger"
	"frosttide/internal/dispatcher/fleet/members"
)

// errDisk simulates the errors of a disk that rejects writes: ENOSPC, EIO, a failed sync.
var errDisk = errors.New("injected: the disk rejects the write")

// writeInterceptor counts the writes of Raft to its stores and can replace each of them.
type writeInterceptor struct {
	mu    sync.Mutex
	count int
	// intercept replaces write n, counted from 1, which do would execute; nil to only count. Calls
	// are serialised.
	intercept func(n int, do func() error) error
}

// write counts a write and runs it through intercept.
func (w *writeInterceptor) write(do func() error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count++
	if w.intercept != nil {
		return w.intercept(w.count, do)
	}
	return do()
}

// wrap returns stores that pass each write to s through the interceptor.
func (w *writeInterceptor) wrap(s stores) stores {
	return stores{interceptedLogs{s.logs, w}, interceptedStable{s.stable, w}, interceptedSnaps{s.snaps, w}}
}

type interceptedLogs struct {
	raft.LogStore
	interceptor *writeInterceptor
}

func (s interceptedLogs) StoreLog(l *raft.Log) error {
	return s.interceptor.write(func() error { return s.LogStore.StoreLog(l) })
}

func (s interceptedLogs) StoreLogs(l []*raft.Log) error {
	return s.interceptor.write(func() error { return s.LogStore.StoreLogs(l) })
}

func (s interceptedLogs) DeleteRange(from, to uint64) error {
	return s.interceptor.write(func() error { return s.LogStore.DeleteRange(from, to) })
}

type interceptedStable struct {
	raft.StableStore
	interceptor *writeInterceptor
}

func (s interceptedStable) Set(key, val []byte) error {
	return s.interceptor.write(func() error { return s.StableStore.Set(key, val) })
}

func (s interceptedStable) SetUint64(key []byte, val uint64) error {
	return s.interceptor.write(func() error { return s.StableStore.SetUint64(key, val) })
}

type interceptedSnaps struct {
	raft.SnapshotStore
	interceptor *writeInterceptor
}

func (s interceptedSnaps) Create(version raft.SnapshotVersion, index, term uint64, c raft.Configuration, ci uint64, t raft.Transport) (sink raft.SnapshotSink, err error) {
	err = s.interceptor.write(func() error {
		sink, err = s.SnapshotStore.Create(version, index, term, c, ci, t)
		return err
	})
	if err != nil {
		return nil, err
	}
	return interceptedSink{sink, s.interceptor}, nil
}

type interceptedSink struct {
	raft.SnapshotSink
	interceptor *writeInterceptor
}

func (s interceptedSink) Write(p []byte) (n int, err error) {
	err = s.interceptor.write(func() error {
		n, err = s.SnapshotSink.Write(p)
		return err
	})
	return n, err
}

func (s interceptedSink) Close() error { return s.interceptor.write(s.SnapshotSink.Close) }

// member is the only voter of its log.
type member struct {
	*Quorum
	stop func() // ends Run and closes the member and its port
}

// addrCount counts the opened members, so that each listens on a different address.
var addrCount atomic.Int32

// openMember opens and runs the only voter of the log in dir. wrapStores may be nil.
func openMember(t *testing.T, dir string, wrapStores func(stores) stores) (*member, error) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	port, err := clusterport.Open(fmt.Sprintf("127.78.1.%d:0", 1+addrCount.Add(1)%250), "", logrus.NewEntry(log))
	if err != nil {
		return nil, err
	}
	onlySelf := func() []members.Info {
		return []members.Info{{Name: "m", Addr: port.Advertised(), Meta: members.Meta{Disk: "d"}}}
	}
	disk, err := OpenDisk(dir, 0, logrus.NewEntry(log))
	if err != nil {
		port.Close()
		return nil, err
	}
	q, err := Open(Config{Name: "m", Disk: disk, Voters: []string{"m"}, wrapStores: wrapStores}, port, onlySelf,
		leaderRecorder{make(chan string, 1024)}, logrus.NewEntry(log))
	if err != nil {
		port.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); q.Run(ctx) }()
	return &member{q, func() {
		cancel()
		<-done
		q.Close()
		port.Close()
	}}, nil
}

// eventTimeout limits each wait for an event.
const eventTimeout = 30 * time.Second

// proposeAll proposes an entry for each UID, again until it is acknowledged, and records it.
func (m *member) proposeAll(t *testing.T, acknowledged *ackRecorder, uids ...string) {
	t.Helper()
	for _, uid := range uids {
		e := ledger.Entry{ID: "entry-" + uid, Op: ledger.Exclude, UID: uid}
		for deadline := time.Now().Add(eventTimeout); ; time.Sleep(5 * time.Millisecond) {
			ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(time.Second))
			_, err := m.Propose(ctx, e)
			cancel()
			if err == nil {
				acknowledged.add(uid)
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("entry for %s was not acknowledged in time: %v", uid, err)
			}
		}
	}
}

// ackRecorder records the UIDs of acknowledged entries.
type ackRecorder struct {
	mu   sync.Mutex
	uids []string
}

func (a *ackRecorder) add(uid string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.uids = append(a.uids, uid)
}

func (a *ackRecorder) all() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.uids...)
}

// awaitAll waits until the member's state contains the entries of all UIDs.
func (m *member) awaitAll(t *testing.T, uids []string) {
	t.Helper()
	for deadline := time.Now().Add(eventTimeout); ; time.Sleep(5 * time.Millisecond) {
		excluded := m.State().Excluded
		missing := ""
		for _, uid := range uids {
			if _, ok := excluded[uid]; !ok {
				missing = uid
			}
		}
		if missing == "" {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("entry for %s was acknowledged but is not in the state", missing)
		}
	}
}

// runLifetime runs a member through some entries, a snapshot and more entries.
func (m *member) runLifetime(t *testing.T, acknowledged *ackRecorder) {
	t.Helper()
	m.proposeAll(t, acknowledged, "s-1", "s-2", "s-3")
	for deadline := time.Now().Add(eventTimeout); m.Snapshot() != nil; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no snapshot was taken in time")
		}
	}
	m.proposeAll(t, acknowledged, "s-4", "s-5")
}

// countLifetimeWrites returns the number of writes to disk in a lifetime without failures.
func countLifetimeWrites(t *testing.T) int {
	t.Helper()
	var w writeInterceptor
	m, err := openMember(t, t.TempDir(), w.wrap)
	if err != nil {
		t.Fatal(err)
	}
	m.runLifetime(t, &ackRecorder{})
	m.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count
}

// TestFailedWrites checks that no acknowledged entry is lost if the disk rejects writes
// temporarily, at each write of the log, its terms and its snapshots, whether or not the rejected
// write took effect: the member recovers without a restart, and a later process has all entries.
func TestFailedWrites(t *testing.T) {
	t.Parallel()
	const failures = 2 // number of consecutive writes that fail
	for first := 1; first <= countLifetimeWrites(t); first++ {
		for _, tookEffect := range []bool{false, true} {
			t.Run(fmt.Sprintf("from write %d, took effect %t", first, tookEffect), func(t *testing.T) {
				t.Parallel()
				w := &writeInterceptor{}
				w.intercept = func(n int, do func() error) error {
					if n < first || n >= first+failures {
						return do()
					}
					if tookEffect {
						_ = do() // takes effect, but is reported as failed
					}
					return errDisk
				}
				dir, acked := t.TempDir(), &ackRecorder{}
				m, err := openMember(t, dir, w.wrap)
				if err != nil {
					t.Fatal(err)
				}
				m.runLifetime(t, acked)
				m.awaitAll(t, acked.all())
				m.stop()
				if m, err = openMember(t, dir, nil); err != nil {
					t.Fatal(err)
				}
				m.awaitAll(t, acked.all())
				m.stop()
			})
		}
	}
}

// TestKilledAtWrites checks that no acknowledged entry is lost by a kill at any write: before it,
// between its pages, within the page that commits it, and after it.
func TestKilledAtWrites(t *testing.T) {
	t.Parallel()
	type image struct {
		name         string
		dir          string
		acknowledged []string
	}
	var images []image
	live, imagesDir, acked := t.TempDir(), t.TempDir(), &ackRecorder{}
	saveImage := func(name string) string {
		dir := filepath.Join(imagesDir, name)
		if err := os.CopyFS(dir, os.DirFS(live)); err != nil {
			t.Error(err)
		}
		images = append(images, image{name, dir, acked.all()})
		return dir
	}
	w := &writeInterceptor{intercept: func(n int, do func() error) error {
		before := saveImage(fmt.Sprintf("%d-before", n))
		acknowledged := acked.all()
		err := do()
		after := saveImage(fmt.Sprintf("%d-after", n))
		for _, tornPart := range []string{"pages", "meta"} {
			name := fmt.Sprintf("%d-torn-%s", n, tornPart)
			dir := filepath.Join(imagesDir, name)
			if writeTornImage(t, before, after, dir, tornPart == "meta") {
				images = append(images, image{name, dir, acknowledged})
			}
		}
		return err
	}}
	m, err := openMember(t, live, w.wrap)
	if err != nil {
		t.Fatal(err)
	}
	m.runLifetime(t, acked)
	m.stop()
	if len(images) < 20 || len(acked.all()) != 5 {
		t.Fatalf("got %d images and %d acknowledged entries, want at least 20 and exactly 5", len(images), len(acked.all()))
	}
	t.Run("images", func(t *testing.T) {
		for _, i := range images {
			t.Run(i.name, func(t *testing.T) {
				t.Parallel()
				m, err := openMember(t, i.dir, nil)
				if err != nil {
					t.Fatal(err)
				}
				m.awaitAll(t, i.acknowledged)
				m.proposeAll(t, &ackRecorder{}, "s-9") // the member accepts further entries
				m.stop()
			})
		}
	})
}

// writeTornImage creates in dir the folder that a kill during a write to the log file leaves: half
// of the changed data pages, or with tornMeta all of them and half of the first changed meta page.
// It reports whether the write changed the file.
func writeTornImage(t *testing.T, before, after, dir string, tornMeta bool) bool {
	t.Helper()
	oldFile, err := os.ReadFile(filepath.Join(before, logFile))
	if err != nil {
		return false // the log file does not exist yet
	}
	newFile, err := os.ReadFile(filepath.Join(after, logFile))
	if err != nil || bytes.Equal(oldFile, newFile) {
		return false
	}
	pageSize := os.Getpagesize()
	tornFile := make([]byte, len(newFile))
	copy(tornFile, oldFile)
	var pages, metas []int // offsets of the changed data and meta pages
	for offset := 0; offset < len(newFile); offset += pageSize {
		if offset < len(oldFile) && bytes.Equal(oldFile[offset:offset+pageSize], newFile[offset:offset+pageSize]) {
			continue
		}
		if offset < 2*pageSize {
			metas = append(metas, offset)
		} else {
			pages = append(pages, offset)
		}
	}
	if !tornMeta {
		pages = pages[:len(pages)/2]
	}
	for _, offset := range pages {
		copy(tornFile[offset:offset+pageSize], newFile[offset:offset+pageSize])
	}
	if tornMeta && len(metas) > 0 {
		// The page header has 16 bytes and the fields 64, with the checksum last.
		half := metas[0] + 48
		copy(tornFile[metas[0]:half], newFile[metas[0]:half])
	}
	if err := os.CopyFS(dir, os.DirFS(before)); err != nil {
		t.Error(err)
		return false
	}
	if err := os.WriteFile(filepath.Join(dir, logFile), tornFile, 0o600); err != nil {
		t.Error(err)
		return false
	}
	return true
}

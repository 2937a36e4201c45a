package quorum

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"frosttide/internal/dispatcher/fleet/recovery"
)

// Names in the folder of a member.
const (
	logFile  = "log.db"
	diskFile = "disk"
	// snapshots is how many are kept, so that a torn one has another before it.
	keptSnapshots = 2
	// lockWait is how long another process of the same member may hold the folder.
	lockTimeout = time.Second
)

// disk is where a member keeps its part of the log. It has a name of its own, drawn when the
// folder is made. Guards what was acknowledged against a member that comes back without its
// disk: it is another voter then, whose word does not count for the one that was lost.
type disk struct {
	id    string
	logs  *boltdb.BoltStore
	snaps raft.SnapshotStore
}

// openDisk opens a folder. What can't be read, or is from before what the member has
// acknowledged, is set aside under another name and an empty one begun in its place; aside
// names it. Guards what was acknowledged against a disk of last week that votes as it did then.
func openDisk(dir string, known uint64, log hclog.Logger) (d *disk, setAside string, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, "", fmt.Errorf("cluster: %w", err)
	}
	d, err = openFolder(dir, log)
	if err == nil {
		err = d.checkCurrent(known)
		if err != nil {
			d.logs.Close()
		}
	}
	var torn corruptError
	if !errors.As(err, &torn) {
		return d, "", err
	}
	setAside = dir + ".torn-" + time.Now().UTC().Format("20060102T150405.000000000")
	if err := os.Rename(dir, setAside); err != nil {
		return nil, "", fmt.Errorf("cluster: %w", err)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, "", fmt.Errorf("cluster: %w", err)
	}
	d, err = openFolder(dir, log)
	return d, setAside + ": " + torn.Error(), err
}

// ErrInUse is told of a folder that another process of the member has yet.
var ErrInUse = errors.New("it is in use by another process")

// tornError is what a folder says that can't be read.
type corruptError struct{ error }

func openFolder(dir string, log hclog.Logger) (*disk, error) {
	id, err := diskID(dir)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, logFile)
	if err := checkLog(path); err != nil {
		return nil, err
	}
	logs, err := boltdb.New(boltdb.Options{Path: path, BoltOptions: &bbolt.Options{Timeout: lockTimeout}})
	if err != nil {
		return nil, fmt.Errorf("cluster: %s: %w", path, err)
	}
	snaps, err := raft.NewFileSnapshotStoreWithLogger(dir, keptSnapshots, log)
	if err != nil {
		logs.Close()
		return nil, fmt.Errorf("cluster: %w", err)
	}
	if err := checkSnapshots(logs, snaps); err != nil {
		logs.Close()
		return nil, err
	}
	return &disk{id: id, logs: logs, snaps: snaps}, nil
}

// diskID reads the folder's name, and draws it where there is none.
func diskID(dir string) (string, error) {
	path := filepath.Join(dir, diskFile)
	text, err := os.ReadFile(path)
	if err == nil {
		if id := strings.TrimSpace(string(text)); len(id) == 16 {
			return id, nil
		}
		return "", corruptError{fmt.Errorf("%s holds no name", path)}
	}
	if !errors.Is(err, os.ErrNotExist) {
		return "", fmt.Errorf("cluster: %w", err)
	}
	if _, err := os.Stat(filepath.Join(dir, logFile)); err == nil {
		return "", corruptError{fmt.Errorf("%s is gone and the log is there", path)}
	}
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", fmt.Errorf("cluster: %w", err)
	}
	id := hex.EncodeToString(b[:])
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_EXCL, 0o600)
	if err != nil {
		return "", fmt.Errorf("cluster: %w", err)
	}
	_, err = f.WriteString(id + "\n")
	err = errors.Join(err, f.Sync(), f.Close())
	if err != nil {
		return "", fmt.Errorf("cluster: %w", err)
	}
	return id, nil
}

// checkLog reads the whole log file, which is small, before it is used. Guards the process
// against a file that ends too early: the library maps it and would be killed by a fault.
func checkLog(path string) (err error) {
	if _, statErr := os.Stat(path); errors.Is(statErr, os.ErrNotExist) {
		return nil
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = corruptError{fmt.Errorf("%s can't be read: %v", path, r)}
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, ReadOnly: true, PreLoadFreelist: true})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return fmt.Errorf("cluster: %s: %w", path, ErrInUse)
	}
	if err != nil {
		return corruptError{fmt.Errorf("%s: %w", path, err)}
	}
	defer db.Close()
	var all []byte
	err = db.View(func(tx *bbolt.Tx) error { // not by tx.Check, whose own goroutine a fault would kill
		return tx.ForEach(func(_ []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(_, v []byte) error {
				all = append(all[:0], v...) // to the last byte
				return nil
			})
		})
	})
	if err != nil {
		return corruptError{fmt.Errorf("%s: %w", path, err)}
	}
	return nil
}

// checkSnapshots guards a log whose beginning is gone from being replayed without the
// snapshot that held it.
func checkSnapshots(logs *boltdb.BoltStore, snaps raft.SnapshotStore) error {
	first, err := logs.FirstIndex()
	if err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	list, err := snaps.List()
	if err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	reached := uint64(0)
	for _, s := range list {
		_, r, err := snaps.Open(s.ID)
		if err != nil {
			continue // torn: the one before it may do
		}
		r.Close()
		reached = max(reached, s.Index)
	}
	if len(list) > 0 && reached == 0 {
		return corruptError{errors.New("no snapshot can be read")}
	}
	if first > reached+1 {
		return corruptError{fmt.Errorf("the log begins at %d and the snapshots that can be read end at %d", first, reached)}
	}
	return nil
}

// current returns an error where the log is shorter than what the member kept elsewhere.
func (d *disk) checkCurrent(known uint64) error {
	last, err := d.lastIndex()
	if err != nil {
		return err
	}
	if recovery.DiskOutdated(known, last) {
		return corruptError{fmt.Errorf("the log ends at entry %d, and this member had acknowledged entry %d", last, known)}
	}
	return nil
}

// last returns how far the log goes, its snapshots included.
func (d *disk) lastIndex() (uint64, error) {
	last, err := d.logs.LastIndex()
	if err != nil {
		return 0, fmt.Errorf("cluster: %w", err)
	}
	if list, err := d.snaps.List(); err == nil && len(list) > 0 {
		last = max(last, list[0].Index)
	}
	return last, nil
}

func (d *disk) close() error { return d.logs.Close() }
